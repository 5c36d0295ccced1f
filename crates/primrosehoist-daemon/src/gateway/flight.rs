//! An attempt that occupies upstreams until it ends.

use std::sync::Arc;

use primrosehoist::state::occupancy::Load;
use primrosehoist::state::roster::Upstream;

use super::context::Context;

/// The places that an attempt takes. Dropping it frees them.
pub(crate) struct Flight {
    context: Arc<Context>,
    /// The upstream that answers.
    pub(crate) upstream: Arc<Upstream>,
    /// The upstreams that read parts of the prompt.
    pub(crate) helpers: Vec<Arc<Upstream>>,
    loads: Vec<(Arc<str>, Load)>,
    reading: bool,
}

impl Flight {
    /// Takes the places of an attempt: `own` on `upstream`, `part` on each of `helpers`.
    pub(crate) fn new(
        context: &Arc<Context>,
        upstream: Arc<Upstream>,
        own: Load,
        helpers: Vec<Arc<Upstream>>,
        part: Load,
    ) -> Self {
        let helping = helpers.iter().map(|helper| (Arc::clone(&helper.id), part));
        let loads: Vec<_> = std::iter::once((Arc::clone(&upstream.id), own))
            .chain(helping)
            .collect();
        let mut occupancy = context.occupancy.lock();
        for (id, load) in &loads {
            occupancy.begin(id, load);
        }
        drop(occupancy);
        context.changed.notify_one();
        Self {
            context: Arc::clone(context),
            upstream,
            helpers,
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
        for (index, (id, load)) in self.loads.iter().enumerate() {
            occupancy.read(id, load);
            if index > 0 {
                occupancy.end(id, load, false);
            }
        }
        drop(occupancy);
        self.loads.truncate(1);
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
