//! Helpers that start stand-ins and send requests to them.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

/// The maximum time that a test waits for a condition.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The polling interval.
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// The first port that tests use; the range lies below the ephemeral ports of the system.
const PORT_FIRST: u32 = 10_240;
/// The number of ports per test process.
const PORTS_PER_PROCESS: u32 = 100;
/// The number of test processes with distinct port ranges.
const PROCESSES: u32 = 220;

/// Returns an unused loopback address.
pub fn free_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = PORT_FIRST + std::process::id() % PROCESSES * PORTS_PER_PROCESS;
    loop {
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(
            next < PORTS_PER_PROCESS,
            "all ports of the test process are used"
        );
        let address = format!("127.0.0.1:{}", first + next);
        // Probing by binding could leak the socket into a program that another thread starts at the
        // same time, which would keep the port in use.
        if TcpStream::connect(&address).is_err() {
            return address;
        }
    }
}

/// Returns a command that runs the program with `arguments`.
pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosehoist-standin"));
    command.args(arguments);
    command
}

/// Polls `done` until it returns a value.
///
/// # Panics
///
/// Panics if it does not within the maximum time.
pub fn wait_for<T, Done>(what: &str, mut done: Done) -> T
where
    Done: FnMut() -> Option<T>,
{
    let started = Instant::now();
    while started.elapsed() < TIMEOUT {
        if let Some(found) = done() {
            return found;
        }
        thread::sleep(POLL_PERIOD);
    }
    panic!("timed out waiting for {what}");
}

/// A running stand-in, killed when dropped.
#[derive(Debug)]
pub struct Standin {
    child: Child,
    /// The address that it listens on.
    pub address: String,
}

impl Drop for Standin {
    fn drop(&mut self) {
        if self.child.try_wait().is_ok_and(|ended| ended.is_none()) {
            self.child.kill().expect("the program can be killed");
        }
        self.child.wait().expect("the program can be waited for");
    }
}

/// A response.
#[derive(Debug)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The status line and headers.
    pub head: String,
    /// The body without chunked framing.
    pub body: String,
    /// Whether the body is complete.
    pub whole: bool,
}

impl Reply {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }
}

impl Standin {
    /// Starts a stand-in on a free port and waits until it listens.
    pub fn start(kind: &str, options: &[&str]) -> Standin {
        let address = free_address();
        let mut command = command(&[kind, "--listen", &address]);
        let standin = Standin::spawn(command.args(options).stdout(Stdio::null()), address);
        standin.wait_up();
        standin
    }

    /// Starts a stand-in that listens on `address` sooner or later.
    pub fn spawn(command: &mut Command, address: String) -> Standin {
        let child = command.spawn().expect("the program starts");
        Standin { child, address }
    }

    /// Returns whether the program still runs.
    pub fn is_running(&mut self) -> bool {
        self.try_wait().is_none()
    }

    /// Waits for the program to exit.
    pub fn wait(&mut self) -> ExitStatus {
        wait_for("the end", || self.try_wait())
    }

    fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("it can be waited for")
    }

    /// Waits until the stand-in accepts connections.
    pub fn wait_up(&self) {
        wait_for("a listener", || TcpStream::connect(&self.address).ok());
    }

    /// Sends a signal, given as an option of `kill`, and waits for the program to exit.
    pub fn stop(&mut self, signal: &str) -> ExitStatus {
        self.signal(signal);
        self.wait()
    }

    /// Sends a signal, given as an option of `kill`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill starts").success());
    }

    /// Sends a request and returns the connection.
    pub fn send(&self, method: &str, path: &str, headers: &[&str], body: &str) -> TcpStream {
        let sent = self.try_send(method, path, headers, body);
        sent.expect("it listens")
    }

    /// Sends a request and returns the connection, or `None` if it is refused.
    fn try_send(
        &self,
        method: &str,
        path: &str,
        headers: &[&str],
        body: &str,
    ) -> Option<TcpStream> {
        let mut socket = TcpStream::connect(&self.address).ok()?;
        socket
            .set_read_timeout(Some(TIMEOUT))
            .expect("timeouts can be set");
        let mut lines = headers.join("\r\n");
        if !lines.is_empty() {
            lines.push_str("\r\n");
        }
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: standin\r\nConnection: close\r\n{lines}\
             Content-Length: {length}\r\n\r\n{body}"
        );
        // The server may respond and close the connection before the whole request is written.
        let _written = socket.write_all(request.as_bytes());
        Some(socket)
    }

    /// Sends a request and returns its response, or `None` if there is none.
    pub fn try_call(
        &self,
        method: &str,
        path: &str,
        headers: &[&str],
        body: &str,
    ) -> Option<Reply> {
        receive(&mut self.try_send(method, path, headers, body)?)
    }

    /// Sends a request and returns its response.
    pub fn call(&self, method: &str, path: &str, headers: &[&str], body: &str) -> Reply {
        let reply = self.try_call(method, path, headers, body);
        reply.unwrap_or_else(|| panic!("no response to {method} {path}"))
    }

    /// Posts a body and returns the status.
    pub fn post(&self, path: &str, headers: &[&str], body: &str) -> u16 {
        self.call("POST", path, headers, body).status
    }

    /// Sets faults.
    pub fn fault(&self, faults: &str) {
        assert_eq!(200, self.post("/standin/faults", &[], faults), "{faults}");
    }

    /// Returns the counters.
    pub fn counts(&self) -> Value {
        self.call("GET", "/standin/counts", &[], "").json()
    }
}

/// Reads a response until the connection ends.
pub fn receive(socket: &mut TcpStream) -> Option<Reply> {
    let mut raw = Vec::new();
    let ended: io::Result<usize> = socket.read_to_end(&mut raw);
    let text = String::from_utf8(raw).expect("answers are text");
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let chunked = head.contains("transfer-encoding: chunked");
    let (body, whole) = if chunked {
        unchunk(rest)
    } else {
        (rest.to_owned(), ended.is_ok())
    };
    Some(Reply {
        status,
        head: head.to_owned(),
        body,
        whole,
    })
}

fn unchunk(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, data)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("sizes are hexadecimal");
        if size == 0 {
            return (body, true);
        }
        let Some(piece) = data.get(..size) else {
            break;
        };
        body.push_str(piece);
        rest = data.get(size + 2..).unwrap_or("");
    }
    (body, false)
}
