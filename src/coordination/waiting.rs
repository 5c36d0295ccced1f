//! What a request does that waits for upstream capacity.
//!
//! A pure machine for each request that is to be placed. The caller performs what a [`Step`] says, and tells the
//! machine what came of it:
//!
//! - a request looks for capacity when it has its [turn](crate::coordination::turn), when it wakes up by
//!   itself, and before it is refused;
//! - it uses what it finds unless others are ahead of it, for [`TURN_WAIT_MAX`] at most;
//! - a long prompt that has waited takes free capacity after a random delay;
//! - an overdue request goes behind those that can still be in time, and is soon refused if a crowd leaves
//!   nothing to late ones.

use std::time::Duration;

use strum::Display;
use tokio::time::Instant;

use crate::coordination::turn::Look;

/// The longest time that a queued request leaves capacity to those ahead of it that have not had their
/// turn, since capacity becomes free faster than they can look for it.
pub const TURN_WAIT_MAX: Duration = Duration::from_millis(100);

/// The share of its queueing time for which a request does so at most.
const TURN_WAIT_SHARE: f64 = 0.25;

/// The interval between two selections of a queued request among the upstreams of all zones, whose
/// load is known less exactly than that in the daemon's zone.
const WIDE_INTERVAL: Duration = Duration::from_millis(100);

/// The longest random delay before a queued long prompt takes free capacity. Gossip reaches other
/// daemons within a tenth of it.
const JITTER_MAX: Duration = Duration::from_millis(20);

/// How long an overdue request waits for a crowd to end, as a multiple of its latency objective. Its caller
/// then has time left to come again.
const CROWDED_WAIT: u32 = 1;

/// Why no upstream was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// No upstream had capacity in time.
    Full,
    /// The request is late, and what is free is left to those that can be in time.
    Crowded,
    /// No upstream of the service accepts work.
    #[strum(serialize = "nowhere")]
    NoUpstream,
    /// All upstreams of the service want no requests until this time, which is too late.
    Deferred(Instant),
    /// The host was cut off from the upstreams while the request waited.
    CutOff,
}

/// The request that waits.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// When it misses its latency objective.
    pub due: Instant,
    /// Its latency objective.
    pub objective: Duration,
    /// The time that it may wait, counted from the start of this wait or an earlier one.
    pub queue_time_max: Duration,
    /// When it stops waiting.
    pub give_up_at: Instant,
    /// Whether it resumes a response, whose client soon gives up on the rest. Such a request is never
    /// overdue.
    pub resumes: bool,
    /// Whether no other long prompt may share its upstream.
    pub is_long: bool,
}

/// The place of the request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Whether all requests ahead of it have had their turn in this round.
    pub has_turn: bool,
    /// Whether no request is ahead of it.
    pub is_first: bool,
}

/// What is considered by one look for capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct View {
    /// The share of the waiting time that is left, from 1 to 0.
    pub left: f64,
    /// Whether the upstreams of all zones are considered.
    pub is_wide: bool,
}

/// What a request does next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    /// It is overdue and enters the queue again, in its new rank.
    Requeue,
    /// It looks for capacity. [`Waiting::found`] or [`Waiting::missed`] follows.
    Look(View),
    /// It waits until it is notified or polls. [`Waiting::woke`] follows.
    Wait,
    /// It is refused.
    Refuse(Refusal),
}

/// What becomes of capacity that a look has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// The request takes it.
    Take,
    /// The request leaves the queue for so long, and then looks again.
    Delay(Duration),
    /// The request leaves it to those ahead. If the request had its turn, a round begins.
    Leave {
        /// Whether a round begins.
        begins_round: bool,
    },
}

/// A request that waits for capacity.
#[derive(Debug, Clone)]
pub struct Waiting {
    terms: Terms,
    was_cut_off: bool,
    overdue: bool,
    needs_jitter: bool,
    woken: Wake,
    wide_at: Instant,
    turn_at: Instant,
    refusal: Refusal,
    /// The look in progress, with whether it was wide.
    look: Option<(Look, bool)>,
    phase: Phase,
}

/// How a request came to look for capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wake {
    /// It has just arrived.
    New,
    /// Something may have become free.
    Notified,
    /// It woke up by itself.
    Polled,
}

/// What a request has done since it last woke up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Nothing yet.
    Awake,
    /// It has looked for capacity, or left that to others.
    Looked {
        /// Whether its time to wait is over.
        is_over: bool,
    },
}

