//! Calls to one address of the platform, independent of the format of their content.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::transport::platform::connection::{Connection, Failure, Pool};
use crate::transport::platform::{Error, RESPONSE_BYTES_MAX, Target};

/// The retry delay if the platform specifies none.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// An address of the platform and its connection pool. Clones share the pool.
#[derive(Debug, Clone)]
pub struct Endpoint {
    address: Arc<str>,
    headers: HeaderMap,
    pool: Pool,
}

impl Endpoint {
    /// Creates an endpoint that adds `headers` to each call.
    pub fn new(address: &str, headers: HeaderMap) -> Self {
        Self {
            address: Arc::from(address),
            headers,
            pool: Pool::new(address),
        }
    }

    /// Makes the endpoint connect from the local address `source`, by which the other side knows this host.
    #[must_use]
    pub fn bound_to(self, source: IpAddr) -> Self {
        Self {
            pool: Pool::bound_to(&self.address, source),
            ..self
        }
    }

    /// Closes the idle connections, so that subsequent calls open new ones.
    pub fn close_idle(&self) {
        self.pool.clear();
    }

    /// Makes a call and returns the response body. `operation` identifies the call in errors.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or does not complete within `timeout`.
    pub async fn call(
        &self,
        operation: &str,
        method: Method,
        target: &Target,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, Error> {
        let call = self.call_with_headers(operation, method, target, body, timeout);
        call.await.map(|(_headers, body)| body)
    }

    /// Makes a call and returns the headers and the body of the response. `operation` identifies the
    /// call in errors.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or does not complete within `timeout`.
    pub async fn call_with_headers(
        &self,
        operation: &str,
        method: Method,
        target: &Target,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(HeaderMap, Bytes), Error> {
        let call = async {
            let (response, connection) =
                self.send(operation, method, target, body, timeout).await?;
            let (head, body) = response.into_parts();
            let response = read(operation, body).await?;
            check_status(operation, &head)?;
            // A refusal may come twice, so only the connection of a success is kept.
            self.pool.put_idle(connection);
            Ok((head.headers, response))
        };
        tokio::time::timeout(timeout, call)
            .await
            .unwrap_or_else(|elapsed| {
                Err(Error::Lost {
                    operation: operation.to_owned(),
                    cause: elapsed.to_string(),
                })
            })
    }

    /// Makes a call and returns the response, whose body has not been read, with its connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the response head is not received within `timeout`.
    pub(crate) async fn send(
        &self,
        operation: &str,
        method: Method,
        target: &Target,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(Response<Incoming>, Connection), Error> {
        let unreachable = |cause: String| Error::Unreachable {
            operation: operation.to_owned(),
            cause,
        };
        let invalid = |cause: http::Error| Error::Invalid {
            operation: operation.to_owned(),
            cause: cause.to_string(),
        };
        let mut request = Request::builder()
            .method(method)
            .uri(target.as_str())
            .header(header::HOST, self.address.as_ref())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(invalid)?;
        let headers = self.headers.iter();
        request
            .headers_mut()
            .extend(headers.map(|(name, value)| (name.clone(), value.clone())));
        let lost = |cause: String| Error::Lost {
            operation: operation.to_owned(),
            cause,
        };
        match tokio::time::timeout(timeout, self.pool.send(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(Failure::Unsent(cause))) => Err(unreachable(cause)),
            Ok(Err(Failure::Sent(cause))) => Err(lost(cause)),
            Err(elapsed) => Err(lost(elapsed.to_string())),
        }
    }
}

/// Returns an error unless the status is a success.
pub(crate) fn check_status(operation: &str, head: &Parts) -> Result<(), Error> {
    let operation = operation.to_owned();
    match head.status {
        status if status.is_success() => Ok(()),
        StatusCode::CONFLICT => Err(Error::Conflict { operation }),
        StatusCode::NOT_FOUND => Err(Error::NotFound { operation }),
        StatusCode::GONE => Err(Error::Gone { operation }),
        StatusCode::TOO_MANY_REQUESTS => Err(Error::RateLimited {
            operation,
            retry_after: retry_after(head),
        }),
        status => Err(Error::Status {
            operation,
            status: status.as_u16(),
        }),
    }
}

fn retry_after(head: &Parts) -> Duration {
    let value = head.headers.get(header::RETRY_AFTER);
    let seconds = value.and_then(|value| value.to_str().ok()?.parse().ok());
    seconds.map_or(RETRY_AFTER_DEFAULT, Duration::from_secs)
}

async fn read(operation: &str, body: Incoming) -> Result<Bytes, Error> {
    let body = Limited::new(body, RESPONSE_BYTES_MAX);
    let collected = body.collect().await.map_err(|cause| Error::Lost {
        operation: operation.to_owned(),
        cause: cause.to_string(),
    })?;
    Ok(collected.to_bytes())
}
