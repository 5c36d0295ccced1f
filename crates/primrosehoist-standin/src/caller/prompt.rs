//! Streamed completions.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use primrosehoist::protocol::sse::{DONE, Event, Parser};
use serde_json::{Value, json};
use tokio::task;
use tokio::time::{self, Instant};

use crate::caller::answer::{Answer, Outcome};
use crate::caller::connection::{Exchange, Payload};
use crate::caller::text::{self, Text};

/// The end of a body after the text of the prompt.
const TAIL: &str = r#""}"#;
/// The bytes of body that count as one token.
const TOKEN_BYTES: usize = 4;
/// The time by which a caller's own limit exceeds that of the request.
const PATIENCE: Duration = Duration::from_secs(5);

/// One completion to ask for.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    /// The daemon's caller port, or an engine.
    pub(crate) address: SocketAddr,
    /// The key of the workspace.
    pub(crate) key: String,
    /// The model.
    pub(crate) model: String,
    /// The prompt.
    pub(crate) text: Text,
    /// The tokens of the answer.
    pub(crate) max_tokens: u64,
    /// The time limit of the request.
    pub(crate) timeout: Duration,
}

impl Ask {
    /// Returns the generated text that makes a body of `tokens`.
    pub(crate) fn generated(&self, seed: u64, tokens: u64) -> Text {
        let frame = self.head().len() + TAIL.len();
        let bytes = (tokens as usize * TOKEN_BYTES).saturating_sub(frame).max(1);
        Text::Generated { seed, bytes }
    }

    /// Returns the length of the body in bytes.
    fn body_bytes(&self) -> usize {
        self.head().len() + self.text.escaped_bytes() + TAIL.len()
    }

    /// Returns the length of the prompt as the daemon counts it.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.body_bytes().div_ceil(TOKEN_BYTES) as u64
    }

    fn head(&self) -> String {
        let model = json!(self.model);
        let max_tokens = self.max_tokens;
        format!(r#"{{"model":{model},"max_tokens":{max_tokens},"stream":true,"prompt":""#)
    }

    fn request(&self) -> Result<Request<Payload>, http::Error> {
        let head = std::iter::once(Bytes::from(self.head()));
        let tail = std::iter::once(Bytes::from(TAIL));
        let pieces = head.chain(self.text.pieces()).chain(tail);
        let frames = pieces.map(|piece| Ok(Frame::data(piece)));
        Request::post("/v1/completions")
            .header(http::header::HOST, self.address.to_string())
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(http::header::CONTENT_LENGTH, self.body_bytes())
            .header("x-timeout-ms", self.timeout.as_millis().to_string())
            .body(StreamBody::new(stream::iter(frames)).boxed_unsync())
    }

    /// Sends the request, reads the answer to its end and judges it.
    pub(crate) async fn send(&self) -> Answer {
        let text = self.text.clone();
        // Hashing a long text would hold up the threads that send and receive.
        let expected = match task::spawn_blocking(move || text.answer()).await {
            Ok(expected) => expected,
            Err(error) => return Answer::failed(error),
        };
        let mut reading = Reading {
            answer: Answer::none(),
            expected,
            max_tokens: self.max_tokens,
            started: Instant::now(),
            is_own: true,
            is_done: false,
        };
        let limit = self.timeout + PATIENCE;
        if time::timeout(limit, reading.run(self)).await.is_err() {
            reading.answer.broken("no end within the time limit");
        }
        reading.answer.total = reading.started.elapsed();
        reading.answer
    }
}

/// An answer while it is read.
struct Reading {
    answer: Answer,
    expected: text::Answer,
    max_tokens: u64,
    started: Instant,
    is_own: bool,
    is_done: bool,
}

impl Reading {
    async fn run(&mut self, ask: &Ask) {
        let request = match ask.request() {
            Ok(request) => request,
            Err(error) => return self.answer.broken(error),
        };
        match Exchange::start(ask.address, request).await {
            Ok(exchange) => self.read(exchange).await,
            Err(error) => self.answer.broken(error),
        }
    }

    async fn read(&mut self, mut exchange: Exchange) {
        if exchange.response.status() != StatusCode::OK {
            let content = exchange.json().await;
            return self.answer.fail(&content["error"]);
        }
        let mut parser = Parser::default();
        while let Some(frame) = exchange.response.body_mut().frame().await {
            let data = match frame.map(Frame::into_data) {
                Ok(Ok(data)) => data,
                Ok(Err(_trailers)) => continue,
                Err(error) => return self.answer.broken(error),
            };
            parser.push(&data);
            if let Err(error) = self.take_events(&mut parser) {
                return self.answer.broken(error);
            }
        }
        self.end();
    }

    fn take_events(&mut self, parser: &mut Parser) -> Result<(), String> {
        while let Some(event) = parser.next_event().map_err(|error| error.to_string())? {
            self.take(&event)?;
        }
        Ok(())
    }

    fn take(&mut self, event: &Event) -> Result<(), String> {
        if event.data == DONE {
            self.is_done = true;
            return Ok(());
        }
        let chunk: Value = serde_json::from_str(&event.data).map_err(|error| error.to_string())?;
        if chunk["error"].is_object() {
            self.answer.fail(&chunk["error"]);
            return Ok(());
        }
        let Some(text) = chunk["choices"][0]["text"].as_str() else {
            return Ok(());
        };
        self.is_own &= text == self.expected.token(self.answer.tokens);
        self.answer.tokens += 1;
        let first = &mut self.answer.first_token;
        first.get_or_insert_with(|| self.started.elapsed());
        Ok(())
    }

    fn end(&mut self) {
        if !self.answer.code.is_empty() {
            return;
        }
        let is_whole = self.answer.tokens == self.max_tokens;
        (self.answer.outcome, self.answer.code) = match (self.is_done, self.is_own && is_whole) {
            (true, true) => (Outcome::Complete, String::new()),
            (true, false) => (Outcome::Wrong, "not the own answer".to_owned()),
            (false, _) => (Outcome::Silent, "no [DONE]".to_owned()),
        };
    }
}
