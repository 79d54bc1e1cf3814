//! What reaches an agent and what it does.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use model::{Resources, TaskId};
use wire::{Document, EmptiedHalls, TaskEnd, ToAgent, ToEntry};

/// A connection of an entry, numbered by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// One life of a target. One that starts again may keep its id; the moment of its start then tells
/// its lives apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetInstance {
    /// The id that it gives itself.
    pub id: Arc<str>,
    /// When it started, in ms of the Unix epoch by its own clock; `None` where it does not tell. Clocks
    /// are set back, so that a later life may tell an earlier start.
    pub started_ms: Option<u64>,
}

impl TargetInstance {
    /// A life that does not tell when it started.
    pub fn from_id(id: impl Into<Arc<str>>) -> Self {
        Self { id: id.into(), started_ms: None }
    }

    /// Whether nothing says that two names are of different lives: orders and their answers may name
    /// the id alone.
    pub fn may_be(&self, other: &Self) -> bool {
        let same_start = match (self.started_ms, other.started_ms) {
            (Some(own), Some(others)) => own == others,
            _ => true,
        };
        self.id == other.id && same_start
    }
}

impl fmt::Display for TargetInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_ms {
            Some(started) => write!(f, "{} started at {started}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

/// What a target reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// Which of its lives.
    pub instance: TargetInstance,
    /// The service that it takes work of.
    pub service: Arc<str>,
    /// Its data hall.
    pub hall: Arc<str>,
    /// Its kind, its rack and the like.
    pub labels: Vec<Arc<str>>,
    /// All that it has.
    pub capacity: Resources,
    /// Whether it is about to leave.
    pub draining: bool,
    /// While it drains: the least time that is left.
    pub remaining: Option<Duration>,
    /// Its steady clock, in ms; each life's begins anew.
    pub clock_ms: u64,
    /// Rises with each report of one life; that of another life says nothing of it.
    pub sequence: u64,
}

/// One run of one task at one life of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey {
    /// The target's life.
    pub target: TargetInstance,
    /// The task.
    pub task: TaskId,
    /// Counts the task's starts.
    pub run: u64,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCommand {
    /// The run.
    pub key: RunKey,
    /// What the task is told to do.
    pub spec: Arc<str>,
    /// The lease's end on the target's clock, in ms. An order that arrives later is refused.
    pub deadline_ms: u64,
    /// Higher than that of any earlier life of the agent.
    pub fencing_token: u64,
}

/// An order to stop a run, or to refuse it if it comes later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopCommand {
    /// The run.
    pub key: RunKey,
    /// Higher than that of any earlier life of the agent.
    pub fencing_token: u64,
}

/// An order to renew the lease, and to answer once a run ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldCommand {
    /// The target's life.
    pub target: TargetInstance,
    /// The lease's end on the target's clock, in ms; `None` where it is not to be renewed.
    pub deadline_ms: Option<u64>,
    /// Higher than that of any earlier life of the agent.
    pub fencing_token: u64,
    /// The last end that is taken note of.
    pub last_seen: u64,
    /// How long to wait for an end.
    pub wait: Duration,
    /// It is given up after so long without an answer.
    pub answer_within: Duration,
}

/// Why a target refuses a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher fencing token.
    StaleToken,
    /// A run as high was stopped or has ended there.
    StaleRun,
    /// The deadline has passed.
    DeadlinePassed,
    /// It has no room.
    NoCapacity,
    /// Another reason.
    Other,
}

/// A target's answer to a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run is there.
    Accepted {
        /// Its clock, in ms.
        clock_ms: u64,
    },
    /// The run is not there.
    Refused {
        /// Its clock, in ms; 0 if not told.
        clock_ms: u64,
        /// Why.
        reason: StartRefusal,
    },
    /// It can't read the order.
    Invalid,
    /// It is not well, and has done nothing.
    Unhealthy,
    /// Another life has its address.
    OtherInstance,
    /// No answer: it may have been done, or may be later.
    NoAnswer,
}

/// A target's answer to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The run is stopping, has ended, or will never start.
    Acknowledged,
    /// Another life has its address.
    OtherInstance,
    /// It was not done, or not answered.
    NoAnswer,
}

/// A run that a target lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRun {
    /// The task.
    pub task: TaskId,
    /// Which run.
    pub run: u64,
}

/// How a target says that a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// It is done.
    Done,
    /// It failed, by its own fault or the target's.
    Failed,
    /// It was stopped.
    Stopped,
    /// The lease ran out.
    LeaseExpired,
    /// Another reason.
    Other,
}

/// An end that a target lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEnd {
    /// Counts the ends of the target's life.
    pub number: u64,
    /// The run that ended; `None` for a name that no agent gives.
    pub run: Option<TargetRun>,
    /// How.
    pub reason: EndReason,
}

