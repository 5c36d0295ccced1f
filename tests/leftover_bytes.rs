//! Tests that bytes after a response do not reach the next request of a pooled connection.

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use primrosehoist::transport::http::body::discard;
use primrosehoist::transport::http::upstream::{Gate, Pool};
use primrosehoist::transport::http::{BoxError, Payload};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

fn request(id: &str, body: usize) -> Request<Payload> {
    let body = Full::new(Bytes::from(vec![b'x'; body]));
    let mut request = Request::new(body.map_err(BoxError::from).boxed_unsync());
    *request.method_mut() = http::Method::POST;
    request
        .headers_mut()
        .insert("x-attempt-id", id.parse().expect("a valid id"));
    request
}

/// Reads a head; returns its id.
async fn read_id(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let id = text.split("x-attempt-id: ").nth(1)?;
    id.lines().next().map(str::to_owned)
}

fn answer(status: u16, id: &str) -> String {
    format!("HTTP/1.1 {status} x\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_after_a_success_close_its_connection() {
    let extras = [
        answer(503, "0"),
        "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
        "HTTP/1.1 103 Early Hints\r\n\r\n".to_owned(),
        "\r\n".to_owned(),
        "H".to_owned(),
    ];
    for (extra, delay_ms, body) in extras
        .iter()
        .flat_map(|extra| [0, 20].map(|delay| (extra, delay)))
        .flat_map(|(extra, delay)| [0, 16 << 20].map(|body| (extra, delay, body)))
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let pool = Pool::new(listener.local_addr().expect("has an address"));
        let connections = Arc::new(AtomicUsize::new(0));
        let accepted = Arc::clone(&connections);
        let value = extra.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                accepted.fetch_add(1, Ordering::SeqCst);
                let extra = value.clone();
                tokio::spawn(async move {
                    // A body is left unread.
                    while let Some(id) = read_id(&mut stream).await {
                        let mut bytes = answer(200, &id);
                        if delay_ms == 0 {
                            bytes += &extra;
                        }
                        let _sent = stream.write_all(bytes.as_bytes()).await;
                        if delay_ms > 0 {
                            sleep(Duration::from_millis(delay_ms)).await;
                            let _sent = stream.write_all(extra.as_bytes()).await;
                        }
                        if body > 0 {
                            sleep(Duration::from_secs(3)).await;
                        }
                    }
                });
            }
        });
        for number in 0..3 {
            let gate = Arc::new(Gate::new(Arc::default(), |_sent| true));
            let id = number.to_string();
            let sent = timeout(Duration::from_secs(2), pool.send(request(&id, body), &gate)).await;
            let mut exchange = sent.expect("in time").expect("is answered");
            assert_eq!(exchange.response.status(), 200);
            assert_eq!(exchange.response.headers()["x-attempt-id"], id.as_str());
            assert!(discard(exchange.response.body_mut(), 0).await);
            pool.release(exchange);
            sleep(Duration::from_millis(2 * delay_ms + 5)).await;
        }
        assert_eq!(
            connections.load(Ordering::SeqCst),
            3,
            "{extra:?} {delay_ms} {body}"
        );
    }
}

/// Guards against calls that are reported as unsent though an upstream read them, and against
/// refusals with the id of a request that was not refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn copies_that_cross_the_next_request_bear_another_id() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let pool = Arc::new(Pool::new(listener.local_addr().expect("has an address")));
    let read: Arc<Mutex<HashSet<String>>> = Arc::default();
    let received = Arc::clone(&read);
    tokio::spawn(async move {
        let mut seeds = 0..;
        while let Ok((mut stream, _)) = listener.accept().await {
            let received = Arc::clone(&received);
            let mut rng = StdRng::seed_from_u64(seeds.next().expect("is endless"));
            tokio::spawn(async move {
                let _nodelay = stream.set_nodelay(true);
                while let Some(id) = read_id(&mut stream).await {
                    received.lock().expect("not poisoned").insert(id.clone());
                    let status = if rng.random_bool(0.2) { 503 } else { 200 };
                    if stream
                        .write_all(answer(status, &id).as_bytes())
                        .await
                        .is_err()
                    {
                        return;
                    }
                    if rng.random_bool(0.3) {
                        for _ in 0..rng.random_range(0..3000) {
                            std::hint::spin_loop();
                        }
                        let _copied = stream.write_all(answer(503, &id).as_bytes()).await;
                    }
                }
            });
        }
    });
    let ends = Instant::now() + Duration::from_secs(8);
    let mut callers = Vec::new();
    for caller in 0..12 {
        let (pool, read) = (Arc::clone(&pool), Arc::clone(&read));
        callers.push(tokio::spawn(async move {
            let (mut calls, mut crossed, mut lost, mut unsent) = (0, 0, 0, Vec::new());
            while Instant::now() < ends {
                calls += 1;
                let id = format!("{caller}-{calls}");
                let gate = Arc::new(Gate::new(Arc::default(), |_sent| true));
                match pool.send(request(&id, 0), &gate).await {
                    Ok(mut exchange) => {
                        if exchange.response.headers()["x-attempt-id"] != id.as_str() {
                            crossed += 1;
                            continue;
                        }
                        if discard(exchange.response.body_mut(), 0).await {
                            pool.release(exchange);
                        }
                    }
                    Err(_) if gate.close() => lost += 1,
                    Err(_) => unsent.push(id),
                }
            }
            sleep(Duration::from_millis(100)).await;
            let read = read.lock().expect("not poisoned");
            let wrong = unsent.iter().filter(|id| read.contains(*id)).count();
            (calls, crossed, lost, unsent.len(), wrong)
        }));
    }
    let mut total = (0, 0, 0, 0, 0);
    for caller in callers {
        let (calls, crossed, lost, unsent, wrong) = caller.await.expect("ends");
        total.0 += calls;
        total.1 += crossed;
        total.2 += lost;
        total.3 += unsent;
        total.4 += wrong;
    }
    println!("calls, crossed, lost, unsent, unsent but read: {total:?}");
    assert_eq!(total.4, 0);
}
