//! Estimates the load that is expected now from news that is a little old.
//!
//! The target load is many daemons that share upstreams and learn of each other's requests some
//! milliseconds, or for distant zones some hundred, after they were sent. All of them see the same free
//! slots meanwhile, and would take the same ones. So the requests that the others have probably sent since
//! are added to the load that was told: as many as their recent rate and the age of the news suggest,
//! where slots are free. Each request draws its own number of them for each upstream, so that daemons
//! differ in where they see room.

use std::time::Duration;

use crate::state::engine::Engine;
use crate::state::occupancy::{News, Work};

/// The age of news from which requests are expected to be missing in it. The load of a daemon's own
/// requests is never older.
const FRESH_MAX: Duration = Duration::from_millis(2);

/// The requests that old news is missing, in seconds at the usual rate. Those that ended since make up for more.
const MISSING_S_MAX: f64 = 0.54;

/// The age at which news is missing half of that, in seconds. It is less than the other half takes at the
/// usual rate, since requests that wait are sent in bursts, as soon as a slot is free.
const HALF_AGE_S: f64 = 0.03;

/// The largest number of requests that is expected to be missing in the news of one upstream.
const MISSING_MAX: f64 = 4.0;

/// The requests that news of the upstreams of a service is probably missing.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Spread {
    /// The number of requests that are missing in the news of all upstreams.
    missing: f64,
    /// How much all upstreams together attract requests.
    attraction: f64,
}

impl Spread {
    /// Returns the spread over upstreams of which `news` is known, each with its number of slots.
    pub fn new<'a, I>(news: I) -> Self
    where
        I: IntoIterator<Item = (&'a News, u64)>,
    {
        let mut spread = Self::default();
        for (news, slots) in news {
            spread.missing += missing(news);
            spread.attraction += attraction(news, slots);
        }
        spread
    }

    /// Returns the number of requests that `news` of an upstream with this number of slots is probably missing.
    pub fn missing(&self, news: &News, slots: u64) -> f64 {
        if self.missing <= 0.0 || self.attraction <= 0.0 || news.age < FRESH_MAX {
            return 0.0;
        }
        let share = attraction(news, slots) / self.attraction;
        (self.missing * share).min(MISSING_MAX)
    }

    /// Returns the load that is expected now on an upstream of which `news` is known. `draw` is a number from
    /// 0 to 1 that differs between requests and upstreams.
    pub fn expected(&self, news: &News, slots: u64, engine: Option<&Engine>, draw: f64) -> Work {
        let count = poisson(self.missing(news, slots), draw);
        let mut work = news.work;
        work.add_similar(count, |tokens| {
            engine.map_or(0.0, |engine| engine.prefill_ms(tokens))
        });
        work
    }
}

/// Returns the number of requests that were probably sent to an upstream since the news of it.
fn missing(news: &News) -> f64 {
    if news.age < FRESH_MAX {
        return 0.0;
    }
    let age_s = news.age.as_secs_f64();
    news.rate_per_s * MISSING_S_MAX * age_s / (age_s + HALF_AGE_S)
}

/// Returns how much an upstream attracts the requests of other daemons: those it usually gets, as far as it
/// has room for them.
fn attraction(news: &News, slots: u64) -> f64 {
    let free = slots.saturating_sub(u64::from(news.work.running()));
    missing(news) * free as f64
}

/// Returns the number at quantile `draw` of the Poisson distribution with this mean.
fn poisson(mean: f64, draw: f64) -> u32 {
    let mut probability = (-mean).exp();
    let mut sum = probability;
    let mut count = 0;
    while sum < draw && f64::from(count) < 3.0 * MISSING_MAX {
        count += 1;
        probability *= mean / f64::from(count);
        sum += probability;
    }
    count
}
