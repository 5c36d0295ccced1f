//! Response bodies: JSON objects and server-sent events.

use std::collections::VecDeque;
use std::future;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::{Stream, stream};
use serde_json::{Value, json};
use tokio::sync::watch::Receiver;

use crate::engine::control::Garbage;
use crate::engine::prompt::Dialect;
use crate::engine::record::{End, Progress, Reader, Record};
use crate::reply::Closed;

/// The last event of a stream.
const DONE: &str = "data: [DONE]\n\n";
/// An event whose data is not valid JSON.
const MALFORMED: &str = "data: {\"id\":,,\n\n";

/// Produces the server-sent events of a response.
#[derive(Debug)]
pub(crate) struct Events {
    reader: Reader,
    changes: Receiver<Progress>,
    model: Arc<str>,
    garbage: Option<Garbage>,
    next: u64,
    /// Pieces ready to be sent; an empty piece closes the connection.
    ready: VecDeque<Bytes>,
    done: bool,
}

impl Events {
    /// Starts at event `from`.
    pub(crate) fn new(
        record: Arc<Record>,
        model: &str,
        from: u64,
        garbage: Option<Garbage>,
    ) -> Events {
        Events {
            changes: record.subscribe(),
            reader: Reader::new(record),
            model: Arc::from(model),
            garbage,
            next: from,
            ready: VecDeque::new(),
            done: false,
        }
    }

    /// Returns the pieces of the event stream.
    pub(crate) fn pieces(self) -> impl Stream<Item = Result<Bytes, Closed>> + Send + 'static {
        stream::unfold(Some(self), |events| async {
            let mut events = events?;
            match events.next().await {
                Some(Ok(piece)) => Some((Ok(piece), Some(events))),
                Some(Err(closed)) => Some((Err(closed), None)),
                None => None,
            }
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, Closed>> {
        loop {
            if let Some(piece) = self.ready.pop_front() {
                return Some(if piece.is_empty() {
                    Err(Closed::Now)
                } else {
                    Ok(piece)
                });
            }
            if self.done {
                return None;
            }
            let progress = *self.changes.borrow_and_update();
            self.collect(progress);
            let must_wait = self.ready.is_empty() && !self.done;
            if must_wait && self.changes.changed().await.is_err() {
                return future::pending().await;
            }
        }
    }

    fn collect(&mut self, progress: Progress) {
        while self.next < progress.tokens {
            let index = self.next;
            self.next += 1;
            self.push_event(index);
        }
        match progress.end {
            // After a crash the listener closes itself first and then this connection.
            None | Some(End::Lost) => {}
            Some(End::Cut) => {
                self.ready.push_back(Bytes::new());
                self.done = true;
            }
            Some(End::Finished) => {
                if self.garbage == Some(Garbage::Double) {
                    self.push_duplicate(progress.tokens);
                }
                self.ready.push_back(Bytes::from_static(DONE.as_bytes()));
                self.done = true;
            }
        }
    }

    fn push_event(&mut self, index: u64) {
        let record = &self.reader.record;
        let text = event(record, &self.model, &record.id, index);
        match self.garbage {
            Some(Garbage::Malformed) if index > 0 => {
                self.ready
                    .push_back(Bytes::from_static(MALFORMED.as_bytes()));
            }
            Some(Garbage::Half) if index > 0 => {
                let half = text.len() / 2;
                self.ready
                    .push_back(Bytes::copy_from_slice(&text.as_bytes()[..half]));
                self.ready.push_back(Bytes::new());
            }
            _ => self.ready.push_back(Bytes::from(text)),
        }
    }

    /// Queues all events again under the id of another attempt.
    fn push_duplicate(&mut self, tokens: u64) {
        let record = &self.reader.record;
        let other = format!("{}-other", record.id);
        for index in 0..tokens {
            let text = event(record, &self.model, &other, index);
            self.ready.push_back(Bytes::from(text));
        }
    }
}

fn event(record: &Record, model: &str, id: &str, index: u64) -> String {
    let chunk = chunk(record, model, id, index);
    format!("id: {index}\ndata: {chunk}\n\n")
}

fn chunk(record: &Record, model: &str, id: &str, index: u64) -> Value {
    let text = record.prompt.token(index);
    let last = index + 1 == record.prompt.max_tokens;
    let reason = last.then_some("length");
    match record.prompt.dialect {
        Dialect::Completion => json!({
            "id": id,
            "object": "text_completion",
            "created": 0,
            "model": model,
            "choices": [{"index": 0, "text": text, "logprobs": null, "finish_reason": reason}],
        }),
        Dialect::Chat => json!({
            "id": id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": model,
            "choices": [{
                "index": 0,
                "delta": {"role": "assistant", "content": text},
                "finish_reason": reason,
            }],
        }),
    }
}

/// Waits until the stream ends and returns the response as one JSON object.
///
/// # Errors
///
/// Fails if the stream is cancelled or dropped.
pub(crate) async fn whole(record: Arc<Record>, model: &str) -> Result<Value, Closed> {
    let mut changes = record.subscribe();
    let reader = Reader::new(record);
    let ended = changes.wait_for(|progress| progress.end.is_some()).await;
    let end = ended.map_err(|_gone| Closed::Now)?.end;
    match end {
        Some(End::Finished) => Ok(answer(&reader.record, model)),
        Some(End::Lost) => future::pending().await,
        _ => Err(Closed::Now),
    }
}

fn answer(record: &Record, model: &str) -> Value {
    let prompt = &record.prompt;
    let text: String = (0..prompt.max_tokens)
        .map(|index| prompt.token(index))
        .collect();
    let (object, choice) = match prompt.dialect {
        Dialect::Completion => (
            "text_completion",
            json!({"index": 0, "text": text, "logprobs": null, "finish_reason": "length"}),
        ),
        Dialect::Chat => (
            "chat.completion",
            json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
        ),
    };
    json!({
        "id": &*record.id,
        "object": object,
        "created": 0,
        "model": model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt.tokens,
            "completion_tokens": prompt.max_tokens,
            "total_tokens": prompt.tokens + prompt.max_tokens,
        },
    })
}
