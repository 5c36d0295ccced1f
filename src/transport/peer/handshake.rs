//! The mutual proof of the shared secret at the start of a connection.
//!
//! 1. The client sends magic, wire version, a random nonce and its host name.
//! 2. The server answers magic, wire version, its own nonce and host name, and its proof.
//! 3. The client sends its proof.
//! 4. The server answers one byte.
//!
//! A proof is an HMAC-SHA256 over the prover's role, both nonces and both host names. Roles and
//! nonces make a proof useless in any other connection or direction. All messages have a fixed
//! upper size, and the proof takes place before `h2` starts, so that an unauthenticated peer
//! costs a bounded time and a few hundred bytes.

use std::io;

use hmac::{Hmac, KeyInit, Mac};
use quick_error::quick_error;
use rand::RngExt;
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::protocol::wire;
use crate::state::name;

const MAGIC: [u8; 4] = *b"phst";
const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
const ACCEPTED: u8 = 1;

quick_error! {
    /// Says why a peer was refused.
    #[derive(Debug)]
    pub enum Error {
        /// The peer is not a daemon of this kind.
        Magic { display("the peer does not speak this protocol") }
        /// The peer uses another version of the frames.
        Version(found: u16) {
            display("wire version {} is unknown, this daemon uses {}", found, wire::VERSION)
        }
        /// The peer's host name is malformed.
        Name(cause: name::Error) {
            display("host name: {}", cause)
            source(cause)
        }
        /// The peer is another host than expected.
        Host(found: name::Host) { display("the peer is host {}", found) }
        /// The peer does not know the shared secret.
        Secret { display("the peer does not know the shared secret") }
        /// The peer refused this daemon's proof.
        Rejected { display("the peer refused this daemon") }
        /// The connection broke.
        Io(cause: io::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
    }
}

/// Who proves.
#[derive(Debug, Clone, Copy)]
enum Role {
    Client,
    Server,
}

impl Role {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Client => b"primrosehoist peer client",
            Self::Server => b"primrosehoist peer server",
        }
    }
}

/// One side's opening message.
#[derive(Debug)]
struct Hello {
    nonce: [u8; NONCE_BYTES],
    host: name::Host,
}

impl Hello {
    fn new(host: &name::Host) -> Self {
        Self {
            nonce: rand::rng().random(),
            host: host.clone(),
        }
    }

    fn encode(&self) -> Vec<u8> {
        let host = self.host.as_str().as_bytes();
        let mut buffer = MAGIC.to_vec();
        buffer.extend(wire::VERSION.to_be_bytes());
        buffer.extend(self.nonce);
        buffer.push(host.len() as u8);
        buffer.extend(host);
        buffer
    }

    async fn read<S>(stream: &mut S) -> Result<Self, Error>
    where
        S: AsyncRead + Unpin,
    {
        let mut magic = [0; MAGIC.len()];
        stream.read_exact(&mut magic).await?;
        if magic != MAGIC {
            return Err(Error::Magic);
        }
        let version = stream.read_u16().await?;
        if version != wire::VERSION {
            return Err(Error::Version(version));
        }
        let mut nonce = [0; NONCE_BYTES];
        stream.read_exact(&mut nonce).await?;
        let host = read_host(stream).await?;
        Ok(Self { nonce, host })
    }
}

async fn read_host<S>(stream: &mut S) -> Result<name::Host, Error>
where
    S: AsyncRead + Unpin,
{
    let length = stream.read_u8().await?;
    let mut raw = vec![0; usize::from(length)];
    stream.read_exact(&mut raw).await?;
    let raw = String::from_utf8_lossy(&raw);
    name::Host::try_from(raw.as_ref()).map_err(Error::Name)
}

fn prover(secret: &[u8], role: Role, client: &Hello, server: &Hello) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes keys of any length");
    mac.update(role.label());
    for hello in [client, server] {
        mac.update(&hello.encode());
    }
    mac
}

fn prove(secret: &[u8], role: Role, client: &Hello, server: &Hello) -> Vec<u8> {
    prover(secret, role, client, server)
        .finalize()
        .into_bytes()
        .to_vec()
}

async fn check_proof<S>(stream: &mut S, expected: Hmac<Sha256>) -> Result<(), Error>
where
    S: AsyncRead + Unpin,
{
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    // Compares in constant time.
    expected
        .verify_slice(&proof)
        .map_err(|_mismatch| Error::Secret)
}

/// Proves this daemon to a server and checks the server; returns the server's host.
///
/// # Errors
///
/// Returns an error if either side does not accept the other.
pub async fn connect<S>(
    stream: &mut S,
    host: &name::Host,
    secret: &[u8],
) -> Result<name::Host, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let client = Hello::new(host);
    stream.write_all(&client.encode()).await?;
    let server = Hello::read(stream).await?;
    check_proof(stream, prover(secret, Role::Server, &client, &server)).await?;
    let proof = prove(secret, Role::Client, &client, &server);
    stream.write_all(&proof).await?;
    match stream.read_u8().await {
        Ok(ACCEPTED) => Ok(server.host),
        Ok(_) | Err(_) => Err(Error::Rejected),
    }
}

/// Checks a client and proves this daemon to it; returns the client's host.
///
/// # Errors
///
/// Returns an error if either side does not accept the other.
pub async fn accept<S>(
    stream: &mut S,
    host: &name::Host,
    secret: &[u8],
) -> Result<name::Host, Error>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let server = Hello::new(host);
    let client = match Hello::read(stream).await {
        Err(Error::Version(found)) => {
            // The client learns this side's version from the hello and can name the mismatch.
            stream.write_all(&server.encode()).await?;
            return Err(Error::Version(found));
        }
        outcome => outcome?,
    };
    let mut answer = server.encode();
    answer.extend(prove(secret, Role::Server, &client, &server));
    stream.write_all(&answer).await?;
    check_proof(stream, prover(secret, Role::Client, &client, &server)).await?;
    stream.write_u8(ACCEPTED).await?;
    Ok(client.host)
}
