//! Computes the change from the current fleet to a desired one.

use std::hash::Hash;

use crate::state::change::Entry;
use crate::state::fleet::{Fleet, Upstream};
use crate::state::map::Map;
use crate::state::name;

/// Returns the entries that turn the declared part of `current` into that of `desired`.
///
/// Services come first, then workspaces and upstreams, then removals in the opposite order. Each
/// group is ordered by name. State that operators set by other commands is preserved: zones out of
/// service, the quarantine, and whether an upstream is leaving.
pub fn plan(current: &Fleet, desired: &Fleet) -> Vec<Entry> {
    let upstreams = with_current_lifecycle(current, desired);
    let mut entries = Vec::new();
    entries.extend(put_entries(
        &current.services,
        &desired.services,
        Entry::PutService,
    ));
    entries.extend(put_entries(
        &current.workspaces,
        &desired.workspaces,
        Entry::PutWorkspace,
    ));
    entries.extend(put_entries(
        &current.upstreams,
        &upstreams,
        Entry::PutUpstream,
    ));
    entries.extend(remove_entries(
        &current.upstreams,
        &upstreams,
        Entry::RemoveUpstream,
    ));
    entries.extend(remove_entries(
        &current.workspaces,
        &desired.workspaces,
        Entry::RemoveWorkspace,
    ));
    entries.extend(remove_entries(
        &current.services,
        &desired.services,
        Entry::RemoveService,
    ));
    entries
}

fn with_current_lifecycle(current: &Fleet, desired: &Fleet) -> Map<name::Upstream, Upstream> {
    let mut upstreams = desired.upstreams.clone();
    for (name, upstream) in &mut upstreams {
        if let Some(existing) = current.upstreams.get(name) {
            upstream.state = existing.state;
        }
    }
    upstreams
}

fn put_entries<K, V, F>(current: &Map<K, V>, desired: &Map<K, V>, entry: F) -> Vec<Entry>
where
    K: Ord + Hash,
    V: Clone + PartialEq,
    F: Fn(V) -> Entry,
{
    let mut names = Vec::new();
    for (name, value) in desired {
        if current.get(name) != Some(value) {
            names.push(name);
        }
    }
    names.sort();
    names
        .into_iter()
        .map(|name| entry(desired[name].clone()))
        .collect()
}

fn remove_entries<K, V, F>(current: &Map<K, V>, desired: &Map<K, V>, entry: F) -> Vec<Entry>
where
    K: Clone + Ord + Hash,
    F: Fn(K) -> Entry,
{
    let removed = current.keys().filter(|name| !desired.contains_key(*name));
    let mut names: Vec<K> = removed.cloned().collect();
    names.sort();
    names.into_iter().map(entry).collect()
}
