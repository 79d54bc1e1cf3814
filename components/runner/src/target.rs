//! The agent's state of one target instance, current or candidate.

use std::time::Duration;

use admission::TargetSpeed;
use model::{Resources, Time};

use crate::crash_evidence::{CrashEvidence, Failure};
use crate::event::{HoldCommand, TargetInstance, TargetReport};
use crate::health::Health;
use crate::hold::HOLD_RETRY_DELAY;
use crate::hold_timing::HoldTiming;
use crate::timing::Timing;

/// The agent's state of one target instance.
#[derive(Debug)]
pub(crate) struct Target {
    pub report: TargetReport,
    pub fencing_token: u64,
    /// Number of the last run end that the agent has processed; sent with each hold.
    pub last_seen: u64,
    pub health: Health,
    /// The target's monotonic clock in ms as last reported, and when that was received.
    clock: (u64, Time),
    /// When the outstanding hold was sent.
    pub hold_sent: Option<Time>,
    /// The latest time at which runs on the target may still be active.
    lease_ends: Time,
    /// When the target last answered a hold.
    pub last_hold_answer: Time,
    /// The next hold is not sent earlier.
    pub next_hold_at: Time,
    /// Whether no hold has been answered within the target timeout.
    pub silent: bool,
    /// When the target last left a hold or a start unanswered.
    last_unanswered: Option<Time>,
    /// Whether the target may have runs that this agent does not track. While it has only such
    /// runs, its lease is left to expire and nothing starts on it.
    pub has_orphans: bool,
    /// How long tasks take on this instance relative to their estimates.
    pub speed: TargetSpeed,
    /// When a run last ended on the target.
    pub last_end: Time,
    /// For a candidate: whether another instance was adopted after the outstanding hold was sent.
    pub is_overtaken: bool,
    /// The target's announcement that it ends now. It then gets no new work, and its lease is left
    /// to expire.
    pub leave: Option<Leave>,
    /// What is known of a target that has stopped answering; `None` while it answers holds.
    failure: Option<Failure>,
    /// Whether the target has answered but not reported yet, so that its capacity is unknown.
    pub awaits_report: bool,
    /// Since when the target's address refuses connections.
    pub unreachable_since: Option<Time>,
    /// How often the target refused the fencing token.
    token_refusals: u32,
}

/// The announcement of a target that it ends now.
///
/// An announced end is not an end: until the target has ended, its runs are active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Leave {
    pub received_at: Time,
    /// Whether the announcement names this instance. If it lacks the start time, an earlier
    /// instance with the same id may have sent it, so an answer to a later hold disproves it.
    pub is_certain: bool,
}

/// A token higher than those of earlier agent processes, without storage: the monotonic clock of an
/// instance only increases, and so does the start time where a target keeps its id.
fn fencing_token(instance: &TargetInstance, clock_ms: u64) -> u64 {
    instance.started_ms.unwrap_or(0) + clock_ms
}

/// The effect of a report on the known state of its instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReportChange {
    /// Whether a newer report of the instance was received before.
    pub is_late: bool,
    /// Whether the report is the first one that announces a leave.
    pub starts_draining: bool,
    /// Whether capacity or labels have changed.
    pub profile_changed: bool,
}

/// Maximum length of a span on the target's clock, as a multiple of its length on the agent's.
const CLOCK_DRIFT_FACTOR: f64 = 1.02;
/// Allowance for the time in flight of an answered command.
const COMMAND_SLACK: Duration = Duration::from_millis(40);
/// Wait of a hold that only probes a candidate: the minimum that a command can express.
const PROBE_WAIT: Duration = Duration::from_millis(1);
/// Maximum age of a report at the start of the agent. A leave that an earlier agent process
/// acknowledged after such a report is repeated well before the target's work has to stop.
const REPORT_AGE_SLACK: Duration = Duration::from_millis(500);
/// Largest step of a fencing token, as a power of two: two such steps exceed any clock.
const MAX_TOKEN_DOUBLINGS: u32 = 40;
/// Upper bound of a fencing token, which JSON numbers still represent exactly. Keeps a target that
/// refuses every token from causing an overflow.
const MAX_FENCING_TOKEN: u64 = 1 << 53;

