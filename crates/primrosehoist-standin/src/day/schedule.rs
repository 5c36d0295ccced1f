//! The troubles of a day, which follow from its seed.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use strum::IntoEnumIterator;

use crate::day::odd::{self, Kind, Object};

/// The time before the first trouble, in milliseconds.
pub const QUIET_FIRST_MS: u64 = 8_000;

/// The time after the last trouble, in which the deployment has to recover, in milliseconds.
pub const QUIET_LAST_MS: u64 = 16_000;

/// The shortest day, in seconds.
pub const SECONDS_MIN: u64 = 40;

/// The mean time between two troubles that do not belong together, in milliseconds.
const SERIES_PERIOD_MS: u64 = 5_000;

/// The time for which there is one group of overlapping troubles, in milliseconds.
const GROUP_PERIOD_MS: u64 = 25_000;

/// The longest delay between troubles that overlap, in milliseconds.
const GROUP_DELAY_MS: u64 = 2_500;

/// How late the store starts.
const STORE_START_MS: RangeInclusive<u64> = 0..=3_000;

/// The delays between the hosts of a roll.
const ROLL_DELAY_MS: RangeInclusive<u64> = 200..=2_500;

/// The duration of a trouble of the store.
const STORE_MS: RangeInclusive<u64> = 2_000..=14_000;

/// The duration of a trouble of the store that is to outlast a roll.
const LONG_STORE_MS: RangeInclusive<u64> = 15_000..=18_000;

/// The delays between the hosts of a roll that a trouble of the store is to outlast.
const SHORT_ROLL_DELAY_MS: RangeInclusive<u64> = 600..=1_000;

/// The duration of a trouble of a host.
const HOST_MS: RangeInclusive<u64> = 500..=6_000;

/// The numbers of objects in a page of a list.
const PAGES: [usize; 5] = [1, 2, 3, 7, 500];

/// The mean time between objects that others keep for a time, in milliseconds.
const KEPT_PERIOD_MS: u64 = 12_000;

/// The time for which others keep objects.
const KEPT_MS: RangeInclusive<u64> = 2_000..=20_000;

/// The number of objects of a kind that others write at a time.
const OBJECTS: RangeInclusive<usize> = 1..=5;

/// The ports of a host that another process may hold.
const PORTS: [u16; 6] = [8227, 8220, 8229, 7340, 7341, 9464];

/// What a day is played on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// The number of hosts.
    pub hosts: usize,
    /// The number of availability zones; host `n` is in zone `n % zones`.
    pub zones: usize,
    /// The number of runners.
    pub runners: usize,
    /// The length of the day in seconds, at least [`SECONDS_MIN`].
    pub seconds: u64,
}

/// How the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, strum::IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Store {
    /// Calls pass.
    Open,
    /// Connections are refused.
    Refusing,
    /// Connections are accepted and nothing is answered.
    Silent,
    /// Each part of a call and of its answer is late.
    Slow,
    /// Connections are reset.
    Resetting,
}

/// What happens to a settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Settings {
    /// It changes, and the process is told so.
    Changed,
    /// The process is told of a half-written file, and again of the whole one.
    Half,
    /// The process restarts while there is no file.
    Late,
}

