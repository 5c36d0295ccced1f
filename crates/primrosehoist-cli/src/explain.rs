//! `primrosehoist explain`: tells where a request would go now, without sending it.

use std::fmt;
use std::net::SocketAddr;

use primrosehoist::protocol::explanation::{self, Candidate, Decision, Explanation, Query};
use primrosehoist::transport::platform::Target;
use serde::Serialize;

use crate::args::Args;
use crate::error::Error;
use crate::http::Endpoint;
use crate::output::{Exit, print};

/// The explanation of a daemon.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct Report(Explanation);

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(explanation) = self;
        let (host, version) = (&explanation.host, explanation.version);
        let (route, service) = (&explanation.route, &explanation.service);
        let (priority, objective_ms) = (explanation.priority, explanation.objective_ms);
        writeln!(
            f,
            "{host}, version {version}: route {route}, service {service}"
        )?;
        writeln!(f, "priority {priority}, objective {objective_ms:.0} ms")?;
        write_decision(f, &explanation.decision)?;
        let refused = explanation.refused_on_arrival * 100.0;
        let over_share = explanation.over_share;
        writeln!(
            f,
            "{refused:.0} % refused on arrival, {over_share:.2} over the fair share"
        )?;
        let (waiting, ahead) = (explanation.waiting, explanation.ahead);
        writeln!(
            f,
            "{waiting} requests wait on this daemon, {ahead} of them ahead"
        )?;
        if explanation.zone_only {
            writeln!(f, "the zone of the daemon suffices")?;
        }
        let mut candidates: Vec<&Candidate> = explanation.candidates.iter().collect();
        candidates.sort_by(|a, b| a.cost.total().total_cmp(&b.cost.total()));
        for candidate in candidates {
            write_candidate(f, candidate)?;
        }
        for left_out in &explanation.left_out {
            writeln!(f, "  {}: left out, {}", left_out.upstream, left_out.reason)?;
        }
        Ok(())
    }
}

fn write_decision(f: &mut fmt::Formatter<'_>, decision: &Decision) -> fmt::Result {
    match decision {
        Decision::Send {
            upstream,
            helpers,
            ready_ms,
        } => {
            let helpers = if helpers.is_empty() {
                String::new()
            } else {
                format!(", with parts on {}", helpers.join(", "))
            };
            writeln!(
                f,
                "goes to {upstream}{helpers}: prefilled in {ready_ms:.0} ms"
            )
        }
        Decision::Wait { reason } => writeln!(f, "waits: {reason}"),
        Decision::HandOver => writeln!(f, "goes to another daemon: this host is cut off"),
    }
}

fn write_candidate(f: &mut fmt::Formatter<'_>, candidate: &Candidate) -> fmt::Result {
    let Candidate {
        upstream,
        zone,
        slots,
        running,
        told,
        news_age_ms,
        prefill_ms,
        cost,
    } = candidate;
    let (total, interference, own) = (cost.total(), cost.interference, cost.own);
    write!(
        f,
        "  {upstream} in {zone}: cost {total:.3} (others {interference:.3}, own {own:.3}), \
         {running} of {slots} slots ({told} told {news_age_ms} ms ago), \
         {prefill_ms:.0} ms of prefill, ready in {:.0} ms",
        cost.ready_ms
    )?;
    match cost.lacks {
        Some(lack) => writeln!(f, ", lacks {lack}"),
        None => writeln!(f),
    }
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the command line is wrong, or the daemon does not respond or knows no such route.
pub(crate) fn run(mut args: Args) -> Result<Exit, Error> {
    let format = args.format()?;
    let address: SocketAddr = args.required("--daemon")?;
    let query = Query {
        host: args.required("--host")?,
        path: args.required("--path")?,
        id: args.optional("--id")?,
        workspace: args.optional("--workspace")?,
        prompt_tokens: args.optional("--prompt-tokens")?.unwrap_or_default(),
        answer_tokens: args.optional("--answer-tokens")?.unwrap_or_default(),
    };
    args.finish()?;
    let endpoint = Endpoint {
        address,
        token: None,
    };
    let found = endpoint.get("explain", &target(&query))?;
    let unknown = Error::Unknown("the daemon knows no such route or workspace");
    let found = found.ok_or(unknown)?;
    print(format, &Report(found))?;
    Ok(Exit::Done)
}

/// Returns the target of the call that asks the daemon.
fn target(query: &Query) -> Target {
    let mut target = Target::new(explanation::PATH)
        .option("host", &query.host)
        .option("path", &query.path);
    if let Some(id) = &query.id {
        target = target.option("id", id);
    }
    if let Some(workspace) = &query.workspace {
        target = target.option("workspace", workspace);
    }
    target
        .option("prompt_tokens", query.prompt_tokens)
        .option("answer_tokens", query.answer_tokens)
}
