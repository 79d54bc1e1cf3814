//! Records of requests, and checks of their outcomes.

use std::time::{Duration, Instant};

use super::GRACE;
use crate::support::checks::ObservedRuns;
use crate::support::exchange::{self, Exchange, Request};

/// A connection first used within this time after it was opened was never idle.
const IDLE_AFTER: Duration = Duration::from_millis(500);

/// One try of a request: where and when it was sent, and its outcome.
pub struct Record {
    pub request: Request,
    /// Number of the try, from 0.
    pub attempt: u32,
    /// Number of the entry; `None` for a keeper.
    pub entry: Option<usize>,
    /// Wall-clock time of sending, as in the process logs.
    pub unix_seconds: f64,
    pub sent: Instant,
    pub ended_at: Instant,
    /// Age of the connection when the request was sent.
    pub age: Duration,
    /// Requests answered over the connection before.
    pub answered: u32,
    /// Time since the entry or keeper was asked to stop, if it was.
    pub stop_requested: Option<Duration>,
    pub exchange: Exchange,
}

/// Prints the number of tries by outcome.
pub fn print_summary(records: &[Record]) {
    let (requests, operator_calls): (Vec<&Record>, Vec<&Record>) =
        records.iter().partition(|record| record.entry.is_some());
    let count =
        |chosen: &dyn Fn(&&Record) -> bool| requests.iter().filter(|record| chosen(record)).count();
    let in_stops = count(&|record| record.stop_requested.is_some());
    let late = count(&|record| {
        record.stop_requested.is_some_and(|stop_requested| stop_requested > GRACE / 2)
    });
    let unread = count(&|record| matches!(record.exchange, Exchange::ResetUnread));
    let not_sent = count(&|record| matches!(record.exchange, Exchange::NotSent));
    let [served, refused, undecided] =
        [200, 503, 504].map(|status| count(&|record| record.is_answered(status)));
    println!(
        "{} tries, {in_stops} in stops, {late} of them late: {served} with 200, {refused} with 503, \
         {undecided} with 504, {unread} reset unread, {not_sent} not sent completely",
        requests.len()
    );
    let unread =
        operator_calls.iter().filter(|record| matches!(record.exchange, Exchange::ResetUnread));
    println!("{} calls of the operator, {} unread", operator_calls.len(), unread.count());
}

impl Record {
    pub fn is_answered(&self, status: u16) -> bool {
        matches!(&self.exchange, Exchange::Answered(answer) if answer.status == status)
    }

    /// Returns the fault of a wrong or missing answer.
    pub fn fault(&self, observed_runs: &ObservedRuns) -> Option<String> {
        let problem = match &self.exchange {
            Exchange::Answered(answer) => {
                let fault =
                    exchange::find_fault(&self.request, answer, self.ended_at, observed_runs);
                fault.or_else(|| self.ran_despite_refusal(observed_runs))?
            }
            Exchange::NotSent => return None,
            Exchange::ResetUnread => self.reset_fault(observed_runs)?,
            Exchange::Truncated(0) => "request read, but no answer sent".to_owned(),
            Exchange::Truncated(bytes) => {
                format!("request read, but only {bytes} bytes of an answer sent")
            }
            Exchange::TimedOut(bytes) => format!("timed out after {bytes} bytes of an answer"),
        };
        Some(format!("{problem}: {self}"))
    }

    /// A job refused at its first try must never run, as the client does not retry it.
    fn ran_despite_refusal(&self, observed_runs: &ObservedRuns) -> Option<String> {
        let Request::Job(job) = &self.request else { return None };
        let starts = observed_runs.starts_of(&job.name());
        let refused = self.attempt == 0 && self.is_answered(503);
        (refused && starts > 0).then(|| format!("refused, but {starts} task runs were started"))
    }

    /// A process may close an idle connection while a request is in transit.
    fn reset_fault(&self, observed_runs: &ObservedRuns) -> Option<String> {
        if self.answered == 0 && self.age < IDLE_AFTER {
            return Some("a new connection was accepted but never read".to_owned());
        }
        let Request::Job(job) = &self.request else { return None };
        let starts = observed_runs.starts_by(&job.name(), self.ended_at);
        let has_run = self.attempt == 0 && starts > 0;
        has_run.then(|| format!("reset unread, but {starts} task runs were started"))
    }
}

impl std::fmt::Display for Record {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let took = self.ended_at.duration_since(self.sent);
        match self.entry {
            Some(entry) => write!(f, "{:.3}, entry {entry}", self.unix_seconds)?,
            None => write!(f, "{:.3}, keeper", self.unix_seconds)?,
        }
        write!(f, ", try {}", self.attempt + 1)?;
        match self.stop_requested {
            Some(stop_requested) => write!(f, ", {stop_requested:.3?} after the stop request")?,
            None => write!(f, ", no stop requested")?,
        }
        write!(f, ", took {took:.3?}, connection {:.3?} old", self.age)?;
        write!(f, " with {} answers: ", self.answered)?;
        match &self.request {
            Request::Job(job) => write!(f, "job {} {job:?}", job.name())?,
            other => write!(f, "{other:?}")?,
        }
        match &self.exchange {
            Exchange::Answered(answer) => write!(f, " -> {} {}", answer.status, answer.body),
            other => write!(f, " -> {other:?}"),
        }
    }
}
