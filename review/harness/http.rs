//! The little of HTTP/1.1 that the stand-ins and clients need.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request or the head of a response, with its body if it has been read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection with bytes that were received and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(
            &address,
            Duration::from_secs(1),
        )?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let length = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the start line and the headers.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            start: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_lowercase(), value.trim().to_owned()));
            }
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a chunk of a chunked body; `None` is its end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.line()?;
        let size = size.split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
        if size == 0 {
            while !self.line()?.is_empty() {}
            return Ok(None);
        }
        let bytes = self.take(size)?;
        self.line()?;
        Ok(Some(bytes))
    }

    /// Reads the body that belongs to `head`.
    pub fn body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some() {
            let mut body = Vec::new();
            while let Some(chunk) = self.chunk()? {
                body.extend_from_slice(&chunk);
            }
            return Ok(body);
        }
        let length = head
            .header("content-length")
            .and_then(|value| value.parse().ok());
        self.take(length.unwrap_or(0))
    }

    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        message.body = self.body(&message)?;
        Ok(message)
    }

    /// Sends a response with a body of known length.
    pub fn answer(&mut self, status: &str, headers: &str, body: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        self.stream.write_all((head + body).as_bytes())
    }

    pub fn send_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut framed = format!("{:x}\r\n", bytes.len()).into_bytes();
        framed.extend_from_slice(bytes);
        framed.extend_from_slice(b"\r\n");
        self.stream.write_all(&framed)
    }

    /// Waits for the peer to send or to close; returns whether it did within `wait`.
    pub fn is_closed_within(&mut self, wait: Duration) -> bool {
        let _ = self
            .stream
            .set_read_timeout(Some(wait.max(Duration::from_millis(1))));
        let mut byte = [0; 1];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_read_timeout(None);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}

/// Accepts connections and handles each on a thread of its own.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(Connection) + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || handler(Connection::new(stream)));
        }
    });
}

/// How a client's request ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The status, or 0 if the connection ended without one.
    pub status: u16,
    /// Whether the answer was complete.
    pub complete: bool,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// How the connection ended, if the answer was not complete.
    pub cause: String,
    pub at: Instant,
}

/// Reads a response until `deadline`.
pub fn read_answer(connection: &mut Connection, deadline: Instant) -> Ended {
    let mut ended = Ended {
        status: 0,
        complete: false,
        headers: Vec::new(),
        body: Vec::new(),
        cause: String::new(),
        at: Instant::now(),
    };
    let read = |connection: &mut Connection, ended: &mut Ended| -> io::Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        connection
            .stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let head = connection.head()?;
        ended.status = head.status();
        ended.headers = head.headers.clone();
        if head.header("transfer-encoding").is_none() {
            ended.body = connection.body(&head)?;
            return Ok(());
        }
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            connection.stream.set_read_timeout(Some(left))?;
            match connection.chunk()? {
                // Only the beginning of a long answer is kept.
                Some(chunk) if ended.body.len() < 1 << 20 => ended.body.extend_from_slice(&chunk),
                Some(_) => {}
                None => return Ok(()),
            }
        }
    };
    match read(connection, &mut ended) {
        Ok(()) => ended.complete = true,
        Err(error) => {
            ended.cause = match error.kind() {
                ErrorKind::UnexpectedEof => "connection closed".to_owned(),
                ErrorKind::WouldBlock | ErrorKind::TimedOut => "client gave up".to_owned(),
                _ => error.to_string(),
            };
        }
    }
    ended.at = Instant::now();
    ended
}
