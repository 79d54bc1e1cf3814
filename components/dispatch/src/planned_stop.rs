//! The steps of an entry's planned stop.
//!
//! The balancer is told that the entry is not ready, and the entry serves on until the balancer has
//! noticed. Then it closes idle connections, so that their clients go to other entries, and takes only what
//! is over in time by its estimate's bound. It goes on listening: where all entries are stopping, the balancer
//! still sends to them. In a day of overlapping stops of all entries, five plays, a closed listener turned away 106, 122
//! and 694 of some 5,000 tries (four entries), 1,141 and 908 (three); an open one 0, 7 and 76, 35 and 67. The
//! entry ends once nothing is under way and no request has come for a moment. What is open near the end of
//! the time that the platform grants gets its final answer then.

use std::time::Duration;

use model::Time;

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTiming {
    /// How often the balancer is told that the entry is not ready before it sends nobody any more.
    pub required_notices: u32,
    /// How long the entry waits for the balancer to ask so often.
    pub notice_timeout: Duration,
    /// No connection and no request has come for so long: the balancer sends nobody any more.
    pub quiet_period: Duration,
    /// When no more requests are taken at the latest.
    pub close_listener_after: Duration,
    /// How long after that the entry ends at the earliest.
    pub linger: Duration,
    /// When every job that is still open gets its final answer.
    pub answer_all_after: Duration,
    /// When the process ends at the latest.
    pub end_after: Duration,
}

/// How often the platform's balancer asks, and what it misses before it takes an entry out, are its
/// own; these are two answers, a second apart, and a little.
const NOTICES: u32 = 2;
const NOTICE: Duration = Duration::from_millis(2_400);
/// A connection that the balancer handed out before it noticed arrives within a few milliseconds, and is
/// accepted within the 50 ms or so that an entry on a tenth of a core may wait for its turn. Longer stops overlap more:
/// with 300 ms two days of overlapping stops of three entries turned away 35 and 236 tries, with 100 ms 35 and 67.
const QUIET: Duration = Duration::from_millis(100);
/// Left of the platform's time when no more requests are taken: hardly any job that begins then ends.
const INTAKE_MARGIN: Duration = Duration::from_millis(1_500);
/// Two turns of the entry's look at itself: what waited to be accepted is among the open connections.
const LINGER: Duration = Duration::from_millis(40);
/// Left when final answers are given: they and the last log lines leave within some hundred milliseconds
/// where a process has a tenth of a core.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);
/// Left when the process ends at the latest, for its last log lines.
const END_MARGIN: Duration = Duration::from_millis(250);
/// Where the platform grants little time, each margin is at most this part of it, so that the steps keep
/// their order.
const INTAKE_PART: u32 = 4;
const ANSWER_PART: u32 = 10;
const END_PART: u32 = 24;

impl StopTiming {
    /// The times where the platform grants so long from the request to stop to the end.
    pub fn within(grace: Duration) -> Self {
        let before = |margin: Duration, part: u32| grace - margin.min(grace / part);
        Self {
            required_notices: NOTICES,
            notice_timeout: NOTICE.min(grace / 2),
            quiet_period: QUIET,
            close_listener_after: before(INTAKE_MARGIN, INTAKE_PART),
            linger: LINGER,
            answer_all_after: before(ANSWER_MARGIN, ANSWER_PART),
            end_after: before(END_MARGIN, END_PART),
        }
    }
}

/// What a stopping entry sees of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopStatus {
    /// How often the balancer was told that the entry is not ready.
    pub notices: u32,
    /// Jobs whose client waits.
    pub jobs: usize,
    /// Connections over which a request may still have to be answered.
    pub busy_connections: usize,
    /// Since a connection or a request came last.
    pub quiet_for: Duration,
}

/// What a stopping entry does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopStep {
    /// The balancer has noticed: only what surely ends by then is taken from now on, and connections
    /// close once they are idle.
    AdmitOnlyJobsEndingBy(Time),
    /// The listener closes.
    CloseListener,
    /// Every open job gets its final answer.
    AnswerAll,
    /// The process ends.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// The balancer does not know yet.
    Noticing,
    /// New connections are still accepted.
    Taking,
    /// What is under way ends.
    Finishing,
    /// Every job is answered; the answers leave.
    Answered,
    Over,
}

/// An entry's planned stop.
#[derive(Debug)]
pub struct PlannedStop {
    timing: StopTiming,
    started_at: Time,
    phase: Phase,
    /// Since when it is in this phase.
    since: Time,
}

impl PlannedStop {
    /// A stop that begins now.
    pub fn new(timing: StopTiming, now: Time) -> Self {
        Self { timing, started_at: now, phase: Phase::Noticing, since: now }
    }

    /// When it began.
    pub fn started_at(&self) -> Time {
        self.started_at
    }

    /// The next step, if one is due.
    pub fn next_step(&mut self, now: Time, status: &StopStatus) -> Option<StopStep> {
        let age = now.since(self.started_at);
        let (phase, step) = match self.phase {
            Phase::Noticing if self.is_noticed(age, status) => {
                let by = self.started_at + self.timing.answer_all_after;
                (Phase::Taking, StopStep::AdmitOnlyJobsEndingBy(by))
            }
            Phase::Taking
                if self.is_quiet(now, status) || age >= self.timing.close_listener_after =>
            {
                (Phase::Finishing, StopStep::CloseListener)
            }
            Phase::Finishing if self.is_done(now, status) => (Phase::Over, StopStep::End),
            Phase::Finishing if age >= self.timing.answer_all_after => {
                (Phase::Answered, StopStep::AnswerAll)
            }
            Phase::Answered if self.has_answered(now, age, status) => (Phase::Over, StopStep::End),
            _ => return None,
        };
        self.phase = phase;
        self.since = now;
        Some(step)
    }

    fn is_noticed(&self, age: Duration, status: &StopStatus) -> bool {
        status.notices >= self.timing.required_notices || age >= self.timing.notice_timeout
    }

    /// A process that was held up until after its latest time still has a moment for its answers.
    fn has_answered(&self, now: Time, age: Duration, status: &StopStatus) -> bool {
        let lingered = now.since(self.since) >= self.timing.linger;
        status.busy_connections == 0 || (age >= self.timing.end_after && lingered)
    }

    fn is_done(&self, now: Time, status: &StopStatus) -> bool {
        status.jobs == 0
            && status.busy_connections == 0
            && now.since(self.since) >= self.timing.linger
    }

    /// What the balancer sent before it noticed may still be on its way, so the time since then counts too.
    fn is_quiet(&self, now: Time, status: &StopStatus) -> bool {
        let quiet = status.quiet_for.min(now.since(self.since));
        status.jobs == 0 && status.busy_connections == 0 && quiet >= self.timing.quiet_period
    }
}
