//! An attempt that occupies upstreams until it ends.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::state::occupancy::Load;
use primrosehoist::state::roster::Upstream;

use super::context::Context;
use super::reservation::Reservation;

/// The places that an attempt takes. Dropping it frees them.
pub(crate) struct Flight {
    context: Arc<Context>,
    /// The upstream that answers.
    pub(crate) upstream: Arc<Upstream>,
    /// The upstreams that read parts of the prompt.
    pub(crate) helpers: Vec<Arc<Upstream>>,
    /// Tokens of memory to reserve at each of the first helpers.
    pub(crate) tickets: Vec<u64>,
    /// When the first event is expected, counted from the placement.
    pub(crate) ready: Duration,
    /// What was reserved.
    pub(crate) reservation: Option<Reservation>,
    loads: Vec<(Arc<str>, Load)>,
    reading: bool,
}

impl Flight {
    /// Takes the places of an attempt: `own` on `upstream`, `part` on each of `helpers`, with
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
            loads,
            reading: true,
        }
    }

    /// Records that the prompt was read: the first event came.
    pub(crate) fn read(&mut self) {
        if !self.reading {
            return;
        }
        self.reading = false;
        let mut occupancy = self.context.occupancy.lock();
        self.loads.retain(|(id, load)| {
            occupancy.finish_prefill(id, load);
            let stays = load.pace.is_some() || load.memory_tokens > 0;
            if !stays {
                occupancy.end(id, load, false);
            }
            stays
        });
        drop(occupancy);
        self.context.changed.notify_one();
        self.context.waiting.wake();
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut occupancy = self.context.occupancy.lock();
        for (id, load) in &self.loads {
            occupancy.end(id, load, self.reading);
        }
        drop(occupancy);
        self.context.changed.notify_one();
        self.context.waiting.wake();
    }
}
