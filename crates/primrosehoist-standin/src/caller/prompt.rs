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

/// The part of a body after the text of the prompt.
const TAIL: &str = r#""}"#;
/// The number of body bytes that count as one token.
const TOKEN_BYTES: usize = 4;
/// The time by which the client timeout exceeds the time limit of the request.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// A request for a streamed completion.
#[derive(Debug, Clone)]
pub(crate) struct Completion {
    /// The caller port of a daemon, or an engine.
    pub(crate) address: SocketAddr,
    /// The API key of the workspace.
    pub(crate) key: String,
    /// The model.
    pub(crate) model: String,
    /// The prompt.
    pub(crate) text: Text,
    /// The number of tokens to generate.
    pub(crate) max_tokens: u64,
    /// The time limit of the request.
    pub(crate) timeout: Duration,
}

impl Completion {
    /// Returns a generated text with which the body has `tokens` tokens.
    pub(crate) fn generated(&self, seed: u64, tokens: u64) -> Text {
        let frame = self.head().len() + TAIL.len();
        let bytes = (tokens as usize * TOKEN_BYTES).saturating_sub(frame).max(1);
        Text::Generated { seed, bytes }
    }

    /// Returns the length of the body in bytes.
    fn body_bytes(&self) -> usize {
        self.head().len() + self.text.escaped_bytes() + TAIL.len()
    }

    /// Returns the length of the prompt in tokens, as the daemon counts it.
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

    /// Sends the request, reads the response to its end and checks it.
    pub(crate) async fn send(&self) -> Answer {
        let text = self.text.clone();
        // Hashing a long text would block the threads that send and receive.
        let expected = match task::spawn_blocking(move || text.answer()).await {
            Ok(expected) => expected,
            Err(error) => return Answer::failed(error),
        };
        let mut reader = Reader {
            answer: Answer::empty(),
            expected,
            max_tokens: self.max_tokens,
            started: Instant::now(),
            matches: true,
            is_done: false,
        };
        let limit = self.timeout + TIMEOUT_MARGIN;
        if time::timeout(limit, reader.run(self)).await.is_err() {
            reader.answer.record_failure("no end within the time limit");
        }
        reader.answer.total = reader.started.elapsed();
        reader.answer
    }
}

/// A response being read.
struct Reader {
    answer: Answer,
    expected: text::Answer,
    max_tokens: u64,
    started: Instant,
    matches: bool,
    is_done: bool,
}

impl Reader {
    async fn run(&mut self, completion: &Completion) {
        let request = match completion.request() {
            Ok(request) => request,
            Err(error) => return self.answer.record_failure(error),
        };
        match Exchange::start(completion.address, request).await {
            Ok(exchange) => self.read(exchange).await,
            Err(error) => self.answer.record_failure(error),
        }
    }

    async fn read(&mut self, mut exchange: Exchange) {
        if exchange.response.status() != StatusCode::OK {
            let content = exchange.json().await;
            return self.answer.record_error(&content["error"]);
        }
        let mut parser = Parser::default();
        while let Some(frame) = exchange.response.body_mut().frame().await {
            let data = match frame.map(Frame::into_data) {
                Ok(Ok(data)) => data,
                Ok(Err(_trailers)) => continue,
                Err(error) => return self.answer.record_failure(error),
            };
            parser.push(&data);
            if let Err(error) = self.read_events(&mut parser) {
                return self.answer.record_failure(error);
            }
        }
        self.finish();
    }

    fn read_events(&mut self, parser: &mut Parser) -> Result<(), String> {
        while let Some(event) = parser.next_event().map_err(|error| error.to_string())? {
            self.read_event(&event)?;
        }
        Ok(())
    }

    fn read_event(&mut self, event: &Event) -> Result<(), String> {
        if event.data == DONE {
            self.is_done = true;
            return Ok(());
        }
        let chunk: Value = serde_json::from_str(&event.data).map_err(|error| error.to_string())?;
        if chunk["error"].is_object() {
            self.answer.record_error(&chunk["error"]);
            return Ok(());
        }
        let Some(text) = chunk["choices"][0]["text"].as_str() else {
            return Ok(());
        };
        self.matches &= text == self.expected.token(self.answer.tokens);
        self.answer.tokens += 1;
        let first = &mut self.answer.first_token;
        first.get_or_insert_with(|| self.started.elapsed());
        Ok(())
    }

    fn finish(&mut self) {
        if !self.answer.code.is_empty() {
            return;
        }
        let is_complete = self.answer.tokens == self.max_tokens;
        (self.answer.outcome, self.answer.code) = match (self.is_done, self.matches && is_complete)
        {
            (true, true) => (Outcome::Complete, String::new()),
            (true, false) => (Outcome::Wrong, "not the own answer".to_owned()),
            (false, _) => (Outcome::Silent, "no [DONE]".to_owned()),
        };
    }
}
