//! The steps of an entry's planned stop.
//!
//! The load balancer sends requests until it notices that the entry is not ready, and longer if all
//! entries are stopping. So the entry first serves as before, then admits only jobs that certainly
//! end in time, and closes its listener once no requests arrive or the grace period is nearly over.
//! Jobs that are still open shortly before its end are answered then.

use std::time::Duration;

use model::Time;

/// Times of a planned stop. Times named `..._after` count from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTiming {
    /// Number of failed readiness checks after which the balancer sends no more requests.
    pub required_failed_checks: u32,
    /// How long to wait for that many checks.
    pub notice_timeout: Duration,
    /// Time without a new connection or request after which the balancer is taken to send no more.
    pub quiet_period: Duration,
    /// When the listener closes at the latest.
    pub close_listener_after: Duration,
    /// Minimum time from closing the listener to the end.
    pub linger: Duration,
    /// When all open jobs are answered.
    pub answer_all_after: Duration,
    /// When the process ends at the latest.
    pub end_after: Duration,
}

/// The balancer checks an entry at regular intervals and is taken to have removed it after this
/// many failed checks. The platform checks once a second and removes an entry after two misses.
const REQUIRED_FAILED_CHECKS: u32 = 2;
/// Must cover that many checks at the balancer's interval.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Must cover the delivery of a connection that the balancer opened before it noticed (a few ms),
/// and the time until a throttled entry accepts it (about 50 ms on a tenth of a core). Longer
/// values make the stops of several entries overlap more: with 300 ms, two days with overlapping
/// stops of three entries turned away 35 and 236 attempts, with 100 ms 35 and 67.
const QUIET_PERIOD: Duration = Duration::from_millis(100);
/// Time before the end of the grace period at which the listener closes. Hardly any job admitted
/// later would end in time.
const CLOSE_LISTENER_MARGIN: Duration = Duration::from_millis(1_500);
/// Must cover two polls of the stopping entry, so that connections which waited to be accepted are
/// counted as busy.
const LINGER: Duration = Duration::from_millis(40);
/// Time before the end of the grace period at which open jobs are answered. Must cover sending the
/// answers and the last log lines on a throttled host.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);
/// Time before the end of the grace period at which the process ends, for its last log lines.
const END_MARGIN: Duration = Duration::from_millis(250);
/// With a short grace period, each margin is at most this fraction of it, so that the steps keep
/// their order.
const CLOSE_LISTENER_MARGIN_DIVISOR: u32 = 4;
const ANSWER_MARGIN_DIVISOR: u32 = 10;
const END_MARGIN_DIVISOR: u32 = 24;

impl StopTiming {
    /// Derives the times from the grace period that the platform allows.
    pub fn within(grace: Duration) -> Self {
        let before = |margin: Duration, divisor: u32| grace - margin.min(grace / divisor);
        Self {
            required_failed_checks: REQUIRED_FAILED_CHECKS,
            notice_timeout: NOTICE_TIMEOUT.min(grace / 2),
            quiet_period: QUIET_PERIOD,
            close_listener_after: before(CLOSE_LISTENER_MARGIN, CLOSE_LISTENER_MARGIN_DIVISOR),
            linger: LINGER,
            answer_all_after: before(ANSWER_MARGIN, ANSWER_MARGIN_DIVISOR),
            end_after: before(END_MARGIN, END_MARGIN_DIVISOR),
        }
    }
}

/// What a stopping entry observes about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopStatus {
    /// Number of readiness checks that failed since the stop started.
    pub failed_readiness_checks: u32,
    /// Number of jobs that are not answered yet.
    pub jobs: usize,
    /// Number of connections on which a request may still need an answer.
    pub busy_connections: usize,
    /// Time since the last connection or request arrived.
    pub quiet_for: Duration,
}

/// The next step of a stopping entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopStep {
    /// The balancer has noticed: admit only jobs that certainly end by this time, and close
    /// connections once they are idle, so that their clients connect to other entries.
    AdmitOnlyJobsEndingBy(Time),
    /// Close the listener. It stays open until then, as the balancer still sends requests here if
    /// all entries are stopping.
    CloseListener,
    /// Answer all open jobs.
    AnswerAll,
    /// End the process.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// The balancer has not noticed yet that the entry is not ready. Requests are served as before.
    AwaitingBalancer,
    /// The balancer has noticed. The listener is still open.
    Draining,
    /// The listener is closed. Jobs in progress end.
    Finishing,
    /// All jobs are answered. The answers are being sent.
    Answered,
    Ended,
}

/// State of an entry's planned stop.
#[derive(Debug)]
pub struct PlannedStop {
    timing: StopTiming,
    started_at: Time,
    phase: Phase,
    /// When the current phase started.
    phase_since: Time,
}

impl PlannedStop {
    /// Starts a planned stop.
    pub fn new(timing: StopTiming, now: Time) -> Self {
        Self { timing, started_at: now, phase: Phase::AwaitingBalancer, phase_since: now }
    }

    /// When the stop started.
    pub fn started_at(&self) -> Time {
        self.started_at
    }

    /// Returns the next step if one is due.
    pub fn next_step(&mut self, now: Time, status: &StopStatus) -> Option<StopStep> {
        let age = now.since(self.started_at);
        let (phase, step) = match self.phase {
            Phase::AwaitingBalancer if self.balancer_has_noticed(age, status) => {
                let by = self.started_at + self.timing.answer_all_after;
                (Phase::Draining, StopStep::AdmitOnlyJobsEndingBy(by))
            }
            Phase::Draining
                if self.is_quiet(now, status) || age >= self.timing.close_listener_after =>
            {
                (Phase::Finishing, StopStep::CloseListener)
            }
            Phase::Finishing if self.is_done(now, status) => (Phase::Ended, StopStep::End),
            Phase::Finishing if age >= self.timing.answer_all_after => {
                (Phase::Answered, StopStep::AnswerAll)
            }
            Phase::Answered if self.answers_are_sent(now, age, status) => {
                (Phase::Ended, StopStep::End)
            }
            _ => return None,
        };
        self.phase = phase;
        self.phase_since = now;
        Some(step)
    }

    fn balancer_has_noticed(&self, age: Duration, status: &StopStatus) -> bool {
        status.failed_readiness_checks >= self.timing.required_failed_checks
            || age >= self.timing.notice_timeout
    }

    /// Whether the answers are sent or the time for them has passed. A process that was stalled
    /// past that time still gets a moment to send them.
    fn answers_are_sent(&self, now: Time, age: Duration, status: &StopStatus) -> bool {
        let lingered = now.since(self.phase_since) >= self.timing.linger;
        status.busy_connections == 0 || (age >= self.timing.end_after && lingered)
    }

    fn is_done(&self, now: Time, status: &StopStatus) -> bool {
        status.jobs == 0
            && status.busy_connections == 0
            && now.since(self.phase_since) >= self.timing.linger
    }

    /// Whether nothing has been in progress or has arrived for the quiet period. Requests that the
    /// balancer sent before it noticed may still be in transit, so the period starts no earlier
    /// than the current phase.
    fn is_quiet(&self, now: Time, status: &StopStatus) -> bool {
        let quiet = status.quiet_for.min(now.since(self.phase_since));
        status.jobs == 0 && status.busy_connections == 0 && quiet >= self.timing.quiet_period
    }
}
