//! Several upstreams that answer one prompt together.
//!
//! The upstreams are taken in the order of their names, each kept while the next is waited for, so
//! that no two requests wait for each other. The last of them answers. If one cannot be had, all
//! are given back.

use std::sync::Arc;

use primrosehoist::protocol::outcome::{Failure, Outcome, Reason};
use primrosehoist::protocol::wire::{Reply, Shard};
use primrosehoist::state::name;
use tokio::task::JoinSet;
use tokio::time::timeout_at;

use super::Job;
use super::attempt::{self, Attempt};
use super::exchange::Exchange;
use crate::node::Node;

/// The reservations for one attempt. Dropping it gives them back.
#[derive(Debug, Default)]
pub(crate) struct Group {
    /// Each ends when its reservation does.
    reservations: JoinSet<()>,
}

impl Group {
    /// Reserves a part of the prompt at each of `upstreams`, which are ordered by name.
    ///
    /// # Errors
    ///
    /// Returns why one of them cannot be had; nothing is kept then.
    pub(crate) async fn reserve(
        node: &Arc<Node>,
        job: &Job,
        id: &str,
        upstreams: &[name::Upstream],
    ) -> Result<Self, Failure> {
        let mut group = Self::default();
        let count = upstreams.len() as u64 + 1;
        for (index, upstream) in (1..).zip(upstreams) {
            let part = Attempt {
                id: id.to_owned(),
                upstream: upstream.clone(),
                shard: Some(Shard { index, count }),
            };
            let reserved = timeout_at(job.deadline, reserve_part(node, job, &part)).await;
            let mut exchange = reserved.unwrap_or_else(|_| Err(busy()))?;
            group.reservations.spawn(async move {
                // Nothing but the end follows.
                exchange.next().await;
            });
        }
        Ok(group)
    }

    /// Waits until a reservation has ended; for ever, if there is none.
    pub(crate) async fn reservation_lost(&mut self) -> Failure {
        match self.reservations.join_next().await {
            Some(_) => Failure {
                outcome: Outcome::Unknown,
                reason: Reason::UpstreamFailed,
                message: "an upstream that keeps a part of the prompt was lost".to_owned(),
                retry_after_ms: None,
            },
            None => std::future::pending().await,
        }
    }
}

async fn reserve_part(node: &Arc<Node>, job: &Job, part: &Attempt) -> Result<Exchange, Failure> {
    let dispatch = attempt::dispatch(node, job, part, 0);
    let unreachable = || Failure::not_run(Reason::Unavailable, "a holder cannot be reached");
    let opened = Exchange::open(node, dispatch, None).await;
    let mut exchange = opened.ok_or_else(unreachable)?;
    match exchange.next().await {
        Some(Reply::Admitted { .. }) => Ok(exchange),
        // The time passed in a queue: the upstream could hold the part, but was not free.
        Some(Reply::Failed(failure)) if failure.reason == Reason::Timeout => Err(busy()),
        Some(Reply::Failed(failure)) => Err(failure),
        _ => Err(unreachable()),
    }
}

fn busy() -> Failure {
    Failure::not_run(
        Reason::Overloaded,
        "the upstreams that hold the prompt together were not free in time",
    )
}
