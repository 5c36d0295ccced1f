//! Computes the change that leads from the fleet in force to a desired one.

use std::hash::Hash;

use crate::state::change::Entry;
use crate::state::fleet::{Fleet, Upstream};
use crate::state::map::Map;
use crate::state::name;

/// Returns the entries that turn the declared part of `current` into that of `desired`.
///
/// Services come first, then workspaces and upstreams, then removals in the opposite order;
/// each group is ordered by name. What operators set by other commands stays: zones out of
/// service, the quarantine, and whether an upstream is leaving.
pub fn plan(current: &Fleet, desired: &Fleet) -> Vec<Entry> {
    let upstreams = with_presence(current, desired);
    let mut entries = Vec::new();
    entries.extend(changed(
        &current.services,
        &desired.services,
        Entry::PutService,
    ));
    entries.extend(changed(
        &current.workspaces,
        &desired.workspaces,
        Entry::PutWorkspace,
    ));
    entries.extend(changed(&current.upstreams, &upstreams, Entry::PutUpstream));
    entries.extend(removed(
        &current.upstreams,
        &upstreams,
        Entry::RemoveUpstream,
    ));
    entries.extend(removed(
        &current.workspaces,
        &desired.workspaces,
        Entry::RemoveWorkspace,
    ));
    entries.extend(removed(
        &current.services,
        &desired.services,
        Entry::RemoveService,
    ));
    entries
}

fn with_presence(current: &Fleet, desired: &Fleet) -> Map<name::Upstream, Upstream> {
    let mut upstreams = desired.upstreams.clone();
    for (name, upstream) in &mut upstreams {
        if let Some(known) = current.upstreams.get(name) {
            upstream.state = known.state;
        }
    }
    upstreams
}

fn changed<K, V, F>(current: &Map<K, V>, desired: &Map<K, V>, entry: F) -> Vec<Entry>
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

fn removed<K, V, F>(current: &Map<K, V>, desired: &Map<K, V>, entry: F) -> Vec<Entry>
where
    K: Clone + Ord + Hash,
    F: Fn(K) -> Entry,
{
    let gone = current.keys().filter(|name| !desired.contains_key(*name));
    let mut names: Vec<K> = gone.cloned().collect();
    names.sort();
    names.into_iter().map(entry).collect()
}
