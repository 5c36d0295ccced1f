//! Calls to plain services.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use sha2::{Digest, Sha256};
use tokio::time::{self, Instant};

use crate::caller::answer::{Answer, Outcome};
use crate::caller::connection::{Exchange, Payload};
use crate::reply::hex;

/// The time by which the client timeout exceeds the time limit of the call.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// A call to a plain service.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// The caller port of a daemon.
    pub(crate) address: SocketAddr,
    /// The API key of the workspace.
    pub(crate) key: String,
    /// The name of the service.
    pub(crate) service: String,
    /// The path within the service, with a leading slash.
    pub(crate) path: String,
    /// The idempotency key, for a call that must not run twice.
    pub(crate) idempotency_key: Option<String>,
    /// The body.
    pub(crate) body: String,
    /// The time limit of the call.
    pub(crate) timeout: Duration,
}

impl Call {
    /// Sends the call and checks the response.
    pub(crate) async fn send(&self) -> Answer {
        let started = Instant::now();
        let mut answer = Answer::empty();
        let limit = self.timeout + TIMEOUT_MARGIN;
        if time::timeout(limit, self.run(&mut answer)).await.is_err() {
            answer.record_failure("no end within the time limit");
        }
        answer.total = started.elapsed();
        answer
    }

    fn request(&self) -> Result<Request<Payload>, http::Error> {
        let uri = format!("/services/{}{}", self.service, self.path);
        let mut request = Request::post(uri)
            .header(http::header::HOST, self.address.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header("x-timeout-ms", self.timeout.as_millis().to_string());
        if let Some(key) = &self.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        request.body(Full::from(self.body.clone()).boxed_unsync())
    }

    async fn run(&self, answer: &mut Answer) {
        let request = match self.request() {
            Ok(request) => request,
            Err(error) => return answer.record_failure(error),
        };
        let mut exchange = match Exchange::start(self.address, request).await {
            Ok(exchange) => exchange,
            Err(error) => return answer.record_failure(error),
        };
        let status = exchange.response.status();
        let content = exchange.json().await;
        if status != StatusCode::OK {
            return answer.record_error(&content["error"]);
        }
        let expected = hex(&Sha256::digest(self.body.as_bytes()));
        if content["body_sha256"] == expected.as_str() {
            answer.outcome = Outcome::Complete;
        } else {
            answer.outcome = Outcome::Wrong;
            "not the own answer".clone_into(&mut answer.code);
        }
    }
}
