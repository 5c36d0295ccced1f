//! Exchanges heartbeats and publishes the view of the cluster.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use primrosehoist::coordination::membership::{HEARTBEAT_INTERVAL, Target};
use primrosehoist::protocol::wire::{Heartbeat, Reply, Request};
use primrosehoist::transport::peer;
use tokio::time::{Instant, MissedTickBehavior};

use crate::cluster::{Cluster, lock};

/// The timeout of the reply to a heartbeat.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of heartbeat intervals between attempts to contact the seeds.
const HEARTBEATS_PER_SEED_ATTEMPT: u64 = 10;

/// Returns a number that increases with each start of a daemon on this host.
pub(crate) fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_micros() as u64
}

/// Sends heartbeats and publishes the view twice per interval.
pub(crate) async fn run(cluster: Arc<Cluster>) {
    let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL / 2);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count: u64 = 0;
    loop {
        ticks.tick().await;
        if count.is_multiple_of(2) {
            cluster.send_heartbeats();
        }
        if count.is_multiple_of(2 * HEARTBEATS_PER_SEED_ATTEMPT) {
            cluster.contact_seeds();
        }
        cluster.publish_view();
        count += 1;
    }
}

impl Cluster {
    fn send_heartbeats(self: &Arc<Self>) {
        let local = self.local();
        let targets = lock(&self.membership).due_heartbeats(&local, Instant::now());
        for target in targets {
            let cluster = Arc::clone(self);
            tokio::spawn(async move { cluster.send_heartbeat(target).await });
        }
    }

    async fn send_heartbeat(&self, target: Target) {
        let request = Request::Heartbeat(target.heartbeat);
        let exchange = async {
            let mut exchange = self.peers.open(&target.member, &request, None).await?;
            exchange.next().await
        };
        self.traffic.sent(&request);
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await;
        match answered {
            Ok(Ok(reply)) => self.record_reply(reply.as_ref(), &target.member.host),
            Ok(Err(error)) => log::debug!("heartbeat failed: {error}"),
            Err(_) => log::debug!("heartbeat to {} timed out", target.member.host),
        }
    }

    fn record_reply(&self, reply: Option<&Reply>, from: &primrosehoist::state::name::Host) {
        if let Some(Reply::Heartbeat(heartbeat)) = reply
            && heartbeat.host == *from
        {
            self.traffic.received(heartbeat);
            lock(&self.membership).record_heartbeat(heartbeat, Instant::now());
        }
    }

    pub(super) fn answer_heartbeat(&self, request: &Heartbeat) -> Heartbeat {
        let local = self.local();
        let now = Instant::now();
        let mut membership = lock(&self.membership);
        membership.record_heartbeat(request, now);
        let answer = membership.answer(&local, request, now);
        drop(membership);
        self.traffic.received(request);
        self.traffic.sent(&answer);
        answer
    }

    /// Contacts the seeds while no other daemon is known to be alive.
    fn contact_seeds(self: &Arc<Self>) {
        let alone = self.node.view.load().daemons.len() <= 1;
        if !alone {
            return;
        }
        for seed in self.seeds.clone() {
            let cluster = Arc::clone(self);
            tokio::spawn(async move {
                if let Err(error) = cluster.contact_seed(&seed).await {
                    log::debug!("cannot contact a seed: {error}");
                }
            });
        }
    }

    async fn contact_seed(&self, address: &str) -> Result<(), peer::Error> {
        let heartbeat = lock(&self.membership).base_heartbeat(&self.local());
        let request = Request::Heartbeat(heartbeat);
        let mut exchange = self.peers.open_address(address, &request).await?;
        let from = exchange.peer().clone();
        let reply = exchange.next().await?;
        self.record_reply(reply.as_ref(), &from);
        Ok(())
    }

    fn publish_view(&self) {
        let local = self.local();
        let view = lock(&self.membership).view(&local, Instant::now());
        self.node.view.store(Arc::new(view));
    }
}
