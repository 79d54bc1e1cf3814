//! Offers of a target's scarce capacity to the entries that compete for it.
//!
//! Answers bursts in which many entries wait for capacity that frees up one task at a time, with
//! uneven amounts of work. If a full target reported freed capacity to all entries, each waiting
//! entry would send a task: one would start, and the others would wait in vain and be placed
//! elsewhere late. Equal turns avoid that, but an entry with four times the work then refuses far
//! more of it, and turns of entries that wait for nothing are lost.
//!
//! While capacity is scarce, it is offered to one entry at a time: to the entries with the most
//! urgent waiting work, and among these in proportion to how much of it waits at each.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::Time;

/// Length of a turn: covers a round trip between data halls.
const TURN: Duration = Duration::from_millis(8);
/// Free CPU for fewer tasks of average size than this is scarce.
const SCARCE_TASK_COUNT: f64 = 1.5;
/// While more work waits than would fit, free CPU below this fraction of the target's total is
/// scarce too. Several short tasks often end within a turn, and the entries that wait would all
/// send tasks for the block: in simulated bursts, entries sent 1.9 starts per task without this
/// rule and 1.3 with it. A larger fraction delays jobs while there is room.
const SCARCE_FRACTION: f64 = 0.4;
/// A turn ends this long after the session's first start in it: the starts that an entry sends for
/// one report arrive together, and what they leave is offered to the next session.
const USED_TURN_GRACE: Duration = Duration::from_micros(500);
/// An entry that has sent no start for this long, and waits for nothing, takes no turns.
const ACTIVE_WINDOW: Duration = Duration::from_secs(1);
/// Weight of a start in the moving average of CPU per task.
const TASK_CPU_WEIGHT: f64 = 0.1;
/// Age at which a demand expires: entries repeat it within 280 ms, the interval of an idle
/// heartbeat; the rest allows for delays on the way.
const DEMAND_EXPIRY: Duration = Duration::from_millis(380);
/// Of this many offers, at least one goes to another priority than the most urgent.
const OFFERS_PER_OTHER_PRIORITY: u32 = 8;
/// Weight of all entries together that have sent starts but wait for nothing, relative to the
/// weight of those that wait. With 70 targets, each of nine such entries is offered capacity at one
/// target at any time, while a waiting entry loses a ninth of its turns.
const IDLE_WEIGHT: f64 = 1.0 / 8.0;
/// Free CPU below this fraction of the mean waiting task is not offered, as hardly any task fits.
/// The tasks of a queue differ by up to a factor of 1.5 from their mean.
const MIN_FIT_FRACTION: f64 = 0.5;
/// Bound on what an entry is owed or owes, in tasks; limits the effect of shares in the past.
const MAX_CREDIT: f64 = 4.0;

const NEVER: Time = Time::from_micros(u64::MAX);

/// A session between the agent and an entry, numbered by the caller.
type Session = u64;

/// Work of one priority that waits for capacity at an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingWork {
    /// Priority of the tasks; 0 is the most urgent.
    pub priority: u8,
    /// Number of tasks.
    pub tasks: u32,
    /// CPU that the tasks occupy together, in thousandths of a core.
    pub cpu_milli: u64,
    /// Time left to the most urgent latest start.
    pub due: Duration,
}

impl WaitingWork {
    /// Whether a task of typical size may fit into this much CPU, in thousandths of a core.
    fn may_fit(&self, free_cpu_milli: u64) -> bool {
        let mean_task = self.cpu_milli as f64 / f64::from(self.tasks.max(1));
        free_cpu_milli as f64 >= mean_task * MIN_FIT_FRACTION
    }
}

/// To whom free capacity is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// To all entries: capacity is not scarce, or no entry takes part in the turns.
    All,
    /// To the entry of this session alone.
    Only(Session),
    /// To none of the entries that take part, as no waiting task would fit.
    Nobody,
}