impl Target {
    pub fn new(report: TargetReport, now: Time) -> Self {
        Self {
            fencing_token: fencing_token(&report.instance, report.clock_ms),
            clock: (report.clock_ms, now),
            report,
            last_seen: 0,
            health: Health::default(),
            hold_sent: None,
            lease_ends: now,
            last_hold_answer: now,
            next_hold_at: now,
            silent: false,
            last_unanswered: None,
            has_orphans: true,
            speed: TargetSpeed::default(),
            last_end: now,
            is_overtaken: false,
            leave: None,
            failure: None,
            awaits_report: false,
            unreachable_since: None,
            token_refusals: 0,
        }
    }

    /// The next instance of this target, which has answered a command but not reported yet.
    pub fn successor(&self, now: Time, instance: TargetInstance, clock_ms: u64) -> Self {
        let report = TargetReport {
            instance,
            draining: false,
            remaining: None,
            clock_ms,
            sequence: 0,
            ..self.report.clone()
        };
        let mut next = Self { awaits_report: true, ..Self::new(report, now) };
        next.inherit_fencing_token(self);
        next
    }

    /// If the previous instance has the same id, raises the token to at least the previous one, so
    /// that this instance refuses delayed commands meant for earlier ones.
    pub fn inherit_fencing_token(&mut self, previous: &Target) {
        if self.instance().id == previous.instance().id {
            self.fencing_token = self.fencing_token.max(previous.fencing_token);
        }
    }

    pub fn instance(&self) -> &TargetInstance {
        &self.report.instance
    }

    /// Whether a report under this name is one of this instance, or lacks the start time.
    pub fn accepts_report_of(&self, instance: &TargetInstance) -> bool {
        let omits_start_time = instance.started_ms.is_none() && instance.id == self.instance().id;
        *self.instance() == *instance || omits_start_time
    }

    /// Records a leave. Returns false if the target had announced its end before.
    pub fn record_leave(&mut self, received_at: Time, is_certain: bool) -> bool {
        self.report.draining |= is_certain;
        if let Some(leave) = &mut self.leave {
            leave.is_certain |= is_certain;
            return false;
        }
        self.leave = Some(Leave { received_at, is_certain });
        true
    }

    /// Whether this instance has certainly announced its end.
    pub fn has_left(&self) -> bool {
        self.leave.is_some_and(|leave| leave.is_certain)
    }

    /// Forgets a leave that an answer to a hold sent at this time disproves. Returns whether there
    /// was one.
    pub fn withdraw_disproved_leave(&mut self, hold_sent: Time) -> bool {
        let is_disproved = |leave: &mut Leave| !leave.is_certain && leave.received_at < hold_sent;
        self.leave.take_if(is_disproved).is_some()
    }

    /// Sets the start time from an answer, because the reports lack it. Any report that has it then
    /// counts as newer.
    pub fn set_start_time(&mut self, now: Time, started_ms: u64) {
        self.report.instance.started_ms = Some(started_ms);
        self.report.sequence = 0;
        self.fencing_token = self.fencing_token.max(self.current_token(now));
    }

    fn current_token(&self, now: Time) -> u64 {
        fencing_token(self.instance(), self.deadline_ms(now, Duration::ZERO))
    }

    /// Raises the token after the target refused it: the target has seen the token of an earlier
    /// agent process, or one meant for an earlier instance. Doubling steps reach any such token
    /// within a few refusals.
    pub fn raise_fencing_token(&mut self, now: Time) {
        let step = 1 << self.token_refusals.min(MAX_TOKEN_DOUBLINGS);
        self.token_refusals += 1;
        let raised = (self.fencing_token + step).min(MAX_FENCING_TOKEN);
        self.fencing_token = self.current_token(now).max(raised);
    }

    /// Applies a report of this instance. Of a late report only draining takes effect: its answer
    /// acknowledges the announcement, so the target may end soon after, and an instance that drains
    /// never becomes ready again.
    pub fn apply_report(&mut self, report: TargetReport) -> ReportChange {
        let omits_start_time =
            report.instance.started_ms.is_none() && self.instance().started_ms.is_some();
        let is_late = omits_start_time || report.sequence < self.report.sequence;
        let starts_draining = report.draining && !self.report.draining;
        let draining = report.draining || self.report.draining;
        let profile_changed = !is_late
            && (report.capacity != self.report.capacity || report.labels != self.report.labels);
        if !is_late {
            self.report = report;
            self.awaits_report = false;
        }
        self.report.draining = draining;
        ReportChange { is_late, starts_draining, profile_changed }
    }

