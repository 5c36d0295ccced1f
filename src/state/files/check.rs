//! Checks between declarations.

use std::hash::Hash;

use crate::state::files::Mistake;
use crate::state::files::declaration::{Declarations, ServiceDraft, UpstreamDraft, WorkspaceDraft};
use crate::state::files::table::{Located, Place};
use crate::state::fleet::Kind;
use crate::state::map::Map;
use crate::state::name;

/// The number of halves that the organisation has.
const HALVES_MAX: usize = 2;

/// Returns the mistakes that show only between declarations.
pub(crate) fn check(declarations: &Declarations) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    check_names(declarations, &mut mistakes);
    check_models(&declarations.services, &mut mistakes);
    check_keys(&declarations.workspaces, &mut mistakes);
    check_addresses(&declarations.upstreams, &mut mistakes);
    check_halves(declarations, &mut mistakes);
    let services = by_name(&declarations.services);
    for upstream in &declarations.upstreams {
        check_service(upstream, &services, declarations.partial, &mut mistakes);
    }
    mistakes
}

type Services<'d> = Map<&'d name::Service, &'d ServiceDraft>;

fn by_name(services: &[ServiceDraft]) -> Services<'_> {
    let mut map = Services::default();
    for service in services {
        if let Some(name) = &service.name {
            map.entry(&name.value).or_insert(service);
        }
    }
    map
}

/// Two declarations that must not agree and do.
struct Repeat<'d, T> {
    first: &'d T,
    again: &'d T,
}

