//! The links of the daemons of a deployment to its upstreams, each of which can be cut.
//!
//! Connections from all daemons have the same source address, so each daemon reads the store through a
//! proxy that replaces the port of the upstreams with one of its own, at which another proxy forwards
//! to the upstream.

use std::io::{self, ErrorKind};
use std::time::Duration;

use primrosehoist::transport::socket::ignore_handshakes;
use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{self, Runtime};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::platform::{Deployment, configuration};

/// The port of the upstreams in the store.
const UPSTREAM_PORT: u16 = 7200;

/// The port at which the first daemon finds the upstreams, with as many digits.
const FIRST_LINK_PORT: u16 = 7300;

/// The port at which the first daemon finds the store.
const FIRST_STORE_PORT: u16 = 7110;

/// How long an upstream may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long it may take until new connections meet a mode that was set.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// The interval between attempts to bind an address again.
const REBIND_PERIOD: Duration = Duration::from_millis(5);

/// What happens to connections of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// All connections work.
    Pass,
    /// All segments to the upstream are lost, and so are the answers.
    Hang,
    /// Established connections are reset and new ones refused.
    Reset,
    /// Established connections work, and new ones are refused.
    Refuse,
    /// The kernel of the upstream accepts and acknowledges, but nothing is read or answered.
    Silent,
}

impl Mode {
    fn listens(self) -> bool {
        !matches!(self, Self::Reset | Self::Refuse)
    }

    fn passes(self) -> bool {
        matches!(self, Self::Pass | Self::Refuse)
    }
}

/// The links of each daemon to each upstream.
pub struct Links {
    links: Vec<Vec<Link>>,
    // Dropping it closes all connections.
    runtime: Runtime,
}

/// The link of a daemon to an upstream.
struct Link {
    mode: watch::Sender<Mode>,
    /// The mode that new connections meet.
    applied: watch::Receiver<Mode>,
}

impl Links {
    /// Starts the links of the daemons of `zones` to the upstreams at `upstreams`, whose entries must be
    /// in the store; then starts the daemons and waits until they are ready.
    ///
    /// The entries must not change afterwards, since daemons tell each other of changes.
    pub fn start(deployment: &mut Deployment, zones: &[&str], upstreams: &[String]) -> Self {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("the runtime starts");
        let mut all = Vec::new();
        for (number, zone) in (0..).zip(zones) {
            let port = FIRST_LINK_PORT + number;
            let links = upstreams.iter().map(|upstream| {
                let suffix = format!(":{UPSTREAM_PORT}");
                let ip = upstream.strip_suffix(&suffix).expect("the port is known");
                let (mode, wanted) = watch::channel(Mode::Pass);
                let (apply, applied) = watch::channel(Mode::Refuse);
                let address = format!("{ip}:{port}");
                runtime.spawn(listen(address, upstream.clone(), wanted, apply));
                Link { mode, applied }
            });
            all.push(links.collect());
            let address = format!("{}.1:{}", deployment.network, FIRST_STORE_PORT + number);
            let store = deployment.store.clone();
            let listener = runtime
                .block_on(TcpListener::bind(&address))
                .expect("the address is free");
            runtime.spawn(serve_store(listener, store, port));
            deployment.add_daemon(zone, &address);
        }
        for index in 0..zones.len() {
            deployment.wait_until_ready(index);
        }
        // The daemons discover each other through notices.
        std::thread::sleep(Duration::from_millis(600));
        Self {
            links: all,
            runtime,
        }
    }

    /// Starts a configured deployment with daemons in `zones`, each with links to all runners.
    pub fn deployment(zones: &[&str]) -> (Deployment, Self) {
        let mut deployment = Deployment::without_daemons();
        deployment.configure(&configuration(1));
        for index in 0..deployment.runners.len() {
            deployment.register(index, "ready");
        }
        let runners = deployment.runners.iter();
        let upstreams: Vec<String> = runners.map(|runner| runner.address.clone()).collect();
        let links = Self::start(&mut deployment, zones, &upstreams);
        (deployment, links)
    }

    /// Sets the mode of all links of a daemon. New connections meet it from now on.
    pub fn set(&self, daemon: usize, mode: Mode) {
        self.apply(&self.links[daemon].iter().collect::<Vec<_>>(), mode);
    }

    /// Sets the mode of the links of all daemons to an upstream. New connections meet it from now on.
    pub fn set_upstream(&self, upstream: usize, mode: Mode) {
        let links = self.links.iter().map(|links| &links[upstream]);
        self.apply(&links.collect::<Vec<_>>(), mode);
    }

    fn apply(&self, links: &[&Link], mode: Mode) {
        for link in links {
            link.mode.send_replace(mode);
        }
        for link in links {
            let mut applied = link.applied.clone();
            let applied = applied.wait_for(|applied| *applied == mode);
            let applied = self
                .runtime
                .block_on(async { timeout(APPLY_TIMEOUT, applied).await.is_ok() });
            assert!(applied, "the mode of a link is not applied");
        }
    }
}