/// What happens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Hosts are told to end, one after the other or, without a delay, at once.
    Roll {
        /// The hosts.
        hosts: Vec<usize>,
        /// The time between two of them, in milliseconds.
        delay_ms: u64,
        /// Whether they start again with the other build.
        upgrade: bool,
    },
    /// Hosts are killed at once.
    Kill {
        /// The hosts.
        hosts: Vec<usize>,
    },
    /// The settings of a host change.
    Reload {
        /// The host.
        host: usize,
        /// How they change.
        settings: Settings,
        /// How long they are not whole, in milliseconds.
        for_ms: u64,
    },
    /// A host has a quarter of a core.
    Throttle {
        /// The host.
        host: usize,
        /// The duration in milliseconds.
        for_ms: u64,
    },
    /// A host stands still.
    Freeze {
        /// The host.
        host: usize,
        /// The duration in milliseconds.
        for_ms: u64,
    },
    /// The store answers badly.
    Trouble {
        /// How it answers.
        store: Store,
        /// The duration in milliseconds.
        for_ms: u64,
    },
    /// Watches of the store are not answered.
    LoseWatches {
        /// The duration in milliseconds.
        for_ms: u64,
    },
    /// The store forgets its history.
    Forget,
    /// Runners end and come back.
    EndRunners {
        /// The runners.
        runners: Vec<usize>,
        /// The time until they are back, in milliseconds.
        for_ms: u64,
    },
    /// Another process takes a port of a host that restarts.
    HoldPort {
        /// The host.
        host: usize,
        /// The port.
        port: u16,
        /// The duration in milliseconds.
        for_ms: u64,
    },
    /// The configuration in the store changes.
    Configure,
    /// Someone else writes objects to the store.
    Keep {
        /// The objects.
        objects: Vec<Object>,
    },
    /// Someone else removes objects of theirs.
    Remove {
        /// The objects.
        objects: Vec<Object>,
    },
}

impl Action {
    /// Returns how long the action takes, in milliseconds, without what follows from it.
    pub fn duration_ms(&self) -> u64 {
        match self {
            Self::Roll {
                hosts, delay_ms, ..
            } => hosts.len() as u64 * delay_ms,
            Self::Reload { for_ms, .. }
            | Self::Throttle { for_ms, .. }
            | Self::Freeze { for_ms, .. }
            | Self::Trouble { for_ms, .. }
            | Self::LoseWatches { for_ms }
            | Self::EndRunners { for_ms, .. }
            | Self::HoldPort { for_ms, .. } => *for_ms,
            Self::Kill { .. }
            | Self::Forget
            | Self::Configure
            | Self::Keep { .. }
            | Self::Remove { .. } => 0,
        }
    }
}

/// A trouble of a day.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Trouble {
    /// The time since the start of the day, in milliseconds.
    pub at_ms: u64,
    /// What happens.
    pub action: Action,
}

/// The troubles of a day.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Schedule {
    /// When the store starts, in milliseconds since the hosts do.
    pub store_start_ms: u64,
    /// The number of objects in a page of a list.
    pub page: usize,
    /// The values of unknown fields in the entries of runners, as JSON text.
    pub entry_fields: BTreeMap<usize, String>,
    /// The value of an unknown field in the configuration, as JSON text.
    pub configuration_field: Option<String>,
    /// The troubles in the order of their times. Some of them overlap.
    pub troubles: Vec<Trouble>,
}

impl Schedule {
    /// Returns the schedule of a seed.
    ///
    /// # Panics
    ///
    /// Panics if there is no host, zone or runner, or if the day is shorter than [`SECONDS_MIN`].
    pub fn new(seed: u64, size: Size) -> Self {
        assert!(size.hosts > 0 && size.zones > 0 && size.runners > 0);
        assert!(size.seconds >= SECONDS_MIN, "the day is too short");
        let mut draw = Draw {
            random: StdRng::seed_from_u64(seed),
            size,
        };
        let (first, last) = (QUIET_FIRST_MS, size.seconds * 1000 - QUIET_LAST_MS);
        let store_start_ms = draw.random.random_range(STORE_START_MS);
        let mut troubles = Vec::new();
        for _ in 0..((last - first) / SERIES_PERIOD_MS).max(1) {
            let at_ms = draw.random.random_range(first..last);
            let action = draw.action();
            troubles.push(Trouble { at_ms, action });
        }
        for _ in 0..((last - first) / GROUP_PERIOD_MS).max(1) {
            let mut at_ms = draw.random.random_range(first..last);
            for action in draw.group() {
                troubles.push(Trouble { at_ms, action });
                at_ms += draw.random.random_range(0..=GROUP_DELAY_MS);
            }
        }
        // What others write is drawn apart, so that the rest of a day does not depend on it.
        let mut draw = Draw {
            random: StdRng::seed_from_u64(!seed),
            size,
        };
        troubles.extend(draw.kept(first, last));
        for trouble in &mut troubles {
            trouble.end_by(last);
        }
        troubles.sort_by_key(|trouble| trouble.at_ms);
        let page = *PAGES.choose(&mut draw.random).unwrap_or(&PAGES[0]);
        let share = *[0.0, 0.5, 1.0].choose(&mut draw.random).unwrap_or(&0.0);
        let with_field = (0..size.runners).filter(|_| draw.random.random_bool(share));
        let with_field: Vec<usize> = with_field.collect();
        let is_configured = draw.random.random_bool(0.5);
        let mut field = || odd::field(&mut draw.random);
        Self {
            store_start_ms,
            page,
            entry_fields: with_field
                .into_iter()
                .map(|runner| (runner, field()))
                .collect(),
            configuration_field: is_configured.then(field),
            troubles,
        }
    }
}

