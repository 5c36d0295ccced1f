//! What keeps lists of the platform's store from being read, as a whole or in part.

use parking_lot::Mutex;
use primrosehoist::state::map::Map;
use primrosehoist::transport::platform::Error;
use primrosehoist_platform::store::Cut;

use crate::metrics::Metrics;

/// The number of names in the way of a kind of object that are told apart in metrics.
const NAMES_MAX: usize = 8;

/// The longest part of a name that is shown in metrics, in characters.
const NAME_CHARS_MAX: usize = 64;

/// The label of names beyond [`NAMES_MAX`].
const OTHER_NAMES: &str = "others";

/// Why the last list of a kind is missing or cut.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Obstacle {
    /// The label of the name behind which the list is cut, or `None` if there is no list.
    name: Option<String>,
    cause: String,
}

/// What is known of the lists of a kind.
#[derive(Debug, Default)]
struct Record {
    obstacle: Option<Obstacle>,
    /// The labels of the names behind which lists were cut.
    names: Vec<String>,
}

/// What keeps lists from being read, by the kind of their objects.
#[derive(Debug, Default)]
pub(crate) struct Obstacles {
    records: Mutex<Map<&'static str, Record>>,
}

impl Obstacles {
    /// Records that a list failed.
    pub(crate) fn record_failure(&self, kind: &'static str, error: &Error) {
        let mut records = self.records.lock();
        let obstacle = &mut records.entry(kind).or_default().obstacle;
        // A list that is cut stays in use while the next one fails.
        if obstacle.as_ref().is_none_or(|known| known.name.is_none()) {
            *obstacle = Some(Obstacle {
                name: None,
                cause: error.to_string(),
            });
        }
    }

    /// Records a list, which may be cut. Returns whether the one before was not cut there.
    pub(crate) fn record_list(
        &self,
        kind: &'static str,
        cut: Option<&Cut>,
        metrics: &Metrics,
    ) -> bool {
        let mut records = self.records.lock();
        let record = records.entry(kind).or_default();
        let obstacle = cut.map(|cut| Obstacle {
            name: Some(record.label(&cut.after)),
            cause: cut.cause.to_string(),
        });
        let name = |obstacle: &Option<Obstacle>| obstacle.as_ref()?.name.clone();
        let (before, after) = (name(&record.obstacle), name(&obstacle));
        record.obstacle = obstacle;
        if before == after {
            return false;
        }
        for (name, is_cut) in [(before, false), (after, true)] {
            if let Some(name) = name {
                metrics.cut_list(kind, name, is_cut);
            }
        }
        true
    }

    /// Returns whether the list of `kind` that is in use is cut.
    pub(crate) fn is_cut(&self, kind: &str) -> bool {
        let records = self.records.lock();
        let obstacle = records
            .get(kind)
            .and_then(|record| record.obstacle.as_ref());
        obstacle.is_some_and(|obstacle| obstacle.name.is_some())
    }

    /// Returns why the lists of `kinds` are missing or cut.
    pub(crate) fn causes<K>(&self, kinds: K) -> String
    where
        K: IntoIterator<Item = &'static str>,
    {
        let records = self.records.lock();
        let causes = kinds
            .into_iter()
            .filter_map(|kind| records.get(kind)?.obstacle.as_ref())
            .map(|obstacle| match &obstacle.name {
                Some(name) => format!("{} (after {name:?})", obstacle.cause),
                None => obstacle.cause.clone(),
            });
        causes.collect::<Vec<_>>().join("; ")
    }
}

impl Record {
    /// Returns the label of a name, of which there are few.
    fn label(&mut self, name: &str) -> String {
        let label: String = name.chars().take(NAME_CHARS_MAX).collect();
        if self.names.contains(&label) {
            return label;
        }
        if self.names.len() >= NAMES_MAX {
            return OTHER_NAMES.to_owned();
        }
        self.names.push(label.clone());
        label
    }
}
