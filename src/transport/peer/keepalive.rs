//! Detection of peers that stop responding on an open connection.

use std::time::Duration;

use h2::{Ping, PingPong};

/// The delay between a pong and the next ping.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout for the response to a ping.
const PONG_TIMEOUT: Duration = Duration::from_millis(1200);

/// Pings the peer until it does not respond in time or the connection ends.
pub(crate) async fn watch(mut pings: PingPong) {
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        let pong = tokio::time::timeout(PONG_TIMEOUT, pings.ping(Ping::opaque())).await;
        if !matches!(pong, Ok(Ok(_))) {
            return;
        }
    }
}
