//! Watches: streams of events as JSON lines.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, stream};
use primrosehoist::protocol::platform::{Event, Metadata, Object};
use serde_json::Value;
use tokio::sync::watch::Receiver;
use tokio::time;

use crate::platform::Platform;
use crate::reply::Closed;

/// The time without events after which a watch sends a bookmark.
const BOOKMARK_PERIOD: Duration = Duration::from_secs(1);

/// An open watch.
#[derive(Debug)]
pub(crate) struct Watch {
    /// The watched platform.
    pub(crate) platform: Arc<Platform>,
    /// The watched kind.
    pub(crate) kind: String,
    /// The version up to which events have been queued or sent.
    pub(crate) version: u64,
    /// The name of the client.
    pub(crate) client: String,
    /// The zone of the client.
    pub(crate) zone: Option<Arc<str>>,
    /// Notifies the watch of changes.
    pub(crate) changed: Receiver<u64>,
    /// Lines ready to be sent.
    pub(crate) lines: VecDeque<Bytes>,
}

impl Watch {
    /// Returns the lines of the watch as a stream, which fails when the platform goes down.
    pub(crate) fn lines(self) -> impl Stream<Item = Result<Bytes, Closed>> + Send + 'static {
        stream::unfold(Some(self), |watch| async {
            let mut watch = watch?;
            match watch.next().await {
                Ok(line) => Some((Ok(line), Some(watch))),
                Err(closed) => Some((Err(closed), None)),
            }
        })
    }

    async fn next(&mut self) -> Result<Bytes, Closed> {
        loop {
            if let Some(line) = self.lines.pop_front() {
                let length = line.len() as u64;
                let mut state = self.platform.state();
                state
                    .tally
                    .add(&self.client, |calls| calls.bytes_out += length);
                return Ok(line);
            }
            self.changed.mark_unchanged();
            self.collect()?;
            if self.lines.is_empty() {
                self.wait().await?;
            }
        }
    }

    async fn wait(&mut self) -> Result<(), Closed> {
        match time::timeout(BOOKMARK_PERIOD, self.changed.changed()).await {
            Ok(changed) => changed.map_err(|_gone| Closed::Now),
            Err(_elapsed) => {
                self.lines.push_back(bookmark(self.version));
                Ok(())
            }
        }
    }

    fn collect(&mut self) -> Result<(), Closed> {
        let state = self.platform.state();
        if state.faults.is_down(&self.client, self.zone.as_deref()) {
            return Err(Closed::Now);
        }
        let batch = state.store.since(&self.kind, self.version);
        let batch = batch.map_err(|_gone| Closed::Now)?;
        self.version = batch.version;
        self.lines.extend(batch.events.iter().map(line));
        Ok(())
    }
}

fn line(event: &Event) -> Bytes {
    let mut text = serde_json::to_vec(event).expect("events are plain data");
    text.push(b'\n');
    Bytes::from(text)
}

fn bookmark(version: u64) -> Bytes {
    line(&Event {
        kind: "BOOKMARK".to_owned(),
        object: Object {
            metadata: Metadata {
                name: String::new(),
                resource_version: version.to_string(),
            },
            spec: Value::Null,
        },
    })
}
