//! The server: what waits when it stops, and clients that are quiet.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use primrosehoist::transport::http::server::{Limits, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

fn limits() -> Limits {
    Limits {
        connections: 100,
        headers: 20,
        head_bytes: 8192,
        head_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_millis(900),
        write_timeout: Duration::from_secs(5),
    }
}

async fn answer(_request: Request<Incoming>) -> Response<Full<Bytes>> {
    tokio::time::sleep(Duration::from_millis(20)).await;
    Response::new(Full::new(Bytes::from_static(b"here")))
}

async fn ask(address: std::net::SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(address)
        .await
        .expect("a place in the queue");
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    client
        .write_all(request)
        .await
        .expect("the request is written");
    client
}

async fn read(client: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut piece = [0; 1024];
    loop {
        match timeout(Duration::from_secs(5), client.read(&mut piece)).await {
            Ok(Ok(length)) if length > 0 => bytes.extend_from_slice(&piece[..length]),
            _ => break,
        }
        if bytes.ends_with(b"here") {
            break;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[tokio::test]
async fn clients_that_wait_to_be_accepted_when_the_server_stops_are_answered() {
    for _ in 0..20 {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (stop, stopped) = watch::channel(false);
        let mut clients = Vec::new();
        for _ in 0..20 {
            clients.push(ask(address).await);
        }
        stop.send_replace(true);
        let serving = tokio::spawn(serve(listener, limits, stopped, answer));
        for client in &mut clients {
            let answer = read(client).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
            assert!(answer.ends_with("here"));
        }
        serving.await.expect("the server ends");
    }
}

#[tokio::test]
async fn a_client_may_be_quiet_between_requests_but_not_within_a_head() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (_stop, stopped) = watch::channel(false);
    tokio::spawn(serve(listener, limits, stopped, answer));
    let mut client = ask(address).await;
    assert!(read(&mut client).await.ends_with("here"));
    // Longer than a head may take, shorter than a connection may be idle.
    tokio::time::sleep(Duration::from_millis(600)).await;
    client
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .expect("the connection is still open");
    assert!(read(&mut client).await.ends_with("here"));
    let idle = Instant::now();
    assert_eq!(read(&mut client).await, "");
    assert!(
        idle.elapsed() >= Duration::from_millis(800),
        "{:?}",
        idle.elapsed()
    );
    let mut slow = TcpStream::connect(address).await.expect("a connection");
    slow.write_all(b"GET / HT")
        .await
        .expect("a part is written");
    let begun = Instant::now();
    assert_eq!(read(&mut slow).await, "");
    let took = begun.elapsed();
    assert!(
        took >= Duration::from_millis(250) && took < Duration::from_millis(850),
        "{took:?}"
    );
}
