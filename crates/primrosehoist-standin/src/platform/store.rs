//! A versioned object store with a bounded history of events.

use std::collections::{BTreeMap, VecDeque};

use primrosehoist::protocol::platform::{Event, List, ListMetadata, Metadata, Object};
use quick_error::quick_error;
use serde_json::Value;

quick_error! {
    /// An error of a store operation.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// An object with that name exists.
        Exists { display("the object already exists") }
        /// No object has that name.
        Missing { display("the object does not exist") }
        /// The object was modified since the given version.
        Stale { display("the object has been modified") }
        /// The given version precedes the retained history.
        Gone { display("the resource version is too old") }
    }
}

#[derive(Debug, Clone)]
struct Entry {
    version: u64,
    kind: String,
    event: Event,
}

/// The objects of all kinds, under one global version.
#[derive(Debug)]
pub(crate) struct Store {
    version: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    history: VecDeque<Entry>,
    history_limit: usize,
    /// The version of the newest event dropped from the history.
    compacted_version: u64,
}

/// The next events of a watch.
#[derive(Debug)]
pub(crate) struct Batch {
    /// The store version that the events lead up to.
    pub(crate) version: u64,
    /// The events, oldest first.
    pub(crate) events: Vec<Event>,
}

impl Store {
    /// Creates an empty store that retains `history_limit` events.
    pub(crate) fn new(history_limit: usize) -> Store {
        Store {
            version: 0,
            kinds: BTreeMap::new(),
            history: VecDeque::new(),
            history_limit,
            compacted_version: 0,
        }
    }

    /// Creates an object.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Exists`] if the name is taken.
    pub(crate) fn create(&mut self, kind: &str, name: &str, spec: Value) -> Result<Object, Error> {
        if self.get(kind, name).is_ok() {
            return Err(Error::Exists);
        }
        Ok(self.write(kind, name, spec, "ADDED"))
    }

    /// Returns an object.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] if the object does not exist.
    pub(crate) fn get(&self, kind: &str, name: &str) -> Result<&Object, Error> {
        self.kinds
            .get(kind)
            .and_then(|objects| objects.get(name))
            .ok_or(Error::Missing)
    }

    /// Replaces an object if `version` is its current version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] or [`Error::Stale`].
    pub(crate) fn replace(
        &mut self,
        kind: &str,
        name: &str,
        version: &str,
        spec: Value,
    ) -> Result<Object, Error> {
        let current = self.get(kind, name)?;
        if current.metadata.resource_version != version {
            return Err(Error::Stale);
        }
        Ok(self.write(kind, name, spec, "MODIFIED"))
    }

    /// Creates or replaces an object.
    pub(crate) fn put(&mut self, kind: &str, name: &str, spec: Value) -> Object {
        let event = match self.get(kind, name) {
            Ok(_) => "MODIFIED",
            Err(_) => "ADDED",
        };
        self.write(kind, name, spec, event)
    }

    /// Deletes an object if `version` is absent or matches its current version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] or [`Error::Stale`].
    pub(crate) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        version: Option<&str>,
    ) -> Result<Object, Error> {
        let current = self.get(kind, name)?;
        if version.is_some_and(|version| version != current.metadata.resource_version) {
            return Err(Error::Stale);
        }
        let mut object = current.clone();
        if let Some(objects) = self.kinds.get_mut(kind) {
            objects.remove(name);
        }
        self.version += 1;
        object.metadata.resource_version = self.version.to_string();
        self.record(kind, "DELETED", object.clone());
        Ok(object)
    }

    /// Lists at most `limit` objects of a kind whose names sort after `position`.
    pub(crate) fn list(&self, kind: &str, position: &str, limit: usize) -> List {
        let objects = self.kinds.get(kind).into_iter().flatten();
        let mut later = objects.skip_while(|(name, _)| name.as_str() <= position);
        let items: Vec<Object> = later
            .by_ref()
            .take(limit)
            .map(|(_, object)| object.clone())
            .collect();
        let last = items.last().filter(|_| later.next().is_some());
        List {
            metadata: ListMetadata {
                resource_version: self.version.to_string(),
                continue_at: last.map_or_else(String::new, |last| last.metadata.name.clone()),
            },
            items,
        }
    }

    /// Returns the events of a kind after a version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Gone`] if events after the version were dropped from the history.
    pub(crate) fn since(&self, kind: &str, version: u64) -> Result<Batch, Error> {
        if version < self.compacted_version {
            return Err(Error::Gone);
        }
        let later = self
            .history
            .partition_point(|entry| entry.version <= version);
        let entries = self.history.range(later..);
        let events = entries
            .filter(|entry| entry.kind == kind)
            .map(|entry| entry.event.clone())
            .collect();
        Ok(Batch {
            version: self.version,
            events,
        })
    }

    /// Returns the version of the last write.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    fn write(&mut self, kind: &str, name: &str, spec: Value, event: &str) -> Object {
        self.version += 1;
        let object = Object {
            metadata: Metadata {
                name: name.to_owned(),
                resource_version: self.version.to_string(),
            },
            spec,
        };
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.insert(name.to_owned(), object.clone());
        self.record(kind, event, object.clone());
        object
    }

    fn record(&mut self, kind: &str, event: &str, object: Object) {
        self.history.push_back(Entry {
            version: self.version,
            kind: kind.to_owned(),
            event: Event {
                kind: event.to_owned(),
                object,
            },
        });
        while self.history.len() > self.history_limit {
            if let Some(oldest) = self.history.pop_front() {
                self.compacted_version = oldest.version;
            }
        }
    }
}
