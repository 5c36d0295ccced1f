//! HTTP/1.1 on blocking sockets, as far as the cases need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns the Unix time in milliseconds.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// A head: the first line and the headers, with names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1).unwrap_or("0");
        word.parse().unwrap_or(0)
    }
}

/// A connection with its unread bytes.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: &str, timeout: Duration) -> io::Result<Self> {
        let address: SocketAddr = address
            .parse()
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    /// Reads more bytes; `false` at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16384];
        let length = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length > 0)
    }

    /// Reads a head; `None` if the stream ended before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| {
                        (name.trim().to_ascii_lowercase(), value.trim().to_owned())
                    })
                    .collect();
                return Ok(Some(Head { line, headers }));
            }
            if !self.fill()? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the next chunk of a chunked body; `None` at its end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let bytes = self.exact(size)?;
        self.line()?;
        Ok((size > 0).then_some(bytes))
    }

    /// Reads the body that belongs to `head`.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let chunked = head
            .get("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        if chunked {
            let mut body = Vec::new();
            while let Some(chunk) = self.chunk()? {
                body.extend(chunk);
            }
            return Ok(body);
        }
        let length = head.get("content-length").and_then(|text| text.parse().ok());
        self.exact(length.unwrap_or(0))
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// The end of a call.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status, or 0 if there was no head.
    pub status: u16,
    pub head: Head,
    /// Whether the whole answer was received.
    pub complete: bool,
    pub error: String,
}

impl Reply {
    fn failed(error: &io::Error) -> Self {
        Self {
            status: 0,
            head: Head::default(),
            complete: false,
            error: error.to_string(),
        }
    }
}

/// Makes a call on a new connection.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Reply {
    match Wire::connect(address, Duration::from_secs(1)) {
        Ok(mut wire) => call_on(&mut wire, method, path, headers, body, timeout),
        Err(error) => Reply::failed(&error),
    }
}

/// Makes a call on `wire`.
pub fn call_on(
    wire: &mut Wire,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Reply {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    let started = Instant::now();
    let _ = wire.stream.set_read_timeout(Some(timeout));
    if let Err(error) = wire.stream.write_all(&bytes) {
        return Reply::failed(&error);
    }
    let head = match wire.head() {
        Ok(Some(head)) => head,
        Ok(None) => return Reply::failed(&io::ErrorKind::UnexpectedEof.into()),
        Err(error) => return Reply::failed(&error),
    };
    let left = timeout.saturating_sub(started.elapsed());
    let _ = wire
        .stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))));
    let status = head.status();
    match wire.body(&head) {
        Ok(_body) => Reply {
            status,
            head,
            complete: true,
            error: String::new(),
        },
        Err(error) => Reply {
            status,
            head,
            complete: false,
            error: error.to_string(),
        },
    }
}
