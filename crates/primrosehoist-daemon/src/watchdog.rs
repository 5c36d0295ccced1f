//! Reports a runtime that stands still or spins.
//!
//! A task that blocks, for example on a lock that its thread holds, or that loops without an await stops
//! all tasks of a runtime with one thread. Nothing in the runtime can tell, so a thread outside of it
//! observes a pulse. It counts observations and not time, since a suspended process has no pulse either.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use std::{io, thread};

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use rustix::time::{ClockId, clock_gettime};
use strum::IntoStaticStr;

/// The interval of the pulse and of the observations.
pub(crate) const INTERVAL: Duration = Duration::from_secs(1);

/// The number of observations without a pulse after which a runtime has stalled.
pub(crate) const MISSED_MAX: u32 = 5;

/// The share of a processor from which on a stalled runtime spins. The process may get a small part of
/// one only.
const SPIN_SHARE: f64 = 0.1;

/// How a runtime has stalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Stall {
    /// It waits.
    StandsStill,
    /// It takes processor time.
    Spins,
}

/// What is observed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Sample {
    /// The number of the last beat of the pulse.
    pub(crate) beat: u64,
    /// The processor time that the process has taken.
    pub(crate) processor_time: Duration,
}

impl Sample {
    fn read(pulse: &AtomicU64) -> Self {
        let time = clock_gettime(ClockId::ProcessCPUTime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        Self {
            beat: pulse.load(Ordering::Relaxed),
            processor_time: Duration::from_secs(seconds)
                .saturating_add(Duration::from_nanos(nanos)),
        }
    }
}

/// A change that is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// The runtime has stalled.
    Stalled(Stall),
    /// The pulse is back after this number of observations without one.
    Resumed(u32),
}

/// What is known from observations at regular intervals.
#[derive(Debug, Default)]
pub(crate) struct Observer {
    /// The first observation of the last beat.
    last: Sample,
    /// The number of observations since then.
    missed: u32,
}

impl Observer {
    /// Records an observation, `interval` after the one before. Returns what is to be reported, once for
    /// each stall and for its end.
    pub(crate) fn observe(&mut self, sample: Sample, interval: Duration) -> Option<Event> {
        if sample.beat != self.last.beat {
            let missed = self.missed;
            *self = Self {
                last: sample,
                missed: 0,
            };
            return (missed >= MISSED_MAX).then_some(Event::Resumed(missed));
        }
        self.missed = self.missed.saturating_add(1);
        if self.missed != MISSED_MAX {
            return None;
        }
        let taken = sample
            .processor_time
            .saturating_sub(self.last.processor_time);
        let spins = taken >= (interval * MISSED_MAX).mul_f64(SPIN_SHARE);
        let stall = if spins {
            Stall::Spins
        } else {
            Stall::StandsStill
        };
        Some(Event::Stalled(stall))
    }
}

/// Observes the current runtime from another thread until the runtime ends, and counts its stalls in
/// `stalls`. Without the thread, the daemon runs as well.
///
/// # Panics
///
/// Panics outside of a runtime.
pub(crate) fn start(interval: Duration, stalls: Counter<u64>) {
    let pulse = Arc::new(AtomicU64::new(0));
    let beats = Arc::downgrade(&pulse);
    tokio::spawn(async move {
        loop {
            pulse.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(interval).await;
        }
    });
    let observe = move || {
        let mut observer = Observer::default();
        while let Some(pulse) = beats.upgrade() {
            let event = observer.observe(Sample::read(&pulse), interval);
            drop(pulse);
            if let Some(event) = event {
                report(event, interval, &stalls);
            }
            thread::sleep(interval);
        }
    };
    let thread = thread::Builder::new().name("watchdog".to_owned());
    let spawned: io::Result<_> = thread.spawn(observe);
    if let Err(error) = spawned {
        log::warn!(error:%; "the runtime is not observed");
    }
}

fn report(event: Event, interval: Duration, stalls: &Counter<u64>) {
    let time_ms = |missed: u32| interval.saturating_mul(missed).as_millis() as u64;
    match event {
        Event::Stalled(stall) => {
            let stalled_ms = time_ms(MISSED_MAX);
            match stall {
                Stall::StandsStill => log::error!(stalled_ms; "runtime stands still"),
                Stall::Spins => log::error!(stalled_ms; "runtime spins"),
            }
            let kind: &'static str = stall.into();
            stalls.add(1, &[KeyValue::new("kind", kind)]);
        }
        Event::Resumed(missed) => {
            log::warn!(stalled_ms = time_ms(missed); "runtime goes on");
        }
    }
}
