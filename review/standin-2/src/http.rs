//! HTTP/1.1 over blocking sockets: a server with a thread per connection, and a client.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The head of a request or an answer, and the body of a request.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    /// Returns the path with its query.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond what was asked for.
pub struct Stream {
    pub socket: TcpStream,
    rest: Vec<u8>,
}

impl Stream {
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self { socket, rest: Vec::new() }
    }

    /// Reads more bytes. Returns how many, 0 at the end.
    fn fill(&mut self) -> std::io::Result<usize> {
        let mut buffer = [0; 16 * 1024];
        loop {
            match self.socket.read(&mut buffer) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
                Ok(count) => {
                    self.rest.extend_from_slice(&buffer[..count]);
                    return Ok(count);
                }
            }
        }
    }

    /// Reads a head; `None` if the connection ends before one begins.
    pub fn head(&mut self) -> std::io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.rest, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|l| {
                    let (name, value) = l.split_once(':')?;
                    Some((name.trim().to_owned(), value.trim().to_owned()))
                });
                return Ok(Some(Message { line, headers: headers.collect(), body: Vec::new() }));
            }
            if self.fill()? == 0 {
                return match self.rest.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn exactly(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        while self.rest.len() < count {
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.rest.drain(..count).collect())
    }

    fn text_line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(end) = find(&self.rest, b"\r\n") {
                let line: Vec<u8> = self.rest.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the next chunk of a chunked body, empty at its end.
    pub fn chunk(&mut self) -> std::io::Result<Vec<u8>> {
        let size = self.text_line()?;
        let size = size.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
        let data = self.exactly(size)?;
        self.text_line()?;
        Ok(data)
    }

    /// Reads the whole body that a head announces.
    pub fn body(&mut self, head: &Message) -> std::io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
            let mut all = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(all);
                }
                all.extend(chunk);
            }
        }
        let length = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.exactly(length)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|w| w == pattern)
}

/// Serves an address until the process ends. The handler writes the answer itself, and
/// returns whether the connection is kept.
pub fn serve<H>(address: SocketAddr, handler: H)
where
    H: Fn(Message, &mut Stream) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).expect("the address is free");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handler = handler.clone();
            let serving = move || {
                let mut stream = Stream::new(socket);
                while let Ok(Some(mut head)) = stream.head() {
                    let Ok(body) = stream.body(&head) else {
                        return;
                    };
                    head.body = body;
                    if !handler(head, &mut stream) {
                        return;
                    }
                }
            };
            let _ = thread::Builder::new().stack_size(256 * 1024).spawn(serving);
        }
    });
}

/// Writes a complete answer. Returns whether that succeeded.
pub fn answer(stream: &mut Stream, status: &str, headers: &str, body: &str) -> bool {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.socket.write_all(text.as_bytes()).is_ok()
}

/// What a client saw of the answer to one request.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// 0 without an answer.
    pub status: u16,
    pub head: Message,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub complete: bool,
    /// When the last byte of the request was sent, and when the answer or channel ended.
    pub sent: Option<Instant>,
    pub ended: Option<Instant>,
    /// How it ended, in words.
    pub end: String,
}

/// Sends a request on an open connection and reads the answer until `deadline`.
pub fn exchange(stream: &mut Stream, request: &str, body: &[u8], deadline: Instant) -> Reply {
    let mut reply = Reply::default();
    let sent = stream.socket.write_all(request.as_bytes());
    if let Err(error) = sent.and_then(|()| stream.socket.write_all(body)) {
        reply.end = format!("not sent: {error}");
        reply.ended = Some(Instant::now());
        return reply;
    }
    reply.sent = Some(Instant::now());
    let left = |deadline: Instant| {
        deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))
    };
    let _ = stream.socket.set_read_timeout(Some(left(deadline)));
    let outcome = read_answer(stream, &mut reply, |s| {
        let _ = s.set_read_timeout(Some(left(deadline)));
    });
    reply.end = match outcome {
        Ok(()) => "complete".into(),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            "deadline".into()
        }
        Err(error) => format!("channel ended: {:?}", error.kind()),
    };
    reply.ended = Some(Instant::now());
    reply
}

fn read_answer(
    stream: &mut Stream,
    reply: &mut Reply,
    again: impl Fn(&TcpStream),
) -> std::io::Result<()> {
    let head = stream.head()?.ok_or(ErrorKind::UnexpectedEof)?;
    reply.status = head.status();
    reply.head = head;
    let chunked = reply.head.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    if chunked {
        loop {
            again(&stream.socket);
            let chunk = stream.chunk()?;
            if chunk.is_empty() {
                break;
            }
            reply.body.extend(chunk);
        }
    } else {
        let head = reply.head.clone();
        reply.body = stream.body(&head)?;
    }
    reply.complete = true;
    Ok(())
}

pub fn connect(address: SocketAddr) -> std::io::Result<Stream> {
    TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Stream::new)
}
