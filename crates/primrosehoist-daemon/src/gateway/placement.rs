//! The upstream capacity that an attempt occupies.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::state::occupancy::Load;
use primrosehoist::state::roster::Upstream;

use super::context::Context;
use super::reach::Waiting;
use super::reservation::Reservation;

/// The load that an attempt puts on its upstreams. Dropping it removes the load.
pub(crate) struct Placement {
    context: Arc<Context>,
    /// The upstream that generates the response.
    pub(crate) upstream: Arc<Upstream>,
    /// The upstreams that prefill parts of the prompt for `upstream`.
    pub(crate) helpers: Vec<Arc<Upstream>>,
    /// The memory to reserve at each of the first helpers, in tokens.
    pub(crate) tickets: Vec<u64>,
    /// The expected time from placement to the first event.
    pub(crate) ready: Duration,
    /// The memory reserved at the helpers.
    pub(crate) reservation: Option<Reservation>,
    /// Set while the attempt waits for what its upstream sends.
    pub(crate) waiting: Option<Waiting>,
    loads: Vec<(Arc<str>, Load)>,
    prefilling: bool,
}

impl Placement {
    /// Adds the load of an attempt: `own` to `upstream` and `part` to each of `helpers`, with
    /// `tickets` tokens of memory at the first of them.
    pub(crate) fn new(
        context: &Arc<Context>,
        upstream: Arc<Upstream>,
        own: Load,
        helpers: Vec<Arc<Upstream>>,
        part: Load,
        tickets: Vec<u64>,
    ) -> Self {
        let mut loads = vec![(Arc::clone(&upstream.id), own)];
        for (index, helper) in helpers.iter().enumerate() {
            let tokens = tickets.get(index).copied().unwrap_or(0);
            let load = Load {
                memory_tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
                ..part
            };
            loads.push((Arc::clone(&helper.id), load));
        }
        let mut occupancy = context.occupancy.lock();
        for (id, load) in &loads {
            occupancy.begin(id, load);
        }
        drop(occupancy);
        context.urgent.notify_one();
        Self {
            context: Arc::clone(context),
            upstream,
            helpers,
            tickets,
            ready: Duration::ZERO,
            reservation: None,
            waiting: None,
            loads,
            prefilling: true,
        }
    }

    /// Records the end of the prefill, which the first event shows.
    pub(crate) fn finish_prefill(&mut self) {
        if !self.prefilling {
            return;
        }
        self.prefilling = false;
        let mut occupancy = self.context.occupancy.lock();
        self.loads.retain(|(id, load)| {
            occupancy.finish_prefill(id, load);
            let remains = load.latency_class.is_some() || load.memory_tokens > 0;
            if !remains {
                occupancy.end(id, load, false);
            }
            remains
        });
        drop(occupancy);
        self.context.changed.notify_one();
        self.context.queue.wake_all();
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let mut occupancy = self.context.occupancy.lock();
        for (id, load) in &self.loads {
            occupancy.end(id, load, self.prefilling);
        }
        drop(occupancy);
        self.context.changed.notify_one();
        self.context.queue.wake_all();
    }
}
