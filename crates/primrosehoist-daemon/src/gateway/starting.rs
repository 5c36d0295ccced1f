//! Tells what a started daemon still waits for, in the log and in a metric.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::state::versions::Revision;
use primrosehoist_platform::{config, daemon, upstream};
use strum::{Display, EnumIter, IntoEnumIterator};
use tokio::time::{Instant, sleep};

use super::context::Context;

/// The interval between checks.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The age of a start from which on it is logged what it waits for. Most have everything earlier.
const REPORT_DELAY: Duration = Duration::from_secs(1);

/// The interval between log lines about the same wait.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// What a daemon needs after its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
enum Need {
    /// A response of the platform's store.
    Store,
    /// The list of hosts.
    Hosts,
    /// The configuration, without which it serves nobody.
    Configuration,
    /// A list of upstreams, without which it serves nobody.
    Upstreams,
    /// The list of evacuated zones, without which it serves nobody.
    Evacuations,
}

impl Need {
    /// Returns the kind of object in the store that it needs.
    fn kind(self) -> Option<&'static str> {
        match self {
            Self::Store => None,
            Self::Hosts => Some(daemon::KIND),
            Self::Configuration => Some(config::KIND),
            Self::Upstreams => Some(upstream::KIND),
            Self::Evacuations => Some(upstream::EVACUATION_KIND),
        }
    }

    fn is_met(self, context: &Context) -> bool {
        match self {
            Self::Store => *context.store_revision.borrow() != Revision::default(),
            Self::Hosts => context.has_joined() || context.exchange.lock().peers.generation() > 0,
            Self::Configuration => context.table.load().is_some(),
            Self::Upstreams => context.has_upstreams(),
            Self::Evacuations => context.has_evacuations(),
        }
    }
}

/// Reports what the daemon waits for until it has everything.
pub(crate) async fn report(context: Arc<Context>) {
    let started = Instant::now();
    let mut unmet: Vec<Need> = Vec::new();
    let mut reported_at: Option<Instant> = None;
    loop {
        let before = std::mem::take(&mut unmet);
        unmet.extend(Need::iter().filter(|need| !need.is_met(&context)));
        let changed = unmet != before;
        if changed {
            for need in Need::iter() {
                context.metrics.start_waits(need, unmet.contains(&need));
            }
        }
        let waited_ms = started.elapsed().as_millis() as u64;
        if unmet.is_empty() {
            log::info!(waited_ms; "start is complete");
            return;
        }
        let is_due = changed || reported_at.is_none_or(|at| at.elapsed() >= REPORT_INTERVAL);
        if is_due && started.elapsed() >= REPORT_DELAY {
            let names: Vec<String> = unmet.iter().map(Need::to_string).collect();
            let (needs, serves) = (names.join(" "), context.is_informed());
            let causes = context
                .obstacles
                .causes(unmet.iter().filter_map(|need| need.kind()));
            log::warn!(needs = needs.as_str(), causes = causes.as_str(), serves, waited_ms; "start is waiting");
            reported_at = Some(Instant::now());
        }
        sleep(POLL_INTERVAL).await;
    }
}
