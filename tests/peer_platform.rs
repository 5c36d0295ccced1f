//! Platform client: mapping of responses, and of missing responses, to results.

use primrosehoist::protocol::platform::{CHANGES, Metadata};
use primrosehoist::state::name;
use primrosehoist::transport::platform::{Call, Client, Error};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a server that sends `response` on each connection after one read, then closes it. Returns
/// a client of the server.
async fn platform(response: &'static str) -> Client {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _request = stream.read(&mut [0; 4096]).await;
            let _sent = stream.write_all(response.as_bytes()).await;
        }
    });
    client(&address)
}

fn client(address: &str) -> Client {
    let host = name::Host::try_from("a1").unwrap();
    let zone = name::Zone::try_from("zone-a").unwrap();
    Client::new(address, &host, &zone)
}

/// Guards against a late copy of a refusal that is taken for the response to the next call.
#[tokio::test]
async fn call_after_a_refusal_that_comes_twice_gets_its_own_response() {
    const REFUSAL: &str = "HTTP/1.1 503 Down\r\ncontent-length: 0\r\n\r\n";
    const ABSENT: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = client(&listener.local_addr().unwrap().to_string());
    tokio::spawn(async move {
        let mut first = REFUSAL;
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut response = std::mem::replace(&mut first, ABSENT).to_owned();
            while let Ok(1..) = stream.read(&mut [0; 4096]).await {
                let _sent = stream.write_all(response.as_bytes()).await;
                response.push_str(ABSENT);
            }
        }
    });
    let refused = client.get(CHANGES, "1").await.unwrap_err();
    assert!(refused.to_string().contains("status 503"), "{refused}");
    let absent = client.get(CHANGES, "1").await.unwrap_err();
    assert!(absent.to_string().contains("not found"), "{absent}");
}

#[tokio::test]
async fn error_responses_map_to_typed_errors() {
    let cases = [
        (
            "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
            "not found",
            false,
        ),
        (
            "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n",
            "conflict",
            false,
        ),
        (
            "HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n",
            "too old",
            false,
        ),
        (
            "HTTP/1.1 429 Too Many\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n",
            "rate limited for 3000 ms",
            false,
        ),
        (
            "HTTP/1.1 503 Down\r\ncontent-length: 0\r\n\r\n",
            "status 503",
            true,
        ),
        (
            "HTTP/1.1 400 Bad\r\ncontent-length: 0\r\n\r\n",
            "status 400",
            false,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
            "malformed",
            true,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}",
            "no response",
            true,
        ),
        ("", "no response", true),
    ];
    for (response, expected, uncertain) in cases {
        let client = platform(response).await;
        let metadata = Metadata {
            name: "change".to_owned(),
            ..Metadata::default()
        };
        let error = client
            .replace(CHANGES, &metadata, &json!({}))
            .await
            .unwrap_err();
        assert!(
            error.to_string().contains(expected),
            "{response:?}: {error}"
        );
        assert_eq!(error.is_uncertain(), uncertain, "{response:?}: {error}");
        assert_eq!(client.counts().get(Call::Replace), 1);
    }
}

#[tokio::test]
async fn an_unsent_call_is_not_uncertain() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let error = client(&address)
        .create(CHANGES, "x", &json!({}))
        .await
        .unwrap_err();
    assert!(matches!(error, Error::Unreachable { .. }), "{error}");
    assert!(!error.is_uncertain());
}

#[tokio::test]
async fn a_call_to_an_unresponsive_platform_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let error = client(&address).get(CHANGES, "x").await.unwrap_err();
    assert!(matches!(error, Error::Lost { .. }), "{error}");
}

#[tokio::test]
async fn a_watch_yields_one_event_per_line() {
    let response = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
        3d\r\n{\"type\":\"ADDED\",\"object\":{\"metadata\":{\"name\":\"a\"},\"spec\":1}}\n\r\n\
        5\r\n{\"typ\r\n3a\r\ne\":\"ADDED\",\"object\":{\"metadata\":{\"name\":\"b\"},\"spec\":2}}\n\n\r\n\
        0\r\n\r\n";
    let client = platform(response).await;
    let mut watch = client.watch(CHANGES, "1").await.unwrap();
    let first = watch.next().await.unwrap().unwrap();
    assert_eq!(first.object.metadata.name, "a");
    let second = watch.next().await.unwrap().unwrap();
    assert_eq!(second.object.metadata.name, "b");
}
