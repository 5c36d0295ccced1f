//! Reads the body of a request that may be served, from a client or another daemon.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use hyper::body::Incoming;
use primrosehoist::protocol::handover;
use primrosehoist::state::handoff::Handoff;
use primrosehoist::state::route::{Route, Service, Table, Workspace};
use primrosehoist::transport::http::body::{self, Budget, Buffered};
use primrosehoist::transport::http::server::Receipt;
use primrosehoist_platform::header;
use tokio::time::Instant;

use super::job::{self, Job};

/// The longest time without progress on a request body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The timeout for a complete request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// A request that may be served, before its body is read.
pub(crate) struct Admission {
    pub(crate) head: Parts,
    pub(crate) request: header::Request,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// The host of the daemon that handed the request over.
    pub(crate) entry: Option<Arc<str>>,
    /// The largest number of upstreams on which the request may run.
    pub(crate) attempts_max: u64,
    /// Whether the client has received a part of the answer from another daemon.
    pub(crate) resumes: bool,
    pub(crate) received: Instant,
    pub(crate) deadline: Instant,
    /// The host's total suspended time when the request was received.
    pub(crate) suspended: Duration,
}

/// Returns the service for request `id` on `route`.
pub(crate) fn service<'a>(table: &'a Table, route: &Route, id: &str) -> Option<&'a Arc<Service>> {
    let hash = job::fingerprint(id, "", &[]) >> 8;
    let name = route.pick_service(hash)?;
    table.service(name)
}

impl Admission {
    /// Reads the body within `budget`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is larger than `bytes_max` or cannot be read.
    pub(crate) async fn read_body(
        self,
        body: &mut Incoming,
        bytes_max: u64,
        budget: &Budget,
    ) -> Result<Job, body::Error> {
        let limits = body::Limits {
            bytes_max,
            idle_timeout: BODY_IDLE_TIMEOUT,
            total_timeout: BODY_TIMEOUT,
        };
        let body = Buffered::collect(body, &limits, budget).await?;
        if let Some(receipt) = self.head.extensions.get::<Receipt>() {
            receipt.complete();
        }
        Ok(self.into_job(body))
    }

    /// Returns the request with its `body`.
    pub(crate) fn into_job(self, body: Buffered) -> Job {
        let Self {
            mut head,
            request,
            route,
            service,
            workspace,
            entry,
            attempts_max,
            resumes,
            received,
            deadline,
            suspended,
        } = self;
        handover::strip(&mut head.headers);
        let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let workspace_name = workspace.as_ref().map(|workspace| &workspace.name);
        // Unlike the client's key, the name is also known of a request that was handed over.
        let client = workspace_name.map_or("", |name| name.as_ref());
        let fingerprint = job::fingerprint(client, target, body.bytes());
        let priority = workspace.as_ref().and_then(|workspace| workspace.priority);
        Job {
            fingerprint,
            handoff: Handoff::default(),
            crash_causes: job::crash_causes(fingerprint, &request.shared_parts),
            target: target.to_owned(),
            method: head.method,
            headers: head.headers,
            body,
            service,
            workspace: workspace_name.map(Arc::clone),
            priority: priority.unwrap_or(route.priority),
            route,
            request,
            entry,
            attempts_max,
            resumes,
            received,
            deadline,
            suspended,
        }
    }
}
