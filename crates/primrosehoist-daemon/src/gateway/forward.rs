//! Builds the request to an upstream.

use std::time::Duration;

use http::Request;
use http_body_util::BodyExt;
use primrosehoist::transport::http::Payload;
use primrosehoist_platform::header;

use super::job::Job;
use super::placement::Placement;

/// The priority of a response that is resumed. Its client soon gives up on the rest.
const RESUMED_PRIORITY: u64 = 0;

/// Returns the request for an attempt of `job` that may take `remaining` and goes on after `last_event`.
///
/// # Errors
///
/// Returns an error if no header holds what the upstream must be told.
pub(super) fn request(
    job: &Job,
    placement: &Placement,
    remaining: Duration,
    last_event: Option<u64>,
) -> Result<Request<Payload>, header::Error> {
    let helpers = placement.helpers.iter().enumerate();
    let helpers = helpers.map(|(index, helper)| {
        let reservation = placement.reservation.as_ref();
        let ticket = reservation.and_then(|reservation| reservation.ticket(index));
        (helper.address, ticket.map(str::to_owned))
    });
    let helpers: Vec<_> = helpers.collect();
    let overrides = header::Overrides {
        upstream: &placement.upstream.id,
        remaining,
        workspace: job.workspace.as_deref(),
        priority: if job.resumes_with(last_event) {
            RESUMED_PRIORITY
        } else {
            job.priority
        },
        last_event,
        helpers: &helpers,
    };
    let body = job.body.replay().boxed_unsync();
    let mut request = Request::new(body);
    *request.method_mut() = job.method.clone();
    // The target was parsed from a request, so parsing it again succeeds.
    *request.uri_mut() = job.target.parse().unwrap_or_default();
    *request.headers_mut() = header::forward(&job.headers, &overrides)?;
    Ok(request)
}
