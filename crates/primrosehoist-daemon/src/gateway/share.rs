//! Counts the engine time of workspaces.

use primrosehoist::coordination::share::{self, Account, Excess, Report};
use tokio::time::Instant;

use super::context::Context;
use super::job::Job;

/// Returns the account of a request and the engine time that it needs, in milliseconds, if it has both.
fn account(job: &Job) -> Option<(Account, f64)> {
    let (workspace, engine) = (job.workspace.as_deref()?, job.service.engine.as_ref()?);
    let (prompt_tokens, answer_tokens) = (job.request.prompt_tokens, job.request.answer_tokens);
    let engine_ms = share::engine_ms(prompt_tokens, answer_tokens, engine);
    Some((Account::new(workspace, job.priority), engine_ms))
}

/// Records that a request arrived that this daemon places itself, unless no engines could serve it in time.
pub(super) fn record_asked(context: &Context, job: &Job) {
    if job.shortest_prefill_time() > job.remaining() {
        return;
    }
    if let Some((account, engine_ms)) = account(job) {
        let mut shares = context.shares.lock();
        shares.record_asked(account, engine_ms, Instant::now());
    }
}

/// Records that a request was placed.
pub(super) fn record_got(context: &Context, job: &Job) {
    if let Some((account, engine_ms)) = account(job) {
        let mut shares = context.shares.lock();
        shares.record_got(account, engine_ms, Instant::now());
    }
}

/// Returns how far the workspace of a request is over its fair share; not at all without one.
pub(super) fn excess(context: &Context, job: &Job) -> Excess {
    let account = account(job);
    account.map_or_else(Excess::default, |(account, _)| {
        context.shares.lock().excess(account, Instant::now())
    })
}

/// Counts the refusal of a request, if its workspace is over its fair share or asks for more.
pub(super) fn count_refusal(context: &Context, job: &Job) {
    let excess = excess(context, job);
    if excess.own > 0.0 || excess.refusal_factor > 1.0 {
        context.metrics.refused_over_share();
    }
}

/// Returns the uses that go with a complete state, if some are to be told now.
pub(super) fn report(context: &Context, now: Instant) -> Option<Report> {
    let spacing = context.exchange.lock().peers.spacing();
    context.shares.lock().tell(spacing, now)
}
