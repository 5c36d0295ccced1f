//! A client: sends completion requests, reads streams, and verifies the answers.

use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::time::{Duration, Instant};

use oxhttp::Client;
use oxhttp::model::{Body, Request, Response};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// A completion request.
#[derive(Clone)]
pub struct Completion {
    pub address: String,
    pub key: String,
    pub model: String,
    pub prompt: String,
    pub max_tokens: usize,
    pub timeout_ms: Option<u64>,
    pub stream: bool,
}

/// An error of the connection before the head of the response.
#[derive(Debug, Clone)]
pub struct TransportError {
    pub kind: ErrorKind,
    pub message: String,
}

/// The answer to a [`Completion`].
#[derive(Debug, Clone)]
pub struct Answer {
    /// The HTTP status; zero if the connection failed before it was received.
    pub status: u16,
    /// The text of each token.
    pub tokens: Vec<String>,
    /// Whether `[DONE]` and the end of the body were received without an error.
    pub done: bool,
    /// The error object, if one was received.
    pub error: Option<Value>,
    /// Why no response was received, if none was.
    pub transport_error: Option<TransportError>,
    /// The time from sending the request to the first token.
    pub first_token: Option<Duration>,
    /// The time from sending the request to the end of the answer.
    pub total: Duration,
    /// The id under which the daemon logged the request.
    pub request_id: Option<String>,
}

impl Answer {
    /// Returns `complete`, the reported outcome, or `lost` if none was reported.
    pub fn outcome(&self) -> String {
        if self.done {
            return "complete".to_owned();
        }
        let reported = self.error.as_ref().and_then(|e| e["outcome"].as_str());
        reported.unwrap_or("lost").to_owned()
    }
}

/// Returns the token that a stand-in engine generates at `index` for `prompt`.
pub fn token(prompt: &str, index: usize) -> String {
    let mut hash = Sha256::new();
    hash.update(prompt.as_bytes());
    hash.update(index.to_string().as_bytes());
    format!("{} ", &hex::encode(hash.finalize())[..8])
}

/// Returns whether `answer` is complete and has the tokens expected for `completion`.
pub fn is_correct(completion: &Completion, answer: &Answer) -> bool {
    let expected: Vec<String> = (0..completion.max_tokens)
        .map(|i| token(&completion.prompt, i))
        .collect();
    answer.done && answer.status == 200 && answer.tokens == expected
}

/// Returns whether the received tokens are a prefix of the expected ones.
pub fn is_prefix(completion: &Completion, answer: &Answer) -> bool {
    answer.tokens.len() <= completion.max_tokens
        && answer
            .tokens
            .iter()
            .enumerate()
            .all(|(i, t)| *t == token(&completion.prompt, i))
}

/// Returns a client with the timeout `limit`.
pub fn client(limit: Duration) -> Client {
    Client::new().with_global_timeout(limit)
}

/// Sends `completion` and reads its answer to the end.
pub fn complete(completion: &Completion) -> Answer {
    let start = Instant::now();
    let body = json!({
        "model": completion.model, "prompt": completion.prompt, "max_tokens": completion.max_tokens, "stream": completion.stream,
    });
    let mut builder = Request::builder()
        .method("POST")
        .uri(format!("http://{}/v1/completions", completion.address))
        .header("authorization", format!("Bearer {}", completion.key))
        .header("content-type", "application/json");
    if let Some(limit) = completion.timeout_ms {
        builder = builder.header("x-timeout-ms", limit.to_string());
    }
    let request = builder
        .body(Body::from(body.to_string()))
        .expect("the request is well formed");
    let mut answer = Answer {
        status: 0,
        tokens: Vec::new(),
        done: false,
        error: None,
        transport_error: None,
        first_token: None,
        total: Duration::ZERO,
        request_id: None,
    };
    match client(Duration::from_secs(120)).request(request) {
        Ok(response) => {
            answer.status = response.status().as_u16();
            answer.request_id = header(&response, "x-request-id");
            if answer.status == 200 && completion.stream {
                read_stream(response.into_body(), start, &mut answer);
            } else {
                read_whole(response.into_body(), &mut answer);
            }
        }
        Err(error) => {
            answer.transport_error = Some(TransportError {
                kind: error.kind(),
                message: error.to_string(),
            });
        }
    }
    answer.total = start.elapsed();
    answer
}

fn header(response: &Response<Body>, name: &str) -> Option<String> {
    response
        .headers()
        .get(name)
        .and_then(|v| v.to_str().ok())
        .map(str::to_owned)
}

fn read_whole(mut body: Body, answer: &mut Answer) {
    let mut text = String::new();
    let body_complete = body.read_to_string(&mut text).is_ok();
    let Ok(value) = serde_json::from_str::<Value>(&text) else {
        return;
    };
    if value["error"].is_object() {
        answer.error = Some(value["error"].clone());
        return;
    }
    let content = value["choices"][0]["text"].as_str().unwrap_or_default();
    answer.tokens = content.split_inclusive(' ').map(str::to_owned).collect();
    answer.done = body_complete;
}

fn read_stream(body: Body, start: Instant, answer: &mut Answer) {
    let mut done_received = false;
    let mut body_complete = true;
    for line in BufReader::new(body).lines() {
        let Ok(line) = line else {
            body_complete = false;
            break;
        };
        let Some(data) = line.strip_prefix("data:") else {
            continue;
        };
        if data.trim() == "[DONE]" {
            done_received = true;
            continue;
        }
        let Ok(value) = serde_json::from_str::<Value>(data) else {
            continue;
        };
        if value["error"].is_object() {
            answer.error = Some(value["error"].clone());
            continue;
        }
        if let Some(text) = value["choices"][0]["text"]
            .as_str()
            .filter(|text| !text.is_empty())
        {
            answer.first_token.get_or_insert_with(|| start.elapsed());
            answer.tokens.push(text.to_owned());
        }
    }
    answer.done = done_received && body_complete && answer.error.is_none();
}

/// Sends a JSON request and returns status and body; the status is zero if the call failed.
pub fn call(method: &str, url: &str, headers: &[(&str, &str)], body: &str) -> Reply {
    let mut builder = Request::builder().method(method).uri(url);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder
        .body(Body::from(body.to_owned()))
        .expect("the request is well formed");
    let Ok(response) = client(Duration::from_secs(60)).request(request) else {
        return Reply {
            status: 0,
            body: String::new(),
        };
    };
    let status = response.status().as_u16();
    let mut body = String::new();
    match response.into_body().read_to_string(&mut body) {
        Ok(_) => Reply { status, body },
        Err(_) => Reply { status: 0, body },
    }
}

/// A status with a body.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub body: String,
}

impl Reply {
    /// Returns the body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }
}
