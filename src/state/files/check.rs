//! Checks that span several declarations.

use std::hash::Hash;

use crate::state::files::Diagnostic;
use crate::state::files::declaration::{Declarations, ServiceDraft, UpstreamDraft, WorkspaceDraft};
use crate::state::files::table::{Located, Location};
use crate::state::fleet::Kind;
use crate::state::map::Map;
use crate::state::name;

/// The maximum number of halves of the organisation.
const HALVES_MAX: usize = 2;

/// Returns the mistakes that involve several declarations.
pub(crate) fn check(declarations: &Declarations) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    check_names(declarations, &mut diagnostics);
    check_models(&declarations.services, &mut diagnostics);
    check_keys(&declarations.workspaces, &mut diagnostics);
    check_addresses(&declarations.upstreams, &mut diagnostics);
    check_halves(declarations, &mut diagnostics);
    let services = by_name(&declarations.services);
    for upstream in &declarations.upstreams {
        check_service(upstream, &services, declarations.partial, &mut diagnostics);
    }
    diagnostics
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

/// Two declarations with the same key.
struct Duplicate<'d, T> {
    first: &'d T,
    second: &'d T,
}

/// Returns each item whose key an earlier item has. Skips items without a key.
fn duplicates<'d, T, K, F>(items: &'d [T], key: F) -> Vec<Duplicate<'d, T>>
where
    K: Eq + Hash,
    F: Fn(&'d T) -> Option<K>,
{
    let mut seen: Map<K, &T> = Map::default();
    let mut duplicates = Vec::new();
    for second in items {
        let Some(key) = key(second) else {
            continue;
        };
        match seen.get(&key) {
            Some(&first) => duplicates.push(Duplicate { first, second }),
            None => {
                seen.insert(key, second);
            }
        }
    }
    duplicates
}

/// Returns the value of a valid field.
fn value<T>(field: Option<&Located<T>>) -> Option<&T> {
    field.map(|located| &located.value)
}

/// Returns the location of a field, or that of its table if the field is absent or invalid.
fn location<'d, T>(field: Option<&'d Located<T>>, table: &'d Location) -> &'d Location {
    field.map_or(table, |located| &located.location)
}

fn format_location(location: &Location) -> String {
    format!("{}:{}", location.file, location.line)
}

fn display<T>(field: Option<&Located<T>>) -> String
where
    T: ToString,
{
    value(field).map(T::to_string).unwrap_or_default()
}

fn check_names(declarations: &Declarations, diagnostics: &mut Vec<Diagnostic>) {
    for Duplicate { first, second } in
        duplicates(&declarations.services, |it| value(it.name.as_ref()))
    {
        let first = location(first.name.as_ref(), &first.location);
        diagnostics.extend(declared_twice("service", second.name.as_ref(), first));
    }
    for Duplicate { first, second } in
        duplicates(&declarations.workspaces, |it| value(it.name.as_ref()))
    {
        let first = location(first.name.as_ref(), &first.location);
        diagnostics.extend(declared_twice("workspace", second.name.as_ref(), first));
    }
    for Duplicate { first, second } in
        duplicates(&declarations.upstreams, |it| value(it.name.as_ref()))
    {
        let name = second.name.as_ref();
        let first_location = location(first.name.as_ref(), &first.location);
        diagnostics.extend(declared_twice("upstream", name, first_location));
        diagnostics.extend(in_both_halves(first, second));
    }
}

fn declared_twice<T>(
    kind: &str,
    second: Option<&Located<T>>,
    first: &Location,
) -> Option<Diagnostic>
where
    T: ToString,
{
    let second = second?;
    let name = second.value.to_string();
    let reason = format!(
        "{kind} `{name}` is already declared at {}",
        format_location(first)
    );
    Some(second.location.diagnostic(reason))
}

fn in_both_halves(first: &UpstreamDraft, second: &UpstreamDraft) -> Option<Diagnostic> {
    let first_half = value(first.half.as_ref())?;
    let second_half = second.half.as_ref()?;
    if *first_half == second_half.value {
        return None;
    }
    let name = display(second.name.as_ref());
    let reason = format!(
        "upstream `{name}` is in both halves, `{first_half}` and `{}`",
        second_half.value
    );
    Some(second_half.location.diagnostic(reason))
}

fn check_models(services: &[ServiceDraft], diagnostics: &mut Vec<Diagnostic>) {
    let key = |service: &ServiceDraft| match &service.kind {
        Some(Kind::Engine(model)) => Some((value(service.half.as_ref())?.clone(), model.clone())),
        _ => None,
    };
    for Duplicate { first, second } in duplicates(services, key) {
        if value(second.name.as_ref()) != value(first.name.as_ref()) {
            let (name, half) = (display(first.name.as_ref()), display(second.half.as_ref()));
            let reason = format!("service `{name}` already serves this model in half `{half}`");
            diagnostics.push(second.location.diagnostic(reason));
        }
    }
}

fn check_keys(workspaces: &[WorkspaceDraft], diagnostics: &mut Vec<Diagnostic>) {
    let mut owners: Map<&String, &WorkspaceDraft> = Map::default();
    for workspace in workspaces {
        let Some(digests) = &workspace.key_digests else {
            continue;
        };
        for digest in &digests.value {
            let Some(first) = owners.insert(digest, workspace) else {
                continue;
            };
            let (name, location) = (
                display(first.name.as_ref()),
                format_location(&first.location),
            );
            let reason =
                format!("a key of this workspace already belongs to `{name}` at {location}");
            diagnostics.push(digests.location.diagnostic(reason));
        }
    }
}

fn check_addresses(upstreams: &[UpstreamDraft], diagnostics: &mut Vec<Diagnostic>) {
    for Duplicate { first, second } in duplicates(upstreams, |it| value(it.address.as_ref())) {
        if value(second.name.as_ref()) != value(first.name.as_ref()) {
            let (address, name) = (
                display(second.address.as_ref()),
                display(first.name.as_ref()),
            );
            let reason = format!("address {address} is already used by upstream `{name}`");
            let location = location(second.address.as_ref(), &second.location);
            diagnostics.push(location.diagnostic(reason));
        }
    }
}

fn check_halves(declarations: &Declarations, diagnostics: &mut Vec<Diagnostic>) {
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
        diagnostics.push(half.location.diagnostic(reason));
    }
}

