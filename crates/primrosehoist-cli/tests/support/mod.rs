//! A fake platform and fake daemons on loopback, and a runner of the tool.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{Value, json};

/// What the next create of a change meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The object is created and the answer is lost.
    LoseAnswer,
    /// Nothing is created and the connection ends.
    LoseCall,
    /// Another operator's change is created first.
    Race,
}

/// The content of the fake, shared with its threads.
#[derive(Debug, Default)]
pub struct Content {
    /// All objects by path.
    pub objects: BTreeMap<String, Value>,
    /// What the next creates meet; the first is next.
    pub faults: Vec<Fault>,
    /// How many of the next reads get no answer.
    pub lost_reads: usize,
    /// The number of creates that came in.
    pub creates: usize,
    /// The authorization of the last call.
    pub authorization: String,
}

/// A fake server: the platform's objects, or the status of a daemon as one of them.
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

    pub fn fail(&self, faults: &[Fault]) {
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

struct Call {
    method: String,
    path: String,
    authorization: String,
    body: Value,
}

fn read(stream: &TcpStream) -> Option<Call> {
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
    let mut words = first.split_whitespace().map(str::to_owned);
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
    Some(Call {
        method,
        path,
        authorization,
        body,
    })
}

fn serve(mut stream: &TcpStream, content: &Mutex<Content>) {
    let Some(call) = read(stream) else { return };
    let answer = answer(call, &mut content.lock().expect("no thread panicked"));
    let Some((status, body)) = answer else { return };
    let body = body.to_string();
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n",
        body.len()
    );
    // The tool may have given up; then there is nobody to tell.
    drop(stream.write_all(format!("{head}{body}").as_bytes()));
}

/// Returns the answer; `None` ends the connection without one.
fn answer(call: Call, content: &mut Content) -> Option<(u16, Value)> {
    content.authorization = call.authorization;
    let not_found = || (404, json!({}));
    match call.method.as_str() {
        "GET" if content.lost_reads > 0 => {
            content.lost_reads -= 1;
            None
        }
        "GET" => {
            let found = content.objects.get(&call.path);
            Some(found.map_or_else(not_found, |object| (200, object.clone())))
        }
        "POST" if call.path.starts_with("/apis/") => {
            create(&call.path, call.body, content).map(|status| (status, json!({})))
        }
        "POST" => {
            content.objects.insert(call.path, json!({}));
            Some((202, json!({})))
        }
        "PUT" => {
            content.objects.insert(call.path, call.body);
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
    if fault == Some(Fault::LoseCall) {
        return None;
    }
    if fault == Some(Fault::Race) {
        let mut other = object.clone();
        other["spec"]["author"] = "rival".into();
        other["spec"]["nonce"] = "other".into();
        content.objects.insert(path.clone(), other);
    }
    if content.objects.contains_key(&path) {
        return Some(409);
    }
    content.objects.insert(path, object);
    (fault != Some(Fault::LoseAnswer)).then_some(201)
}

/// Returns the path of a change in the fake.
pub fn change_path(version: u64) -> String {
    format!("/apis/primrosehoist/v1/changes/{version:012}")
}

/// Returns a file or directory of the repository.
pub fn repository(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
}

/// What the tool printed, and its exit code.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

/// Runs the tool with the words of `line`, and `input` on standard input.
pub fn run_with(line: &[&str], input: &str) -> Run {
    let mut child = Command::new(env!("CARGO_BIN_EXE_primrosehoist"))
        .args(line)
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

/// Runs the tool with the words of `line`.
pub fn run(line: &[&str]) -> Run {
    run_with(line, "")
}