impl Trouble {
    /// Returns when the trouble ends, in milliseconds since the start of the day.
    pub fn end_ms(&self) -> u64 {
        self.at_ms + self.action.duration_ms()
    }

    /// Shortens the trouble so that it ends by `last` milliseconds.
    fn end_by(&mut self, last: u64) {
        self.at_ms = self.at_ms.min(last);
        let remaining = last - self.at_ms;
        match &mut self.action {
            Action::Roll {
                hosts, delay_ms, ..
            } => *delay_ms = (*delay_ms).min(remaining / hosts.len() as u64),
            Action::Reload { for_ms, .. }
            | Action::Throttle { for_ms, .. }
            | Action::Freeze { for_ms, .. }
            | Action::Trouble { for_ms, .. }
            | Action::LoseWatches { for_ms }
            | Action::EndRunners { for_ms, .. }
            | Action::HoldPort { for_ms, .. } => *for_ms = (*for_ms).min(remaining),
            Action::Kill { .. }
            | Action::Forget
            | Action::Configure
            | Action::Keep { .. }
            | Action::Remove { .. } => {}
        }
    }
}

/// Draws actions.
struct Draw {
    random: StdRng,
    size: Size,
}

impl Draw {
    fn host(&mut self) -> usize {
        self.random.random_range(0..self.size.hosts)
    }

    fn host_ms(&mut self) -> u64 {
        self.random.random_range(HOST_MS)
    }

    fn some(&mut self, count: usize, share: f64) -> Vec<usize> {
        let mut chosen: Vec<usize> = (0..count)
            .filter(|_| self.random.random_bool(share))
            .collect();
        if chosen.is_empty() {
            chosen.push(self.random.random_range(0..count));
        }
        chosen
    }

    fn action(&mut self) -> Action {
        match self.random.random_range(0..14) {
            0 | 1 => self.roll(),
            2 | 3 => self.kill(),
            4 | 5 => self.reload(),
            6 => self.throttle(),
            7 => self.freeze(),
            8 | 9 => self.trouble(),
            10 => match self.random.random_range(0..2) {
                0 => Action::Forget,
                _ => Action::LoseWatches {
                    for_ms: self.random.random_range(STORE_MS),
                },
            },
            11 => self.end_runners(),
            12 => self.hold_port(),
            _ => Action::Configure,
        }
    }

    /// Returns actions that overlap.
    fn group(&mut self) -> Vec<Action> {
        match self.random.random_range(0..7) {
            0 => vec![self.trouble(), self.roll(), self.kill()],
            1 => vec![self.trouble(), self.kill(), self.reload()],
            2 => vec![self.roll(), self.reload(), self.reload(), self.kill()],
            3 => vec![self.throttle(), self.throttle(), self.roll(), self.freeze()],
            4 => vec![self.hold_port(), self.roll(), Action::Configure],
            5 => vec![self.end_runners(), self.trouble(), self.action()],
            _ => vec![
                Action::Trouble {
                    store: self.store(),
                    for_ms: self.random.random_range(LONG_STORE_MS),
                },
                Action::Roll {
                    hosts: (0..self.size.hosts).collect(),
                    delay_ms: self.random.random_range(SHORT_ROLL_DELAY_MS),
                    upgrade: self.random.random_bool(0.5),
                },
            ],
        }
    }

