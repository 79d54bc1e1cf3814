//! The scheduled events of a run.

use std::time::Duration;

use dispatch::{CallId, JobRequest};
use model::JobId;
use runner::{
    HoldCommand, HoldReply, RunKey, StartCommand, StartReply, StopCommand, StopReply,
    TargetInstance, TargetReport,
};
use wire::EmptiedHalls;

use super::faults::Fault;
use super::leaves::{Leave, LeaveStep};
use super::session::Packet;

/// A scheduled event. Where an event has the incarnation of a process, it is dropped if the process
/// has restarted since.
pub(super) enum SimEvent {
    /// The timer of an entry, with its incarnation.
    EntryTick(usize, u64),
    /// The timer of an agent, with its incarnation.
    AgentTick(usize, u64),
    /// A packet arrives at the other end of a session.
    Packet(usize, Packet),
    /// The link of an entry completes a segment.
    SegmentSent(usize),
    /// The timeout of a requested part of the configuration, with the incarnation of the entry.
    PartTimeout(usize, u64),
    /// A start arrives at its target; `true` if it is carried out late, without an answer.
    Start(Call, StartCommand, bool),
    /// A stop arrives at its target; `true` if it is carried out late, without an answer.
    Stop(Call, StopCommand, bool),
    /// A hold, which waits for the end of a run, arrives at its target.
    Hold(Call, HoldCommand),
    /// The wait time of a hold ends, so that the target answers it.
    HoldTimeout(Call),
    /// An answer to a command, or its timeout, arrives at the agent.
    StartAnswered(Call, RunKey, StartReply),
    StopAnswered(Call, RunKey, StopReply),
    HoldAnswered(Call, HoldCommand, HoldReply),
    /// Ends the runs that are due at all targets.
    AdvanceTargets,
    /// A target sends a report to its agent.
    Heartbeat(usize),
    /// A delayed report of a target.
    DelayedReport(usize, TargetReport),
    /// An agent tries to open a session with an entry.
    Dial(usize, usize),
    /// Cuts an agent off from all entries.
    DisconnectAgent(usize, Duration),
    /// Changes the entries that an agent serves, to all or to a random subset.
    ChangeSubset(usize, bool),
    /// A command for a hall is acknowledged: its targets take work, or none.
    HallCommand(usize, bool),
    /// A keeper notifies an entry or an agent of the emptied halls.
    HallNotice {
        is_entry: bool,
        number: usize,
        emptied: EmptiedHalls,
    },
    Cancel(JobId),
    /// A cancel of a job reaches another entry, with its incarnation.
    CancelNotice(usize, u64, JobId),
    Submit(JobId),
    /// An entry reads a request that arrived during its pause.
    QueuedSubmit(usize, u64, CallId, JobRequest),
    /// An entry notices that a client has closed the connection of its request.
    ClientDisconnected(usize, u64, CallId),
    /// The deadline of a client, with the number of its try.
    ClientTimeout(JobId, u32),
    Fault(Fault),
    StartEntry(usize),
    StartAgent(usize),
    StartTarget(usize),
    RestoreBehavior(usize),
    RestoreAnswers(usize),
    /// Sets the capacity of a target, in percent of its initial one.
    Resize(usize, u64),
    /// An agent, with its incarnation, finds that its target does not listen.
    NoListener(usize, u64, TargetInstance),
    /// A step in the leave of a target instance.
    Leave(Leave, LeaveStep),
    /// A deregistration, perhaps a late one, arrives at an agent.
    Deregistration(usize, TargetInstance),
    /// Crashes the target instance that started a task.
    CrashTarget(usize, TargetInstance),
    /// Sets the run time of tasks at a target, relative to the usual one.
    SetSpeed(usize, f64),
}

/// A command of one incarnation of an agent. It gets one answer, or a timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Call {
    pub agent: usize,
    pub incarnation: u64,
    pub number: u64,
}
