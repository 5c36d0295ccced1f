//! Declarations of services, workspaces and upstreams, with their locations.

use std::net::SocketAddr;
use std::time::Duration;

use crate::state::files::table::{Located, Location, Source, Table};
use crate::state::files::value;
use crate::state::fleet::{Fleet, Kind, Lifecycle, Service, Upstream, Workspace};
use crate::state::name;

/// The time limit of a service that specifies none.
pub const TIMEOUT_DEFAULT: Duration = Duration::from_secs(120);
/// The minimum time limit of a service.
pub const TIMEOUT_MIN: Duration = Duration::from_millis(10);
/// The maximum time limit of a service.
pub const TIMEOUT_MAX: Duration = Duration::from_secs(24 * 60 * 60);
/// The retries per hundred first attempts of a service that specifies none.
pub const RETRY_PERCENT_DEFAULT: u32 = 20;
/// The maximum number of concurrent requests of an upstream.
pub const REQUESTS_MAX: u64 = 100_000;
/// The maximum weight of a workspace.
pub const WEIGHT_MAX: u64 = 1_000_000;

/// The declarations of all files.
#[derive(Debug, Default)]
pub(crate) struct Declarations {
    /// The services.
    pub(crate) services: Vec<ServiceDraft>,
    /// The workspaces.
    pub(crate) workspaces: Vec<WorkspaceDraft>,
    /// The upstreams.
    pub(crate) upstreams: Vec<UpstreamDraft>,
    /// Whether a file could not be parsed, so that declarations may be missing.
    pub(crate) partial: bool,
}

/// A declared service, without its invalid fields.
#[derive(Debug)]
pub(crate) struct ServiceDraft {
    pub(crate) location: Location,
    pub(crate) name: Option<Located<name::Service>>,
    pub(crate) half: Option<Located<name::Half>>,
    pub(crate) kind: Option<Kind>,
    timeout: Duration,
    repeatable: bool,
    retry_percent: u32,
}

/// A declared workspace, without its invalid fields.
#[derive(Debug)]
pub(crate) struct WorkspaceDraft {
    pub(crate) location: Location,
    pub(crate) name: Option<Located<name::Workspace>>,
    pub(crate) half: Option<Located<name::Half>>,
    pub(crate) key_digests: Option<Located<Vec<String>>>,
    weight: u32,
}

/// A declared upstream, without its invalid fields.
#[derive(Debug)]
pub(crate) struct UpstreamDraft {
    pub(crate) location: Location,
    pub(crate) name: Option<Located<name::Upstream>>,
    pub(crate) service: Option<Located<name::Service>>,
    pub(crate) half: Option<Located<name::Half>>,
    pub(crate) address: Option<Located<SocketAddr>>,
    /// Zero if absent, `None` if invalid.
    pub(crate) memory_tokens: Option<u64>,
    zone: Option<Located<name::Zone>>,
    cold_requests: Option<Located<u32>>,
    warm_requests: Option<Located<u32>>,
    fencing: bool,
}

impl Declarations {
    /// Adds the declarations of one file and reports mistakes to `source`.
    pub(crate) fn read(&mut self, source: &Source<'_>) {
        let Some(mut root) = source.parse() else {
            self.partial = true;
            return;
        };
        let services = root.tables("service").into_iter();
        self.services.extend(services.map(ServiceDraft::read));
        let workspaces = root.tables("workspace").into_iter();
        self.workspaces.extend(workspaces.map(WorkspaceDraft::read));
        let upstreams = root.tables("upstream").into_iter();
        self.upstreams.extend(upstreams.map(UpstreamDraft::read));
        root.finish();
    }

    /// Returns the declared fleet at version zero. Omits drafts with absent fields, which the
    /// caller has reported.
    pub(crate) fn into_fleet(self) -> Fleet {
        let services = self.services.into_iter().filter_map(ServiceDraft::build);
        let workspaces = self
            .workspaces
            .into_iter()
            .filter_map(WorkspaceDraft::build);
        let upstreams = self.upstreams.into_iter().filter_map(UpstreamDraft::build);
        Fleet {
            services: services.map(|it| (it.name.clone(), it)).collect(),
            workspaces: workspaces.map(|it| (it.name.clone(), it)).collect(),
            upstreams: upstreams.map(|it| (it.name.clone(), it)).collect(),
            ..Fleet::default()
        }
    }
}

