//! Executes the decisions on which daemon of the zone holds which upstream.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future;
use primrosehoist::coordination::backoff;
use primrosehoist::coordination::holding::{
    Context, Decision, READ_INTERVAL, Spec, Write, Written,
};
use primrosehoist::coordination::promise::{Answer, Promise, Takeover};
use primrosehoist::protocol::platform::{HOLDINGS, Metadata};
use primrosehoist::protocol::wire::{Reply, Request};
use primrosehoist::state::name;
use primrosehoist::state::view::{Advert, Member};
use primrosehoist::transport::platform;
use tokio::time::{Instant, MissedTickBehavior};

use crate::cluster::{Cluster, lock};

/// The interval of decisions.
const DECIDE_INTERVAL: Duration = Duration::from_millis(250);

/// The timeout of a request to a peer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// The maximum delay before a failed write is followed by a new read.
const REREAD_DELAY_MAX: Duration = Duration::from_millis(200);

/// The maximum age of an earlier holder's adverts that count as evidence of a release.
const ADVERT_AGE_MAX: Duration = Duration::from_secs(2);

/// Reads the holdings object once per interval, or immediately after a failed write.
pub(crate) async fn read(cluster: Arc<Cluster>) {
    let mut failures = 0;
    loop {
        match cluster.read_holdings().await {
            Ok(()) => failures = 0,
            Err(error) => {
                log::debug!("cannot read the holdings: {error}");
                failures += 1;
            }
        }
        let pause = if failures > 1 {
            READ_INTERVAL / 2 + backoff::full_jitter(failures, READ_INTERVAL / 2, READ_INTERVAL * 2)
        } else {
            backoff::jitter(READ_INTERVAL)
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = cluster.holdings_changed.notified() => {}
        }
    }
}

/// Makes and executes decisions at a fixed interval.
pub(crate) async fn decide(cluster: Arc<Cluster>) {
    let mut ticks = tokio::time::interval(DECIDE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let decision = cluster.decide();
        cluster.publish_leases();
        if let Some(promise) = decision.promise {
            let cluster = Arc::clone(&cluster);
            tokio::spawn(async move { cluster.confirm_leases(promise).await });
        }
        for takeover in decision.takeovers {
            let cluster = Arc::clone(&cluster);
            tokio::spawn(async move { cluster.send_takeover(takeover).await });
        }
        if let Some(write) = decision.write {
            cluster.write(write).await;
            cluster.publish_leases();
        }
    }
}

impl Cluster {
    /// Returns whether this daemon holds any upstream.
    pub(crate) fn holds_any(&self) -> bool {
        !self.node.leases.load().is_empty() || lock(&self.holdings).is_handing_over()
    }

    async fn read_holdings(&self) -> Result<(), platform::Error> {
        let started = Instant::now();
        let outcome = self.platform.get(HOLDINGS, self.own.zone.as_str()).await;
        let (spec, version) = match outcome {
            Ok(object) => (object.spec, Some(object.metadata.resource_version)),
            Err(platform::Error::NotFound { .. }) => (serde_json::json!({}), None),
            Err(error) => return Err(error),
        };
        self.record_platform_answer();
        let spec: Spec = match version {
            None => Spec::default(),
            Some(_) => {
                serde_json::from_value(spec).map_err(|cause| platform::Error::Malformed {
                    operation: String::from("get holdings"),
                    cause: cause.to_string(),
                })?
            }
        };
        lock(&self.holdings).record_read(spec, version, started, Instant::now());
        self.publish_leases();
        Ok(())
    }

    fn decide(&self) -> Decision {
        let now = Instant::now();
        let local = self.local();
        let fleet = self.node.fleet.load();
        let upstreams: Vec<_> = fleet
            .upstreams
            .values()
            .filter(|upstream| upstream.zone == self.own.zone)
            .map(|upstream| upstream.name.clone())
            .collect();
        let membership = lock(&self.membership);
        let mut daemons: Vec<_> = membership
            .zone_members(now)
            .into_iter()
            .map(|member| member.host)
            .collect();
        daemons.push(self.own.host.clone());
        let candidates = membership.candidates(&local, now);
        let is_settled = |host: &name::Host, upstream: &name::Upstream, epoch: u64| {
            let gone = membership.is_gone(host) && !membership.is_alive(host, now);
            *host == self.own.host
                || gone
                || membership.has_released(host, upstream, epoch, now - ADVERT_AGE_MAX)
        };
        let context = Context {
            now,
            upstreams: &upstreams,
            daemons: &daemons,
            candidates: &candidates,
            draining: local.draining,
            is_alive: &|host| membership.is_alive(host, now),
            is_gone: &|host| membership.is_gone(host) && !membership.is_alive(host, now),
            is_settled: &is_settled,
            in_flight: &self.hooks.in_flight,
        };
        lock(&self.holdings).decide(&context)
    }