/// Returns each item whose key an earlier item has. Items without a key are passed over.
fn repeats<'d, T, K, F>(items: &'d [T], key: F) -> Vec<Repeat<'d, T>>
where
    K: Eq + Hash,
    F: Fn(&'d T) -> Option<K>,
{
    let mut seen: Map<K, &T> = Map::default();
    let mut repeats = Vec::new();
    for again in items {
        let Some(key) = key(again) else {
            continue;
        };
        match seen.get(&key) {
            Some(&first) => repeats.push(Repeat { first, again }),
            None => {
                seen.insert(key, again);
            }
        }
    }
    repeats
}

/// Returns the value of a field that is not wrong.
fn value<T>(field: Option<&Located<T>>) -> Option<&T> {
    field.map(|located| &located.value)
}

/// Returns where a field stands, or else the table that lacks it.
fn place<'d, T>(field: Option<&'d Located<T>>, table: &'d Place) -> &'d Place {
    field.map_or(table, |located| &located.place)
}

fn at(place: &Place) -> String {
    format!("{}:{}", place.file, place.line)
}

fn shown<T>(field: Option<&Located<T>>) -> String
where
    T: ToString,
{
    value(field).map(T::to_string).unwrap_or_default()
}

fn check_names(declarations: &Declarations, mistakes: &mut Vec<Mistake>) {
    for Repeat { first, again } in repeats(&declarations.services, |it| value(it.name.as_ref())) {
        let first = place(first.name.as_ref(), &first.place);
        mistakes.extend(declared_twice("service", again.name.as_ref(), first));
    }
    for Repeat { first, again } in repeats(&declarations.workspaces, |it| value(it.name.as_ref())) {
        let first = place(first.name.as_ref(), &first.place);
        mistakes.extend(declared_twice("workspace", again.name.as_ref(), first));
    }
    for Repeat { first, again } in repeats(&declarations.upstreams, |it| value(it.name.as_ref())) {
        let name = again.name.as_ref();
        let first_place = place(first.name.as_ref(), &first.place);
        mistakes.extend(declared_twice("upstream", name, first_place));
        mistakes.extend(in_both_halves(first, again));
    }
}

fn declared_twice<T>(kind: &str, again: Option<&Located<T>>, first: &Place) -> Option<Mistake>
where
    T: ToString,
{
    let again = again?;
    let name = again.value.to_string();
    let reason = format!("{kind} `{name}` is declared already at {}", at(first));
    Some(again.place.mistake(reason))
}

fn in_both_halves(first: &UpstreamDraft, again: &UpstreamDraft) -> Option<Mistake> {
    let there = value(first.half.as_ref())?;
    let here = again.half.as_ref()?;
    if *there == here.value {
        return None;
    }
    let name = shown(again.name.as_ref());
    let reason = format!(
        "upstream `{name}` is in both halves, `{there}` and `{}`",
        here.value
    );
    Some(here.place.mistake(reason))
}

fn check_models(services: &[ServiceDraft], mistakes: &mut Vec<Mistake>) {
    let key = |service: &ServiceDraft| match &service.kind {
        Some(Kind::Engine(model)) => Some((value(service.half.as_ref())?.clone(), model.clone())),
        _ => None,
    };
    for Repeat { first, again } in repeats(services, key) {
        if value(again.name.as_ref()) != value(first.name.as_ref()) {
            let (name, half) = (shown(first.name.as_ref()), shown(again.half.as_ref()));
            let reason = format!("service `{name}` already serves this model in half `{half}`");
            mistakes.push(again.place.mistake(reason));
        }
    }
}

fn check_keys(workspaces: &[WorkspaceDraft], mistakes: &mut Vec<Mistake>) {
    let mut owners: Map<&String, &WorkspaceDraft> = Map::default();
    for workspace in workspaces {
        let Some(digests) = &workspace.key_digests else {
            continue;
        };
        for digest in &digests.value {
            let Some(first) = owners.insert(digest, workspace) else {
                continue;
            };
            let (name, place) = (shown(first.name.as_ref()), at(&first.place));
            let reason = format!("a key of this workspace opens `{name}` at {place} already");
            mistakes.push(digests.place.mistake(reason));
        }
    }
}

fn check_addresses(upstreams: &[UpstreamDraft], mistakes: &mut Vec<Mistake>) {
    for Repeat { first, again } in repeats(upstreams, |it| value(it.address.as_ref())) {
        if value(again.name.as_ref()) != value(first.name.as_ref()) {
            let (address, name) = (shown(again.address.as_ref()), shown(first.name.as_ref()));
            let reason = format!("address {address} is that of upstream `{name}` already");
            let place = place(again.address.as_ref(), &again.place);
            mistakes.push(place.mistake(reason));
        }
    }
}

fn check_halves(declarations: &Declarations, mistakes: &mut Vec<Mistake>) {
    let services = declarations.services.iter().map(|it| &it.half);
    let workspaces = declarations.workspaces.iter().map(|it| &it.half);
    let mut known = Vec::new();
    for half in services.chain(workspaces).flatten() {
        if known.contains(&&half.value) {
            continue;
        }
        if known.len() < HALVES_MAX {
            known.push(&half.value);
            continue;
        }
        let (found, first, second) = (&half.value, known[0], known[1]);
        let reason = format!("`{found}` is a third half, after `{first}` and `{second}`");
        mistakes.push(half.place.mistake(reason));
    }
}

fn check_service(
    upstream: &UpstreamDraft,
    services: &Services<'_>,
    partial: bool,
    mistakes: &mut Vec<Mistake>,
) {
    let Some(name) = &upstream.service else {
        return;
    };
    let Some(service) = services.get(&name.value) else {
        if !partial {
            let reason = format!("no file declares the service `{}`", name.value);
            mistakes.push(name.place.mistake(reason));
        }
        return;
    };
    mistakes.extend(check_half(upstream, service));
    mistakes.extend(check_memory(upstream, service));
}

fn check_half(upstream: &UpstreamDraft, service: &ServiceDraft) -> Option<Mistake> {
    let own = upstream.half.as_ref()?;
    let other = value(service.half.as_ref())?;
    if own.value == *other {
        return None;
    }
    let (half, name) = (&own.value, shown(service.name.as_ref()));
    let reason = format!("half `{half}` is not that of the service `{name}`, `{other}`");
    Some(own.place.mistake(reason))
}

fn check_memory(upstream: &UpstreamDraft, service: &ServiceDraft) -> Option<Mistake> {
    let engine = matches!(service.kind.as_ref()?, Kind::Engine(_));
    let reason = match (engine, upstream.memory_tokens? > 0) {
        (true, false) => "an upstream of an engine service needs `memory_tokens`",
        (false, true) => "an upstream of a plain service has no `memory_tokens`",
        _ => return None,
    };
    Some(upstream.place.mistake(reason.to_owned()))
}
