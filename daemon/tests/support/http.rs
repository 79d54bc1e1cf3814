//! An HTTP client that opens one connection per request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Status, lower-case head and body of an HTTP answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Sends one request over a new connection; `None` without a complete answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<Answer> {
    call_with_headers(to, method, path, "", body, timeout)
}

/// Like [`call`], follows redirects as operators do: twice at most.
pub fn call_as_operator(
    to: SocketAddr,
    method: &str,
    path: &str,
    timeout: Duration,
) -> Option<Answer> {
    let (mut to, mut path) = (to, path.to_owned());
    for _ in 0..2 {
        let answer = call(to, method, &path, "", timeout)?;
        let Some(location) = answer.location() else { return Some(answer) };
        (to, path) = location;
    }
    call(to, method, &path, "", timeout)
}

impl Answer {
    /// The address and the path that a redirect names.
    pub fn location(&self) -> Option<(SocketAddr, String)> {
        let line = self.head.lines().find_map(|line| line.strip_prefix("location: http://"))?;
        let (address, path) = line.split_once('/')?;
        let address = address.parse().ok().filter(|_| self.status == 307)?;
        Some((address, format!("/{path}")))
    }
}

/// Like [`call`], with further headers, each followed by a line break.
pub fn call_with_headers(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: queue.example\r\nConnection: close\r\n\
         Content-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    Some(Answer { status, head: head.to_lowercase(), body: body.to_owned() })
}
