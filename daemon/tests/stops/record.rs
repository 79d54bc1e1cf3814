//! What clients recorded of their requests, held against what was promised.

use std::time::{Duration, Instant};

use super::GRACE;
use crate::support::checks::ObservedRuns;
use crate::support::exchange::{self, Exchange, Request};

/// A connection that is used first within this time of its opening did not lie idle.
const IDLE_AFTER: Duration = Duration::from_millis(500);

/// One try of a request.
pub struct Record {
    pub request: Request,
    /// The first is 0.
    pub attempt: u32,
    /// None where it went to a keeper.
    pub entry: Option<usize>,
    /// The time as the logs show it.
    pub unix_seconds: f64,
    pub sent: Instant,
    pub ended_at: Instant,
    /// How long the connection had been open.
    pub age: Duration,
    /// Requests that were answered over the connection before.
    pub answered: u32,
    /// How long before the entry or keeper had been told to stop.
    pub stop_requested: Option<Duration>,
    pub exchange: Exchange,
}

/// Prints how many tries came to what.
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
    let [served, refused, open] =
        [200, 503, 504].map(|status| count(&|record| record.is_answered(status)));
    println!(
        "{} tries, {in_stops} in stops, {late} of them late: {served} with 200, {refused} with 503, \
         {open} with 504, {unread} unread on a connection that was closed, {not_sent} not sent whole",
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

    /// What of it is not as promised.
    pub fn fault(&self, observed_runs: &ObservedRuns) -> Option<String> {
        let problem = match &self.exchange {
            Exchange::Answered(answer) => {
                let fault =
                    exchange::find_fault(&self.request, answer, self.ended_at, observed_runs);
                fault.or_else(|| self.ran_despite_refusal(observed_runs))?
            }
            Exchange::NotSent => return None,
            Exchange::ResetUnread => self.reset_fault(observed_runs)?,
            Exchange::Truncated(0) => "read, and no answer".to_owned(),
            Exchange::Truncated(bytes) => format!("read, and only {bytes} bytes of an answer"),
            Exchange::TimedOut(bytes) => format!("no end of the answer, {bytes} bytes of it"),
        };
        Some(format!("{problem}: {self}"))
    }

    /// What was refused at the first try never runs: the client does not send it again.
    fn ran_despite_refusal(&self, observed_runs: &ObservedRuns) -> Option<String> {
        let Request::Job(job) = &self.request else { return None };
        let starts = observed_runs.starts_of(&job.name());
        let refused = self.attempt == 0 && self.is_answered(503);
        (refused && starts > 0).then(|| format!("said not to have run, with {starts} starts"))
    }

    /// The process may close an idle connection while a request is on its way to it.
    fn reset_fault(&self, observed_runs: &ObservedRuns) -> Option<String> {
        if self.answered == 0 && self.age < IDLE_AFTER {
            return Some("a connection was taken and never read".to_owned());
        }
        let Request::Job(job) = &self.request else { return None };
        let starts = observed_runs.starts_by(&job.name(), self.ended_at);
        let has_run = self.attempt == 0 && starts > 0;
        has_run.then(|| format!("unread, with {starts} starts"))
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
            Some(stop_requested) => write!(f, ", {stop_requested:.3?} after it was told to stop")?,
            None => write!(f, ", not told to stop")?,
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
