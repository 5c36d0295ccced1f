//! Mutual authentication by a shared secret at the start of a connection.
//!
//! 1. The client sends magic, wire version, a random nonce and its host name.
//! 2. The server sends magic, wire version, its own nonce and host name, and its proof.
//! 3. The client sends its proof.
//! 4. The server sends one byte.
//!
//! A proof is an HMAC-SHA256 over the prover's role, both nonces and both host names. The nonces
//! prevent replay in another connection, and the roles prevent reflection. All messages have a
//! maximum size, and authentication precedes `h2`, so that an unauthenticated peer costs a bounded
//! time and a few hundred bytes.

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
    /// An error from a handshake.
    #[derive(Debug)]
    pub enum Error {
        /// The peer uses another protocol.
        Magic { display("the peer uses another protocol") }
        /// The peer uses another wire version.
        Version(found: u16) {
            display("unsupported wire version {}, expected {}", found, wire::VERSION)
        }
        /// The peer's host name is malformed.
        Name(cause: name::Error) {
            display("host name: {}", cause)
            source(cause)
        }
        /// The peer is not the expected host.
        Host(found: name::Host) { display("unexpected host {}", found) }
        /// The proof of the peer is invalid: it does not have the shared secret.
        Secret { display("the peer does not have the shared secret") }
        /// The peer rejected the proof of this daemon.
        Rejected { display("the peer rejected the proof of this daemon") }
        /// The connection failed.
        Io(cause: io::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
    }
}

/// The role of the side that proves.
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

/// The opening message of either side.
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

fn proof_mac(secret: &[u8], role: Role, client: &Hello, server: &Hello) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes keys of any length");
    mac.update(role.label());
    for hello in [client, server] {
        mac.update(&hello.encode());
    }
    mac
}

fn prove(secret: &[u8], role: Role, client: &Hello, server: &Hello) -> Vec<u8> {
    proof_mac(secret, role, client, server)
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
    // Constant-time comparison.
    expected
        .verify_slice(&proof)
        .map_err(|_mismatch| Error::Secret)
}

/// Performs the client side of the handshake and returns the host of the server.
///
/// # Errors
///
/// Returns an error if either side rejects the other or the connection fails.
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
    check_proof(stream, proof_mac(secret, Role::Server, &client, &server)).await?;
    let proof = prove(secret, Role::Client, &client, &server);
    stream.write_all(&proof).await?;
    match stream.read_u8().await {
        Ok(ACCEPTED) => Ok(server.host),
        Ok(_) | Err(_) => Err(Error::Rejected),
    }
}

/// Performs the server side of the handshake and returns the host of the client.
///
/// # Errors
///
/// Returns an error if either side rejects the other or the connection fails.
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
            // The hello carries the local version, so that the client can report the mismatch.
            stream.write_all(&server.encode()).await?;
            return Err(Error::Version(found));
        }
        hello => hello?,
    };
    let mut message = server.encode();
    message.extend(prove(secret, Role::Server, &client, &server));
    stream.write_all(&message).await?;
    check_proof(stream, proof_mac(secret, Role::Client, &client, &server)).await?;
    stream.write_u8(ACCEPTED).await?;
    Ok(client.host)
}
