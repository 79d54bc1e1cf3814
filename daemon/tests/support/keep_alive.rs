//! A client connection that stays open between requests.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::Answer;

/// Reason for a missing answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseError {
    /// The connection was closed before the first byte of the answer.
    Closed,
    /// The connection was closed within the answer.
    Partial,
    /// No answer within the timeout.
    TimedOut,
}

/// An open keep-alive connection.
pub struct KeepAliveConnection {
    stream: TcpStream,
}

impl KeepAliveConnection {
    /// Connects; `None` if nothing listens.
    pub fn open(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { stream })
    }

    /// Sends bytes; returns false if the connection is closed.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Sends a complete request and waits for its answer.
    pub fn request(&mut self, request: &str, timeout: Duration) -> Result<Answer, ResponseError> {
        if !self.send(request.as_bytes()) {
            return Err(ResponseError::Closed);
        }
        self.read_answer(timeout)
    }

    /// Reads one answer with a content length.
    pub fn read_answer(&mut self, timeout: Duration) -> Result<Answer, ResponseError> {
        self.stream.set_read_timeout(Some(timeout)).expect("the timeout is not zero");
        let mut bytes = Vec::new();
        loop {
            if let Some(answer) = parse_answer(&bytes) {
                return Ok(answer);
            }
            let mut buffer = [0; 4_096];
            match self.stream.read(&mut buffer) {
                Ok(0) if bytes.is_empty() => return Err(ResponseError::Closed),
                Ok(0) => return Err(ResponseError::Partial),
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
                // The read was interrupted because this process was suspended; the connection is
                // still open.
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return Err(ResponseError::TimedOut);
                }
                Err(_) if bytes.is_empty() => return Err(ResponseError::Closed),
                Err(_) => return Err(ResponseError::Partial),
            }
        }
    }
}

/// Formats a keep-alive request that submits a job of equal tasks with a long deadline.
pub fn job_request(id: u64, count: u32, work_ms: u64, estimated_ms: u64) -> String {
    let body = serde_json::json!({"spec": work_ms.to_string(), "best_effort": true,
        "steps": [{"count": count, "cpu": 1000, "mem_mb": 64, "estimated_ms": estimated_ms}]})
    .to_string();
    format!(
        "POST /q/{id:016x} HTTP/1.1\r\nHost: queue.example\r\nContent-Type: application/json\r\n\
         X-Dockpass-Deadline-Milliseconds: 30000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Parses the answer once it is complete.
fn parse_answer(bytes: &[u8]) -> Option<Answer> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
    let length: usize = length.trim().parse().ok()?;
    let body = body.get(..length)?.to_owned();
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    Some(Answer { status, head, body })
}