    /// For a candidate: a hold without effect that only this instance answers. Returns `None` while
    /// one is outstanding or a retry is not due.
    pub fn probe(&mut self, now: Time, timing: &Timing) -> Option<HoldCommand> {
        if self.hold_sent.is_some() || now < self.next_hold_at {
            return None;
        }
        self.hold_sent = Some(now);
        let hold_timing = HoldTiming::with_wait(PROBE_WAIT, timing);
        Some(HoldCommand {
            target: self.instance().clone(),
            deadline_ms: None,
            fencing_token: self.fencing_token,
            last_seen: self.last_seen,
            wait: hold_timing.wait,
            answer_within: hold_timing.answer_within,
        })
    }

    /// For a candidate: records that the outstanding hold did not show whether the instance is
    /// current.
    pub fn probe_failed(&mut self, now: Time) {
        self.hold_sent = None;
        self.is_overtaken = false;
        self.next_hold_at = now + HOLD_RETRY_DELAY;
    }

    /// For a candidate: records that another instance was adopted.
    pub fn mark_overtaken(&mut self) {
        self.is_overtaken = self.hold_sent.is_some();
    }

    /// Records an unanswered command.
    pub fn record_unanswered(&mut self, now: Time, timing: &Timing) {
        self.mark_failing(now, timing);
        self.last_unanswered = Some(now);
    }

    /// Whether the target answers holds, but has left a command unanswered within this time.
    pub fn recently_unanswered(&self, now: Time, within: Duration) -> bool {
        !self.silent && self.had_unanswered(now, within)
    }

    fn had_unanswered(&self, now: Time, within: Duration) -> bool {
        self.last_unanswered.is_some_and(|at| now.since(at) < within)
    }

    /// Updates the known clock from an answer.
    pub fn sync_clock(&mut self, now: Time, clock_ms: u64) {
        self.unreachable_since = None;
        if let Some(failure) = &mut self.failure {
            failure.record_answer();
        }
        if clock_ms > 0 {
            self.clock = (clock_ms, now);
        }
    }

    /// Whether the newest report was sent before the agent started, by the target's clock. An
    /// earlier agent process may then have acknowledged a leave that this one does not know of.
    pub fn is_report_outdated(&self, started_at: Time) -> bool {
        let (clock, at) = self.clock;
        let age = Duration::from_millis(clock.saturating_sub(self.report.clock_ms));
        age > at.since(started_at) + REPORT_AGE_SLACK
    }

    /// The target's clock, in ms, at this span from now.
    pub fn deadline_ms(&self, now: Time, span: Duration) -> u64 {
        let (clock, at) = self.clock;
        clock + (now.since(at) + span).as_millis() as u64
    }

    /// Records a command that renews the lease by this span, counted from when the target carries
    /// it out. The target's clock may be slow.
    pub fn extend_lease(&mut self, now: Time, span: Duration) {
        self.lease_ends =
            self.lease_ends.max(now + span.mul_f64(CLOCK_DRIFT_FACTOR) + COMMAND_SLACK);
    }

    /// Records an answer to a hold.
    pub fn record_hold_answer(&mut self, now: Time) {
        self.last_hold_answer = now;
        self.failure = None;
    }

    /// Records that the target's address refused a connection.
    pub fn record_refused_connection(&mut self, now: Time, timing: &Timing) {
        self.unreachable_since.get_or_insert(now);
        self.mark_failing(now, timing).record_refused_connection(now);
    }

    /// Records since when commands are unanswered or undeliverable.
    fn mark_failing(&mut self, now: Time, timing: &Timing) -> &mut Failure {
        let had_unanswered = self.had_unanswered(now, timing.unanswered_retention);
        self.failure.get_or_insert_with(|| Failure::new(now, had_unanswered))
    }

    /// What is known if the target has crashed.
    pub fn crash_evidence(&self, now: Time, timing: &Timing) -> CrashEvidence {
        CrashEvidence {
            now,
            last_hold_answer: self.last_hold_answer,
            had_unanswered: self.had_unanswered(now, timing.unanswered_retention),
            failure: self.failure,
        }
    }

    /// Whether the target's lease has expired, with allowance for its clock.
    pub fn is_lease_expired(&self, now: Time) -> bool {
        now > self.lease_ends
    }

    pub fn capacity(&self) -> Resources {
        self.report.capacity
    }
}
