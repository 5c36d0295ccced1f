//! Fair shares of the engines among workspaces.
//!
//! Each daemon counts the engine time that the requests of each workspace ask for and get, and hears from the
//! other daemons what they count. All of it decays. While not all get what they ask for, the engine time
//! that all get is divided by max-min fairness: equal shares, of which those who ask for less leave the rest
//! to the others. Workspaces compete only with those of their priority, since priorities go first in the queue.
//!
//! A daemon that hears no other divides what it counts itself. One that hears a part of the fleet divides what
//! that part gets, since only the ratios of the uses matter.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::state::engine::Engine;
use crate::state::map::Map;
use crate::state::occupancy::Key;

/// The time in which a use decays to 1/e.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// The engine time below which a workspace counts as inactive, in milliseconds.
const ACTIVE_MIN_MS: f64 = 0.5;

/// The largest number of accounts in a message between daemons that tell their load rarely, and in a
/// message of a small fleet.
const ACCOUNTS_TOLD_MAX: (usize, usize) = (8, 16);

/// The shortest time between two messages with uses in a small fleet, and in a larger one.
const TELL_INTERVAL: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(2));

/// The largest number of accounts that a daemon counts, own ones and those of each other daemon.
const ACCOUNTS_MAX: usize = 1024;

/// The longest time for which computed shares are used.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// The unit of engine time in messages, in milliseconds.
const UNIT_MS: f64 = 4.0;

/// The multiple of its fair share above which a workspace is over its share, and that from which it is so
/// entirely.
const OVER_RANGE: (f64, f64) = (1.0, 1.5);

/// The part of all that is asked for that has to be refused up to which refusals are shifted only in part to
/// those who ask for more than their share.
const REFUSED_MIN: f64 = 0.05;

/// The part of its share that a workspace which asks for much more leaves free while others ask for less than
/// theirs. Otherwise those would find each slot taken when they come.
const SHARE_LEFT: f64 = 0.15;

/// The part of what a workspace asks for that has to be refused from which it leaves all of that.
const REFUSED_LEAVING: f64 = 0.25;

/// A workspace at one priority. Two workspaces whose keys collide share an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Account {
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The hash of the name of the workspace.
    pub workspace: Key,
}

impl Account {
    /// Returns the account of requests of `workspace` with `priority`.
    pub fn new(workspace: &str, priority: u64) -> Self {
        Self {
            priority: u8::try_from(priority).unwrap_or(u8::MAX),
            workspace: Key::from(workspace),
        }
    }
}

/// What a daemon tells of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The account.
    pub account: Account,
    /// The engine time that its requests asked for recently, in units of 4 ms.
    pub asked: u32,
    /// The part of it that they got, in 255ths.
    pub got: u8,
}

/// What a daemon tells of its accounts, those that asked for most first.
pub type Report = Vec<Entry>;

/// How far a workspace is over its fair share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    /// How far what it got is over its share, from 0 (within it) to 1.
    pub own: f64,
    /// Its part of the refusals, as a multiple of what it would be if all workspaces of its priority were
    /// refused alike: 0 if it asks for no more than its share. The mean by what they ask for is 1.
    pub refusal_factor: f64,
}

impl Default for Excess {
    fn default() -> Self {
        Self {
            own: 0.0,
            refusal_factor: 1.0,
        }
    }
}

/// The engine time of an account, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Time {
    asked: f64,
    got: f64,
}

impl Time {
    fn is_active(self) -> bool {
        self.asked.max(self.got) >= ACTIVE_MIN_MS
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            asked: self.asked * factor,
            got: self.got * factor,
        }
    }
}

/// Engine times at one moment.
#[derive(Debug)]
struct Book {
    at: Instant,
    times: Map<Account, Time>,
}

