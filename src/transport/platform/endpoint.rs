//! Calls to one address of the platform, whatever the dialect of their content.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::transport::platform::connection::{Connection, Failure, Pool};
use crate::transport::platform::{Error, RESPONSE_BYTES_MAX};

/// The pause that is asked for when the platform names none.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An address of the platform with the connections to it. Clones share them.
#[derive(Debug, Clone)]
pub struct Endpoint {
    address: Arc<str>,
    headers: HeaderMap,
    pool: Pool,
}

impl Endpoint {
    /// Creates an endpoint that sends `headers` with each call.
    pub fn new(address: &str, headers: HeaderMap) -> Self {
        Self {
            address: Arc::from(address),
            headers,
            pool: Pool::new(address),
        }
    }

    /// Closes the idle connections, so that the next calls open new ones.
    pub fn close_idle(&self) {
        self.pool.clear();
    }

    /// Makes a call and returns the body of its answer. `step` names the call in errors.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed or was not answered within `limit`.
    pub async fn call(
        &self,
        step: &str,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, Error> {
        let answered = async {
            let (response, connection) = self.send(step, method, path, body, limit).await?;
            let (head, body) = response.into_parts();
            let answer = read(step, body).await?;
            self.pool.put_idle(connection);
            check(step, &head)?;
            Ok(answer)
        };
        tokio::time::timeout(limit, answered)
            .await
            .unwrap_or_else(|elapsed| {
                Err(Error::Lost {
                    step: step.to_owned(),
                    cause: elapsed.to_string(),
                })
            })
    }

    /// Makes a call and returns its answer, whose body is still to come, with the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the head of the answer does not come within `limit`.
    pub(crate) async fn send(
        &self,
        step: &str,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(Response<Incoming>, Connection), Error> {
        let unsent = |cause: String| Error::Unreachable {
            step: step.to_owned(),
            cause,
        };
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.as_ref())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|cause| unsent(cause.to_string()))?;
        let headers = self.headers.iter();
        request
            .headers_mut()
            .extend(headers.map(|(name, value)| (name.clone(), value.clone())));
        let lost = |cause: String| Error::Lost {
            step: step.to_owned(),
            cause,
        };
        match tokio::time::timeout(limit, self.pool.send(request)).await {
            Ok(Ok(answered)) => Ok(answered),
            Ok(Err(Failure::Unsent(cause))) => Err(unsent(cause)),
            Ok(Err(Failure::Sent(cause))) => Err(lost(cause)),
            Err(elapsed) => Err(lost(elapsed.to_string())),
        }
    }
}

/// Turns a status other than success into an error.
pub(crate) fn check(step: &str, head: &Parts) -> Result<(), Error> {
    let step = step.to_owned();
    match head.status {
        status if status.is_success() => Ok(()),
        StatusCode::CONFLICT => Err(Error::Conflict { step }),
        StatusCode::NOT_FOUND => Err(Error::NotFound { step }),
        StatusCode::GONE => Err(Error::Gone { step }),
        StatusCode::TOO_MANY_REQUESTS => Err(Error::RateLimited {
            step,
            retry_after: retry_after(head),
        }),
        status => Err(Error::Status {
            step,
            status: status.as_u16(),
        }),
    }
}

fn retry_after(head: &Parts) -> Duration {
    let value = head.headers.get(header::RETRY_AFTER);
    let seconds = value.and_then(|value| value.to_str().ok()?.parse().ok());
    seconds.map_or(RETRY_AFTER, Duration::from_secs)
}

async fn read(step: &str, body: Incoming) -> Result<Bytes, Error> {
    let body = Limited::new(body, RESPONSE_BYTES_MAX);
    let whole = body.collect().await.map_err(|cause| Error::Lost {
        step: step.to_owned(),
        cause: cause.to_string(),
    })?;
    Ok(whole.to_bytes())
}
