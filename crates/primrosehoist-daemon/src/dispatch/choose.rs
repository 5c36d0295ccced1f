//! The choice of the upstream for an attempt.

use primrosehoist::protocol::outcome::{Failure, Reason};
use primrosehoist::state::map::Set;
use primrosehoist::state::name;
use primrosehoist::state::placement::{self, Ask, Refusal};

use super::Job;
use crate::holder::not_run;
use crate::node::Node;

/// After how many milliseconds a caller retries when nothing can be chosen.
const RETRY_AFTER_MS: u64 = 1000;

/// Chooses an upstream that is not in `excluded`; if only excluded ones are left, forgets them.
///
/// # Errors
///
/// Returns why nothing can be chosen; the attempt did not run.
pub(crate) fn choose(
    node: &Node,
    job: &Job,
    excluded: &mut Set<name::Upstream>,
) -> Result<name::Upstream, Failure> {
    let mut ask = Ask {
        service: job.service.clone(),
        half: job.half.clone(),
        zone: node.zone.clone(),
        prompt_tokens: job.prompt_tokens,
        answer_tokens: job.answer_tokens,
        prefix: None,
        suspect: false,
        excluded: excluded.clone(),
    };
    let mut chosen = place(node, &ask);
    if chosen.is_err() && !excluded.is_empty() {
        excluded.clear();
        ask.excluded.clear();
        chosen = place(node, &ask);
    }
    chosen.map_err(failure)
}

fn place(node: &Node, ask: &Ask) -> Result<name::Upstream, Refusal> {
    let fleet = node.fleet.load();
    let view = node.view.load();
    let policy = node.entry.policy();
    placement::choose(&fleet, &view, ask, policy, node.entry.dice(policy))
}

fn failure(refusal: Refusal) -> Failure {
    let (reason, message) = match refusal {
        Refusal::Unavailable => (Reason::Unavailable, "no upstream of the service takes work"),
        Refusal::TooLong => (Reason::TooLong, "no upstream has memory for the prompt"),
        Refusal::Busy => (Reason::Overloaded, "no upstream is free for the request"),
    };
    let retry_after_ms = (reason != Reason::TooLong).then_some(RETRY_AFTER_MS);
    Failure {
        retry_after_ms,
        ..not_run(reason, message)
    }
}
