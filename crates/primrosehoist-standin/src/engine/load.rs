//! Load reports, delayed by a configured lag.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{self, Instant};

use crate::engine::Engine;
use crate::engine::model::Load;

/// The interval between load samples.
const SAMPLE_PERIOD: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Instant,
    load: Load,
}

/// The reported load sample, followed by the samples that are too recent to be reported.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    samples: std::collections::VecDeque<Sample>,
}

impl Reports {
    /// Returns the reported load.
    pub(crate) fn reported(&self) -> Load {
        self.samples
            .front()
            .map_or_else(Load::default, |sample| sample.load)
    }

    fn push(&mut self, sample: Sample, lag: Duration) {
        self.samples.push_back(sample);
        let is_old = |next: &Sample| sample.at.duration_since(next.at) >= lag;
        while self.samples.get(1).is_some_and(is_old) {
            self.samples.pop_front();
        }
    }
}

/// Samples the load periodically, forever.
pub(crate) async fn sample(engine: Arc<Engine>) {
    let mut interval = time::interval(SAMPLE_PERIOD);
    loop {
        let at = interval.tick().await;
        let load = engine.model().load();
        let sample = Sample { at, load };
        engine.reports().push(sample, engine.settings.load_lag);
    }
}