/// A target's answer to a hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldReply {
    /// The lease is renewed.
    Runs {
        /// When the life that answers started, as in [`TargetLife`].
        started_ms: Option<u64>,
        /// Its clock, in ms.
        clock_ms: u64,
        /// What runs.
        running: Vec<TargetRun>,
        /// What ended since the last end that was taken note of.
        ended: Vec<TargetEnd>,
    },
    /// It has seen a higher fencing token.
    StaleToken {
        /// Its clock, in ms.
        clock_ms: u64,
    },
    /// Another life has its address.
    OtherInstance,
    /// No answer.
    NoAnswer,
}

/// Who told an agent which halls are emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HallsSource {
    /// A keeper.
    Keeper,
    /// The entry of a session.
    Entry(SessionId),
}

/// What reaches an agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry was connected to.
    SessionOpened(SessionId),
    /// The connection is gone.
    SessionClosed(SessionId),
    /// The entry is to be served by other agents: the session ends once nothing runs for it.
    SessionRetired(SessionId),
    /// An entry's message.
    FromEntry(SessionId, ToAgent),
    /// The target reports of itself.
    TargetReported(TargetReport),
    /// The target says that it ends now.
    TargetLeft(TargetInstance),
    /// An order for a life could not be sent, as nothing listens at the target's address.
    NoListener(TargetInstance),
    /// The answer to a start.
    StartAnswered(RunKey, StartReply),
    /// The answer to a stop.
    StopAnswered(RunKey, StopReply),
    /// The answer to a hold.
    HoldAnswered(TargetInstance, HoldReply),
    /// A newer document.
    Document(Document),
    /// A keeper tells which halls are emptied.
    Halls(EmptiedHalls),
    /// A planned stop: takes no new work.
    Drain,
    /// Time has passed.
    Tick,
}

/// What an agent does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to an entry.
    Send(SessionId, ToEntry),
    /// Closes the connection of an entry.
    Close(SessionId),
    /// Orders the target to start a run.
    Start(StartCommand),
    /// Orders the target to stop a run.
    Stop(StopCommand),
    /// Renews the lease.
    Hold(HoldCommand),
    /// Reports a decision or a change of state.
    Log(LogEvent),
}

/// What an agent decided or came to believe, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A target's new life is taken on.
    TargetFound {
        /// Its life.
        instance: TargetInstance,
        /// The fencing token that it is given.
        fencing_token: u64,
    },
    /// A target's life is over.
    TargetGone {
        /// Its life.
        instance: TargetInstance,
        /// Runs that went with it.
        lost: usize,
    },
    /// A life that nothing is known of reported while another is there: it is asked.
    TargetAsked(TargetInstance),
    /// A report was overtaken by newer ones of its life, or its life is over: nothing in it counts
    /// but that the present life is about to leave.
    TargetReportLate {
        /// The life that it is of.
        instance: TargetInstance,
        /// Its number within that life.
        sequence: u64,
        /// The life that is there now.
        present: Option<TargetInstance>,
        /// The highest number that was heard of that one; 0 for none.
        present_sequence: u64,
    },
    /// The target does not answer.
    TargetSilent(TargetInstance),
    /// The target answers again.
    TargetHeard(TargetInstance),
    /// Other halls are emptied than before.
    Halls {
        /// Those that are, and the revision of the order.
        halls: EmptiedHalls,
        /// Whether the target's is one of them.
        emptied: bool,
        /// Who told of it.
        source: HallsSource,
    },
    /// The target is about to leave: no new work.
    TargetDrains(TargetInstance),
    /// The target fails what it runs: left out for a while.
    TargetLeftOut {
        /// Failures in a row.
        failures: u32,
        /// How long, in ms.
        for_ms: u64,
    },
    /// The target runs tasks well again.
    TargetTakenBack,
    /// A session with an entry opened.
    SessionOpened(SessionId),
    /// A session is dead: what ran for it is stopped.
    SessionLost {
        /// The session.
        session: SessionId,
        /// Why.
        reason: &'static str,
        /// Runs that are stopped.
        runs: usize,
    },
    /// A session ended that this agent had retired; nothing ran for it any more.
    SessionRetired(SessionId),
    /// A run was started, refused or ended.
    Run {
        /// The task.
        task: TaskId,
        /// Which run.
        run: u64,
        /// What became of it.
        end: TaskEnd,
        /// How long it waited for room, in ms.
        waited_ms: u64,
        /// How long it ran, in ms.
        ran_ms: u64,
        /// What was free at that moment.
        free: Resources,
    },
    /// A run is stopped because it takes far longer than it was thought to.
    Stuck {
        /// The task.
        task: TaskId,
        /// How long it ran, in ms.
        ran_ms: u64,
        /// How long it was thought to take, in ms.
        estimated_ms: u32,
    },
    /// A start was not answered: it is stopped.
    StartSilent(TaskId),
    /// The target lists a run that this life of the agent did not start: it is stopped.
    Orphan(TaskId),
}