/// What a session was offered while capacity was scarce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OfferCounts {
    /// Number of turns.
    pub turns: u64,
    /// Number of turns in which the entry sent a start.
    pub used: u64,
    /// CPU of the starts in these turns, in thousandths of a core.
    pub taken_cpu_milli: u64,
}

/// The work that an entry has reported as waiting.
#[derive(Clone, Debug)]
struct Demand {
    reported_at: Time,
    waiting: Vec<WaitingWork>,
}

#[derive(Clone, Debug, Default)]
struct Participant {
    last_start: Option<Time>,
    /// `None` if the entry has never reported a demand, as those of old builds.
    demand: Option<Demand>,
    /// Tasks that the entry is owed, by the priority whose offers it took part in.
    credit: BTreeMap<u8, f64>,
    counts: OfferCounts,
}

/// What a session asks for.
#[derive(Clone, Copy, Debug)]
enum Claim<'a> {
    /// Nothing waits and nothing was started lately, or the entry is silent.
    None,
    /// The entry has sent starts lately and does not report its demand.
    Unknown,
    /// The entry has sent starts lately and reports that nothing waits.
    Idle,
    Waiting(&'a Demand),
}

impl Participant {
    fn claim(&self, now: Time) -> Claim<'_> {
        let started = self.last_start.is_some_and(|at| now.since(at) < ACTIVE_WINDOW);
        let Some(demand) = &self.demand else {
            return if started { Claim::Unknown } else { Claim::None };
        };
        if !demand.waiting.is_empty() && now.since(demand.reported_at) < DEMAND_EXPIRY {
            return Claim::Waiting(demand);
        }
        // An entry that reports its demand is never silent for longer unless it is paused, cut off
        // or gone.
        let last_message = self.last_start.unwrap_or_default().max(demand.reported_at);
        match started && now.since(last_message) < DEMAND_EXPIRY {
            true => Claim::Idle,
            false => Claim::None,
        }
    }
}

/// The session that capacity is offered to.
#[derive(Clone, Copy, Debug)]
struct Turn {
    session: Session,
    since: Time,
    /// The priority that the offer is for; `None` in equal turns.
    priority: Option<u8>,
    /// Whether the session had waiting work when the turn started.
    waited: bool,
    /// When the session sent its first start in this turn.
    first_start: Option<Time>,
    /// CPU of the session's starts in this turn, in thousandths of a core.
    taken_cpu_milli: u64,
}

impl Turn {
    fn new(session: Session, since: Time, priority: Option<u8>, waited: bool) -> Self {
        Self { session, since, priority, waited, first_start: None, taken_cpu_milli: 0 }
    }

    /// When the turn ends if the session keeps its claim.
    fn end(&self) -> Time {
        let end = self.since + TURN;
        match self.first_start {
            Some(first) if self.priority.is_some() => end.min(first + USED_TURN_GRACE),
            _ => end,
        }
    }
}

/// Divides the scarce capacity of a target among the sessions with entries.
#[derive(Debug)]
pub struct CapacityShares {
    seed: u64,
    participants: BTreeMap<Session, Participant>,
    /// The current turn, or the last one.
    turn: Option<Turn>,
    /// Consecutive offers for the most urgent priority while others waited too.
    urgent_offers: u32,
    /// Counts of all sessions, including those that have ended.
    total: OfferCounts,
    /// The number of the last offer for each priority.
    last_offers: BTreeMap<u8, u64>,
    /// Moving average of CPU per task, in thousandths of a core.
    task_cpu_milli: f64,
}

