//! Events that an agent receives and actions that it returns.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use model::{Resources, TaskId};
use wire::{Document, EmptiedHalls, TaskEnd, ToAgent, ToEntry};

/// A connection to an entry, numbered by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// What a session was offered while capacity was scarce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionOffers {
    /// The session.
    pub session: SessionId,
    /// Number of turns in which capacity was offered to this session alone.
    pub turns: u64,
    /// Number of turns in which its entry sent a start.
    pub used: u64,
    /// CPU of the starts in these turns, in thousandths of a core.
    pub taken_cpu_milli: u64,
}

/// One process of a target. A restarted target may keep its id; its start time then distinguishes
/// its instances.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetInstance {
    /// The id that the target reports.
    pub id: Arc<str>,
    /// Start time by the target's own wall clock, in ms of the Unix epoch; `None` if not reported.
    /// The clock may be set back, so a later instance may report an earlier start.
    pub started_ms: Option<u64>,
}

impl TargetInstance {
    /// An instance whose start time is not known.
    pub fn from_id(id: impl Into<Arc<str>>) -> Self {
        Self { id: id.into(), started_ms: None }
    }

    /// Whether both names may denote the same instance: the ids are equal, and the start times are
    /// equal or at least one is unknown. Commands and their answers may carry the id alone.
    pub fn may_match(&self, other: &Self) -> bool {
        let same_start = match (self.started_ms, other.started_ms) {
            (Some(own_start), Some(other_start)) => own_start == other_start,
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

/// A status report that a target sends to its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// The instance that sent the report.
    pub instance: TargetInstance,
    /// The service whose tasks the target runs.
    pub service: Arc<str>,
    /// The data hall of the target.
    pub hall: Arc<str>,
    /// Properties such as hardware type or rack.
    pub labels: Vec<Arc<str>>,
    /// The target's total resources.
    pub capacity: Resources,
    /// Whether the target is about to leave.
    pub draining: bool,
    /// While draining: the guaranteed minimum time left.
    pub remaining: Option<Duration>,
    /// The target's monotonic clock, in ms; restarts with each instance.
    pub clock_ms: u64,
    /// Increases with each report of one instance; not comparable between instances.
    pub sequence: u64,
}

/// One run of a task on one target instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey {
    /// The target instance.
    pub target: TargetInstance,
    /// The task.
    pub task: TaskId,
    /// Number of the run among the runs of its task.
    pub run: u64,
}

/// A command to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCommand {
    /// The run.
    pub key: RunKey,
    /// The task specification passed to the target.
    pub spec: Arc<str>,
    /// End of the lease on the target's clock, in ms. The target refuses a command that arrives
    /// later.
    pub deadline_ms: u64,
    /// Higher than the token of every earlier agent process.
    pub fencing_token: u64,
}

/// A command to stop a run, or to refuse its start if that arrives later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopCommand {
    /// The run.
    pub key: RunKey,
    /// Higher than the token of every earlier agent process.
    pub fencing_token: u64,
}

/// A command to renew the lease and to answer as soon as a run ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldCommand {
    /// The target instance.
    pub target: TargetInstance,
    /// End of the lease on the target's clock, in ms; `None` to leave the lease as it is.
    pub deadline_ms: Option<u64>,
    /// Higher than the token of every earlier agent process.
    pub fencing_token: u64,
    /// Number of the last run end that the agent has processed.
    pub last_seen: u64,
    /// How long the target may wait for a run to end.
    pub wait: Duration,
    /// Timeout for the answer.
    pub answer_within: Duration,
}

/// Why a target refuses a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// The target has seen a higher fencing token.
    StaleToken,
    /// A run of the task with this or a higher number has been stopped or has ended.
    StaleRun,
    /// The deadline has passed.
    DeadlinePassed,
    /// The target lacks free capacity.
    NoCapacity,
    /// Any other reason.
    Other,
}

/// A target's answer to a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run is on the target.
    Accepted {
        /// The target's monotonic clock, in ms.
        clock_ms: u64,
    },
    /// The run was not started.
    Refused {
        /// The target's monotonic clock, in ms; 0 if not reported.
        clock_ms: u64,
        /// Reason of the refusal.
        reason: StartRefusal,
    },
    /// The target cannot read the command.
    Invalid,
    /// The target is unhealthy and has not acted on the command.
    Unhealthy,
    /// Another instance listens at the target's address.
    OtherInstance,
    /// No answer: the command may have been carried out, or may be carried out later.
    NoAnswer,
}

