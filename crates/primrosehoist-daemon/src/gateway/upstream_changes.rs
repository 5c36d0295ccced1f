//! Applies changes to the registered upstreams, from the platform's store or from other daemons.

use primrosehoist::coordination::gossip::{Change, Update};
use primrosehoist::state::versions::Revision;
use tokio::time::Instant;

use super::context::Context;

/// Applies changes to upstreams that another daemon received, if this daemon has all earlier ones.
/// Otherwise it requests all upstreams.
pub(crate) fn apply_update(context: &Context, update: &Update, now: Instant) {
    let own = context.versions.lock().upstreams;
    if own >= update.revision {
        for change in &update.changes {
            confirm_removal(context, change, now);
        }
        return;
    }
    if own < update.since {
        return;
    }
    for change in &update.changes {
        apply_change(context, change, update.revision, now);
    }
    context.versions.lock().upstreams = update.revision;
    context.urgent.notify_one();
}

/// Removes an upstream that counts as missing, since its entry may have expired during an outage, if
/// `change` says that it has left. The daemon that reported it missing knew less.
pub(super) fn confirm_removal(context: &Context, change: &Change, now: Instant) {
    if let Change::Remove { id, left } = change
        && left.is_zero()
        && context.roster.lock().discard_missing(id)
    {
        log::info!(upstream = id.as_ref(); "missing upstream has left; removed");
        forget_upstream(context, id, now);
    }
}

pub(super) fn apply_change(context: &Context, change: &Change, revision: Revision, now: Instant) {
    match change {
        Change::Upsert(entry) => {
            log::info!(
                upstream = entry.id.as_ref(),
                service = entry.service.as_ref(),
                phase:? = entry.phase,
                cold_ms = entry.cold_ms,
                revision = revision.number;
                "upstream changed"
            );
            context.roster.lock().upsert(entry.clone(), now);
            context.queue.wake_all();
        }
        Change::Remove { id, left } => {
            // Others decide how many entries there are that name no upstream.
            if context.roster.lock().get(id).is_some() {
                log::info!(upstream = id.as_ref(), revision = revision.number, left_ms = left.as_millis() as u64; "upstream removed");
            }
            if left.is_zero() {
                context.roster.lock().discard(id);
                forget_upstream(context, id, now);
            } else {
                context.roster.lock().mark_missing(id, *left, now);
            }
        }
    }
}

/// Removes the upstreams whose entries are still missing some time after an outage of the store.
pub(crate) fn expire(context: &Context, now: Instant) {
    let missing = context.roster.lock().expire(now);
    for id in missing {
        log::info!(upstream = id.as_ref(); "upstream still missing from the store; removed");
        forget_upstream(context, &id, now);
    }
}

fn forget_upstream(context: &Context, id: &str, now: Instant) {
    context.allowance.lock().remove(id);
    context.permits.remove(id);
    context.health.lock().remove(id);
    context.crashes.lock().upstream_down(id, now);
}
