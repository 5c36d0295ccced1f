//! Runs or resumes one attempt.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::request::{Action, Event, Request};
use primrosehoist::protocol::outcome::Failure;
use primrosehoist::protocol::wire::{Dispatch, Reply, Shard};
use primrosehoist::state::name;
use tokio::time::{Instant, sleep_until};

use super::Job;
use super::exchange::Exchange;
use super::group::Group;
use super::sink::Sink;
use crate::node::Node;

/// How much earlier the holder times out than the entry daemon, so that its report of what ran
/// arrives in time.
const HOLDER_MARGIN: Duration = Duration::from_millis(100);

/// An attempt of a request on one upstream.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    /// The id sent to the upstream.
    pub(crate) id: String,
    pub(crate) upstream: name::Upstream,
    /// The part of the prompt for the upstream, if the prompt is split across several.
    pub(crate) shard: Option<Shard>,
}

/// Runs the attempt and returns the action that follows it.
pub(crate) async fn run(
    node: &Arc<Node>,
    job: &Job,
    attempt: &Attempt,
    group: &mut Group,
    machine: &mut Request,
    sink: &mut Sink,
) -> Action {
    // After a pause of the process, the caller may have timed out already.
    if Instant::now() >= job.deadline {
        return machine.on_event(Event::Expired, Instant::now());
    }
    sink.restart();
    let dispatch = dispatch(node, job, attempt, machine.next_part());
    machine.on_event(Event::Opened, Instant::now());
    let Some(mut exchange) = Exchange::open(node, dispatch, Some(&job.body)).await else {
        return machine.on_event(Event::Unreachable, Instant::now());
    };
    loop {
        let reply = tokio::select! {
            reply = exchange.next() => reply,
            failure = group.reservation_lost() => return on_reservation_lost(machine, failure),
            () = sink.closed() => return machine.on_event(Event::CallerLeft, Instant::now()),
            () = sleep_until(machine.next_timeout()) => {
                return machine.on_event(Event::Expired, Instant::now());
            }
        };
        let action = on_reply(node, job, reply, machine, sink).await;
        if action != Action::Wait {
            return action;
        }
    }
}

/// Ends an attempt that lost a part of its prompt, whose response cannot be resumed.
fn on_reservation_lost(machine: &mut Request, failure: Failure) -> Action {
    if machine.next_part() > 0 {
        machine.give_up(failure)
    } else {
        machine.on_event(Event::Failed(failure), Instant::now())
    }
}

/// Handles a reply; returns [`Action::Wait`] while the attempt continues.
async fn on_reply(
    node: &Node,
    job: &Job,
    reply: Option<Reply>,
    machine: &mut Request,
    sink: &mut Sink,
) -> Action {
    let now = Instant::now();
    match reply {
        Some(Reply::Admitted { .. }) => machine.on_event(Event::Sent, now),
        Some(Reply::Head {
            status,
            content_type,
        }) => {
            sink.set_head(status, content_type);
            Action::Wait
        }
        Some(Reply::Part { index, data }) => {
            let deadline = machine.deadline();
            if index == 0 {
                node.metrics
                    .first_token(&job.service, job.received.elapsed());
            }
            tokio::select! {
                action = sink.push_part(index, data, machine) => action,
                () = sleep_until(deadline) => machine.on_event(Event::Expired, Instant::now()),
            }
        }
        Some(Reply::End) => machine.on_event(Event::End, now),
        Some(Reply::Failed(failure)) => machine.on_event(Event::Failed(failure), now),
        Some(Reply::Crashed(standing)) => {
            node.poison
                .record_standing(&job.fingerprint, standing, &node.fleet.load());
            Action::Wait
        }
        Some(
            Reply::Heartbeat(_) | Reply::Changes { .. } | Reply::Answer(_) | Reply::Acknowledged,
        )
        | None => machine.on_event(Event::Broken, now),
    }
}

/// Builds the dispatch message of an attempt.
pub(crate) fn dispatch(node: &Node, job: &Job, attempt: &Attempt, resume_from: u64) -> Dispatch {
    let remaining = job.deadline.saturating_duration_since(Instant::now());
    let margin = HOLDER_MARGIN.min(remaining / 10);
    Dispatch {
        request: job.id.clone(),
        attempt: attempt.id.clone(),
        workspace: job.workspace.clone(),
        half: job.half.clone(),
        upstream: attempt.upstream.clone(),
        version: node.fleet.load().version,
        remaining_ms: remaining.saturating_sub(margin).as_millis() as u64,
        method: job.method.clone(),
        path: job.path.clone(),
        content_type: job.content_type.clone(),
        stream: job.stream,
        body_bytes: job.body.bytes().len() as u64,
        prompt_tokens: job.prompt_tokens,
        answer_tokens: job.answer_tokens,
        suspect: node.poison.is_suspect(&job.fingerprint),
        fingerprint: job.fingerprint.clone(),
        resume_from,
        shard: attempt.shard,
    }
}
