//! Starts stand-ins and calls them.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

/// The longest time that a test waits for anything.
const PATIENCE: Duration = Duration::from_secs(20);
/// The time between two looks.
const PERIOD: Duration = Duration::from_millis(10);

/// The first port that tests use; those that the system hands out by itself lie above.
const PORT_FIRST: u32 = 10_240;
/// The ports of one test process.
const PORTS: u32 = 100;
/// The test processes with ports of their own.
const PROCESSES: u32 = 220;

/// Returns an address that no other test uses.
fn free_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = PORT_FIRST + std::process::id() % PROCESSES * PORTS;
    loop {
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(next < PORTS, "all ports of the test process are used");
        let address = format!("127.0.0.1:{}", first + next);
        // Binding would leave the port in use in a program that another thread starts just then.
        if TcpStream::connect(&address).is_err() {
            return address;
        }
    }
}

/// Returns the program with arguments.
pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosehoist-standin"));
    command.args(arguments);
    command
}

/// Waits until `done` returns something.
///
/// # Panics
///
/// Panics if that takes too long.
pub fn wait_for<T, Done>(what: &str, mut done: Done) -> T
where
    Done: FnMut() -> Option<T>,
{
    let started = Instant::now();
    while started.elapsed() < PATIENCE {
        if let Some(found) = done() {
            return found;
        }
        thread::sleep(PERIOD);
    }
    panic!("waited too long for {what}");
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

/// An answer.
#[derive(Debug)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The status line and headers.
    pub head: String,
    /// The body without its framing.
    pub body: String,
    /// Whether the body came to its end.
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
        let child = command(&[kind, "--listen", &address])
            .args(options)
            .stdout(Stdio::null())
            .spawn()
            .expect("the program starts");
        let standin = Standin { child, address };
        standin.wait_up();
        standin
    }

    /// Waits until it accepts connections.
    pub fn wait_up(&self) {
        wait_for("a listener", || TcpStream::connect(&self.address).ok());
    }

    /// Sends a signal by its number and waits for the end of the program.
    pub fn stop(&mut self, signal: &str) -> ExitStatus {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill starts").success());
        wait_for("the end", || {
            self.child.try_wait().expect("it can be waited for")
        })
    }

    /// Sends a request and returns the connection.
    pub fn send(&self, method: &str, path: &str, headers: &[&str], body: &str) -> TcpStream {
        let sent = self.try_send(method, path, headers, body);
        sent.expect("it listens")
    }

    /// Sends a request and returns the connection, or nothing if there is no listener.
    fn try_send(
        &self,
        method: &str,
        path: &str,
        headers: &[&str],
        body: &str,
    ) -> Option<TcpStream> {
        let mut socket = TcpStream::connect(&self.address).ok()?;
        socket
            .set_read_timeout(Some(PATIENCE))
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
        // An early refusal may close the connection before all is written.
        let _written = socket.write_all(request.as_bytes());
        Some(socket)
    }

    /// Sends a request and returns its answer, or nothing if there is none.
    pub fn try_call(
        &self,
        method: &str,
        path: &str,
        headers: &[&str],
        body: &str,
    ) -> Option<Reply> {
        receive(&mut self.try_send(method, path, headers, body)?)
    }

    /// Sends a request and returns its answer.
    pub fn call(&self, method: &str, path: &str, headers: &[&str], body: &str) -> Reply {
        let reply = self.try_call(method, path, headers, body);
        reply.unwrap_or_else(|| panic!("no answer to {method} {path}"))
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

/// Reads an answer to the end of the connection.
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
