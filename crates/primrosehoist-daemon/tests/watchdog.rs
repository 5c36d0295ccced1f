//! The observation of a runtime, tested by including the module of the binary crate.

#[path = "../src/watchdog.rs"]
mod watchdog;

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use log::{Log, Metadata, Record};
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use watchdog::{Event, INTERVAL, MISSED_MAX, Observer, Sample, Stall};

static LOG: Lines = Lines(Mutex::new(Vec::new()));

/// Keeps all messages.
struct Lines(Mutex<Vec<String>>);

impl Log for Lines {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut lines = self.0.lock().expect("no test panics with the lock");
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Observes `count` times; each time, the process has taken `processor_ms` more.
fn observe(observer: &mut Observer, sample: Sample, processor_ms: u64, count: u32) -> Vec<Event> {
    let samples = (1..=count).map(|number| Sample {
        processor_time: sample.processor_time + Duration::from_millis(processor_ms) * number,
        ..sample
    });
    samples
        .filter_map(|sample| observer.observe(sample, INTERVAL))
        .collect()
}

fn beat(beat: u64) -> Sample {
    Sample {
        beat,
        processor_time: Duration::from_secs(beat),
    }
}

#[test]
fn each_stall_and_its_end_are_reported_once() {
    let mut observer = Observer::default();
    for (number, stall, processor_ms) in [
        (1, Stall::StandsStill, 1),
        (2, Stall::Spins, 250),
        (3, Stall::StandsStill, 0),
    ] {
        observer.observe(beat(number * 10), INTERVAL);
        let events = observe(&mut observer, beat(number * 10), processor_ms, 60);
        assert_eq!(events, [Event::Stalled(stall)]);
        let resumed = observer.observe(beat(number * 10 + 1), INTERVAL);
        assert_eq!(resumed, Some(Event::Resumed(60)));
        assert_eq!(observer.observe(beat(number * 10 + 2), INTERVAL), None);
    }
}

#[test]
fn late_pulse_is_no_stall() {
    let mut observer = Observer::default();
    for number in 1..100 {
        observer.observe(beat(number), INTERVAL);
        let events = observe(&mut observer, beat(number), 1000, MISSED_MAX - 1);
        assert_eq!(events, []);
    }
}

/// Runs `block` in a task of a runtime with one thread; returns the messages.
fn logged_while<B>(block: B) -> Vec<String>
where
    B: FnOnce(Duration) + Send + 'static,
{
    const TEST_INTERVAL: Duration = Duration::from_millis(200);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let stalls = SdkMeterProvider::builder().build().meter("test");
    runtime.block_on(async {
        watchdog::start(TEST_INTERVAL, stalls.u64_counter("stalls").build());
        tokio::time::sleep(3 * TEST_INTERVAL).await;
        tokio::spawn(async move { block(12 * TEST_INTERVAL) })
            .await
            .expect("no panic");
        tokio::time::sleep(3 * TEST_INTERVAL).await;
    });
    drop(runtime);
    // The thread ends after the runtime.
    thread::sleep(3 * TEST_INTERVAL);
    std::mem::take(&mut *LOG.0.lock().expect("no test panics with the lock"))
}

/// One test, since they share the log and the processor time.
#[test]
fn runtime_that_stalls_is_logged_once() {
    log::set_logger(&LOG).expect("the only logger");
    log::set_max_level(log::LevelFilter::Info);
    assert_eq!(logged_while(|_| {}), [""; 0]);
    let blocked = logged_while(thread::sleep);
    assert_eq!(blocked, ["runtime stands still", "runtime goes on"]);
    let spun = logged_while(|time| {
        let started = Instant::now();
        while started.elapsed() < time {
            std::hint::spin_loop();
        }
    });
    assert_eq!(spun, ["runtime spins", "runtime goes on"]);
}
