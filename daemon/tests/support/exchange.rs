//! Clients with keep-alive connections, and checks of the answers against what the targets
//! observed.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::checks::ObservedRuns;
use super::fake_target::FAILS_PREFIX;
use super::{Answer, document};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the read buffer.
const READ_CHUNK: usize = 16 * 1024;
/// Request header with the client's deadline.
const DEADLINE_HEADER: &str = "X-Dockpass-Deadline-Milliseconds";
/// Attempts of a task in the fleet's configuration.
const MAX_ATTEMPTS: usize = 2;

/// A request of a client or an operator.
#[derive(Clone, Debug)]
pub enum Request {
    /// Submission of a job.
    Job(Job),
    /// Query for the state of a job that was never submitted.
    JobState(u64),
    /// Query for the number of waiting jobs.
    WaitingCount,
    /// Submission of a job to a route that does not exist.
    UnknownRoute,
    /// Submission of a job with a malformed body.
    MalformedJob(u64),
    /// An operator sets a configuration with this version.
    ReplaceConfiguration(u64),
    /// An operator reads the configuration, which must have this version or a later one.
    FetchConfiguration(u64),
}

/// A job of equal tasks, as submitted by a client.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub id: u64,
    pub count: u32,
    /// Run time of each task.
    pub work_ms: u64,
    /// Run time that the client estimates for each task.
    pub estimated_ms: u64,
    /// Whether each task fails at its end.
    pub fails: bool,
    /// Deadline that the client sends, if any.
    pub deadline: Option<Duration>,
}

impl Job {
    /// Job identifier as used in paths and task names.
    pub fn name(&self) -> String {
        format!("{:016x}", self.id)
    }
}

impl Request {
    /// Formats the head and the body of the HTTP request.
    fn serialize(&self) -> (String, String) {
        let (method, path, body) = match self {
            Self::Job(job) => ("POST", format!("/q/{}", job.name()), job_document(job)),
            Self::JobState(id) => ("GET", format!("/q/{id:016x}"), String::new()),
            Self::WaitingCount => ("GET", "/q/".to_owned(), String::new()),
            Self::UnknownRoute => ("POST", "/nowhere/0000000000000001".to_owned(), "{}".to_owned()),
            Self::MalformedJob(id) => ("POST", format!("/q/{id:016x}"), "{\"steps\":".to_owned()),
            Self::ReplaceConfiguration(version) => {
                ("POST", "/configuration/replace".to_owned(), document(*version))
            }
            Self::FetchConfiguration(_) => {
                ("GET", "/configuration/fetch".to_owned(), String::new())
            }
        };
        let deadline = match self {
            Self::Job(Job { deadline: Some(time), .. }) => {
                format!("{DEADLINE_HEADER}: {}\r\n", time.as_millis())
            }
            _ => String::new(),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: queue.example\r\n{deadline}\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        (head, body)
    }
}

fn job_document(job: &Job) -> String {
    let fails = if job.fails { FAILS_PREFIX } else { "" };
    json!({"spec": format!("{fails}{}", job.work_ms), "best_effort": true,
        "steps": [{"count": job.count, "cpu": 1000, "mem_mb": 64,
            "estimated_ms": job.estimated_ms}]})
    .to_string()
}

/// Outcome of a request as seen on the client's socket.
#[derive(Debug)]
pub enum Exchange {
    /// A complete answer.
    Answered(Answer),
    /// The connection was closed before the request was sent completely.
    NotSent,
    /// The connection was reset before any byte of an answer: the process closed it with unread
    /// data. Closing a connection after reading all data causes no reset.
    ResetUnread,
    /// The connection was closed after the request was read, with this many bytes of an answer.
    Truncated(usize),
    /// No complete answer arrived in time, only this many bytes.
    TimedOut(usize),
}

/// A connection that is reused until either side closes it.
pub struct Connection {
    stream: TcpStream,
    /// Number of the entry; `None` for a keeper.
    pub entry: Option<usize>,
    /// When the connection was opened.
    pub opened: Instant,
    /// Number of requests answered so far.
    pub answered: u32,
}

impl Connection {
    /// Connects to an entry or a keeper; `None` if that fails.
    pub fn open(entry: Option<usize>, to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { stream, entry, opened: Instant::now(), answered: 0 })
    }

