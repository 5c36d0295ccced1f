//! Explains where a request would go now, without sending it.

use std::sync::Arc;

use http::{Request, Response, StatusCode};
use primrosehoist::coordination::assign;
use primrosehoist::coordination::assign::explain::{Cost, costs, costs_without_engine};
use primrosehoist::coordination::peers::Scope;
use primrosehoist::coordination::share::Excess;
use primrosehoist::coordination::waiting::{Refusal, View};
use primrosehoist::protocol::explanation::{Candidate, Decision, Explanation, LeftOut, Query};
use primrosehoist::state::map::Set;
use primrosehoist::state::route::{Table, Workspace};
use primrosehoist::transport::http::Payload;
use primrosehoist::transport::http::body::Buffered;
use primrosehoist_platform::header;
use tokio::time::Instant;

use super::admission::{self, Admission};
use super::context::Context;
use super::job::Job;
use super::selection::{self, LoadView, Look, Patience, Selection};
use super::{share, suspension, text_response};

/// The number of draws from which the share of requests that are refused on arrival is estimated.
const DRAWS: u32 = 50;

/// Responds to an operator; `query` describes the request.
pub(crate) fn respond(context: &Context, query: &str) -> Response<Payload> {
    let query: Query = match serde_urlencoded::from_str(query) {
        Ok(query) => query,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    let Some(table) = context.table.load_full() else {
        let reason = "no configuration is known yet\n".to_owned();
        return text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    };
    let job = match job(&table, &query) {
        Ok(job) => job,
        Err(reason) => return text_response(StatusCode::NOT_FOUND, format!("{reason}\n")),
    };
    match serde_json::to_string(&explain(context, &job, table.version())) {
        Ok(text) => text_response(StatusCode::OK, text),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

/// Returns a request as `query` describes it, as if it had just been received.
fn job(table: &Table, query: &Query) -> Result<Job, &'static str> {
    let route = table.route(&query.host, &query.path);
    let route = route.ok_or("no route for this host and path")?;
    let name = query.workspace.as_deref();
    let workspace: Option<&Arc<Workspace>> = match name {
        Some(name) => Some(table.workspace(name).ok_or("no workspace has this name")?),
        None => None,
    };
    let id = query.id.clone().unwrap_or_default();
    let service = admission::service(table, route, &id).ok_or("the route has no service")?;
    let head = Request::builder().uri(&query.path).body(());
    let (head, ()) = head.map_err(|_invalid| "the path is invalid")?.into_parts();
    let received = Instant::now();
    let admission = Admission {
        head,
        request: header::Request {
            id,
            timeout: None,
            key: None,
            prompt_tokens: query.prompt_tokens,
            answer_tokens: query.answer_tokens,
            answer_tokens_max: query.answer_tokens,
            last_event: None,
            shared_parts: Vec::new(),
        },
        route: Arc::clone(route),
        service: Arc::clone(service),
        workspace: workspace.cloned(),
        entry: None,
        attempts_max: route.attempts_max,
        resumes: false,
        received,
        deadline: received + route.timeout,
        suspended: suspension::total(),
    };
    Ok(admission.into_job(Buffered::default()))
}

/// Returns where `job` would go now.
fn explain(context: &Context, job: &Job, version: u64) -> Explanation {
    let patience = Patience::new(job, false);
    let excluded = Set::default();
    let look = |is_wide| {
        let view = View { left: 1.0, is_wide };
        Look::new(patience, false, Some(view))
    };
    // A request that finds nothing in the daemon's zone looks at all zones next.
    let first = selection::try_select(context, job, &excluded, &look(false));
    let zone_only = selection::is_local_first(context, job) && first.is_ok();
    let selected = if first.is_err() {
        selection::try_select(context, job, &excluded, &look(true))
    } else {
        first
    };
    let reach = if zone_only { Scope::Zone } else { Scope::Fleet };
    let excess = share::excess(context, job);
    let demand = job.demand(1.0, false, excess);
    let partitions = context.partitions.lock().partitions(Instant::now());
    let checked = selection::check(
        context,
        job,
        &excluded,
        patience.for_permit(),
        &partitions,
        reach,
        LoadView::of(&demand),
    );
    let mut candidates = Vec::new();
    let mut left_out = Vec::new();
    for upstream in checked {
        match upstream {
            Ok(candidate) => candidates.push(candidate),
            Err((upstream, barrier)) => left_out.push(LeftOut {
                upstream: Arc::clone(&upstream.id),
                reason: barrier.to_string(),
            }),
        }
    }
    left_out.extend(not_routable(context, job));
    let engine = job.service.engine.as_ref();
    let costs = match engine {
        Some(engine) => costs(&candidates, &demand, engine, &partitions),
        None => costs_without_engine(&candidates),
    };
    let decision = match selected {
        _ if context.is_cut_off() => Decision::HandOver,
        Ok(selection) => sent(&selection),
        Err(refusal) => {
            let shortage = engine
                .filter(|_| refusal == Refusal::Full)
                .map(|engine| assign::shortage(&candidates, &demand, engine, &partitions));
            let reason = shortage.map_or_else(|| refusal.to_string(), |lack| lack.to_string());
            Decision::Wait { reason }
        }
    };
    let (waiting, ahead) = context
        .queue
        .counts(&job.service.name, job.priority, job.due());
    let candidates = rows(context, &candidates, costs);
    Explanation {
        host: Arc::clone(&context.settings.host),
        version,
        route: Arc::clone(&job.route.name),
        service: Arc::clone(&job.service.name),
        priority: job.priority,
        objective_ms: demand.objective_ms,
        over_share: demand.over_share,
        refused_on_arrival: refused_share(context, job, patience, excess),
        waiting,
        ahead,
        zone_only,
        decision,
        candidates,
        left_out,
    }
}

fn rows(context: &Context, candidates: &[assign::Candidate], costs: Vec<Cost>) -> Vec<Candidate> {
    let now = Instant::now();
    let occupancy = context.occupancy.lock();
    let rows = candidates.iter().zip(costs).map(|(candidate, cost)| {
        let news = occupancy.news(&candidate.upstream.id, now);
        Candidate {
            upstream: Arc::clone(&candidate.upstream.id),
            zone: Arc::clone(&candidate.upstream.zone),
            slots: candidate.upstream.slots,
            running: candidate.work.running(),
            told: news.work.running(),
            news_age_ms: news.age.as_millis() as u64,
            prefill_ms: candidate.work.prefill_ms.into(),
            cost,
        }
    });
    rows.collect()
}

/// Returns the upstreams of the service to which nothing may be sent.
fn not_routable(context: &Context, job: &Job) -> Vec<LeftOut> {
    let now = Instant::now();
    let roster = context.roster.lock();
    let upstreams = roster.upstreams();
    let upstreams = upstreams.filter(|upstream| {
        upstream.service == job.service.name && !roster.is_routable(upstream, now)
    });
    let left_out = upstreams.map(|upstream| LeftOut {
        upstream: Arc::clone(&upstream.id),
        reason: if roster.evacuated_zones().contains(&upstream.zone) {
            "evacuated".to_owned()
        } else {
            "not_in_service".to_owned()
        },
    });
    left_out.collect()
}

fn sent(selection: &Selection) -> Decision {
    let id = |index: &usize| Arc::clone(&selection.candidates[*index].upstream.id);
    Decision::Send {
        upstream: id(&selection.primary),
        helpers: selection.helpers.iter().map(id).collect(),
        ready_ms: selection.ready_ms,
    }
}

/// Returns the share of requests such as `job` that is refused on arrival.
fn refused_share(context: &Context, job: &Job, patience: Patience, excess: Excess) -> f64 {
    let draws = (0..DRAWS).map(|draw| (f64::from(draw) + 0.5) / f64::from(DRAWS));
    let overload = |draw| selection::overload(context, job, patience, excess, draw);
    let refused = draws.filter(|draw| overload(*draw).is_some());
    refused.count() as f64 / f64::from(DRAWS)
}
