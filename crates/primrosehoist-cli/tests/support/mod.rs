//! A fake server for the platform and daemons on loopback, and helpers that run the tool.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{Value, json};

/// A fault injected into the creation of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The object is created and the response is lost.
    LoseResponse,
    /// Nothing is created and the connection is closed.
    LoseRequest,
    /// Another operator's change is created first.
    Race,
}

/// The state of the fake server, shared with its threads.
#[derive(Debug, Default)]
pub struct Content {
    /// The objects by path.
    pub objects: BTreeMap<String, Value>,
    /// The faults of the next creations, in order.
    pub faults: Vec<Fault>,
    /// The number of further reads that get no response.
    pub lost_reads: usize,
    /// The number of creations requested.
    pub creates: usize,
    /// The `authorization` header of the last request.
    pub authorization: String,
}

/// A fake server that stands for the platform or, with its status as an object, for a daemon.
#[derive(Debug, Clone)]
pub struct Fake {
    pub address: SocketAddr,
    pub content: Arc<Mutex<Content>>,
}

impl Fake {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let content = Arc::new(Mutex::new(Content::default()));
        let shared = Arc::clone(&content);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let content = Arc::clone(&shared);
                thread::spawn(move || serve(&stream, &content));
            }
        });
        Self { address, content }
    }

    pub fn set(&self, path: &str, object: Value) {
        let mut content = self.content.lock().expect("no thread panicked");
        content.objects.insert(path.to_owned(), object);
    }

    pub fn get(&self, path: &str) -> Option<Value> {
        let content = self.content.lock().expect("no thread panicked");
        content.objects.get(path).cloned()
    }

    pub fn inject(&self, faults: &[Fault]) {
        let mut content = self.content.lock().expect("no thread panicked");
        content.faults = faults.to_vec();
    }

    pub fn lose_reads(&self, reads: usize) {
        self.content.lock().expect("no thread panicked").lost_reads = reads;
    }

    pub fn creates(&self) -> usize {
        self.content.lock().expect("no thread panicked").creates
    }

    pub fn authorization(&self) -> String {
        let content = self.content.lock().expect("no thread panicked");
        content.authorization.clone()
    }
}

struct Request {
    method: String,
    path: String,
    authorization: String,
    body: Value,
}

fn read(stream: &TcpStream) -> Option<Request> {
    let mut reader = BufReader::new(stream);
    let mut request_line = String::new();
    reader.read_line(&mut request_line).ok()?;
    let mut words = request_line.split_whitespace().map(str::to_owned);
    let (method, path) = (words.next()?, words.next()?);
    let (mut length, mut authorization) = (0, String::new());
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((key, value)) = line.trim().split_once(": ") else {
            break;
        };
        match key.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().ok()?,
            "authorization" => value.clone_into(&mut authorization),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = serde_json::from_slice(&body).unwrap_or_default();
    Some(Request {
        method,
        path,
        authorization,
        body,
    })
}

fn serve(mut stream: &TcpStream, content: &Mutex<Content>) {
    let Some(request) = read(stream) else { return };
    let response = respond(request, &mut content.lock().expect("no thread panicked"));
    let Some((status, body)) = response else {
        return;
    };
    let body = body.to_string();
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n",
        body.len()
    );
    // The write fails if the tool has closed the connection, which is not an error here.
    drop(stream.write_all(format!("{head}{body}").as_bytes()));
}

/// Returns the status and body; `None` closes the connection without a response.
fn respond(request: Request, content: &mut Content) -> Option<(u16, Value)> {
    content.authorization = request.authorization;
    let not_found = || (404, json!({}));
    match request.method.as_str() {
        "GET" if content.lost_reads > 0 => {
            content.lost_reads -= 1;
            None
        }
        "GET" => {
            let found = content.objects.get(&request.path);
            Some(found.map_or_else(not_found, |object| (200, object.clone())))
        }
        "POST" if request.path.starts_with("/apis/") => {
            create(&request.path, request.body, content).map(|status| (status, json!({})))
        }
        "POST" => {
            content.objects.insert(request.path, json!({}));
            Some((202, json!({})))
        }
        "PUT" => {
            content.objects.insert(request.path, request.body);
            Some((200, json!({})))
        }
        _ => Some(not_found()),
    }
}

fn create(collection: &str, object: Value, content: &mut Content) -> Option<u16> {
    content.creates += 1;
    let name = object["metadata"]["name"].as_str().unwrap_or_default();
    let path = format!("{collection}/{name}");
    let fault = if content.faults.is_empty() {
        None
    } else {
        Some(content.faults.remove(0))
    };
    if fault == Some(Fault::LoseRequest) {
        return None;
    }
    if fault == Some(Fault::Race) {
        let mut competing = object.clone();
        competing["spec"]["author"] = "rival".into();
        competing["spec"]["nonce"] = "other".into();
        content.objects.insert(path.clone(), competing);
    }
    if content.objects.contains_key(&path) {
        return Some(409);
    }
    content.objects.insert(path, object);
    (fault != Some(Fault::LoseResponse)).then_some(201)
}

/// Returns the path of a change in the platform.
pub fn change_path(version: u64) -> String {
    format!("/apis/primrosehoist/v1/changes/{version:012}")
}

/// Returns a file or directory of the repository.
pub fn repository(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
}

/// The output and exit code of the tool.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

/// Returns a command that runs the tool with `arguments`.
pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosehoist"));
    command.args(arguments);
    command
}

/// Runs the tool with `arguments`, and `input` on standard input.
pub fn run_with(arguments: &[&str], input: &str) -> Run {
    let mut child = command(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the tool starts");
    let mut stdin = child.stdin.take().expect("the input is a pipe");
    // The tool may end without reading its input.
    drop(stdin.write_all(input.as_bytes()));
    drop(stdin);
    let output: Output = child.wait_with_output().expect("the tool ends");
    Run {
        code: output.status.code().expect("the tool was not killed"),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Runs the tool with `arguments`.
pub fn run(arguments: &[&str]) -> Run {
    run_with(arguments, "")
}