impl Book {
    fn decay_since(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Brings the book to `now`, without the accounts that have become inactive.
    fn advance(&mut self, now: Instant) {
        let factor = self.decay_since(now);
        self.times.retain(|_, time| {
            *time = time.scaled(factor);
            time.is_active()
        });
        self.at = self.at.max(now);
    }

    fn add(&mut self, account: Account, time: Time, now: Instant) {
        self.advance(now);
        if self.times.len() >= ACCOUNTS_MAX && !self.times.contains_key(&account) {
            return;
        }
        let entry = self.times.entry(account).or_default();
        entry.asked += time.asked;
        entry.got += time.got;
    }
}

/// The recent engine time by account, of this daemon and of the others.
#[derive(Debug)]
pub struct Ledger {
    own: Book,
    others: Map<Arc<str>, Book>,
    last_told: Option<Instant>,
    /// When the shares were computed, and how the engines were divided then, by priority.
    standing: Option<(Instant, Map<u8, Division>)>,
}

impl Ledger {
    /// Creates a ledger without accounts.
    pub fn new(now: Instant) -> Self {
        Self {
            own: Book {
                at: now,
                times: Map::default(),
            },
            others: Map::default(),
            last_told: None,
            standing: None,
        }
    }

    /// Records that a request asks for `engine_ms` milliseconds of engine time.
    pub fn record_asked(&mut self, account: Account, engine_ms: f64, now: Instant) {
        let time = Time {
            asked: bounded(engine_ms),
            got: 0.0,
        };
        self.own.add(account, time, now);
    }

    /// Records that a request gets `engine_ms` milliseconds of engine time.
    pub fn record_got(&mut self, account: Account, engine_ms: f64, now: Instant) {
        let time = Time {
            asked: 0.0,
            got: bounded(engine_ms),
        };
        self.own.add(account, time, now);
    }

    /// Returns what the other daemons are told now, if they are told anything. `spacing` is the factor by
    /// which messages are further apart than in a small fleet.
    pub fn tell(&mut self, spacing: u32, now: Instant) -> Option<Report> {
        let is_small = spacing == 1;
        let interval = if is_small {
            TELL_INTERVAL.0
        } else {
            TELL_INTERVAL.1
        };
        if self.last_told.is_some_and(|last| now < last + interval) {
            return None;
        }
        self.own.advance(now);
        if self.own.times.is_empty() {
            return None;
        }
        self.last_told = Some(now);
        let times = self.own.times.iter();
        let mut entries: Report = times.map(|(account, time)| entry(*account, time)).collect();
        entries.sort_by_key(|entry| (std::cmp::Reverse(entry.asked), entry.account));
        let (few, many) = ACCOUNTS_TOLD_MAX;
        entries.truncate(if is_small { many } else { few });
        Some(entries)
    }

    /// Records what the daemon on `host` told, which replaces what it told before.
    pub fn hear(&mut self, host: &Arc<str>, report: &[Entry], now: Instant) {
        self.expire(now);
        let entries = report.iter().take(ACCOUNTS_TOLD_MAX.1);
        let times = entries.map(|entry| (entry.account, time(entry))).collect();
        let book = Book { at: now, times };
        self.others.insert(Arc::clone(host), book);
    }

    /// Removes the daemons whose accounts have all become inactive.
    fn expire(&mut self, now: Instant) {
        self.others.retain(|_, book| {
            let factor = book.decay_since(now);
            let mut times = book.times.values();
            times.any(|time| time.scaled(factor).is_active())
        });
    }

    /// Returns how far the workspace of `account` is over its fair share.
    pub fn excess(&mut self, account: Account, now: Instant) -> Excess {
        let standing = self.standing.take();
        let standing = standing.filter(|(at, _)| now < *at + REFRESH_INTERVAL);
        let (at, divisions) = standing.unwrap_or_else(|| (now, self.divisions(now)));
        let division = divisions.get(&account.priority);
        let excess = division.map_or_else(Excess::default, |division| division.excess(account));
        self.standing = Some((at, divisions));
        excess
    }

