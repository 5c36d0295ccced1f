//! Responses to callers.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use primrosehoist::protocol::openai::{self, ErrorBody};
use primrosehoist::protocol::outcome::{Failure, Outcome, Reason};
use primrosehoist::transport::http::BoxError;
use tokio::sync::oneshot::error::RecvError;

use crate::dispatch::Delivery;

/// The body of a response.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, BoxError>;

/// Returns the response for the delivery of a dispatched request.
pub(crate) fn from_delivery(
    delivery: Result<Delivery, RecvError>,
    id: &str,
) -> Response<ResponseBody> {
    match delivery {
        Ok(Delivery::Buffered(head, body)) => {
            response(head.status, &head.content_type, whole(body), id)
        }
        Ok(Delivery::Streamed(head, outlet)) => {
            let body = outlet.map_err(BoxError::from).boxed_unsync();
            response(head.status, &head.content_type, body, id)
        }
        Ok(Delivery::Failed(failure)) => from_failure(&failure, id),
        Err(_) => from_failure(&lost_task(), id),
    }
}

/// Returns a JSON response with status 200.
pub(crate) fn json(content: Vec<u8>, id: &str) -> Response<ResponseBody> {
    response(200, "application/json", whole(Bytes::from(content)), id)
}

/// Returns the response that reports a failure.
pub(crate) fn from_failure(failure: &Failure, id: &str) -> Response<ResponseBody> {
    let body = whole(Bytes::from(ErrorBody::new(failure, id).to_json()));
    let status = openai::status(failure.reason);
    let mut response = response(status, "application/json", body, id);
    if let Some(delay_ms) = failure.retry_after_ms {
        let seconds = delay_ms.div_ceil(1000);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn response(
    status: u16,
    content_type: &str,
    body: ResponseBody,
    id: &str,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert("x-request-id", value);
    }
    response
}

fn whole(body: Bytes) -> ResponseBody {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns the failure of a request whose task ended without a result, which only a bug can cause.
fn lost_task() -> Failure {
    Failure {
        outcome: Outcome::Unknown,
        reason: Reason::UpstreamFailed,
        message: "the request was lost inside the daemon".to_owned(),
        retry_after_ms: None,
    }
}
