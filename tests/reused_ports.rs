//! Ports of connections that this process has made, and listeners on them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use primrosehoist::transport::http::upstream::Pool;
use primrosehoist::transport::platform::{Endpoint, Target};
use primrosehoist::transport::socket;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of connections of each kind. The operating system lets some ports be reused anyway.
const CONNECTIONS: usize = 20;

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it listens");
    let address = listener.local_addr().expect("it has an address");
    (listener, address)
}

/// Closes the connection at its server, whose client closed it before, and listens on the port of the client.
async fn listen_on_port_of(mut accepted: TcpStream) {
    let client = accepted.peer_addr().expect("it is connected");
    let read = accepted.read_to_end(&mut Vec::new()).await;
    read.expect("the client has closed it");
    drop(accepted);
    let port = socket::bind(client).unwrap_or_else(|error| panic!("{client}: {error}"));
    let listening = socket::listen(port);
    listening.unwrap_or_else(|error| panic!("{client}: {error}"));
}

/// Guards against a start that waits for a port from which its former process was connected to an upstream.
#[tokio::test]
async fn port_of_a_connection_to_an_upstream_can_be_listened_on() {
    for source in [None, Some(IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2)))] {
        let (listener, address) = listener().await;
        for _ in 0..CONNECTIONS {
            let pool = match source {
                Some(source) => Pool::bound_to(address, source),
                None => Pool::new(address),
            };
            let opened = pool.open_idle(CONNECT_TIMEOUT).await;
            opened.expect("the listener accepts");
            let (accepted, _) = listener.accept().await.expect("it was connected to");
            drop(pool);
            listen_on_port_of(accepted).await;
        }
    }
}

/// Guards against a start that waits for a port from which its former process was connected to the platform.
#[tokio::test]
async fn port_of_a_connection_to_the_platform_can_be_listened_on() {
    let (listener, address) = listener().await;
    for _ in 0..CONNECTIONS {
        let endpoint = Endpoint::new(&address.to_string(), HeaderMap::new());
        let (target, timeout) = (Target::new("/"), Duration::from_millis(50));
        let call = endpoint.call("wait", Method::GET, &target, Bytes::new(), timeout);
        let (called, accepted) = tokio::join!(call, listener.accept());
        assert!(called.is_err(), "nobody answers");
        let (accepted, _) = accepted.expect("it was connected to");
        listen_on_port_of(accepted).await;
    }
}
