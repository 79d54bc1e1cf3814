//! One life of the target, as the agent knows it.

use std::time::Duration;

use model::{Resources, Time};

use crate::event::{HoldCommand, TargetInstance, TargetReport};
use crate::health::Health;
use crate::hold::RETRY;
use crate::hold_times::HoldTimes;
use crate::run::{Run, RunState};
use crate::runner::Timing;

/// One life of the target.
#[derive(Debug)]
pub(crate) struct Target {
    pub report: TargetReport,
    pub fencing_token: u64,
    /// The last end that is taken note of.
    pub last_seen: u64,
    pub health: Health,
    /// Its clock as it was told last, and when.
    clock: (u64, Time),
    /// A hold is under way since then.
    pub holding: Option<Time>,
    /// What runs there may run until then, at the latest.
    lease_ends: Time,
    /// When it answered last.
    pub heard: Time,
    /// The next hold is not sent before.
    pub hold_from: Time,
    pub silent: bool,
    /// When it last left a hold or a start unanswered.
    unanswered: Option<Time>,
    /// It may run what an earlier life of the agent started: its lease is left to run out, and
    /// nothing is started there.
    pub has_orphans: bool,
    /// How long tasks take against their estimates, in hundredths, smoothed.
    pub slowdown_percent: f64,
    /// When the slowdown was learned or worn off last.
    judged: Time,
    /// When a run ended there last.
    pub ended: Time,
    /// While it is a newcomer: another life was taken on since the hold that is under way was sent.
    pub is_overtaken: bool,
    /// When someone with its id said that it ends, without saying which life: no new work until it
    /// answers a hold that was sent after that.
    pub leave_doubted: Option<Time>,
    /// Since when it answers no orders.
    failing_since: Option<Time>,
    /// It had left an order unanswered a while before that.
    failed_before: bool,
    /// It has answered, but not reported of itself yet: what it has is not known.
    pub is_unreported: bool,
    /// Since when nothing listens at its address.
    pub no_listener: Option<Time>,
    /// How often it refused the fencing token.
    fence_refusals: u32,
}

/// A token above all that earlier lives of the agent took, without anything on a disk: a target's clock only goes
/// forward, and where it keeps its id, the moment of its start does.
fn fencing_token(id: &TargetInstance, clock_ms: u64) -> u64 {
    id.started_ms.unwrap_or(0) + clock_ms
}

/// What a report changes in what was known of its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Heard {
    /// A newer one was there before.
    pub late: bool,
    /// It says for the first time that the target is about to leave.
    pub drains: bool,
    /// Room or labels are others.
    pub moved: bool,
}

/// How much longer a span may take on the target's clock.
const SLOWEST_CLOCK: f64 = 1.02;
/// How long an order that is answered may be on its way, and lists of what ended.
const ORDER_SLACK: Duration = Duration::from_millis(40);
/// How long a hold that only asks for a sign of life waits: the least that an order can name.
const SIGN_WAIT: Duration = Duration::from_millis(1);
/// A report may have been sent so long before the agent began. A leave that an earlier life of the
/// agent acknowledged since is then told again well before work has to stop, 2 s after it.
const REPORT_SLACK: Duration = Duration::from_millis(500);
/// The largest step of a fencing token is two to this power: two such steps are beyond all clocks.
const MOST_FENCE_DOUBLINGS: u32 = 40;
/// The highest fencing token: what a number in a body holds exactly. A target that refuses every token is not to bring it
/// beyond that.
const FENCING_TOKEN_MAX: u64 = 1 << 53;
/// A target that is well answers each hold within the time that it waits, and a little more.
const HEARD_LATELY: Duration = Duration::from_millis(250);
/// Weight of one task in the smoothed slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.15;
/// Without an end for so long, what was learned wears off by a part,
const FORGET_EVERY: Duration = Duration::from_millis(200);
/// this part.
const FORGET_WEIGHT: f64 = 0.1;
/// The slowdown of a target that nothing is known of.
const NO_SLOWDOWN: f64 = 100.0;