/// A target's answer to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The run is stopping, has ended, or will never start.
    Acknowledged,
    /// Another instance listens at the target's address.
    OtherInstance,
    /// The stop failed or was not answered.
    NoAnswer,
}

/// A run that a target lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run among the runs of its task.
    pub run: u64,
}

/// How a run ended, as reported by the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The task completed.
    Done,
    /// The task or the target failed.
    Failed,
    /// The run was stopped by a command.
    Stopped,
    /// The lease expired.
    LeaseExpired,
    /// Any other reason.
    Other,
}

/// The end of a run, as listed by a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEnd {
    /// Sequence number of the end on this target instance, from 1.
    pub number: u64,
    /// The run that ended; `None` if the task name is not one that an agent assigns.
    pub run: Option<TargetRun>,
    /// How the run ended.
    pub reason: EndReason,
}

/// A target's answer to a hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldReply {
    /// The state of the target's runs; the lease is renewed if the hold asked for it.
    Runs {
        /// Start time of the answering instance, as in [`TargetInstance`].
        started_ms: Option<u64>,
        /// The target's monotonic clock, in ms.
        clock_ms: u64,
        /// Active runs.
        running: Vec<TargetRun>,
        /// Runs that ended after the last end that the agent has processed.
        ended: Vec<TargetEnd>,
    },
    /// The target has seen a higher fencing token.
    StaleToken {
        /// The target's monotonic clock, in ms.
        clock_ms: u64,
    },
    /// Another instance listens at the target's address.
    OtherInstance,
    /// No answer.
    NoAnswer,
}

/// The sender of a list of emptied halls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HallsSource {
    /// A keeper.
    Keeper,
    /// The entry of this session.
    Entry(SessionId),
}

/// An event that an agent receives.
#[derive(Clone, Debug)]
pub enum Event {
    /// A connection to an entry was established.
    SessionOpened(SessionId),
    /// The connection was closed.
    SessionClosed(SessionId),
    /// The entry is to be served by other agents: the session ends once it has no runs left.
    SessionRetired(SessionId),
    /// The entry has announced that it reads [`ToEntry::CrashSuspected`].
    EntryReadsSuspicions(SessionId),
    /// A message of an entry.
    FromEntry(SessionId, ToAgent),
    /// The target sent a status report.
    TargetReported(TargetReport),
    /// The target announced that it ends now.
    TargetLeft(TargetInstance),
    /// A command to this instance could not be delivered: the target's address refused the
    /// connection.
    NoListener(TargetInstance),
    /// The answer to a start.
    StartAnswered(RunKey, StartReply),
    /// The answer to a stop.
    StopAnswered(RunKey, StopReply),
    /// The answer to a hold.
    HoldAnswered(TargetInstance, HoldReply),
    /// A newer configuration document.
    Document(Document),
    /// The emptied halls, from a keeper.
    Halls(EmptiedHalls),
    /// A planned stop: the agent accepts no new work.
    Drain,
    /// Time has passed.
    Tick,
}

/// An action that the caller executes for the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message to an entry.
    Send(SessionId, ToEntry),
    /// Closes the connection to an entry.
    Close(SessionId),
    /// Sends a start to the target.
    Start(StartCommand),
    /// Sends a stop to the target.
    Stop(StopCommand),
    /// Sends a hold to the target.
    Hold(HoldCommand),
    /// Writes an event to the log.
    Log(LogEvent),
}

/// What shows that a target instance has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndEvidence {
    /// The instance announced its end, and none of its runs can be active any more.
    Left,
    /// Another instance listens at the target's address: it answered a start.
    OtherAnsweredStart,
    /// Another instance answered a stop.
    OtherAnsweredStop,
    /// Another instance answered a hold.
    OtherAnsweredHold,
    /// The next instance, which had reported, answered a hold.
    NextAnswered,
}

impl EndEvidence {
    /// The name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Left => "left",
            Self::OtherAnsweredStart => "other-answered-start",
            Self::OtherAnsweredStop => "other-answered-stop",
            Self::OtherAnsweredHold => "other-answered-hold",
            Self::NextAnswered => "next-answered",
        }
    }
}

