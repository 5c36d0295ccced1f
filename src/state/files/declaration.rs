//! Declarations of services, workspaces and upstreams, each with its place.

use std::time::Duration;

use crate::state::files::table::{Located, Place, Source, Table};
use crate::state::files::value;
use crate::state::fleet::{Fleet, Kind, Presence, Service, Upstream, Workspace};
use crate::state::name;

/// The time limit of a service that states none.
pub const TIMEOUT_DEFAULT: Duration = Duration::from_secs(120);
/// The shortest accepted time limit of a service.
pub const TIMEOUT_MIN: Duration = Duration::from_millis(10);
/// The longest accepted time limit of a service.
pub const TIMEOUT_MAX: Duration = Duration::from_secs(24 * 60 * 60);
/// Retries per hundred first attempts of a service that states none.
pub const RETRY_PERCENT_DEFAULT: u32 = 20;
/// The largest accepted number of requests that an upstream bears at once.
pub const REQUESTS_MAX: u64 = 100_000;
/// The largest accepted weight of a workspace.
pub const WEIGHT_MAX: u64 = 1_000_000;

/// Everything that the files declare.
#[derive(Debug, Default)]
pub(crate) struct Declarations {
    /// The whole services.
    pub(crate) services: Vec<Located<Service>>,
    /// The whole workspaces.
    pub(crate) workspaces: Vec<Located<Workspace>>,
    /// The whole upstreams.
    pub(crate) upstreams: Vec<Located<Upstream>>,
    /// Names of services that are declared with mistakes.
    pub(crate) broken_services: Vec<name::Service>,
    /// Whether a file could not be parsed, so that declarations may be missing.
    pub(crate) partial: bool,
}

impl Declarations {
    /// Adds the declarations of one file and reports the mistakes to `source`.
    pub(crate) fn read(&mut self, source: &Source<'_>) {
        let Some(mut root) = source.parse() else {
            self.partial = true;
            return;
        };
        for table in root.tables("service") {
            self.read_service(table);
        }
        for table in root.tables("workspace") {
            self.workspaces.extend(read_workspace(table));
        }
        for table in root.tables("upstream") {
            self.upstreams.extend(read_upstream(table));
        }
        root.finish();
    }

    /// Returns the declared fleet at version zero.
    pub(crate) fn into_fleet(self) -> Fleet {
        let services = self.services.into_iter().map(|located| located.value);
        let workspaces = self.workspaces.into_iter().map(|located| located.value);
        let upstreams = self.upstreams.into_iter().map(|located| located.value);
        Fleet {
            services: services.map(|it| (it.name.clone(), it)).collect(),
            workspaces: workspaces.map(|it| (it.name.clone(), it)).collect(),
            upstreams: upstreams.map(|it| (it.name.clone(), it)).collect(),
            ..Fleet::default()
        }
    }

    fn read_service(&mut self, mut table: Table<'_, '_>) {
        let place = table.place();
        let name = table.required("name", value::checked::<name::Service>);
        let half = table.required("half", value::checked::<name::Half>);
        let kind = read_kind(&mut table);
        let timeout = value::duration(TIMEOUT_MIN..=TIMEOUT_MAX);
        let timeout = table.value_or("timeout", TIMEOUT_DEFAULT, timeout);
        let repeatable = table.value_or("repeatable", true, value::flag);
        let percent = value::integer(0..=100);
        let retry_percent = table.value_or("retry_percent", RETRY_PERCENT_DEFAULT, percent);
        table.finish();
        let Some(name) = name else { return };
        let (Some(half), Some(kind)) = (half, kind) else {
            self.broken_services.push(name.value);
            return;
        };
        let service = Service {
            name: name.value,
            half: half.value,
            kind,
            timeout_ms: timeout.as_millis() as u64,
            repeatable,
            retry_percent,
        };
        self.services.push(locate(place, service));
    }
}

fn locate<T>(place: Place, value: T) -> Located<T> {
    Located { place, value }
}

fn read_kind(table: &mut Table<'_, '_>) -> Option<Kind> {
    let kind = table.required("kind", value::text);
    let has_model = table.contains("model");
    let model = table.optional("model", value::checked::<name::Model>);
    let kind = kind?;
    match (kind.value.as_str(), has_model) {
        ("engine", true) => model.map(|model| Kind::Engine(model.value)),
        ("engine", false) => {
            table.report("an engine service needs the key `service.model`".to_owned());
            None
        }
        ("plain", false) => Some(Kind::Plain),
        ("plain", true) => {
            table.report("a plain service has no `service.model`".to_owned());
            None
        }
        (other, _) => {
            let reason = format!("`service.kind`: expected `engine` or `plain`, found `{other}`");
            table.report_at(&kind.place, reason);
            None
        }
    }
}

fn read_workspace(mut table: Table<'_, '_>) -> Option<Located<Workspace>> {
    let place = table.place();
    let name = table.required("name", value::checked::<name::Workspace>);
    let half = table.required("half", value::checked::<name::Half>);
    let digests = table.required("key_digests", value::list(value::digest));
    let weight = table.value_or("weight", 1, value::integer(1..=WEIGHT_MAX));
    if digests.as_ref().is_some_and(|it| it.value.is_empty()) {
        table.report("`workspace.key_digests`: a workspace needs at least one key".to_owned());
    }
    table.finish();
    let workspace = Workspace {
        name: name?.value,
        half: half?.value,
        key_digests: digests?.value,
        weight,
    };
    Some(locate(place, workspace))
}

fn check_limits(table: &Table<'_, '_>, cold: Option<&Located<u32>>, warm: Option<&Located<u32>>) {
    let (Some(cold), Some(warm)) = (cold, warm) else {
        return;
    };
    if cold.value > warm.value {
        let (low, high) = (cold.value, warm.value);
        let reason = format!("`cold_requests` {low} is above `warm_requests` {high}");
        table.report_at(&cold.place, reason);
    }
}

fn read_upstream(mut table: Table<'_, '_>) -> Option<Located<Upstream>> {
    let place = table.place();
    let name = table.required("name", value::checked::<name::Upstream>);
    let service = table.required("service", value::checked::<name::Service>);
    let half = table.required("half", value::checked::<name::Half>);
    let zone = table.required("zone", value::checked::<name::Zone>);
    let address = table.required("address", value::reachable);
    let cold = table.required("cold_requests", value::integer(1..=REQUESTS_MAX));
    let warm = table.required("warm_requests", value::integer(1..=REQUESTS_MAX));
    // A wrong value is reported once, and not again as a missing one.
    let has_memory = table.contains("memory_tokens");
    let memory = table.optional("memory_tokens", value::tokens);
    let fencing = table.value_or("fencing", false, value::flag);
    check_limits(&table, cold.as_ref(), warm.as_ref());
    table.finish();
    if has_memory && memory.is_none() {
        return None;
    }
    let upstream = Upstream {
        name: name?.value,
        service: service?.value,
        half: half?.value,
        zone: zone?.value,
        address: address?.value,
        cold_requests: cold?.value,
        warm_requests: warm?.value,
        memory_tokens: memory.map_or(0, |located| located.value),
        fencing,
        state: Presence::Live,
    };
    Some(locate(place, upstream))
}