    /// Returns how the engines are divided among the workspaces of each priority.
    fn divisions(&self, now: Instant) -> Map<u8, Division> {
        let mut times: Map<u8, Map<Account, Time>> = Map::default();
        for book in self.others.values().chain([&self.own]) {
            let factor = book.decay_since(now);
            for (account, time) in &book.times {
                let rivals = times.entry(account.priority).or_default();
                let total = rivals.entry(*account).or_default();
                total.asked += time.asked * factor;
                total.got += time.got * factor;
            }
        }
        let times = times.into_iter().map(|(priority, mut times)| {
            times.retain(|_, time| time.is_active());
            (priority, Division::new(times))
        });
        times.collect()
    }
}

/// How engine time is divided among the workspaces of one priority.
#[derive(Debug)]
struct Division {
    times: Map<Account, Time>,
    /// The largest fair share, in milliseconds.
    share: f64,
    /// The part of all that is asked for that is over the shares, from 0 to 1.
    refused: f64,
    /// Whether a workspace asks for no more than its share.
    has_modest: bool,
}

impl Division {
    fn new(times: Map<Account, Time>) -> Self {
        let asked: Vec<f64> = times.values().map(|time| time.asked).collect();
        let share = max_min_share(&asked, times.values().map(|time| time.got).sum());
        let over: f64 = asked.iter().map(|asked| (asked - share).max(0.0)).sum();
        Self {
            has_modest: asked.iter().any(|asked| *asked <= share),
            times,
            share,
            refused: over / asked.iter().sum::<f64>().max(ACTIVE_MIN_MS),
        }
    }

    /// Returns the excess of an account, which may be new.
    fn excess(&self, account: Account) -> Excess {
        let time = self.times.get(&account).copied().unwrap_or_default();
        let over = (time.asked - self.share).max(0.0);
        let refused = over / time.asked.max(ACTIVE_MIN_MS);
        let left = if self.has_modest {
            SHARE_LEFT * (refused / REFUSED_LEAVING).min(1.0)
        } else {
            0.0
        };
        Excess {
            own: excess_over(time.got, self.share, left),
            refusal_factor: 1.0 + (refused - self.refused) / self.refused.max(REFUSED_MIN),
        }
    }
}

/// Returns the engine time of a request, in milliseconds: its prefill, and its part of the passes that decode
/// its answer in a full batch.
pub fn engine_ms(prompt_tokens: u64, answer_tokens: u64, engine: &Engine) -> f64 {
    let slots = engine.slots.max(1) as f64;
    let full = engine.pass_ms(
        slots,
        slots * prompt_tokens.saturating_add(answer_tokens) as f64,
    );
    // An answer has a token at least, whatever the client says.
    let passes = (answer_tokens.max(1) as f64 / engine.stride.max(1.0)).ceil();
    engine.prefill_ms(prompt_tokens) + passes * full / slots
}

/// Returns the largest share that one of several who ask for `asked` gets if `available` is divided by
/// max-min fairness; infinity if there is enough for all.
fn max_min_share(asked: &[f64], available: f64) -> f64 {
    let mut sorted = asked.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut left = available;
    for (served, asked) in sorted.iter().enumerate() {
        let equal = left / (sorted.len() - served) as f64;
        if *asked > equal {
            return equal;
        }
        left -= asked;
    }
    f64::INFINITY
}

/// Returns how far `got` is over `share`, of which the part `left` is left free.
fn excess_over(got: f64, share: f64, left: f64) -> f64 {
    let (begin, end) = OVER_RANGE;
    let multiple = got / share.max(ACTIVE_MIN_MS) + left;
    ((multiple - begin) / (end - begin)).clamp(0.0, 1.0)
}

/// Returns a time that sums stay finite with. The number of tokens comes from the client.
fn bounded(engine_ms: f64) -> f64 {
    engine_ms.clamp(0.0, f64::from(u32::MAX))
}

fn entry(account: Account, time: &Time) -> Entry {
    let asked = time.asked.max(time.got);
    Entry {
        account,
        asked: (asked / UNIT_MS).ceil() as u32,
        got: (time.got / asked.max(ACTIVE_MIN_MS) * f64::from(u8::MAX)).round() as u8,
    }
}

fn time(entry: &Entry) -> Time {
    let asked = f64::from(entry.asked) * UNIT_MS;
    Time {
        asked,
        got: asked * f64::from(entry.got) / f64::from(u8::MAX),
    }
}