impl ServiceDraft {
    fn read(mut table: Table<'_, '_>) -> Self {
        let timeout = value::duration(TIMEOUT_MIN..=TIMEOUT_MAX);
        let percent = value::integer(0..=100);
        let draft = Self {
            location: table.location(),
            name: table.required("name", value::checked),
            half: table.required("half", value::checked),
            kind: read_kind(&mut table),
            timeout: table.value_or("timeout", TIMEOUT_DEFAULT, timeout),
            repeatable: table.value_or("repeatable", true, value::boolean),
            retry_percent: table.value_or("retry_percent", RETRY_PERCENT_DEFAULT, percent),
        };
        table.finish();
        draft
    }

    fn build(self) -> Option<Service> {
        Some(Service {
            name: self.name?.value,
            half: self.half?.value,
            kind: self.kind?,
            timeout_ms: self.timeout.as_millis() as u64,
            repeatable: self.repeatable,
            retry_percent: self.retry_percent,
        })
    }
}

impl WorkspaceDraft {
    fn read(mut table: Table<'_, '_>) -> Self {
        let draft = Self {
            location: table.location(),
            name: table.required("name", value::checked),
            half: table.required("half", value::checked),
            key_digests: table.required("key_digests", value::list(value::digest)),
            weight: table.value_or("weight", 1, value::integer(1..=WEIGHT_MAX)),
        };
        if let Some(digests) = &draft.key_digests
            && digests.value.is_empty()
        {
            let reason = "`workspace.key_digests`: a workspace needs at least one key";
            table.report_at(&digests.location, reason.to_owned());
        }
        table.finish();
        draft
    }

    fn build(self) -> Option<Workspace> {
        Some(Workspace {
            name: self.name?.value,
            half: self.half?.value,
            key_digests: self.key_digests?.value,
            weight: self.weight,
        })
    }
}

impl UpstreamDraft {
    fn read(mut table: Table<'_, '_>) -> Self {
        let has_memory = table.contains("memory_tokens");
        let memory = table.optional("memory_tokens", value::tokens);
        let requests = || value::integer(1..=REQUESTS_MAX);
        let draft = Self {
            location: table.location(),
            name: table.required("name", value::checked),
            service: table.required("service", value::checked),
            half: table.required("half", value::checked),
            address: table.required("address", value::remote_address),
            memory_tokens: match memory {
                Some(memory) => Some(memory.value),
                None => (!has_memory).then_some(0),
            },
            zone: table.required("zone", value::checked),
            cold_requests: table.required("cold_requests", requests()),
            warm_requests: table.required("warm_requests", requests()),
            fencing: table.value_or("fencing", false, value::boolean),
        };
        draft.check_limits(&table);
        table.finish();
        draft
    }

    fn check_limits(&self, table: &Table<'_, '_>) {
        let (Some(cold), Some(warm)) = (&self.cold_requests, &self.warm_requests) else {
            return;
        };
        if cold.value > warm.value {
            let (low, high) = (cold.value, warm.value);
            let reason = format!("`cold_requests` {low} is above `warm_requests` {high}");
            table.report_at(&cold.location, reason);
        }
    }

    fn build(self) -> Option<Upstream> {
        Some(Upstream {
            name: self.name?.value,
            service: self.service?.value,
            half: self.half?.value,
            zone: self.zone?.value,
            address: self.address?.value,
            cold_requests: self.cold_requests?.value,
            warm_requests: self.warm_requests?.value,
            memory_tokens: self.memory_tokens?,
            fencing: self.fencing,
            state: Lifecycle::Live,
        })
    }
}

fn read_kind(table: &mut Table<'_, '_>) -> Option<Kind> {
    let kind = table.required("kind", value::string);
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
            table.report("a plain service must not have `service.model`".to_owned());
            None
        }
        (other, _) => {
            let reason = format!("`service.kind`: expected `engine` or `plain`, found `{other}`");
            table.report_at(&kind.location, reason);
            None
        }
    }
}
