//! Peer links over loopback: exchanges, authentication, framing and partitions.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use primrosehoist::protocol::codec;
use primrosehoist::protocol::wire::{FRAME_BYTES_MAX, Reply, Request, VERSION};
use primrosehoist::state::name;
use primrosehoist::state::view::Member;
use primrosehoist::transport::peer::{
    Body, Client, Direction, Error, Identity, Responder, Server, handshake::Error as HandshakeError,
};
use primrosehoist_property::check;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

const SECRET: &[u8] = b"a secret of the tests";

fn identity(host: &str, secret: &[u8]) -> Identity {
    Identity::new(name::Host::try_from(host).unwrap(), secret)
}

fn member(host: &str, address: &str) -> Member {
    Member {
        host: name::Host::try_from(host).unwrap(),
        zone: name::Zone::try_from("zone-a").unwrap(),
        address: address.to_owned(),
    }
}

/// Replies with the chunks of the body as parts, followed by the end.
async fn echo(_request: Request, mut body: Body, mut responder: Responder) {
    let mut index = 0;
    while let Ok(Some(data)) = body.chunk().await {
        let part = Reply::Part { index, data };
        responder.send(&part).await.unwrap();
        index += 1;
    }
    responder.send(&Reply::End).await.unwrap();
}

async fn echo_server(host: &str) -> (Server, Member) {
    let server = Server::bind("127.0.0.1:0", identity(host, SECRET), echo)
        .await
        .unwrap();
    let member = member(host, &server.address().to_string());
    (server, member)
}

#[tokio::test]
async fn a_body_larger_than_the_window_is_delivered_completely() {
    let (_server, b) = echo_server("b").await;
    let client = Client::new(identity("a", SECRET));
    let sent: Vec<Bytes> = (0..64_u8).map(|n| Bytes::from(vec![n; 64 << 10])).collect();
    let body = stream::iter(sent.clone());
    let mut exchange = client
        .open(&b, &Request::Changes(1), Some(Box::pin(body)))
        .await
        .unwrap();
    let mut received = Vec::new();
    let mut expected = 0;
    while let Some(reply) = exchange.next().await.unwrap() {
        if let Reply::Part { index, data } = reply {
            assert_eq!(index, expected);
            expected += 1;
            received.extend_from_slice(&data);
        }
    }
    assert_eq!(received, sent.concat());
    assert_eq!(exchange.peer(), &b.host);
}

#[tokio::test]
async fn stalled_exchanges_do_not_block_other_exchanges() {
    let handler = |request, body, mut responder: Responder| async move {
        if request == Request::Changes(0) {
            // Never reads the body, so that its window fills up.
            responder.closed().await;
        } else {
            echo(request, body, responder).await;
        }
    };
    let server = Server::bind("127.0.0.1:0", identity("b", SECRET), handler)
        .await
        .unwrap();
    let b = member("b", &server.address().to_string());
    let client = Client::new(identity("a", SECRET));
    let mut stalled = Vec::new();
    for _ in 0..100 {
        let body = stream::iter(vec![Bytes::from(vec![0; 1 << 20])]);
        let opened = client.open(&b, &Request::Changes(0), Some(Box::pin(body)));
        stalled.push(opened.await.unwrap());
    }
    let mut exchange = client.open(&b, &Request::Changes(1), None).await.unwrap();
    assert_eq!(exchange.next().await.unwrap(), Some(Reply::End));
    assert_eq!(exchange.next().await.unwrap(), None);
}

