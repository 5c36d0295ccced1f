//! A relay before the store, which can keep connections from it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::day::schedule::Store;
use crate::listener;

/// The delay of each part that a slow store receives or sends.
const SLOW_DELAY: Duration = Duration::from_millis(400);

/// The most connections that are relayed at a time.
const CONNECTIONS_MAX: usize = 4_096;

const BUFFER_BYTES: usize = 16 * 1024;

/// Relays connections to `address` to the store at `target`.
///
/// # Errors
///
/// Fails if the address is not permitted.
pub(crate) async fn serve(
    address: SocketAddr,
    target: SocketAddr,
    mut state: watch::Receiver<Store>,
) -> io::Result<()> {
    loop {
        let opened = state.wait_for(|state| *state != Store::Refusing);
        // The value is locked as long as it is borrowed.
        let is_over = opened.await.is_err();
        if is_over {
            return Ok(());
        }
        let listener = listener::bind(address).await?;
        let mut connections = JoinSet::new();
        accept(&listener, target, &mut state, &mut connections).await;
        drop(listener);
        connections.shutdown().await;
    }
}

/// Accepts connections until they are to be refused.
async fn accept(
    listener: &TcpListener,
    target: SocketAddr,
    state: &mut watch::Receiver<Store>,
    connections: &mut JoinSet<()>,
) {
    loop {
        let now = *state.borrow_and_update();
        let relayed = state.clone();
        match now {
            Store::Refusing => return,
            Store::Resetting => connections.shutdown().await,
            Store::Open | Store::Silent | Store::Slow => {}
        }
        tokio::select! {
            changed = state.changed() => if changed.is_err() { return },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) if now == Store::Resetting || connections.len() >= CONNECTIONS_MAX => {
                    if let Err(error) = socket.set_zero_linger() {
                        log::warn!("resetting a connection: {error}");
                    }
                }
                Ok((socket, _)) => {
                    connections.spawn(async move {
                        if let Err(error) = relay(socket, target, relayed).await {
                            log::debug!("relayed connection ended: {error}");
                        }
                    });
                }
                Err(error) => {
                    log::warn!("accepting a connection: {error}");
                    time::sleep(SLOW_DELAY).await;
                }
            },
        }
    }
}

async fn relay(
    socket: TcpStream,
    target: SocketAddr,
    state: watch::Receiver<Store>,
) -> io::Result<()> {
    let upstream = TcpStream::connect(target).await?;
    socket.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let (client_read, client_write) = socket.into_split();
    let (store_read, store_write) = upstream.into_split();
    tokio::try_join!(
        copy(client_read, store_write, state.clone()),
        copy(store_read, client_write, state)
    )?;
    Ok(())
}

async fn copy<Read, Write>(
    mut read: Read,
    mut write: Write,
    mut state: watch::Receiver<Store>,
) -> io::Result<()>
where
    Read: AsyncRead + Unpin,
    Write: AsyncWrite + Unpin,
{
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = read.read(&mut buffer).await?;
        let passing = state.wait_for(|state| *state != Store::Silent);
        let passing = passing.await.map(|passing| *passing);
        let passing = passing.map_err(io::Error::other)?;
        if passing == Store::Slow {
            time::sleep(SLOW_DELAY).await;
        }
        if length == 0 {
            return write.shutdown().await;
        }
        write.write_all(&buffer[..length]).await?;
    }
}
