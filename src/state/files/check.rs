//! Checks that span several declarations.

use std::hash::Hash;

use crate::state::files::Mistake;
use crate::state::files::declaration::Declarations;
use crate::state::files::table::{Located, Place};
use crate::state::fleet::{Kind, Service, Upstream};
use crate::state::map::Map;
use crate::state::name;

/// The number of halves that the organisation has.
const HALVES_MAX: usize = 2;

/// Returns the mistakes that show only between declarations.
pub(crate) fn check(declarations: &Declarations) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    check_names(declarations, &mut mistakes);
    check_models(&declarations.services, &mut mistakes);
    check_keys(declarations, &mut mistakes);
    check_addresses(&declarations.upstreams, &mut mistakes);
    check_halves(declarations, &mut mistakes);
    let services = by_name(&declarations.services);
    for upstream in &declarations.upstreams {
        check_service(upstream, &services, declarations, &mut mistakes);
    }
    mistakes
}

type Services<'d> = Map<&'d name::Service, &'d Located<Service>>;

fn by_name(services: &[Located<Service>]) -> Services<'_> {
    let mut map = Services::default();
    for service in services {
        map.entry(&service.value.name).or_insert(service);
    }
    map
}

/// Two declarations that must not agree and do.
struct Repeat<'d, T> {
    first: &'d Located<T>,
    again: &'d Located<T>,
}

/// Returns each item whose key an earlier item has. Items without a key are passed over.
fn repeats<'d, T, K, F>(items: &'d [Located<T>], key: F) -> Vec<Repeat<'d, T>>
where
    K: Eq + Hash,
    F: Fn(&'d T) -> Option<K>,
{
    let mut seen: Map<K, &Located<T>> = Map::default();
    let mut repeats = Vec::new();
    for again in items {
        let Some(key) = key(&again.value) else {
            continue;
        };
        match seen.get(&key) {
            Some(first) => repeats.push(Repeat { first, again }),
            None => {
                seen.insert(key, again);
            }
        }
    }
    repeats
}

fn at(place: &Place) -> String {
    format!("{}:{}", place.file, place.line)
}

fn check_names(declarations: &Declarations, mistakes: &mut Vec<Mistake>) {
    for Repeat { first, again } in repeats(&declarations.services, |it| Some(&it.name)) {
        let name = again.value.name.as_str();
        mistakes.push(declared_twice("service", name, &first.place, &again.place));
    }
    for Repeat { first, again } in repeats(&declarations.workspaces, |it| Some(&it.name)) {
        let name = again.value.name.as_str();
        mistakes.push(declared_twice(
            "workspace",
            name,
            &first.place,
            &again.place,
        ));
    }
    for Repeat { first, again } in repeats(&declarations.upstreams, |it| Some(&it.name)) {
        let name = again.value.name.as_str();
        mistakes.push(declared_twice("upstream", name, &first.place, &again.place));
        if again.value.half != first.value.half {
            let (here, there) = (&again.value.half, &first.value.half);
            let reason = format!("upstream `{name}` is in both halves, `{there}` and `{here}`");
            mistakes.push(again.place.mistake(reason));
        }
    }
}

fn declared_twice(kind: &str, name: &str, first: &Place, again: &Place) -> Mistake {
    again.mistake(format!(
        "{kind} `{name}` is declared already at {}",
        at(first)
    ))
}

fn check_models(services: &[Located<Service>], mistakes: &mut Vec<Mistake>) {
    let key = |service: &Service| match &service.kind {
        Kind::Engine(model) => Some((service.half.clone(), model.clone())),
        Kind::Plain => None,
    };
    for Repeat { first, again } in repeats(services, key) {
        if again.value.name != first.value.name {
            let (name, half) = (&first.value.name, &again.value.half);
            let reason = format!("service `{name}` already serves this model in half `{half}`");
            mistakes.push(again.place.mistake(reason));
        }
    }
}

fn check_keys(declarations: &Declarations, mistakes: &mut Vec<Mistake>) {
    let mut owners = Map::default();
    for workspace in &declarations.workspaces {
        for digest in &workspace.value.key_digests {
            let Some(first) = owners.insert(digest, workspace) else {
                continue;
            };
            let (name, place) = (&first.value.name, at(&first.place));
            let reason = format!("a key of this workspace opens `{name}` at {place} already");
            mistakes.push(workspace.place.mistake(reason));
        }
    }
}

fn check_addresses(upstreams: &[Located<Upstream>], mistakes: &mut Vec<Mistake>) {
    for Repeat { first, again } in repeats(upstreams, |it| Some(it.address)) {
        if again.value.name != first.value.name {
            let (address, name) = (again.value.address, &first.value.name);
            let reason = format!("address {address} is that of upstream `{name}` already");
            mistakes.push(again.place.mistake(reason));
        }
    }
}

fn check_halves(declarations: &Declarations, mistakes: &mut Vec<Mistake>) {
    let services = declarations.services.iter();
    let services = services.map(|it| (&it.value.half, &it.place));
    let workspaces = declarations.workspaces.iter();
    let workspaces = workspaces.map(|it| (&it.value.half, &it.place));
    let mut known = Vec::new();
    for (half, place) in services.chain(workspaces) {
        if known.contains(&half) {
            continue;
        }
        if known.len() < HALVES_MAX {
            known.push(half);
            continue;
        }
        let reason = format!(
            "`{half}` is a third half, after `{}` and `{}`",
            known[0], known[1]
        );
        mistakes.push(place.mistake(reason));
    }
}

fn check_service(
    upstream: &Located<Upstream>,
    services: &Services<'_>,
    declarations: &Declarations,
    mistakes: &mut Vec<Mistake>,
) {
    let name = &upstream.value.service;
    let mut report = |reason| mistakes.push(upstream.place.mistake(reason));
    let Some(service) = services.get(name) else {
        if !declarations.partial && !declarations.broken_services.contains(name) {
            report(format!("no file declares the service `{name}`"));
        }
        return;
    };
    let (own, other) = (&upstream.value.half, &service.value.half);
    if own != other {
        report(format!(
            "half `{own}` is not that of the service `{name}`, `{other}`"
        ));
    }
    let engine = matches!(service.value.kind, Kind::Engine(_));
    let memory = upstream.value.memory_tokens > 0;
    match (engine, memory) {
        (true, false) => report("an upstream of an engine service needs `memory_tokens`".into()),
        (false, true) => report("an upstream of a plain service has no `memory_tokens`".into()),
        _ => {}
    }
}