    /// Returns objects that others keep, and troubles beside them.
    fn kept(&mut self, first: u64, last: u64) -> Vec<Trouble> {
        let mut troubles = Vec::new();
        let mut number = 0;
        for _ in 0..((last - first) / KEPT_PERIOD_MS).max(1) {
            let at_ms = self.random.random_range(first..last);
            let objects = self.objects(&mut number);
            let action = Action::Keep {
                objects: objects.clone(),
            };
            troubles.push(Trouble { at_ms, action });
            let at_ms = at_ms + self.random.random_range(KEPT_MS);
            // Later ones stay to the end of the day.
            if at_ms <= last {
                let action = Action::Remove { objects };
                troubles.push(Trouble { at_ms, action });
            }
        }
        for _ in 0..((last - first) / GROUP_PERIOD_MS).max(1) {
            let mut at_ms = self.random.random_range(first..last);
            for action in self.group_beside_objects(&mut number) {
                troubles.push(Trouble { at_ms, action });
                at_ms += self.random.random_range(0..=GROUP_DELAY_MS);
            }
        }
        troubles
    }

    /// Returns objects of each kind. Their names end with numbers from `number` on.
    fn objects(&mut self, number: &mut usize) -> Vec<Object> {
        let mut objects = Vec::new();
        for kind in Kind::iter() {
            for _ in 0..self.random.random_range(OBJECTS) {
                *number += 1;
                objects.push(Object::draw(&mut self.random, kind, *number));
            }
        }
        objects
    }

    /// Returns actions that overlap beside objects that stay.
    fn group_beside_objects(&mut self, number: &mut usize) -> Vec<Action> {
        let kept = Action::Keep {
            objects: self.objects(number),
        };
        let hosts = (0..self.size.hosts).collect();
        match self.random.random_range(0..3) {
            0 => vec![kept, Action::Kill { hosts }],
            1 => vec![kept, Action::Forget, Action::Kill { hosts }],
            _ => vec![kept, self.trouble(), self.roll()],
        }
    }

    fn roll(&mut self) -> Action {
        let zone = self.random.random_range(0..self.size.zones);
        let mut hosts: Vec<usize> = (0..self.size.hosts).collect();
        if self.random.random_bool(0.25) && zone < self.size.hosts {
            hosts.retain(|host| host % self.size.zones == zone);
        }
        let delay_ms = if self.random.random_bool(0.4) {
            0
        } else {
            self.random.random_range(ROLL_DELAY_MS)
        };
        Action::Roll {
            hosts,
            delay_ms,
            upgrade: self.random.random_bool(0.5),
        }
    }

    fn kill(&mut self) -> Action {
        let share = *[0.15, 0.4, 1.0].choose(&mut self.random).unwrap_or(&1.0);
        Action::Kill {
            hosts: self.some(self.size.hosts, share),
        }
    }

    fn reload(&mut self) -> Action {
        let kinds = [Settings::Changed, Settings::Half, Settings::Late];
        Action::Reload {
            host: self.host(),
            settings: *kinds.choose(&mut self.random).unwrap_or(&kinds[0]),
            for_ms: self.host_ms(),
        }
    }

    fn throttle(&mut self) -> Action {
        Action::Throttle {
            host: self.host(),
            for_ms: 2 * self.host_ms(),
        }
    }

    fn freeze(&mut self) -> Action {
        Action::Freeze {
            host: self.host(),
            for_ms: self.host_ms(),
        }
    }

    fn trouble(&mut self) -> Action {
        Action::Trouble {
            store: self.store(),
            for_ms: self.random.random_range(STORE_MS),
        }
    }

    fn store(&mut self) -> Store {
        let kinds = [
            Store::Refusing,
            Store::Silent,
            Store::Slow,
            Store::Resetting,
        ];
        *kinds.choose(&mut self.random).unwrap_or(&kinds[0])
    }

    fn end_runners(&mut self) -> Action {
        Action::EndRunners {
            runners: self.some(self.size.runners, 0.2),
            for_ms: self.host_ms(),
        }
    }

    fn hold_port(&mut self) -> Action {
        Action::HoldPort {
            host: self.host(),
            port: *PORTS.choose(&mut self.random).unwrap_or(&PORTS[0]),
            for_ms: self.host_ms(),
        }
    }
}
