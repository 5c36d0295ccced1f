//! What the attempts of a request show of their upstreams.

use std::sync::Arc;

use primrosehoist::state::health::Observation;
use primrosehoist::state::roster::Upstream;
use primrosehoist::transport::http::upstream::refuses_connections;
use tokio::time::Instant;

use super::attempt::{Attempts, CONNECT_TIMEOUT};
use super::{job, reach};

impl Attempts {
    /// Records that the connection broke after the request was sent, so that the request may have
    /// crashed the upstream. A part of its prompt that the upstream has `survived` has not.
    pub(crate) fn suspect_crash(&self, upstream: &Arc<Upstream>, survived: bool) {
        if self.context.is_cut_off() {
            return;
        }
        let causes = if survived {
            vec![self.job.fingerprint]
        } else {
            self.job.crash_causes.clone()
        };
        let hash = |text: &str| job::fingerprint(text, "", &[]) >> 32;
        let id = (hash(&upstream.id) << 32) | hash(&self.job.request.id);
        let mut crashes = self.context.crashes.lock();
        let is_first = crashes.add_suspect(causes, &upstream.id, id, Instant::now());
        drop(crashes);
        if is_first {
            let (context, upstream) = (Arc::clone(&self.context), Arc::clone(upstream));
            tokio::spawn(async move {
                let refuses = refuses_connections(upstream.address, CONNECT_TIMEOUT).await;
                let refused_at = Instant::now();
                if refuses && reach::may_be_down(&context, &upstream.id).await {
                    log::info!(upstream = upstream.id.as_ref(); "upstream refuses connections");
                    let mut crashes = context.crashes.lock();
                    crashes.upstream_down(&upstream.id, refused_at);
                }
            });
        }
    }

    /// Records that `upstream` could not be connected to, so that its suspects may have crashed it.
    pub(crate) fn suspect_down(&self, upstream: &Arc<Upstream>) {
        if !self.context.crashes.lock().has_suspects(&upstream.id) {
            return;
        }
        let (context, upstream) = (Arc::clone(&self.context), Arc::clone(upstream));
        let failed_at = Instant::now();
        tokio::spawn(async move {
            if reach::may_be_down(&context, &upstream.id).await {
                let mut crashes = context.crashes.lock();
                crashes.upstream_down(&upstream.id, failed_at);
            }
        });
    }

    /// Records that an upstream has survived the start of an answer, so that no part of the prompt
    /// crashes upstreams.
    pub(crate) fn absolve_parts(&self) {
        let mut crashes = self.context.crashes.lock();
        crashes.absolve(self.job.shared_parts(), rand::random(), Instant::now());
    }

    /// Records how an attempt from this daemon to `upstream` ended.
    pub(crate) fn record(&self, upstream: &Arc<Upstream>, observation: Observation) {
        if observation == Observation::Success {
            let mut crashes = self.context.crashes.lock();
            crashes.upstream_answered(&upstream.id);
            crashes.absolve(&self.job.crash_causes, rand::random(), Instant::now());
        }
        if observation == Observation::Unreachable {
            self.context.record_unreached(&upstream.id);
            if self.context.is_cut_off() {
                return;
            }
            let hop = self.context.hop_to(&upstream.zone);
            let mut partitions = self.context.partitions.lock();
            partitions.record_failure(&hop, &upstream.id, Instant::now());
        }
        self.record_health(upstream, observation);
    }

    /// Records how an attempt ended for `upstream`, without regard to the network path.
    pub(crate) fn record_health(&self, upstream: &Arc<Upstream>, observation: Observation) {
        let mut health = self.context.health.lock();
        health.record(&upstream.id, observation, Instant::now());
    }
}
