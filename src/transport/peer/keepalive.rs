//! Notices a peer that no longer answers on an open connection.

use std::time::Duration;

use h2::{Ping, PingPong};

/// The pause between an answer and the next ping.
const INTERVAL: Duration = Duration::from_millis(500);

/// The time that the answer to a ping may take.
const PONG_TIMEOUT: Duration = Duration::from_millis(1200);

/// Returns when the peer leaves a ping unanswered or the connection has ended.
pub(crate) async fn watch(mut pings: PingPong) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        let answer = tokio::time::timeout(PONG_TIMEOUT, pings.ping(Ping::opaque())).await;
        if !matches!(answer, Ok(Ok(_))) {
            return;
        }
    }
}
