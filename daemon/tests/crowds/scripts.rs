//! The scripts of clients that don't behave, for a door that takes requests with bodies.

use std::sync::Arc;
use std::time::Duration;

use super::CrowdSpec;
use super::crowd::Script;

/// Pause between the pieces of a slow body.
const PIECE_PAUSE: Duration = Duration::from_millis(2);
/// Pause between the bytes of a slow head. Shorter than any time after which a connection counts as
/// idle.
const HEAD_PAUSE: Duration = Duration::from_millis(800);
/// Pause between the bytes of an answer that is read slowly.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Requests that are sent together by clients that don't read.
const REQUESTS_AHEAD: usize = 32;
/// Name of the crowd that sends valid requests ahead.
pub const VALID_JOBS_AHEAD: &str = "POSTs ahead, answers unread";
/// A body that is announced and never sent.
const ANNOUNCED_BYTES: u64 = 4_000_000_000;

/// The requests that a door takes, as the crowds imitate them.
#[derive(Clone)]
pub struct Target {
    /// Method and path of a request with a body.
    pub post: String,
    /// Method and path of a request without one.
    pub get: String,
    pub max_body_bytes: usize,
    /// A valid body, as short as possible.
    pub body: &'static str,
    /// How many connections the door allows of its ordinary clients.
    pub connections: usize,
}

impl Target {
    fn head(&self, headers: &str) -> String {
        format!(
            "{} HTTP/1.1\r\nHost: queue.example\r\nContent-Type: application/json\r\n\
             {headers}\r\n\r\n",
            self.post
        )
    }

    fn post(&self, body: &str) -> Arc<[u8]> {
        let head = self.head(&format!("Content-Length: {}", body.len()));
        Arc::from([head.as_bytes(), body.as_bytes()].concat())
    }

    /// A request whose body is valid and as long as the door allows.
    fn largest_post(&self) -> Arc<[u8]> {
        let padding = self.max_body_bytes - self.body.len();
        self.post(&(self.body.to_owned() + &" ".repeat(padding)))
    }

    fn gets_ahead(&self) -> Arc<[u8]> {
        let get = format!("{} HTTP/1.1\r\nHost: queue.example\r\n\r\n", self.get);
        Arc::from(get.repeat(REQUESTS_AHEAD).into_bytes())
    }

    /// All kinds of clients; `connections` bounds the size of each crowd.
    pub fn crowds(&self) -> Vec<CrowdSpec> {
        let crowd = |name, connections: usize, script| CrowdSpec {
            name,
            connections: connections.min(self.connections),
            script,
        };
        let largest = self.largest_post();
        let all_but_last = Arc::from(&largest[..largest.len() - 1]);
        let chunked: Arc<[u8]> = Arc::from(self.head("Transfer-Encoding: chunked").into_bytes());
        let announced = self.head(&format!("Content-Length: {ANNOUNCED_BYTES}"));
        let announced: Arc<[u8]> = Arc::from([announced.as_bytes(), &largest[..]].concat());
        let slow_head = self.head("X-Padding: aaaaaaaaaaaaaaaaaaaa");
        let chunks = |count, ends| Script::Chunks { head: chunked.clone(), count, ends };
        let pieces = |bytes, piece, pause| Script::Pieces { bytes, piece, pause };
        vec![
            crowd(
                "bodies of legal size, all but the last byte",
                1_200,
                Script::Stall(all_but_last),
            ),
            crowd(
                "bodies of legal size in chunks of one byte",
                200,
                chunks(self.max_body_bytes, true),
            ),
            crowd("bodies over the limit in chunks of one byte", 100, chunks(0, false)),
            crowd(
                "bodies of legal size in pieces of 100 bytes",
                800,
                pieces(largest.clone(), 100, PIECE_PAUSE),
            ),
            crowd(
                "whole bodies of legal size, again and again",
                600,
                Script::Repeat(largest.clone()),
            ),
            crowd("half a body, then closed", 600, Script::Abort(largest)),
            crowd("a body of 4 GB announced", 300, Script::Repeat(announced)),
            crowd(
                "a byte of a head every 0.8 s",
                3_300,
                pieces(Arc::from(slow_head.into_bytes()), 1, HEAD_PAUSE),
            ),
            crowd(
                "answers read a byte at a time",
                600,
                Script::ReadSlowly(self.gets_ahead(), READ_PAUSE),
            ),
            crowd("nothing sent", 3_300, Script::Silent),
            crowd("GETs ahead, answers unread", 300, Script::Unread(self.gets_ahead())),
            crowd(VALID_JOBS_AHEAD, 300, Script::Unread(self.post(self.body))),
        ]
    }

    /// A crowd that sends a body again and again.
    pub fn repeating(&self, name: &'static str, connections: usize, body: &str) -> CrowdSpec {
        assert!(body.len() <= self.max_body_bytes, "{name}: the body is of legal size");
        CrowdSpec { name, connections, script: Script::Repeat(self.post(body)) }
    }
}

/// Bodies of jobs that are legal in size and made of very many short parts.
pub fn fragmented_jobs(target: &Target) -> Vec<CrowdSpec> {
    let job = |step: &str, rest: &str| {
        format!("{{\"spec\":\"50\",\"best_effort\":true,\"steps\":[{step}]{rest}}}")
    };
    let step = "{\"count\":1,\"cpu\":1000,\"estimated_ms\":50}";
    let tasks = "{\"count\":100000,\"cpu\":1000,\"mem_mb\":64,\"estimated_ms\":50}";
    let labels = format!("{{\"count\":1,\"requirements\":[{}\"\"]}}", "\"a\",".repeat(50_000));
    let fields: String = (0..24_000).map(|number| format!(",\"{number}\":1")).collect();
    let empty_steps = format!("{step}{}", ",{}".repeat(87_000));
    let text = "x".repeat(250_000);
    let quoted = format!("{{\"best_effort\":true,\"steps\":\"{text}\"}}");
    vec![
        target.repeating("a long text where a list belongs", 60, &quoted),
        target.repeating("jobs of 100,000 tasks", 60, &job(tasks, "")),
        target.repeating("87,000 empty steps", 200, &job(&empty_steps, "")),
        target.repeating("24,000 unknown fields", 200, &job(step, &fields)),
        target.repeating("50,000 labels", 200, &job(&labels, "")),
    ]
}