impl Target {
    pub fn new(report: TargetReport, now: Time) -> Self {
        Self {
            fencing_token: fencing_token(&report.instance, report.clock_ms),
            clock: (report.clock_ms, now),
            report,
            last_seen: 0,
            health: Health::default(),
            holding: None,
            lease_ends: now,
            heard: now,
            hold_from: now,
            silent: false,
            unanswered: None,
            has_orphans: true,
            slowdown_percent: NO_SLOWDOWN,
            judged: now,
            ended: now,
            is_overtaken: false,
            leave_doubted: None,
            failing_since: None,
            failed_before: false,
            is_unreported: false,
            no_listener: None,
            fence_refusals: 0,
        }
    }

    /// The next life of this target, which has answered an order and not reported of itself yet.
    pub fn before_its_report(&self, now: Time, id: TargetInstance, clock_ms: u64) -> Self {
        let report = TargetReport {
            instance: id,
            draining: false,
            remaining: None,
            clock_ms,
            sequence: 0,
            ..self.report.clone()
        };
        let mut next = Self { is_unreported: true, ..Self::new(report, now) };
        next.follow(self);
        next
    }

    /// While it is a newcomer: it may be the next life of a target that keeps its id. Its token is not below
    /// that life's then, so that nothing ordered of lives before that is carried out late by this one.
    pub fn follow(&mut self, before: &Target) {
        if self.id().id == before.id().id {
            self.fencing_token = self.fencing_token.max(before.fencing_token);
        }
    }

    pub fn id(&self) -> &TargetInstance {
        &self.report.instance
    }

    /// Whether a report with this name is one of this life, or of a writer that leaves the start out.
    pub fn may_report(&self, id: &TargetInstance) -> bool {
        let leaves_out = id.started_ms.is_none() && id.id == self.id().id;
        *self.id() == *id || leaves_out
    }

    /// Its answer tells when it started, which its report did not: whatever report does counts as newer.
    pub fn learn_start(&mut self, now: Time, started_ms: u64) {
        self.report.instance.started_ms = Some(started_ms);
        self.report.sequence = 0;
        self.fencing_token = self.fencing_token.max(self.present_token(now));
    }

    fn present_token(&self, now: Time) -> u64 {
        fencing_token(self.id(), self.deadline_ms(now, Duration::ZERO))
    }

    /// It has seen a higher token, of an earlier life of the agent or one that was meant for an earlier life of
    /// itself. Steps that double reach any such token after few refusals.
    pub fn raise_fence(&mut self, now: Time) {
        let step = 1 << self.fence_refusals.min(MOST_FENCE_DOUBLINGS);
        self.fence_refusals += 1;
        let raised = (self.fencing_token + step).min(FENCING_TOKEN_MAX);
        self.fencing_token = self.present_token(now).max(raised);
    }

    /// Takes a report of this life. Of one that newer ones have overtaken nothing counts but that
    /// the target is about to leave: it was told that this is known, so it may end soon after, and
    /// no life takes it back.
    pub fn hear(&mut self, report: TargetReport) -> Heard {
        let tells_less = report.instance.started_ms.is_none() && self.id().started_ms.is_some();
        let late = tells_less || report.sequence < self.report.sequence;
        let drains = report.draining && !self.report.draining;
        let draining = report.draining || self.report.draining;
        let moved = !late
            && (report.capacity != self.report.capacity || report.labels != self.report.labels);
        if !late {
            self.report = report;
            self.is_unreported = false;
        }
        self.report.draining = draining;
        Heard { late, drains, moved }
    }

    /// While it is a newcomer: an order that nobody but this life carries out, and that changes
    /// nothing there, unless one is under way or a pause has to pass.
    pub fn ask(&mut self, now: Time, timing: &Timing) -> Option<HoldCommand> {
        if self.holding.is_some() || now < self.hold_from {
            return None;
        }
        self.holding = Some(now);
        let times = HoldTimes::waiting(SIGN_WAIT, timing);
        Some(HoldCommand {
            target: self.id().clone(),
            deadline_ms: None,
            fencing_token: self.fencing_token,
            last_seen: self.last_seen,
            wait: times.wait,
            answer_within: times.answer,
        })
    }

    /// While it is a newcomer: the hold that was under way has shown nothing.
    pub fn unanswered(&mut self, now: Time) {
        self.holding = None;
        self.is_overtaken = false;
        self.hold_from = now + RETRY;
    }

