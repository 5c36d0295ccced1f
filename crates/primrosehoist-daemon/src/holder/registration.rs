//! The registration of a request with the scheduler of its upstream.

use std::sync::Arc;

use primrosehoist::coordination::admission::Finish;
use primrosehoist::state::fleet::Fingerprint;
use primrosehoist::state::queue::Ticket;
use tokio::time::Instant;

use super::holding::Holding;

/// Keeps a request registered until it is finished or dropped.
///
/// Dropping it withdraws the request from the scheduler.
#[derive(Debug)]
pub(crate) struct Registration {
    holding: Arc<Holding>,
    ticket: Ticket,
    attempt: String,
    finished: bool,
}

impl Registration {
    /// Registers a request that is about to be offered to the scheduler.
    pub(crate) fn new(holding: &Arc<Holding>, ticket: Ticket, attempt: &str) -> Self {
        holding.attempts.add(attempt);
        Self {
            holding: Arc::clone(holding),
            ticket,
            attempt: attempt.to_owned(),
            finished: false,
        }
    }

    /// Returns the upstream that the request is registered with.
    pub(crate) fn holding(&self) -> &Arc<Holding> {
        &self.holding
    }

    /// Returns whether another registration of this process continues the attempt.
    pub(crate) fn is_resumed(&self) -> bool {
        self.holding.registrations_of(&self.attempt) > 1
    }

    /// Records that the upstream runs the request, whose content has `fingerprint`.
    pub(crate) fn mark_running(&self, fingerprint: &Fingerprint) {
        self.holding.running.enter(self.ticket, fingerprint);
    }

    /// Returns the ticket of the request.
    pub(crate) fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Records that the request occupies memory only.
    pub(crate) fn mark_memory_only(&self) {
        self.holding
            .update(|scheduler| scheduler.mark_memory_only(self.ticket));
    }

    /// Records a part of the response; `first` marks the first one.
    pub(crate) fn record_part(&self, first: bool) {
        let ticket = self.ticket;
        self.holding.update(|scheduler| {
            if first {
                scheduler.first_token(ticket, Instant::now());
            } else {
                scheduler.token(ticket);
            }
        });
    }

    /// Records the end of the request.
    pub(crate) fn finish(mut self, finish: Finish) {
        self.finished = true;
        let ticket = self.ticket;
        self.holding
            .update(|scheduler| scheduler.finished(ticket, finish, Instant::now()));
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.holding.running.leave(self.ticket);
        if !self.finished {
            self.holding.withdraw(self.ticket);
        }
        self.holding.attempts.remove(&self.attempt);
    }
}
