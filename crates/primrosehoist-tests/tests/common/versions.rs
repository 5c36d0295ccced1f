//! Samples the configuration version in force at each daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use super::{Fleet, caller, now_ms, operator_token};

/// The interval between two samples of one daemon.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The version in force at a time.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at_ms: u64,
    version: u64,
}

/// Running samplers of all daemons.
pub struct Sampler {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Sample>>>,
}

impl Sampler {
    /// Starts sampling each daemon of `fleet`.
    pub fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = fleet
            .daemons
            .iter()
            .map(|daemon| {
                let (stop, admin) = (Arc::clone(&stop), daemon.admin.clone());
                std::thread::spawn(move || sample(&admin, &stop))
            })
            .collect();
        Self { stop, threads }
    }

    /// Stops the samplers and returns the samples.
    pub fn stop(self) -> Versions {
        self.stop.store(true, Ordering::Relaxed);
        let samples = self.threads.into_iter();
        let samples = samples
            .map(|thread| thread.join().expect("the sampler ends"))
            .collect();
        Versions { samples }
    }
}

fn sample(admin: &str, stop: &AtomicBool) -> Vec<Sample> {
    let authorization = format!("Bearer {}", operator_token());
    let url = format!("http://{admin}/admin/status");
    let mut samples = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let reply = caller::call("GET", &url, &[("authorization", &authorization)], "");
        if let Some(version) = reply.json()["version"].as_u64() {
            let at_ms = now_ms();
            samples.push(Sample { at_ms, version });
        }
        std::thread::sleep(SAMPLE_INTERVAL);
    }
    samples
}

/// The samples, by daemon.
pub struct Versions {
    samples: Vec<Vec<Sample>>,
}

impl Versions {
    /// Asserts that the version never decreased at any daemon.
    pub fn assert_monotonic(&self) {
        for (index, samples) in self.samples.iter().enumerate() {
            assert!(
                samples.len() > 10,
                "host-{index} has {} samples",
                samples.len()
            );
            let decrease = samples.windows(2).find(|w| w[1].version < w[0].version);
            assert!(
                decrease.is_none(),
                "the version of host-{index} decreased: {decrease:?}"
            );
        }
    }

    /// Returns the milliseconds from `since_ms` until `version` was first sampled at daemon `index`.
    pub fn delay_ms(&self, index: usize, version: u64, since_ms: u64) -> Option<u64> {
        let seen = self.samples[index].iter().find(|s| s.version >= version);
        seen.map(|sample| sample.at_ms.saturating_sub(since_ms))
    }

    /// Asserts that `version` was sampled at each of `daemons` within `limit` after `since_ms`.
    pub fn assert_in_force(&self, daemons: &[usize], version: u64, since_ms: u64, limit: Duration) {
        let delays: Vec<_> = daemons
            .iter()
            .map(|index| self.delay_ms(*index, version, since_ms))
            .collect();
        println!("version {version} in force at {daemons:?} after {delays:?} ms");
        let limit_ms = limit.as_millis() as u64;
        for (index, delay) in daemons.iter().zip(&delays) {
            let in_time = delay.is_some_and(|delay| delay <= limit_ms);
            assert!(
                in_time,
                "host-{index}: version {version} after {delay:?} ms"
            );
        }
    }
}
