//! Reports of the load, which lag.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{self, Instant};

use crate::engine::Engine;
use crate::engine::model::Load;

/// The time between samples of the load.
const SAMPLE_PERIOD: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Instant,
    load: Load,
}

/// Samples of the load that are still too young to be reported, and the reported one.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    samples: std::collections::VecDeque<Sample>,
}

impl Reports {
    /// Returns the load that is reported.
    pub(crate) fn reported(&self) -> Load {
        self.samples
            .front()
            .map_or_else(Load::default, |sample| sample.load)
    }

    fn push(&mut self, sample: Sample, lag: Duration) {
        self.samples.push_back(sample);
        let old = |next: &Sample| sample.at.duration_since(next.at) >= lag;
        while self.samples.get(1).is_some_and(old) {
            self.samples.pop_front();
        }
    }
}

/// Samples the load for as long as the engine exists.
pub(crate) async fn sample(engine: Arc<Engine>) {
    let mut interval = time::interval(SAMPLE_PERIOD);
    loop {
        let at = interval.tick().await;
        let load = engine.model().load();
        let sample = Sample { at, load };
        engine.reports().push(sample, engine.settings.load_lag);
    }
}
