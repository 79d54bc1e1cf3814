//! A small JSON reader, HTTP/1.1 server and client for the stand-ins. Standard library only.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A JSON value. Numbers are kept as integers, as the pages use whole numbers where it matters.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(i64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        value(text, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(number)) => u64::try_from(*number).ok(),
            _ => None,
        }
    }
}

fn skip_blanks(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(text, at);
    match text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip_blanks(text, at);
                match text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = string(text, at)?;
                        skip_blanks(text, at);
                        if text.get(*at)? != &b':' {
                            return None;
                        }
                        *at += 1;
                        map.insert(name, value(text, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_blanks(text, at);
                match text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(text, at)?),
                }
            }
        }
        b'"' => string(text, at).map(Json::Text),
        _ => {
            let from = *at;
            while text.get(*at).is_some_and(|byte| !b",]} \r\n\t".contains(byte)) {
                *at += 1;
            }
            match std::str::from_utf8(&text[from..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse::<f64>().ok().map(|number| Json::Number(number as i64)),
            }
        }
    }
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    if text.get(*at)? != &b'"' {
        return None;
    }
    *at += 1;
    let mut bytes = Vec::new();
    loop {
        match text.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(bytes).ok();
            }
            b'\\' => {
                let escaped = *text.get(*at + 1)?;
                bytes.push(match escaped {
                    b'n' => b'\n',
                    b't' => b'\t',
                    other => other,
                });
                *at += 2;
            }
            byte => {
                bytes.push(*byte);
                *at += 1;
            }
        }
    }
}

/// A request or an answer: the first line, the headers in lower case, and the body.
#[derive(Clone, Debug)]
pub struct Message {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message with a `Content-Length`; `None` at the end of the stream or on an error.
/// `buffer` keeps the bytes of further messages.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 16 * 1024];
    let head_end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        match stream.read(&mut chunk) {
            Ok(bytes) if bytes > 0 => buffer.extend_from_slice(&chunk[..bytes]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let line = lines.next()?.to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize =
        headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    while buffer.len() < head_end + 4 + length {
        match stream.read(&mut chunk) {
            Ok(bytes) if bytes > 0 => buffer.extend_from_slice(&chunk[..bytes]),
            _ => return None,
        }
    }
    let body = buffer[head_end + 4..head_end + 4 + length].to_vec();
    buffer.drain(..head_end + 4 + length);
    Some(Message { line, headers, body })
}

/// Connections that a server keeps open at a time, as the sites say of an executor; further ones wait
/// to be accepted.
const MAX_CONNECTIONS: usize = 64;

/// Serves each connection on a thread of its own until the process ends.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(&Message) -> (u16, String) + Send + Sync + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    let open = Arc::new(AtomicUsize::new(0));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handler, counted) = (handler.clone(), open.clone());
            open.fetch_add(1, Ordering::Relaxed);
            std::thread::spawn(move || {
                serve_connection(stream, &*handler);
                counted.fetch_sub(1, Ordering::Relaxed);
            });
            while open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
                std::thread::sleep(Duration::from_millis(1));
            }
        }
    });
    Ok(())
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(&Message) -> (u16, String)) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer) {
        let (status, body) = handler(&request);
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The bytes of a request.
pub fn request(method: &str, host: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

pub fn connect(address: SocketAddr, timeout: Duration) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}

/// Reads one answer within the time.
pub fn read_answer(stream: &mut TcpStream, within: Duration) -> Option<Message> {
    let until = Instant::now() + within;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    read_message(stream, &mut Vec::new())
}

/// One request over a connection of its own.
pub fn call(address: SocketAddr, bytes: &[u8], within: Duration) -> Option<Message> {
    let mut stream = connect(address, within)?;
    stream.write_all(bytes).ok()?;
    read_answer(&mut stream, within)
}
