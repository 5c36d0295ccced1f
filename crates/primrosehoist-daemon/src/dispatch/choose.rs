//! The choice of the upstream for an attempt.

use std::time::Duration;

use primrosehoist::protocol::outcome::{Failure, Reason};
use primrosehoist::state::fleet::Presence;
use primrosehoist::state::map::Set;
use primrosehoist::state::name;
use primrosehoist::state::placement::{self, Ask, Refusal};

use tokio::time::{Instant, sleep};

use super::Job;
use crate::holder::not_run;
use crate::node::Node;

/// After how many milliseconds a caller retries when nothing can be chosen.
const RETRY_AFTER_MS: u64 = 1000;

/// For how long a request waits for the holder of an upstream to be known, as when holdings
/// change hands.
const HOLDER_PATIENCE: Duration = Duration::from_secs(8);

/// The time between two choices while no holder is known.
const HOLDER_PAUSE: Duration = Duration::from_millis(50);

/// Chooses an upstream that is not in `excluded`; if only excluded ones are left, forgets them.
/// Waits while upstreams exist whose holder is not known yet.
///
/// # Errors
///
/// Returns why nothing can be chosen; the attempt did not run.
pub(crate) async fn wait(
    node: &Node,
    job: &Job,
    excluded: &mut Set<name::Upstream>,
) -> Result<name::Upstream, Failure> {
    let end = job.deadline.min(Instant::now() + HOLDER_PATIENCE);
    loop {
        match choose(node, job, excluded) {
            Err(Refusal::Unavailable) if Instant::now() < end && is_served(node, job) => {
                sleep(HOLDER_PAUSE).await;
            }
            chosen => return chosen.map_err(failure),
        }
    }
}

/// Returns whether the configuration holds an upstream that may take the request.
fn is_served(node: &Node, job: &Job) -> bool {
    let fleet = node.fleet.load();
    fleet.upstreams.values().any(|upstream| {
        upstream.service == job.service
            && upstream.half == job.half
            && upstream.state == Presence::Live
            && !fleet.zones_out.contains(&upstream.zone)
    })
}

fn choose(
    node: &Node,
    job: &Job,
    excluded: &mut Set<name::Upstream>,
) -> Result<name::Upstream, Refusal> {
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
    chosen
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
