//! A request that is counted at its upstream.

use std::sync::Arc;

use primrosehoist::coordination::admission::Finish;
use primrosehoist::state::fleet::Fingerprint;
use primrosehoist::state::queue::Ticket;
use tokio::time::Instant;

use super::place::Place;

/// Counts a request until it is finished or dropped.
#[derive(Debug)]
pub(crate) struct Flight {
    place: Arc<Place>,
    ticket: Ticket,
    attempt: String,
    finished: bool,
}

impl Flight {
    /// Creates the guard of a request that is offered next.
    pub(crate) fn new(place: &Arc<Place>, ticket: Ticket, attempt: &str) -> Self {
        place.attempts.add(attempt);
        Self {
            place: Arc::clone(place),
            ticket,
            attempt: attempt.to_owned(),
            finished: false,
        }
    }

    /// Returns the place of the upstream.
    pub(crate) fn place(&self) -> &Arc<Place> {
        &self.place
    }

    /// Returns whether another flight of this process continues the attempt.
    pub(crate) fn is_resumed(&self) -> bool {
        self.place.flights_of(&self.attempt) > 1
    }

    /// Records that the upstream runs the request with this content.
    pub(crate) fn runs(&self, fingerprint: &Fingerprint) {
        self.place.running.enter(self.ticket, fingerprint);
    }

    /// Returns the ticket of the request.
    pub(crate) fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Records that the request only keeps memory.
    pub(crate) fn hold(&self) {
        self.place
            .update(|scheduler| scheduler.mark_memory_only(self.ticket));
    }

    /// Records a part of the answer.
    pub(crate) fn note_part(&self, first: bool) {
        let ticket = self.ticket;
        self.place.update(|scheduler| {
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
        self.place
            .update(|scheduler| scheduler.finished(ticket, finish, Instant::now()));
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.place.running.leave(self.ticket);
        if !self.finished {
            self.place.withdraw(self.ticket);
        }
        self.place.attempts.remove(&self.attempt);
    }
}
