//! Memory reservations for a prompt that is split across several upstreams.
//!
//! The upstreams are reserved in the order of their names, and each reservation is held while the
//! next is awaited, so that two requests cannot deadlock. The last upstream generates the
//! response. If one cannot be reserved, all reservations are released.

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

/// The reservations of one attempt. Dropping it releases them.
#[derive(Debug, Default)]
pub(crate) struct Group {
    /// One task per reservation, which ends with it.
    reservations: JoinSet<()>,
}

impl Group {
    /// Reserves memory for a part of the prompt at each of `upstreams`, which are ordered by name.
    ///
    /// # Errors
    ///
    /// Returns why one of them cannot be reserved; the other reservations are released then.
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
                // The only further reply is the end of the reservation.
                exchange.next().await;
            });
        }
        Ok(group)
    }

    /// Waits until a reservation ends; never returns if there is none.
    pub(crate) async fn reservation_lost(&mut self) -> Failure {
        match self.reservations.join_next().await {
            Some(_) => Failure {
                outcome: Outcome::Unknown,
                reason: Reason::UpstreamFailed,
                message: "an upstream that stores a part of the prompt was lost".to_owned(),
                retry_after_ms: None,
            },
            None => std::future::pending().await,
        }
    }
}

async fn reserve_part(node: &Arc<Node>, job: &Job, part: &Attempt) -> Result<Exchange, Failure> {
    let dispatch = attempt::dispatch(node, job, part, 0);
    let unreachable = || {
        Failure::not_run(
            Reason::Unavailable,
            "the holder of an upstream cannot be reached",
        )
    };
    let opened = Exchange::open(node, dispatch, None).await;
    let mut exchange = opened.ok_or_else(unreachable)?;
    match exchange.next().await {
        Some(Reply::Admitted { .. }) => Ok(exchange),
        // Timed out in the queue: the upstream could store the part, but stayed busy.
        Some(Reply::Failed(failure)) if failure.reason == Reason::Timeout => Err(busy()),
        Some(Reply::Failed(failure)) => Err(failure),
        _ => Err(unreachable()),
    }
}

fn busy() -> Failure {
    Failure::not_run(
        Reason::Overloaded,
        "the upstreams that together fit the prompt were not free in time",
    )
}