fn check_service(
    upstream: &UpstreamDraft,
    services: &Services<'_>,
    partial: bool,
    diagnostics: &mut Vec<Diagnostic>,
) {
    let Some(name) = &upstream.service else {
        return;
    };
    let Some(service) = services.get(&name.value) else {
        if !partial {
            let reason = format!("no file declares the service `{}`", name.value);
            diagnostics.push(name.location.diagnostic(reason));
        }
        return;
    };
    diagnostics.extend(check_half(upstream, service));
    diagnostics.extend(check_memory(upstream, service));
}

fn check_half(upstream: &UpstreamDraft, service: &ServiceDraft) -> Option<Diagnostic> {
    let half = upstream.half.as_ref()?;
    let service_half = value(service.half.as_ref())?;
    if half.value == *service_half {
        return None;
    }
    let (found, name) = (&half.value, display(service.name.as_ref()));
    let reason =
        format!("half `{found}` differs from half `{service_half}` of the service `{name}`");
    Some(half.location.diagnostic(reason))
}

fn check_memory(upstream: &UpstreamDraft, service: &ServiceDraft) -> Option<Diagnostic> {
    let engine = matches!(service.kind.as_ref()?, Kind::Engine(_));
    let reason = match (engine, upstream.memory_tokens? > 0) {
        (true, false) => "an upstream of an engine service needs `memory_tokens`",
        (false, true) => "an upstream of a plain service must not have `memory_tokens`",
        _ => return None,
    };
    Some(upstream.location.diagnostic(reason.to_owned()))
}