/// Listens as `mode` says, and forwards connections to `upstream`.
async fn listen(
    address: String,
    upstream: String,
    mut mode: watch::Receiver<Mode>,
    applied: watch::Sender<Mode>,
) {
    loop {
        let current = *mode.borrow_and_update();
        if !current.listens() {
            applied.send_replace(current);
            if mode.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Ok(listener) = TcpListener::bind(&address).await else {
            sleep(REBIND_PERIOD).await;
            continue;
        };
        mode.mark_changed();
        loop {
            tokio::select! {
                biased;
                changed = mode.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let current = *mode.borrow_and_update();
                    if !current.listens() {
                        break;
                    }
                    let set = if current == Mode::Hang {
                        ignore_handshakes(&listener)
                    } else {
                        detach(&SockRef::from(&listener))
                    };
                    set.expect("socket filters are supported");
                    applied.send_replace(current);
                }
                accepted = listener.accept() => if let Ok((connection, _)) = accepted {
                    tokio::spawn(forward(connection, upstream.clone(), mode.clone()));
                }
            }
        }
    }
}

/// Forwards a connection until it ends or is reset.
async fn forward(daemon: TcpStream, upstream: String, mut mode: watch::Receiver<Mode>) {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(upstream)).await;
    let Ok(Ok(upstream)) = connected else {
        reset(&daemon);
        return;
    };
    for connection in [&daemon, &upstream] {
        connection.set_nodelay(true).expect("sets the option");
    }
    let (there, back) = (mode.clone(), mode.clone());
    let pumps = async {
        tokio::try_join!(
            pump(&daemon, &upstream, there),
            pump(&upstream, &daemon, back)
        )
    };
    tokio::pin!(pumps);
    mode.mark_changed();
    loop {
        tokio::select! {
            biased;
            changed = mode.changed() => {
                let current = *mode.borrow_and_update();
                if changed.is_err() || current == Mode::Reset {
                    reset(&daemon);
                    reset(&upstream);
                    return;
                }
                // The peer has to notice that nothing is acknowledged.
                let set = if current == Mode::Hang {
                    SockRef::from(&daemon).attach_filter(&DROP_ALL)
                } else {
                    detach(&SockRef::from(&daemon))
                };
                set.expect("socket filters are supported");
            }
            _ended = &mut pumps => return,
        }
    }
}

/// A classic BPF program that drops all segments.
const DROP_ALL: [SockFilter; 1] = {
    const RETURN: u16 = 0x06;
    [SockFilter::new(RETURN, 0, 0, 0)]
};

/// Removes the filter of a socket, if it has one.
fn detach(socket: &SockRef<'_>) -> io::Result<()> {
    match socket.detach_filter() {
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(()),
        result => result,
    }
}

/// Makes the kernel reset a connection when it is dropped.
fn reset(connection: &TcpStream) {
    // A connection that has ended cannot be reset.
    let _ended = SockRef::from(connection)
        .set_linger(Some(Duration::ZERO))
        .is_err();
}

/// Copies while `mode` passes, until the end of `from`.
async fn pump(from: &TcpStream, to: &TcpStream, mut mode: watch::Receiver<Mode>) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = read(from, &mut buffer).await;
        wait_until_passing(&mut mode).await;
        let length = match read {
            Ok(0) => return SockRef::from(to).shutdown(std::net::Shutdown::Write),
            Ok(length) => length,
            Err(error) => {
                reset(to);
                return Err(error);
            }
        };
        write(to, &buffer[..length], &mut mode).await?;
    }
}

async fn wait_until_passing(mode: &mut watch::Receiver<Mode>) {
    // The sender lives as long as the runtime.
    let _closed = mode.wait_for(|mode| mode.passes()).await.is_err();
}

async fn read(from: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        from.readable().await?;
        match from.try_read(buffer) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

async fn write(
    to: &TcpStream,
    mut bytes: &[u8],
    mode: &mut watch::Receiver<Mode>,
) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        wait_until_passing(mode).await;
        match to.try_write(bytes) {
            Ok(length) => bytes = &bytes[length..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Forwards connections to the store; its answers name the upstreams at `port`.
async fn serve_store(listener: TcpListener, store: String, port: u16) {
    while let Ok((daemon, _)) = listener.accept().await {
        let store = store.clone();
        tokio::spawn(async move {
            let Ok(store) = TcpStream::connect(store).await else {
                return;
            };
            let (_always, passing) = watch::channel(Mode::Pass);
            // Both end when the daemon or the store closes the connection.
            tokio::select! {
                _ended = pump(&daemon, &store, passing.clone()) => {}
                _ended = pump_answers(&store, &daemon, port, passing.clone()) => {}
            }
        });
    }
}

async fn pump_answers(
    store: &TcpStream,
    daemon: &TcpStream,
    port: u16,
    mut mode: watch::Receiver<Mode>,
) -> io::Result<()> {
    let (before, after) = (format!(":{UPSTREAM_PORT}\""), format!(":{port}\""));
    let mut pending = Vec::new();
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let length = read(store, &mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        pending.extend_from_slice(&buffer[..length]);
        replace(&mut pending, before.as_bytes(), after.as_bytes());
        // The rest of a port may still follow.
        let held = (1..before.len())
            .rev()
            .find(|held| pending.ends_with(&before.as_bytes()[..*held]));
        let rest = pending.split_off(pending.len() - held.unwrap_or(0));
        write(daemon, &pending, &mut mode).await?;
        pending = rest;
    }
}

/// Replaces all occurrences of `before` with `after`, which is as long.
fn replace(bytes: &mut [u8], before: &[u8], after: &[u8]) {
    assert_eq!(before.len(), after.len());
    for start in 0..(bytes.len() + 1).saturating_sub(before.len()) {
        let found = &mut bytes[start..start + before.len()];
        if found == before {
            found.copy_from_slice(after);
        }
    }
}
