//! Chooses the upstream for an attempt.

use std::time::Duration;

use primrosehoist::protocol::outcome::{Failure, Reason};
use primrosehoist::state::fleet::{Fleet, Lifecycle};
use primrosehoist::state::map::Set;
use primrosehoist::state::name;
use primrosehoist::state::placement::{self, GROUP_MAX, Refusal, Request};
use tokio::time::{Instant, sleep};

use super::Job;
use crate::node::Node;

/// The delay after which a caller should retry if no upstream can be chosen, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// How long a request waits for an upstream without a holder to be taken over.
///
/// Longer than a takeover: failure detection, lease and margin together.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(8);

/// How long a suspect request waits for an idle upstream. After that it joins the queue of a busy
/// one, whose holder runs it alone.
const IDLE_SEARCH_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval at which the choice is retried.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The upstreams of an attempt.
#[derive(Debug)]
pub(crate) struct Chosen {
    /// The upstream that generates the response.
    pub(crate) upstream: name::Upstream,
    /// The other upstreams that store a part of the prompt, ordered by name. They are reserved
    /// before it.
    pub(crate) others: Vec<name::Upstream>,
}

/// Chooses an upstream, and waits while suitable upstreams have no holder.
///
/// # Errors
///
/// Returns why no upstream can be chosen; the attempt did not run.
pub(crate) async fn find(
    node: &Node,
    job: &Job,
    excluded: &mut Set<name::Upstream>,
) -> Result<Chosen, Failure> {
    let start = Instant::now();
    let end = job.deadline.min(start + HOLDER_TIMEOUT);
    loop {
        if node
            .poison
            .is_quarantined(&node.fleet.load(), &job.fingerprint)
        {
            return Err(Failure::not_run(
                Reason::Quarantined,
                "the request is quarantined",
            ));
        }
        let searches_idle = start.elapsed() < IDLE_SEARCH_TIMEOUT;
        let suspect = searches_idle && node.poison.is_suspect(&job.fingerprint);
        let chosen = choose(node, job, suspect, excluded);
        if suspect && chosen.is_err() {
            sleep(POLL_INTERVAL).await;
            continue;
        }
        let unavailable = matches!(&chosen, Err(failure) if failure.reason == Reason::Unavailable);
        if !unavailable || !may_be_held(node, job) || Instant::now() + POLL_INTERVAL >= end {
            return chosen;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether the configuration has a live upstream for the job outside excluded zones.
fn may_be_held(node: &Node, job: &Job) -> bool {
    let fleet = node.fleet.load();
    let candidates = fleet
        .upstreams
        .values()
        .filter(|u| u.service == job.service);
    candidates
        .filter(|u| u.half == job.half && u.state == Lifecycle::Live)
        .any(|u| !fleet.zones_out.contains(&u.zone))
}

/// Chooses an upstream that is not in `excluded`; clears `excluded` if no other is available.
///
/// # Errors
///
/// Returns why no upstream can be chosen; the attempt did not run.
fn choose(
    node: &Node,
    job: &Job,
    suspect: bool,
    excluded: &mut Set<name::Upstream>,
) -> Result<Chosen, Failure> {
    let mut request = Request {
        service: job.service.clone(),
        half: job.half.clone(),
        zone: node.zone.clone(),
        prompt_tokens: job.prompt_tokens,
        answer_tokens: job.answer_tokens,
        prefix: None,
        suspect,
        excluded: excluded.clone(),
    };
    let mut chosen = choose_placement(node, &request);
    if chosen.is_err() && !excluded.is_empty() {
        excluded.clear();
        request.excluded.clear();
        chosen = choose_placement(node, &request);
    }
    chosen.map_err(|refusal| failure(refusal, job, &node.fleet.load()))
}

fn choose_placement(node: &Node, request: &Request) -> Result<Chosen, Refusal> {
    let fleet = node.fleet.load();
    let view = node.view.load();
    let policy = node.entry.policy();
    match placement::choose(&fleet, &view, request, policy, node.entry.selector(policy)) {
        Ok(upstream) => Ok(Chosen {
            upstream,
            others: Vec::new(),
        }),
        Err(Refusal::TooLong) if !request.suspect => {
            let group = match placement::choose_group(&fleet, &view, request) {
                Err(Refusal::Busy) => placement::choose_group_by_capacity(&fleet, &view, request),
                group => group,
            };
            let mut others = group?;
            let upstream = others.pop().ok_or(Refusal::TooLong)?;
            Ok(Chosen { upstream, others })
        }
        Err(refusal) => Err(refusal),
    }
}

fn failure(refusal: Refusal, job: &Job, fleet: &Fleet) -> Failure {
    let (reason, message) = match refusal {
        Refusal::Unavailable => (
            Reason::Unavailable,
            "no upstream of the service is available".to_owned(),
        ),
        Refusal::TooLong => (Reason::TooLong, too_long(job, fleet)),
        Refusal::Busy => (
            Reason::Overloaded,
            "no upstream has free capacity for the request".to_owned(),
        ),
    };
    let retry_after_ms = (reason != Reason::TooLong).then_some(RETRY_AFTER_MS);
    Failure {
        retry_after_ms,
        ..Failure::not_run(reason, &message)
    }
}

fn too_long(job: &Job, fleet: &Fleet) -> String {
    let upstreams = fleet.upstreams.values();
    let candidates = upstreams.filter(|u| u.service == job.service && u.half == job.half);
    let capacities: Vec<u64> = candidates.map(|upstream| upstream.memory_tokens).collect();
    format!(
        "a prompt of {} tokens with {} answer tokens exceeds the memory of {GROUP_MAX} upstreams: \
         the service has {}, the largest with {} tokens",
        job.prompt_tokens,
        job.answer_tokens,
        capacities.len(),
        capacities.iter().max().unwrap_or(&0),
    )
}
