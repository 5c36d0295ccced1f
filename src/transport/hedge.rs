//! Hedged calls: if one candidate does not answer soon, another one is called as well.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::timeout;

/// Returns the result of the first call that succeeds.
///
/// `next` starts a call to the next candidate; it is called again whenever a call has failed, or none
/// has succeeded for `delay`. Returns `None` if it has no more candidates and all calls have failed.
pub async fn first_success<N, F, T>(mut next: N, delay: Duration) -> Option<T>
where
    N: FnMut() -> Option<F>,
    F: Future<Output = Option<T>>,
{
    let mut calls = FuturesUnordered::new();
    loop {
        calls.extend(next());
        if calls.is_empty() {
            return None;
        }
        if let Ok(Some(Some(result))) = timeout(delay, calls.next()).await {
            return Some(result);
        }
    }
}