/// A decision or a change of state, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A new target instance became the current one.
    InstanceAdopted {
        /// The instance.
        instance: TargetInstance,
        /// Fencing token of the agent's commands to this instance.
        fencing_token: u64,
    },
    /// The target instance has announced that it ends now.
    TargetLeft {
        /// The instance.
        instance: TargetInstance,
        /// Number of runs that the target may still have.
        active: usize,
        /// Number of runs that wait for capacity; they are refused.
        waiting: usize,
    },
    /// A command could not be delivered: the target's address refuses connections. Not repeated
    /// until the target answers again.
    TargetUnreachable(TargetInstance),
    /// The target instance has ended.
    InstanceEnded {
        /// The instance.
        instance: TargetInstance,
        /// Number of runs that ended with the instance.
        lost: usize,
        /// What showed that it has ended.
        evidence: EndEvidence,
    },
    /// An unknown instance reported while another one is in use; it is probed with a hold.
    CandidateProbed(TargetInstance),
    /// A report was older than an earlier one of its instance, or its instance has ended. The
    /// report is ignored, except that draining is kept if the instance is the current one.
    TargetReportLate {
        /// The instance that sent the report.
        instance: TargetInstance,
        /// Sequence number of the report.
        sequence: u64,
        /// The current instance.
        present: Option<TargetInstance>,
        /// Highest sequence number received from the current instance; 0 if there is no instance.
        present_sequence: u64,
    },
    /// The target has not answered a hold for too long.
    TargetUnresponsive(TargetInstance),
    /// The target answers again.
    TargetAnsweredAgain(TargetInstance),
    /// The set of emptied halls has changed.
    Halls {
        /// The emptied halls with their revision.
        halls: EmptiedHalls,
        /// Whether the target's hall is among them.
        emptied: bool,
        /// The sender of the change.
        source: HallsSource,
    },
    /// The target is about to leave and gets no new work.
    TargetDraining(TargetInstance),
    /// The target is excluded for a while because its runs fail.
    TargetExcluded {
        /// Number of consecutive failures.
        failures: u32,
        /// Duration of the exclusion, in ms.
        for_ms: u64,
    },
    /// The target completes tasks again and is no longer excluded.
    TargetRestored,
    /// A session with an entry opened.
    SessionOpened(SessionId),
    /// Capacity has become scarce and is offered to one session at a time.
    CapacityScarce {
        /// Number of sessions that take turns.
        sessions: usize,
        /// CPU of the work that waits at their entries, in thousandths of a core.
        waiting_cpu_milli: u64,
    },
    /// What sessions were offered while capacity was scarce, for at most
    /// [`MAX_LOGGED_OFFERS`](crate::MAX_LOGGED_OFFERS) of them. Written when capacity is no longer
    /// scarce, and at intervals while it is.
    CapacityOffered {
        /// Length of the period, in ms.
        for_ms: u64,
        /// The sessions with the most turns in this period, most turns first.
        offers: Vec<SessionOffers>,
    },
    /// A session was lost; its runs are stopped.
    SessionLost {
        /// The session.
        session: SessionId,
        /// Cause of the loss.
        reason: &'static str,
        /// Number of runs that are stopped.
        runs: usize,
    },
    /// A retired session ended; it had no runs left.
    SessionRetired(SessionId),
    /// A run was refused or has ended.
    Run {
        /// The task.
        task: TaskId,
        /// Number of the run among the runs of its task.
        run: u64,
        /// Outcome of the run.
        end: TaskEnd,
        /// How long the run waited for capacity, in ms.
        waited_ms: u64,
        /// How long the run lasted, in ms.
        ran_ms: u64,
        /// Free capacity of the target afterwards.
        free: Resources,
    },
    /// A run is stopped because it takes much longer than estimated.
    Stuck {
        /// The task.
        task: TaskId,
        /// How long the run has lasted, in ms.
        ran_ms: u64,
        /// Estimated duration, in ms.
        estimated_ms: u32,
    },
    /// A start was not answered; it is sent again or stopped.
    StartUnanswered(TaskId),
    /// The target has crashed, and this task may have run at that time.
    CrashSuspected(TaskId),
    /// The target lists a run that the agent does not track, such as one of an earlier agent
    /// process; it is stopped.
    Orphan(TaskId),
}
