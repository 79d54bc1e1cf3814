//! Clients that keep their connections: what a request came to, as the client saw it on its socket,
//! and whether that is true.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::checks::ObservedRuns;
use super::fake_target::FAILS_PREFIX;
use super::{Answer, document};

/// How long a client waits to be connected.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes read at once.
const READ_CHUNK: usize = 16 * 1024;
/// Names how long the client waits for the answer.
const DEADLINE_HEADER: &str = "X-Dockpass-Deadline-Milliseconds";
/// Most attempts of a task in the fleet's configuration.
const MAX_ATTEMPTS: usize = 2;

/// A request.
#[derive(Clone, Debug)]
pub enum Request {
    /// A job of equal tasks.
    Job(Job),
    /// For the state of a job that nobody handed in.
    JobState(u64),
    /// For how many jobs wait.
    WaitingCount,
    /// For a queue that there is not.
    UnknownRoute,
    /// A job that can't be read.
    MalformedJob(u64),
    /// Of an operator, for a configuration of this version.
    ReplaceConfiguration(u64),
    /// Of an operator, for the configuration in force; this version was acknowledged before.
    FetchConfiguration(u64),
}

/// A job of equal tasks.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub id: u64,
    pub count: u32,
    /// How long each task takes.
    pub work_ms: u64,
    /// How long its client thinks that each task takes.
    pub estimated_ms: u64,
    /// Each task fails at its end.
    pub fails: bool,
    /// How long the client says that it waits.
    pub deadline: Option<Duration>,
}

impl Job {
    /// Its name, as the path and tasks show it.
    pub fn name(&self) -> String {
        format!("{:016x}", self.id)
    }
}

impl Request {
    /// The head and the body, as sent over a kept connection.
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

/// What a request came to.
#[derive(Debug)]
pub enum Exchange {
    /// A whole answer.
    Answered(Answer),
    /// The connection had ended before the request was sent whole.
    NotSent,
    /// The connection was reset without a byte of an answer: the process closed it and had not read
    /// the request. Its kernel says so: what is closed with all bytes read ends without a reset.
    ResetUnread,
    /// The connection ended after the process had read the request, with so many bytes of an answer.
    Truncated(usize),
    /// No whole answer came in the client's time; so many bytes of one did.
    TimedOut(usize),
}

/// A connection that is used until either side ends it.
pub struct Connection {
    stream: TcpStream,
    /// Which entry it leads to; none where it is a keeper.
    pub entry: Option<usize>,
    pub opened: Instant,
    /// Requests that were answered over it.
    pub answered: u32,
}

impl Connection {
    /// Connects to an entry, or to a keeper.
    pub fn open(entry: Option<usize>, to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { stream, entry, opened: Instant::now(), answered: 0 })
    }

    /// Whether the other side has ended it, with all that it sent before read.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        self.stream.set_nonblocking(true).expect("a socket");
        let peeked = self.stream.peek(&mut byte);
        self.stream.set_nonblocking(false).expect("a socket");
        match peeked {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Sends a request, with a pause before its body if there is one, and waits so long for the whole
    /// answer.
    pub fn exchange(&mut self, request: &Request, pause: Duration, time: Duration) -> Exchange {
        let (head, body) = request.serialize();
        if !self.send(&head, &body, pause) {
            return Exchange::NotSent;
        }
        self.read_answer(time)
    }

    fn send(&mut self, head: &str, body: &str, pause: Duration) -> bool {
        if pause.is_zero() || body.is_empty() {
            return self.stream.write_all(format!("{head}{body}").as_bytes()).is_ok();
        }
        if self.stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(pause);
        // The answer may come before the body; it counts all the same.
        !self.is_closed() && self.stream.write_all(body.as_bytes()).is_ok()
    }

    fn read_answer(&mut self, time: Duration) -> Exchange {
        let until = Instant::now() + time;
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
            self.stream.set_read_timeout(Some(left)).expect("a time above zero");
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

    /// The connection ended after so many bytes, by a reset or not. One that was closed before the
    /// request came shows its end first, and the reset behind it.
    fn connection_end(&self, bytes: usize, reset: bool) -> Exchange {
        let reset = reset || self.stream.take_error().is_ok_and(|error| error.is_some());
        match (bytes, reset) {
            (0, true) => Exchange::ResetUnread,
            _ => Exchange::Truncated(bytes),
        }
    }
}

/// An answer whose body is as long as its head says; none before it is whole.
fn parse_answer(bytes: &[u8]) -> Option<Answer> {
    let text = std::str::from_utf8(bytes).expect("answers are text");
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_lowercase();
    let status = head.split_whitespace().nth(1)?.parse().expect("a status");
    let length = header(&head, "content-length").expect("answers say how long they are");
    let length: usize = length.parse().expect("a number");
    assert!(body.len() <= length, "more than one answer: {text}");
    (body.len() == length).then(|| Answer { status, head: head.clone(), body: body.to_owned() })
}

/// A header of an answer's head, which is in lower case.
fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(key, _)| *key == name).map(|(_, value)| value.trim())
}

impl Answer {
    /// Whether it says that the connection ends with it.
    pub fn closes(&self) -> bool {
        header(&self.head, "connection").is_some_and(|value| value.contains("close"))
    }

    /// Whether it says when to come back.
    pub fn has_retry_after(&self) -> bool {
        let after = header(&self.head, "retry-after");
        after.is_some_and(|text| text.parse::<u32>().is_ok_and(|seconds| seconds >= 1))
    }
}

/// The version of the configuration that an answer shows.
fn version(answer: &Answer) -> Option<u64> {
    let document: serde_json::Value = serde_json::from_str(&answer.body).ok()?;
    document["version"].as_u64().filter(|_| answer.status == 200)
}

/// Why an answer that came at a time can't be the true one of a request, if so. Answers name no job:
/// that one belongs to its request shows in what it says of the job's own tasks.
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
    (!is_valid).then(|| "it can't be the answer to this".to_owned())
}