impl CapacityShares {
    /// Shares without sessions. Agents with different seeds prefer different sessions when they
    /// owe all the same, so that not all of them first offer capacity to the same entry.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            participants: BTreeMap::new(),
            turn: None,
            urgent_offers: 0,
            total: OfferCounts::default(),
            last_offers: BTreeMap::new(),
            task_cpu_milli: 0.0,
        }
    }

    /// Records a requested task with its CPU, in thousandths of a core.
    pub fn record_start(&mut self, now: Time, session: Session, cpu_milli: u64) {
        let task_cpu = cpu_milli as f64;
        if self.task_cpu_milli == 0.0 {
            self.task_cpu_milli = task_cpu;
        }
        self.task_cpu_milli += (task_cpu - self.task_cpu_milli) * TASK_CPU_WEIGHT;
        let participant = self.participants.entry(session).or_default();
        participant.last_start = Some(now);
        if let Some(turn) = &mut self.turn
            && turn.session == session
            && now < turn.end()
        {
            for counts in [&mut participant.counts, &mut self.total] {
                counts.used += u64::from(turn.first_start.is_none());
                counts.taken_cpu_milli += cpu_milli;
            }
            turn.first_start.get_or_insert(now);
            turn.taken_cpu_milli += cpu_milli;
        }
    }

    /// Replaces the waiting work of a session.
    pub fn record_demand(
        &mut self,
        now: Time,
        session: Session,
        waiting: impl IntoIterator<Item = WaitingWork>,
    ) {
        let waiting = waiting.into_iter().filter(|work| work.tasks > 0).collect();
        let participant = self.participants.entry(session).or_default();
        participant.demand = Some(Demand { reported_at: now, waiting });
    }

    /// Forgets a session that has ended.
    pub fn remove_session(&mut self, session: Session) {
        self.participants.remove(&session);
    }

    /// Whether this much free CPU of a target, in thousandths of a core, is offered to one entry at
    /// a time.
    pub fn is_scarce(&self, now: Time, free_cpu_milli: u64, total_cpu_milli: u64) -> bool {
        let free = free_cpu_milli as f64;
        free_cpu_milli > 0
            && (free < self.task_cpu_milli * SCARCE_TASK_COUNT
                || free < total_cpu_milli as f64 * SCARCE_FRACTION
                    && self.waiting_cpu_milli(now) > free_cpu_milli)
    }

    /// CPU of all work that is reported as waiting, in thousandths of a core.
    pub fn waiting_cpu_milli(&self, now: Time) -> u64 {
        let waiting = |participant: &Participant| match participant.claim(now) {
            Claim::Waiting(demand) => demand.waiting.iter().map(|work| work.cpu_milli).sum(),
            _ => 0,
        };
        self.participants.values().map(waiting).fold(0, u64::saturating_add)
    }

    /// When the next offer is due at this much free CPU; `None` unless several sessions take turns.
    pub fn next_offer_at(
        &self,
        now: Time,
        free_cpu_milli: u64,
        total_cpu_milli: u64,
    ) -> Option<Time> {
        let taking_part = self.participants.values().filter(|other| other.takes_part(now));
        let is_shared = self.is_scarce(now, free_cpu_milli, total_cpu_milli)
            && taking_part.take(2).count() == 2;
        let current_end = self.turn.map(|turn| turn.end()).filter(|end| *end > now);
        is_shared.then(|| current_end.unwrap_or(now + TURN))
    }

    /// Whether a session takes turns. The others are reported the actual load.
    pub fn takes_part(&self, now: Time, session: Session) -> bool {
        self.participants.get(&session).is_some_and(|participant| participant.takes_part(now))
    }

    /// What a session was offered so far.
    pub fn offer_counts(&self, session: Session) -> OfferCounts {
        self.participants.get(&session).map(|participant| participant.counts).unwrap_or_default()
    }

    /// What all sessions were offered so far.
    pub fn total_counts(&self) -> OfferCounts {
        self.total
    }

    /// To whom this much free CPU of a target is offered; starts the next turn when the last one is
    /// over.
    pub fn offer(&mut self, now: Time, free_cpu_milli: u64, total_cpu_milli: u64) -> Offer {
        if !self.is_scarce(now, free_cpu_milli, total_cpu_milli)
            || !self.participants.values().any(|participant| participant.takes_part(now))
        {
            return Offer::All;
        }
        if let Some(turn) = self.turn.filter(|turn| self.continues(now, turn)) {
            return Offer::Only(turn.session);
        }
        let next = match self.next_priority(now, free_cpu_milli) {
            Ok(Some(level)) => self.next_by_share(now, free_cpu_milli, level),
            Ok(None) => self.next_in_order(now, |claim| !matches!(claim, Claim::None)),
            Err(NoTaskFits) => self.next_in_order(now, |claim| matches!(claim, Claim::Unknown)),
        };
        let Some(turn) = next else { return Offer::Nobody };
        self.turn = Some(turn);
        self.total.turns += 1;
        if let Some(participant) = self.participants.get_mut(&turn.session) {
            participant.counts.turns += 1;
        }
        Offer::Only(turn.session)
    }

    /// Whether a turn goes on: it is not over, and the session still has a claim. An entry that no
    /// longer waits passes the turn on.
    fn continues(&self, now: Time, turn: &Turn) -> bool {
        let Some(participant) = self.participants.get(&turn.session) else { return false };
        let has_claim = match participant.claim(now) {
            Claim::None => false,
            Claim::Unknown | Claim::Waiting(_) => true,
            Claim::Idle => !turn.waited,
        };
        has_claim && now < turn.end()
    }

    /// The priority that the next offer is for; `None` if no work is known to wait.
    fn next_priority(&mut self, now: Time, free: u64) -> Result<Option<Level>, NoTaskFits> {
        let mut any_waits = false;
        let mut fitting = BTreeSet::new();
        for participant in self.participants.values() {
            let Claim::Waiting(demand) = participant.claim(now) else { continue };
            any_waits = true;
            let fits = demand.waiting.iter().filter(|work| work.may_fit(free));
            fitting.extend(fits.map(|work| work.priority));
        }
        let Some(most_urgent) = fitting.pop_first() else {
            return if any_waits { Err(NoTaskFits) } else { Ok(None) };
        };
        let last_offer = |priority: &u8| self.last_offers.get(priority).copied();
        let other = fitting.into_iter().min_by_key(last_offer);
        let priority = match other {
            Some(other) if self.urgent_offers + 1 >= OFFERS_PER_OTHER_PRIORITY => other,
            _ => most_urgent,
        };
        let is_counted = other.is_some() && priority == most_urgent;
        self.urgent_offers = if is_counted { self.urgent_offers + 1 } else { 0 };
        self.last_offers.insert(priority, self.total.turns);
        Ok(Some(Level { priority, is_most_urgent: priority == most_urgent }))
    }

    /// The next turn for a priority: the session that is owed the most. Each offer is owed to the
    /// sessions in proportion to their weights and charged to the one that gets it.
    fn next_by_share(&mut self, now: Time, free: u64, level: Level) -> Option<Turn> {
        let Level { priority, .. } = level;
        let weights = self.weights(now, free, level);
        let total: f64 = weights.values().map(|weight| weight.weight).sum();
        let last_extra = self.extra_tasks_of_last_turn(priority);
        let mut best: Option<(f64, &Weight, Session)> = None;
        for (session, participant) in &mut self.participants {
            let Some(weight) = weights.get(session) else {
                participant.credit.remove(&priority);
                continue;
            };
            let initial = initial_credit(self.seed, *session, priority);
            let credit = participant.credit.entry(priority).or_insert(initial);
            let (last_session, extra) = last_extra.unwrap_or_default();
            *credit += (1.0 + extra) * weight.weight / total;
            if extra > 0.0 && last_session == *session {
                *credit -= extra;
            }
            *credit = credit.clamp(-MAX_CREDIT, MAX_CREDIT);
            let is_better = best.as_ref().is_none_or(|(most, other, _)| {
                credit.total_cmp(most).then(other.due.cmp(&weight.due)).is_gt()
            });
            if is_better {
                best = Some((*credit, weight, *session));
            }
        }
        let (_, weight, session) = best?;
        let participant = self.participants.get_mut(&session)?;
        *participant.credit.get_mut(&priority)? -= 1.0;
        Some(Turn::new(session, now, Some(priority), weight.waits))
    }

    /// The sessions that take part in the offers for a priority.
    fn weights(&self, now: Time, free: u64, level: Level) -> BTreeMap<Session, Weight> {
        let mut weights = BTreeMap::new();
        let (mut idle, mut unknown) = (Vec::new(), Vec::new());
        for (session, participant) in &self.participants {
            match participant.claim(now) {
                Claim::None => {}
                Claim::Unknown => unknown.push(*session),
                Claim::Idle => idle.push(*session),
                Claim::Waiting(demand) => {
                    let fits =
                        |work: &&WaitingWork| work.priority == level.priority && work.may_fit(free);
                    match demand.waiting.iter().find(fits) {
                        Some(work) => {
                            let due = demand.reported_at + work.due;
                            let weight = work.cpu_milli.max(1) as f64;
                            weights.insert(*session, Weight { weight, waits: true, due });
                        }
                        None => idle.push(*session),
                    }
                }
            }
        }
        let waiting: f64 = weights.values().map(|weight| weight.weight).sum();
        let known = weights.len() + idle.len();
        let without_due = |weight| Weight { weight, waits: false, due: NEVER };
        let of_unknown = waiting / known.max(1) as f64;
        weights.extend(unknown.into_iter().map(|session| (session, without_due(of_unknown))));
        // The share of idle entries is for fresh jobs, which may be of the most urgent priority.
        if level.is_most_urgent {
            let of_idle = waiting * IDLE_WEIGHT / idle.len().max(1) as f64;
            weights.extend(idle.into_iter().map(|session| (session, without_due(of_idle))));
        }
        weights
    }

    /// The session of the last turn and the number of tasks that it took beyond the one that it was
    /// charged for, if the turn was for this priority.
    fn extra_tasks_of_last_turn(&self, priority: u8) -> Option<(Session, f64)> {
        let turn = self.turn.filter(|turn| turn.priority == Some(priority))?;
        let tasks = turn.taken_cpu_milli as f64 / self.task_cpu_milli.max(1.0);
        Some((turn.session, (tasks - 1.0).max(0.0)))
    }

    /// The next of the sessions with such a claim, in the order of their numbers.
    fn next_in_order(&self, now: Time, has_turns: impl Fn(Claim<'_>) -> bool) -> Option<Turn> {
        let sessions: Vec<Session> = self
            .participants
            .iter()
            .filter(|(_, participant)| has_turns(participant.claim(now)))
            .map(|(session, _)| *session)
            .collect();
        let last = self.turn.map(|turn| turn.session);
        let after = sessions.iter().find(|session| last.is_some_and(|last| **session > last));
        let session = *after.or(sessions.first())?;
        Some(Turn::new(session, now, None, false))
    }
}

impl Participant {
    fn takes_part(&self, now: Time) -> bool {
        !matches!(self.claim(now), Claim::None)
    }
}

/// The priority of an offer, and whether it is the most urgent one that waits.
#[derive(Clone, Copy, Debug)]
struct Level {
    priority: u8,
    is_most_urgent: bool,
}

/// No task that is known to wait is likely to fit into the free capacity.
struct NoTaskFits;

/// The weight of a session in the offers for one priority.
struct Weight {
    weight: f64,
    /// Whether work of the priority waits there.
    waits: bool,
    /// The most urgent latest start; decides between sessions that are owed the same.
    due: Time,
}

/// Pseudorandom credit between -0.5 and 0.5, in tasks.
fn initial_credit(seed: u64, session: Session, priority: u8) -> f64 {
    // The finalizer of SplitMix64.
    let mut bits = seed ^ session.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ u64::from(priority) << 56;
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^= bits >> 31;
    (bits >> 11) as f64 / (1_u64 << 53) as f64 - 0.5
}
