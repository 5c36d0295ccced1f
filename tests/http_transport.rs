//! Bodies, connections that stall, and the gate before an upstream.

use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use primrosehoist::transport::http::body::{Budget, Buffered, Channel, Error, Limits};
use primrosehoist::transport::http::upstream::{Gate, Pool};
use primrosehoist::transport::http::write_timeout::Timeout;
use primrosehoist::transport::http::{BoxError, Payload};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn limits() -> Limits {
    Limits {
        bytes_max: 10_000,
        idle_timeout: Duration::from_secs(1),
        total_timeout: Duration::from_secs(3),
    }
}

async fn collect(bytes: usize, budget: &Budget) -> Result<Buffered, Error> {
    Buffered::collect(Full::new(Bytes::from(vec![7; bytes])), &limits(), budget).await
}

#[tokio::test]
async fn a_body_is_kept_within_its_limit_and_the_budget() {
    let budget = Budget::new(12 * 1024);
    let first = collect(9_000, &budget).await.expect("there is room");
    assert_eq!(
        collect(10_001, &budget).await.err(),
        Some(Error::TooLarge(10_000))
    );
    assert_eq!(
        collect(9_000, &budget).await.err(),
        Some(Error::BudgetExhausted)
    );
    let replay = first.replay();
    drop(first);
    assert_eq!(
        collect(9_000, &budget).await.err(),
        Some(Error::BudgetExhausted)
    );
    let bytes = replay.collect().await.expect("a stored body").to_bytes();
    assert_eq!(bytes, vec![7; 9_000]);
    assert!(collect(9_000, &budget).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_slow_body_is_refused() {
    // One body stops, the other drips.
    for (pause, pieces) in [
        (Duration::from_secs(60), 1),
        (Duration::from_millis(900), 60),
    ] {
        let (writer, outlet) = Channel::new(1);
        let writing = tokio::spawn(async move {
            for _ in 0..pieces {
                if writer.write(Bytes::from_static(b"x")).await.is_err() {
                    return;
                }
                tokio::time::sleep(pause).await;
            }
        });
        let collected = Buffered::collect(outlet, &limits(), &Budget::new(1 << 20)).await;
        assert_eq!(collected.err(), Some(Error::Timeout));
        writing.abort();
    }
}

#[tokio::test]
async fn an_outlet_is_whole_only_if_it_was_ended() {
    for end in [true, false] {
        let (writer, outlet) = Channel::new(4);
        writer
            .write(Bytes::from_static(b"part"))
            .await
            .expect("the reader is there");
        if end {
            writer.end().await.expect("the reader is there");
        } else {
            drop(writer);
        }
        assert_eq!(outlet.collect().await.is_ok(), end);
    }
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_stops_reading_fails_the_connection() {
    let (near, _far) = tokio::io::duplex(16);
    let mut stalled = Timeout::new(near, Duration::from_secs(5));
    let written = stalled.write_all(&[0; 64]).await;
    assert_eq!(
        written.map_err(|e| e.kind()),
        Err(std::io::ErrorKind::TimedOut)
    );
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_reads_slowly_is_served() {
    let (near, mut far) = tokio::io::duplex(16);
    let mut slow = Timeout::new(near, Duration::from_secs(5));
    let mut writing = pin!(slow.write_all(&[0; 64]));
    let mut buffer = [0; 16];
    let reading = async {
        for _ in 0..4 {
            tokio::time::sleep(Duration::from_secs(4)).await;
            far.read_exact(&mut buffer).await.expect("bytes come");
        }
    };
    let (written, ()) = tokio::join!(writing.as_mut(), reading);
    assert!(written.is_ok());
}

fn request(body: &str) -> Request<Payload> {
    let body = Full::new(Bytes::from(body.to_owned()));
    let mut request = Request::new(body.map_err(BoxError::from).boxed_unsync());
    *request.method_mut() = http::Method::POST;
    request
}

/// Accepts one connection and counts its bytes until it ends.
async fn count(listener: TcpListener) -> u64 {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut total = 0;
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        total += length as u64;
    }
    total
}

#[tokio::test]
async fn a_closed_gate_hands_no_byte_over() {
    for body in ["", "some text"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let pool = Pool::new(listener.local_addr().expect("an address"));
        let counting = tokio::spawn(count(listener));
        let gate = Arc::new(Gate::new(Arc::default(), |_begun| false));
        assert!(pool.send(request(body), &gate).await.is_err());
        assert!(!gate.has_sent());
        assert_eq!(counting.await.expect("counted"), 0);
    }
}

#[tokio::test]
async fn a_gate_is_asked_under_the_turn_and_again_for_later_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let pool = Pool::new(listener.local_addr().expect("an address"));
    let turn: Arc<Mutex<()>> = Arc::default();
    let asked = Arc::new(AtomicU32::new(0));
    let locked = Arc::new(AtomicBool::new(true));
    let gate = {
        let (turn, asked, locked) = (Arc::clone(&turn), Arc::clone(&asked), Arc::clone(&locked));
        Gate::new(Arc::clone(&turn), move |begun| {
            locked.fetch_and(turn.try_lock().is_err(), Ordering::SeqCst);
            assert_eq!(begun, asked.fetch_add(1, Ordering::SeqCst) > 0);
            !begun
        })
    };
    let gate = Arc::new(gate);
    let counting = tokio::spawn(count(listener));
    let large = "x".repeat(32 << 20);
    assert!(pool.send(request(&large), &gate).await.is_err());
    assert!(gate.has_sent() && locked.load(Ordering::SeqCst));
    assert!(asked.load(Ordering::SeqCst) > 1);
    assert!(counting.await.expect("counted") < large.len() as u64);
}