    fn publish_leases(&self) {
        // Held until the end, so that an older set never replaces a newer one.
        let holdings = lock(&self.holdings);
        let leases = holdings.leases();
        let published = self.node.leases.load();
        let same = leases.len() == published.len()
            && leases.iter().all(|(upstream, lease)| {
                let known = published.get(upstream);
                known.is_some_and(|known| Arc::ptr_eq(known, lease))
            });
        if !same {
            let mut names: Vec<_> = leases.keys().map(name::Upstream::as_str).collect();
            names.sort_unstable();
            log::info!("holding upstreams: {}", names.join(" "));
            self.node.leases.store(Arc::new(leases));
        }
    }

    async fn write(&self, write: Write) {
        let started = Instant::now();
        let zone = self.own.zone.as_str();
        let outcome = match &write.version {
            None => self.platform.create(HOLDINGS, zone, &write.spec).await,
            Some(version) => {
                let metadata = Metadata {
                    name: zone.to_owned(),
                    resource_version: version.clone(),
                };
                self.platform
                    .replace(HOLDINGS, &metadata, &write.spec)
                    .await
            }
        };
        let written = match outcome {
            Ok(object) => Written::Done(object.metadata.resource_version),
            Err(platform::Error::Conflict { .. }) => Written::Conflict,
            Err(error) => {
                log::warn!("cannot write the holdings: {error}");
                if error.is_uncertain() {
                    Written::Unknown
                } else {
                    Written::Unsent
                }
            }
        };
        let done = matches!(written, Written::Done(_));
        lock(&self.holdings).record_write(written, started, Instant::now());
        if !done {
            tokio::time::sleep(backoff::full_jitter(0, REREAD_DELAY_MAX, REREAD_DELAY_MAX)).await;
            self.holdings_changed.notify_one();
        }
    }

    /// Asks the daemons of the zone to extend the leases.
    async fn confirm_leases(&self, promise: Promise) {
        let asked_at = Instant::now();
        let request = Request::Promise(promise);
        let answers = self.ask_zone(&request, |_, answer| {
            lock(&self.holdings).extend_by_relay(answer, asked_at);
        });
        let answers = answers.await;
        lock(&self.holdings).extend_by_promises(&answers, asked_at);
    }

    /// Sends a takeover to the daemons of the zone and records their answers.
    async fn send_takeover(&self, takeover: Takeover) {
        let request = Request::Takeover(takeover.clone());
        self.ask_zone(&request, |host, answer| {
            let mut holdings = lock(&self.holdings);
            holdings.record_agreement(&takeover, host, answer, Instant::now());
        })
        .await;
    }

    async fn ask_zone<F>(&self, request: &Request, on_answer: F) -> Vec<(name::Host, Answer)>
    where
        F: Fn(&name::Host, &Answer),
    {
        let members = lock(&self.membership).zone_members(Instant::now());
        let requests = members.iter().map(|member| async {
            let answer = self.ask_member(member, request).await?;
            on_answer(&member.host, &answer);
            Some((member.host.clone(), answer))
        });
        future::join_all(requests)
            .await
            .into_iter()
            .flatten()
            .collect()
    }

    async fn ask_member(&self, member: &Member, request: &Request) -> Option<Answer> {
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, async {
            let mut exchange = self.peers.open(member, request, None).await?;
            exchange.next().await
        });
        match answered.await {
            Ok(Ok(Some(Reply::Answer(answer)))) => Some(answer),
            Ok(Ok(_)) | Err(_) => None,
            Ok(Err(error)) => {
                log::debug!("a request to a daemon of the zone failed: {error}");
                None
            }
        }
    }

    /// Returns adverts of released upstreams that still have requests in flight.
    pub(super) fn released_adverts(&self) -> Vec<Advert> {
        let released =
            lock(&self.holdings).unsettled_upstreams(&self.hooks.in_flight, Instant::now());
        let adverts = released.into_iter().map(|(upstream, epoch)| Advert {
            in_flight: (self.hooks.in_flight)(&upstream),
            upstream,
            epoch,
            limit: 0,
            queued: 0,
            tokens: 0,
            long_tokens: 0,
            memory_free: 0,
            prefill_rate: 0,
        });
        adverts.collect()
    }
}