    /// Whether the peer has closed the connection and everything it sent has been read.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        self.stream.set_nonblocking(true).expect("the socket accepts the option");
        let peeked = self.stream.peek(&mut byte);
        self.stream.set_nonblocking(false).expect("the socket accepts the option");
        match peeked {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Sends a request, pausing before its body, and waits for the complete answer.
    pub fn exchange(&mut self, request: &Request, pause: Duration, timeout: Duration) -> Exchange {
        let (head, body) = request.serialize();
        if !self.send(&head, &body, pause) {
            return Exchange::NotSent;
        }
        self.read_answer(timeout)
    }

    fn send(&mut self, head: &str, body: &str, pause: Duration) -> bool {
        if pause.is_zero() || body.is_empty() {
            return self.stream.write_all(format!("{head}{body}").as_bytes()).is_ok();
        }
        if self.stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(pause);
        // An early answer also counts as the answer of the request.
        !self.is_closed() && self.stream.write_all(body.as_bytes()).is_ok()
    }

    fn read_answer(&mut self, timeout: Duration) -> Exchange {
        let until = Instant::now() + timeout;
        let mut bytes = Vec::new();
        let mut chunk = [0; READ_CHUNK];
        loop {
            if let Some(answer) = parse_answer(&bytes) {
                self.answered += 1;
                return Exchange::Answered(answer);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Exchange::TimedOut(bytes.len());
            }
            self.stream.set_read_timeout(Some(left)).expect("the timeout is not zero");
            match self.stream.read(&mut chunk) {
                Ok(0) => return self.connection_end(bytes.len(), false),
                Ok(read) => bytes.extend_from_slice(&chunk[..read]),
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => {}
                    _ => return self.connection_end(bytes.len(), true),
                },
            }
        }
    }

    /// Classifies a closed connection. A connection that was closed before the request arrived
    /// reports the end of the stream first and the reset afterwards.
    fn connection_end(&self, bytes: usize, reset: bool) -> Exchange {
        let reset = reset || self.stream.take_error().is_ok_and(|error| error.is_some());
        match (bytes, reset) {
            (0, true) => Exchange::ResetUnread,
            _ => Exchange::Truncated(bytes),
        }
    }
}

/// Parses an answer once its body has the announced length; `None` before that.
fn parse_answer(bytes: &[u8]) -> Option<Answer> {
    let text = std::str::from_utf8(bytes).expect("the answer is UTF-8");
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_lowercase();
    let status = head.split_whitespace().nth(1)?.parse().expect("the answer has a status");
    let length = header(&head, "content-length").expect("the answer has a content length");
    let length: usize = length.parse().expect("the content length is a number");
    assert!(body.len() <= length, "the body is longer than announced: {text}");
    (body.len() == length).then(|| Answer { status, head: head.clone(), body: body.to_owned() })
}

/// Finds a header in a lower-case head.
fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(key, _)| *key == name).map(|(_, value)| value.trim())
}

impl Answer {
    /// Whether the answer announces the end of the connection.
    pub fn closes(&self) -> bool {
        header(&self.head, "connection").is_some_and(|value| value.contains("close"))
    }

    /// Whether the answer has a valid `Retry-After` header.
    pub fn has_retry_after(&self) -> bool {
        let after = header(&self.head, "retry-after");
        after.is_some_and(|text| text.parse::<u32>().is_ok_and(|seconds| seconds >= 1))
    }
}

/// Version of the configuration in an answer.
fn version(answer: &Answer) -> Option<u64> {
    let document: serde_json::Value = serde_json::from_str(&answer.body).ok()?;
    document["version"].as_u64().filter(|_| answer.status == 200)
}

/// Checks an answer that arrived at `at` against what the targets had observed by then; returns
/// what is wrong with it. Answers carry no job id, so an answer to another job shows only as a
/// state that the job's tasks contradict.
pub fn find_fault(
    request: &Request,
    answer: &Answer,
    at: Instant,
    observed_runs: &ObservedRuns,
) -> Option<String> {
    let is_state = |state: &str| answer.body == format!("{{\"state\":\"{state}\"}}");
    let is_operator =
        matches!(request, Request::ReplaceConfiguration(_) | Request::FetchConfiguration(_));
    if answer.status == 503 && !is_operator {
        return (!answer.has_retry_after()).then(|| "503 without Retry-After".to_owned());
    }
    let is_valid = match request {
        Request::Job(_) if answer.status == 504 => answer.body.contains("may have run"),
        Request::Job(job) if answer.status == 200 && is_state("completed") => {
            let done = observed_runs.done_by(&job.name(), at);
            if done < job.count as usize {
                return Some(format!("completed with {done} of {} tasks done", job.count));
            }
            !job.fails
        }
        Request::Job(job) if answer.status == 200 && is_state("failed") => {
            let failures = observed_runs.failures_by(&job.name(), at);
            if failures < MAX_ATTEMPTS {
                return Some(format!("failed after {failures} failures of a task"));
            }
            job.fails
        }
        Request::Job(_) => false,
        Request::JobState(_) => answer.status == 410 && answer.body == "{}",
        Request::WaitingCount => answer.status == 200 && answer.body.starts_with("{\"waiting\":"),
        Request::UnknownRoute => answer.status == 404,
        Request::MalformedJob(_) => answer.status == 400,
        Request::ReplaceConfiguration(_) | Request::FetchConfiguration(_)
            if answer.status == 503 =>
        {
            true
        }
        Request::ReplaceConfiguration(_) => answer.status == 200,
        Request::FetchConfiguration(acknowledged) => {
            version(answer).is_some_and(|version| version >= *acknowledged)
        }
    };
    (!is_valid).then(|| "the answer does not match the request".to_owned())
}