    /// While it is a newcomer: another life is taken on.
    pub fn overtake(&mut self) {
        self.is_overtaken = self.holding.is_some();
    }

    /// It has left an order unanswered.
    pub fn left_unanswered(&mut self, now: Time, timing: &Timing) {
        self.stopped_answering(now, timing);
        self.unanswered = Some(now);
    }

    /// Whether it answers, but has left an order unanswered within this time.
    pub fn leaves_unanswered(&self, now: Time, within: Duration) -> bool {
        !self.silent && self.has_left_unanswered(now, within)
    }

    fn has_left_unanswered(&self, now: Time, within: Duration) -> bool {
        self.unanswered.is_some_and(|at| now.since(at) < within)
    }

    /// Takes its clock from an answer.
    pub fn clock_is(&mut self, now: Time, clock_ms: u64) {
        self.no_listener = None;
        if clock_ms > 0 {
            self.clock = (clock_ms, now);
        }
    }

    /// Whether the newest report is from before the agent began, by the target's own clock. An
    /// earlier life of the agent may then have acknowledged that the target is about to leave.
    pub fn is_report_dated(&self, began: Time) -> bool {
        let (clock, at) = self.clock;
        let age = Duration::from_millis(clock.saturating_sub(self.report.clock_ms));
        age > at.since(began) + REPORT_SLACK
    }

    /// A moment on its clock, from now on.
    pub fn deadline_ms(&self, now: Time, span: Duration) -> u64 {
        let (clock, at) = self.clock;
        clock + (now.since(at) + span).as_millis() as u64
    }

    /// An order is sent that renews the lease by a span from when it is carried out; the target's
    /// clock may be slow.
    pub fn renew(&mut self, now: Time, span: Duration) {
        self.lease_ends = self.lease_ends.max(now + span.mul_f64(SLOWEST_CLOCK) + ORDER_SLACK);
    }

    /// It answered a hold.
    pub fn heard_now(&mut self, now: Time) {
        self.heard = now;
        self.failing_since = None;
    }

    /// An order was not answered, or could not be sent: notes since when that is so.
    pub fn stopped_answering(&mut self, now: Time, timing: &Timing) {
        if self.failing_since.is_none() {
            self.failing_since = Some(now);
            self.failed_before = self.has_left_unanswered(now, timing.unanswered_retention);
        }
    }

    /// Whether a run was there when it crashed, where it has: one that had begun, and was not stopped before.
    pub fn crashed_under(&self, now: Time, run: &Run) -> bool {
        let was_running = match run.state {
            RunState::Running => true,
            RunState::Stopping(stop) => {
                !stop.doubtful && self.failing_since.is_some_and(|since| since <= stop.first_sent)
            }
            RunState::Waiting | RunState::Starting => false,
        };
        was_running && !self.report.draining && self.told_all_until_it_failed(now)
    }

    /// Whether it told of all that had ended there until it stopped to answer: a hold is under way all the time, and is
    /// answered at the first end. Where this agent has not asked for a while, or the target leaves orders unanswered now and
    /// then, nothing is known.
    fn told_all_until_it_failed(&self, now: Time) -> bool {
        let failed_before = self.failing_since.is_some() && self.failed_before;
        !failed_before && self.failing_since.unwrap_or(now).since(self.heard) <= HEARD_LATELY
    }

    /// Whether its lease has surely run out.
    pub fn has_lapsed(&self, now: Time) -> bool {
        now > self.lease_ends
    }

    /// What was learned of its speed wears off while nothing ends there.
    pub fn forget(&mut self, now: Time) {
        if now.since(self.judged) >= FORGET_EVERY {
            self.judged = now;
            self.slowdown_percent += (NO_SLOWDOWN - self.slowdown_percent) * FORGET_WEIGHT;
        }
    }

    /// Takes a task's time against its estimate.
    pub fn ran(&mut self, now: Time, ran: Duration, estimated_ms: u32) {
        self.judged = now;
        if estimated_ms == 0 {
            return;
        }
        let percent = ran.as_secs_f64() * 1e5 / f64::from(estimated_ms);
        self.slowdown_percent += (percent - self.slowdown_percent) * SLOWDOWN_WEIGHT;
    }

    pub fn capacity(&self) -> Resources {
        self.report.capacity
    }
}