#[tokio::test]
async fn dropping_an_exchange_closes_its_responder() {
    let closed = Arc::new(Notify::new());
    let notify = Arc::clone(&closed);
    let handler = move |_request, _body, mut responder: Responder| {
        let notify = Arc::clone(&notify);
        async move {
            let reply = Reply::Admitted { queued_ms: 0 };
            responder.send(&reply).await.unwrap();
            responder.closed().await;
            assert!(responder.send(&Reply::End).await.is_err());
            notify.notify_one();
        }
    };
    let server = Server::bind("127.0.0.1:0", identity("b", SECRET), handler)
        .await
        .unwrap();
    let b = member("b", &server.address().to_string());
    let client = Client::new(identity("a", SECRET));
    let mut exchange = client.open(&b, &Request::Changes(0), None).await.unwrap();
    assert!(matches!(
        exchange.next().await,
        Ok(Some(Reply::Admitted { .. }))
    ));
    drop(exchange);
    closed.notified().await;
}

#[tokio::test]
async fn dropping_a_responder_early_is_an_error() {
    let handler = |_request, _body, mut responder: Responder| async move {
        let reply = Reply::Admitted { queued_ms: 0 };
        responder.send(&reply).await.unwrap();
    };
    let server = Server::bind("127.0.0.1:0", identity("b", SECRET), handler)
        .await
        .unwrap();
    let b = member("b", &server.address().to_string());
    let client = Client::new(identity("a", SECRET));
    let mut exchange = client.open(&b, &Request::Changes(0), None).await.unwrap();
    // The reset may overtake the reply that was sent before it.
    let mut replies = 0;
    let error = loop {
        match exchange.next().await {
            Ok(Some(_)) => replies += 1,
            Ok(None) => panic!("the exchange ended without an error after {replies} replies"),
            Err(error) => break error,
        }
    };
    assert!(
        matches!(error, Error::Lost { .. } | Error::Truncated { .. }),
        "{error}"
    );
}

#[tokio::test]
async fn unauthenticated_and_unexpected_peers_are_rejected() {
    let (_server, b) = echo_server("b").await;
    let other = member("c", &b.address);
    let cases = [
        ("wrong secret", &b, SECRET[1..].to_vec()),
        ("empty secret", &b, Vec::new()),
        ("other host", &other, SECRET.to_vec()),
    ];
    for (case, target, secret) in cases {
        let client = Client::new(identity("a", &secret));
        let error = client
            .open(target, &Request::Changes(0), None)
            .await
            .unwrap_err();
        let Error::Refused { cause, .. } = &error else {
            panic!("{case}: {error}");
        };
        let expected = match case {
            "other host" => matches!(cause, HandshakeError::Host(_)),
            _ => matches!(cause, HandshakeError::Secret),
        };
        assert!(expected, "{case}: {error}");
    }
}

#[tokio::test]
async fn the_server_rejects_a_reflected_proof() {
    let calls = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&calls);
    let handler = move |_, _, _| {
        counter.fetch_add(1, Ordering::Relaxed);
        async {}
    };
    let server = Server::bind("127.0.0.1:0", identity("b", SECRET), handler)
        .await
        .unwrap();
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let mut hello = b"phst".to_vec();
    hello.extend(VERSION.to_be_bytes());
    hello.extend([7; 32]);
    hello.extend(b"\x01a");
    stream.write_all(&hello).await.unwrap();
    // Sends the proof of the server back to it.
    let mut message = vec![0; hello.len() + 32];
    stream.read_exact(&mut message).await.unwrap();
    stream.write_all(&message[hello.len()..]).await.unwrap();
    let mut rest = Vec::new();
    let _reset = stream.read_to_end(&mut rest).await;
    assert!(rest.is_empty(), "the server accepted a reflected proof");
    assert_eq!(calls.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn an_unsupported_version_is_rejected_by_both_sides() {
    let (server, _b) = echo_server("b").await;
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    stream.write_all(b"phst\xff\xff").await.unwrap();
    let mut hello = Vec::new();
    stream.read_to_end(&mut hello).await.unwrap();
    assert_eq!(hello[4..6], VERSION.to_be_bytes());

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.write_all(b"phst\xff\xff").await.unwrap();
        let _closed = stream.read_to_end(&mut Vec::new()).await;
    });
    let client = Client::new(identity("a", SECRET));
    let error = client
        .open_address(&address, &Request::Changes(0))
        .await
        .unwrap_err();
    let rejected = matches!(
        error,
        Error::Refused {
            cause: HandshakeError::Version(0xffff),
            ..
        }
    );
    assert!(rejected, "{error}");
}