impl Waiting {
    /// Starts to wait at `now`. `cut_off` is whether the host is cut off from all upstreams.
    pub fn new(terms: Terms, cut_off: bool, now: Instant) -> Self {
        Self {
            terms,
            was_cut_off: cut_off,
            overdue: !terms.resumes && now >= terms.due,
            needs_jitter: false,
            woken: Wake::New,
            wide_at: now,
            turn_at: now,
            refusal: Refusal::Full,
            look: None,
            phase: Phase::Awake,
        }
    }

    /// Returns whether the request has missed its latency objective.
    pub fn is_overdue(&self) -> bool {
        self.overdue
    }

    /// Returns whether the request has not waited yet.
    pub fn is_new(&self) -> bool {
        self.woken == Wake::New
    }

    /// Returns what the request does at `now`, at `place` in the queue. `cut_off` is whether the host is cut off
    /// from all upstreams.
    pub fn next(&mut self, place: Place, cut_off: bool, now: Instant) -> Step {
        let is_over = match self.phase {
            Phase::Looked { is_over } => is_over,
            Phase::Awake => {
                if !self.was_cut_off && cut_off {
                    return Step::Refuse(Refusal::CutOff);
                }
                if !self.terms.resumes && !self.overdue && now >= self.terms.due {
                    self.overdue = true;
                    return Step::Requeue;
                }
                let is_over = now >= self.terms.give_up_at || self.is_hopeless(now);
                self.phase = Phase::Looked { is_over };
                let look = Look {
                    has_turn: place.has_turn,
                    is_first: place.is_first,
                    polls: self.woken == Wake::Polled,
                    has_waited: now - self.turn_at >= self.turn_wait_max(),
                    // One that arrives too late has not waited, and does not overtake those that do.
                    is_last: is_over && !self.is_new(),
                };
                if look.is_due() {
                    let view = self.view(now);
                    self.look = Some((look, view.is_wide));
                    return Step::Look(view);
                }
                is_over
            }
        };
        if is_over || self.is_hopeless(now) {
            return Step::Refuse(self.refusal);
        }
        Step::Wait
    }

    /// Records that the look has found capacity; returns what becomes of it. `random` is from 0 to 1.
    pub fn found(&mut self, random: f64) -> Use {
        let look = self.look.take().map(|(look, _)| look);
        if look.is_some_and(|look| !look.may_use()) {
            // It is not refused for what an earlier look lacked.
            self.refusal = Refusal::Full;
            // Without its turn, a round is under way.
            return Use::Leave {
                begins_round: look.is_some_and(|look| look.has_turn),
            };
        }
        if !self.needs_jitter {
            return Use::Take;
        }
        self.needs_jitter = false;
        (self.woken, self.phase) = (Wake::Notified, Phase::Awake);
        Use::Delay(JITTER_MAX.mul_f64(random))
    }

    /// Records that the look has found no capacity, for this reason.
    pub fn missed(&mut self, refusal: Refusal, now: Instant) {
        self.refusal = refusal;
        if let Some((look, is_wide)) = self.look.take() {
            // What is found in other zones is still considered at the request's turn.
            if is_wide {
                self.wide_at = now + WIDE_INTERVAL;
            }
            if look.has_turn {
                self.turn_at = now;
            }
        }
        // All daemons see freed capacity at the same time. Without a random delay, several would use it
        // for long prompts that should be prefilled one after the other.
        self.needs_jitter = self.terms.is_long;
    }

    /// Records that the request has waited; `notified` is whether something may have become free.
    pub fn woke(&mut self, notified: bool) {
        self.woken = if notified {
            Wake::Notified
        } else {
            Wake::Polled
        };
        self.phase = Phase::Awake;
    }

    /// Returns whether waiting longer would only keep the caller from coming again.
    fn is_hopeless(&self, now: Instant) -> bool {
        let patient_until = self.terms.due + self.terms.objective * CROWDED_WAIT;
        self.refusal == Refusal::Crowded && self.overdue && now >= patient_until
    }

    fn view(&self, now: Instant) -> View {
        let left = self.terms.give_up_at.saturating_duration_since(now);
        let whole = self.terms.queue_time_max.as_secs_f64();
        View {
            left: left.as_secs_f64() / whole.max(f64::MIN_POSITIVE),
            is_wide: now >= self.wide_at,
        }
    }

    fn turn_wait_max(&self) -> Duration {
        TURN_WAIT_MAX.min(self.terms.queue_time_max.mul_f64(TURN_WAIT_SHARE))
    }
}
