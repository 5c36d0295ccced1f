//! Constructors for an upstream, its scheduler and requests.

use std::time::Duration;

use primrosehoist::coordination::admission::{Reason, Scheduler, Verdict};
use primrosehoist::state::fleet::{Lifecycle, Upstream};
use primrosehoist::state::name;
use primrosehoist::state::queue::{Item, Ticket};
use tokio::time::Instant;

pub(crate) const MEMORY: u64 = 400_000;
pub(crate) const LONG: u64 = 50_000;

pub(crate) fn half(raw: &str) -> name::Half {
    name::Half::try_from(raw).unwrap()
}

pub(crate) fn upstream(cold: u32) -> Upstream {
    Upstream {
        name: name::Upstream::try_from("u1").unwrap(),
        service: name::Service::try_from("s").unwrap(),
        half: half("h"),
        zone: name::Zone::try_from("z").unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        cold_requests: cold,
        warm_requests: 16,
        memory_tokens: MEMORY,
        fencing: true,
        state: Lifecycle::Live,
    }
}

pub(crate) fn scheduler(cold: u32) -> Scheduler {
    Scheduler::new(&upstream(cold), 1, 0)
}

pub(crate) fn item(ticket: Ticket, prompt_tokens: u64, now: Instant) -> Item {
    Item {
        ticket,
        workspace: name::Workspace::try_from("w").unwrap(),
        weight: 1,
        half: half("h"),
        prompt_tokens,
        answer_tokens: 0,
        deadline: now + Duration::from_secs(600),
        suspect: false,
    }
}

pub(crate) fn suspect(ticket: Ticket, now: Instant) -> Item {
    Item {
        suspect: true,
        ..item(ticket, 1_000, now)
    }
}

pub(crate) fn refused(verdict: Verdict) -> Option<Reason> {
    match verdict {
        Verdict::Refused(reason, _) => Some(reason),
        Verdict::Send | Verdict::Queued => None,
    }
}