#[test]
fn frames_above_the_size_limit_are_rejected() {
    let oversize = FRAME_BYTES_MAX as u32 + 1;
    assert_eq!(
        codec::decode_length(oversize.to_be_bytes()),
        Err(codec::Error::Oversize(oversize as usize))
    );
    let reply = Reply::Part {
        index: 0,
        data: Bytes::from(vec![0; FRAME_BYTES_MAX + 1]),
    };
    assert!(codec::encode(&reply).is_err());
}

#[test]
fn arbitrary_bytes_that_decode_to_a_request_round_trip() {
    check(950, |u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        if let Ok(request) = codec::decode::<Request>(&bytes) {
            let encoded = codec::encode(&request).unwrap();
            let decoded: Request = codec::decode(&encoded[codec::PREFIX_BYTES..]).unwrap();
            assert_eq!(decoded, request);
        }
        Ok(())
    });
}

#[tokio::test]
async fn connecting_to_an_unresponsive_listener_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let client = Client::new(identity("a", SECRET));
    let error = client
        .open(&member("b", &address), &Request::Changes(0), None)
        .await
        .unwrap_err();
    assert!(matches!(error, Error::Timeout { .. }), "{error}");
}

#[tokio::test]
async fn a_partition_in_either_direction_fails_exchanges_until_it_heals() {
    let handler = |request, body, mut responder: Responder| async move {
        if request == Request::Changes(0) {
            let reply = Reply::Admitted { queued_ms: 0 };
            responder.send(&reply).await.unwrap();
            responder.closed().await;
        } else {
            echo(request, body, responder).await;
        }
    };
    for direction in [Direction::To, Direction::From] {
        let server = Server::bind("127.0.0.1:0", identity("b", SECRET), handler)
            .await
            .unwrap();
        let b = member("b", &server.address().to_string());
        let a = identity("a", SECRET);
        let client = Client::new(a.clone());
        let mut exchange = client.open(&b, &Request::Changes(0), None).await.unwrap();
        // A partition before the request arrives would test the first-frame timeout instead.
        assert!(exchange.next().await.unwrap().is_some());
        a.partition
            .set(direction, [b.host.clone()].into_iter().collect());
        let error = exchange.next().await.unwrap_err();
        assert!(matches!(error, Error::Lost { .. }), "{direction}: {error}");
        let error = client
            .open(&b, &Request::Changes(1), None)
            .await
            .unwrap_err();
        assert!(
            matches!(error, Error::Timeout { .. }),
            "{direction}: {error}"
        );
        a.partition.set(direction, [].into_iter().collect());
        let mut exchange = loop {
            match client.open(&b, &Request::Changes(1), None).await {
                Ok(exchange) => break exchange,
                Err(Error::Backoff { retry_after, .. }) => tokio::time::sleep(retry_after).await,
                Err(error) => panic!("{direction}: {error}"),
            }
        };
        assert_eq!(exchange.next().await.unwrap(), Some(Reply::End));
    }
}

#[tokio::test]
async fn an_unresponsive_client_closes_its_exchanges() {
    let closed = Arc::new(Notify::new());
    let notify = Arc::clone(&closed);
    let handler = move |_request, _body, mut responder: Responder| {
        let notify = Arc::clone(&notify);
        async move {
            responder.closed().await;
            notify.notify_one();
        }
    };
    let server = Server::bind("127.0.0.1:0", identity("b", SECRET), handler)
        .await
        .unwrap();
    let b = member("b", &server.address().to_string());
    let a = identity("a", SECRET);
    let client = Client::new(a.clone());
    let _exchange = client.open(&b, &Request::Changes(0), None).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    a.partition
        .set(Direction::To, [b.host].into_iter().collect());
    closed.notified().await;
}
