//! Requests that a test hands to a daemon in the name of another one.

use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use primrosehoist::protocol::handover;
use primrosehoist::state::versions::Versions;
use socket2::{Domain, Socket, Type};

use super::platform::{Deployment, HOST, Request};

/// The port of daemons for requests of other daemons.
pub const PORT: u16 = 7341;

/// The number of each sending.
pub const SENDING: u64 = 0xabcd_0123_4567_89ef;

/// Returns what the second daemon says of a request that it hands over.
pub fn handover() -> handover::Request {
    handover::Request {
        sending: SENDING,
        host: Arc::from("frontend-1"),
        workspace: Some(Arc::from("rope")),
        elapsed: Duration::from_millis(20),
        remaining: Duration::from_secs(7),
        attempts: 2,
        last_event: None,
        resumes: false,
        versions: Versions::default(),
    }
}

/// Returns the headers of a request that is handed over.
pub fn headers(handover: &handover::Request) -> HeaderMap {
    let mut headers = HeaderMap::new();
    handover.insert(&mut headers).expect("headers hold it");
    headers
}

/// Returns the address of a daemon.
fn address(deployment: &Deployment, daemon: usize) -> IpAddr {
    let ingress: SocketAddr = deployment.daemons[daemon]
        .ingress
        .parse()
        .expect("is an address");
    ingress.ip()
}

/// Connects to the first daemon's port for requests of other daemons, from the address `source`.
pub fn connect_from(deployment: &Deployment, source: Option<IpAddr>) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("creates a socket");
    if let Some(source) = source {
        let source = SocketAddr::new(source, 0);
        socket.bind(&source.into()).expect("binds");
    }
    let port = SocketAddr::new(address(deployment, 0), PORT);
    socket.connect(&port.into()).expect("connects");
    let connection = TcpStream::from(socket);
    let timeout = Some(Duration::from_secs(20));
    connection
        .set_read_timeout(timeout)
        .expect("can be configured");
    connection
}

/// Returns a handed-over request as it is sent, with the headers of the client except its key.
pub fn bytes(request: &Request, added: &HeaderMap) -> Vec<u8> {
    let mut bytes = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\nContent-Length: {}\r\n",
        request.method,
        request.path,
        request.id,
        request.body.len()
    )
    .into_bytes();
    for (name, value) in &request.headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    for (name, value) in added {
        bytes.extend([name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"].concat());
    }
    bytes.extend(b"\r\n");
    bytes.extend(&request.body);
    bytes
}

/// Hands `request` to the first daemon in the name of the second one.
pub fn start(deployment: &Deployment, request: &Request, added: &HeaderMap) -> TcpStream {
    let mut connection = connect_from(deployment, Some(address(deployment, 1)));
    connection
        .write_all(&bytes(request, added))
        .expect("sends the request");
    connection
}
