//! Reports of the target's load to entries: their content and their timing.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use model::Time;
use placement::{Offer, OfferCounts, WaitingWork};
use wire::{Demand, Load, MAX_DEMAND_ROWS, ToEntry};

use crate::event::{Action, LogEvent, SessionId, SessionOffers};
use crate::runner::Runner;
use crate::sessions::Session;

/// Maximum number of sessions in a [`LogEvent::CapacityOffered`].
pub const MAX_LOGGED_OFFERS: usize = 16;
/// Capacity is no longer scarce once it was not offered to a single session for this long. Within a
/// burst, it is scarce for milliseconds at a time.
const SCARCITY_PAUSE: Duration = Duration::from_secs(1);
/// Interval of log lines while capacity stays scarce.
const OFFER_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A period in which capacity was scarce.
#[derive(Debug)]
pub(crate) struct Sharing {
    since: Time,
    last_offer: Time,
    /// Counts of the sessions at the start of the period.
    counts_before: BTreeMap<SessionId, OfferCounts>,
}

/// What a session is reported while capacity is scarce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    /// The free capacity, which no other session is offered.
    Own,
    /// No free capacity: another session has the turn, or the capacity fits no waiting task.
    Other,
    /// The actual load: capacity is not scarce, or the session takes no turns.
    None,
}

impl Session {
    /// The load as reported to this entry. `rate` is the CPU that all entries together take, in
    /// thousandths of a core per millisecond.
    fn load_for_entry(&self, now: Time, load: &Load, rate: f64, turn: Turn) -> Load {
        let open = load.open && self.retired.is_none();
        let mut reported = Load { last_start_sequence: self.last_sequence, open, ..*load };
        match turn {
            // No other entry is offered the capacity, so none takes it.
            Turn::Own => reported.taken_per_ms = 0,
            Turn::Other => reported.free.cpu_milli = 0,
            Turn::None => {
                reported.taken_per_ms = (rate - self.start_rate.per_ms(now)).max(0.0) as u32
            }
        }
        reported
    }

    /// Whether this load differs from the last reported one in a way that matters to the entry. If
    /// the target was full and still is, only a change of the other fields does.
    fn adds_information(&self, load: &Load) -> bool {
        let last = &self.last_load;
        let still_full = last.free.cpu_milli == 0 && load.free.cpu_milli == 0;
        self.load_changed
            && !(still_full
                && last.open == load.open
                && last.last_start_sequence == load.last_start_sequence)
    }
}

impl Runner {
    /// Sends ended runs to each entry at once, and the load when it is due.
    pub(crate) fn report_loads(&mut self, now: Time, actions: &mut Vec<Action>) {
        let load = self.current_load(now);
        let offer = self.next_offer(now, &load);
        self.log_offers(now, offer, actions);
        let interval = self.timing.max_load_interval;
        let may_report =
            |session: &Session| session.has_updates() || now.since(session.last_report) >= interval;
        if !self.sessions.values().any(may_report) {
            return;
        }
        let rate: f64 = self.sessions.values().map(|session| session.start_rate.per_ms(now)).sum();
        let min_interval = self.adaptive_load_interval(&load, rate);
        for (id, session) in &mut self.sessions {
            if !may_report(session) {
                continue;
            }
            let turn = match offer {
                Offer::Only(holder) if holder == id.0 => Turn::Own,
                Offer::Only(_) | Offer::Nobody if self.shares.takes_part(now, id.0) => Turn::Other,
                _ => Turn::None,
            };
            let load = session.load_for_entry(now, &load, rate, turn);
            let since_report = now.since(session.last_report);
            let min_interval = match turn {
                // A turn is too short to delay the report.
                Turn::Own => Duration::ZERO,
                // A change between accepting and refusing work is reported without the adaptive
                // delay.
                _ if session.last_load.open != load.open => self.timing.min_load_interval,
                _ => min_interval,
            };
            if !session.reports.is_empty() {
                let reports = std::mem::take(&mut session.reports);
                actions.push(Action::Send(*id, ToEntry::Ended { reports, load }));
            } else if since_report >= interval
                || (session.adds_information(&load) && since_report >= min_interval)
            {
                actions.push(Action::Send(*id, ToEntry::Load(load)));
            } else {
                continue;
            }
            session.load_changed = false;
            session.last_report = now;
            session.last_load = load;
        }
    }

    /// To whom free capacity is reported. The session that scarce capacity is offered to gets a
    /// report if it does not know of the capacity yet.
    fn next_offer(&mut self, now: Time, load: &Load) -> Offer {
        if !load.open {
            return Offer::All;
        }
        let offer = self.shares.offer(now, load.free.cpu_milli, self.total_cpu_milli());
        if let Offer::Only(holder) = offer
            && let Some(session) = self.sessions.get_mut(&SessionId(holder))
            && session.last_load.free.cpu_milli != load.free.cpu_milli
        {
            session.load_changed = true;
        }
        offer
    }

    /// When the next session is offered capacity; `None` unless several take turns.
    pub(crate) fn next_offer_at(&self, now: Time) -> Option<Time> {
        let free = self.current_load(now).free.cpu_milli;
        self.shares.next_offer_at(now, free, self.total_cpu_milli())
    }

    fn total_cpu_milli(&self) -> u64 {
        self.target.as_ref().map_or(0, |target| target.capacity().cpu_milli)
    }

    /// Records the work that waits at an entry.
    pub(crate) fn record_demand(&mut self, now: Time, id: SessionId, waiting: &[Demand]) {
        if self.sessions.get(&id).is_none_or(|session| session.retired.is_some()) {
            return;
        }
        self.counters.demands += 1;
        let waiting = waiting.iter().take(MAX_DEMAND_ROWS).map(|demand| WaitingWork {
            priority: demand.priority,
            tasks: demand.tasks,
            cpu_milli: demand.cpu_milli,
            due: Duration::from_millis(u64::from(demand.due_ms)),
        });
        self.shares.record_demand(now, id.0, waiting);
    }

    /// What the open sessions were offered while capacity was scarce.
    pub fn offers(&self) -> impl Iterator<Item = SessionOffers> {
        self.sessions.keys().map(|id| {
            let OfferCounts { turns, used, taken_cpu_milli } = self.shares.offer_counts(id.0);
            SessionOffers { session: *id, turns, used, taken_cpu_milli }
        })
    }

    /// Logs that capacity becomes scarce, and what sessions were offered while it was.
    fn log_offers(&mut self, now: Time, offer: Offer, actions: &mut Vec<Action>) {
        let is_scarce = offer != Offer::All;
        match &mut self.sharing {
            None if is_scarce => {
                let taking_part =
                    self.sessions.keys().filter(|id| self.shares.takes_part(now, id.0));
                actions.push(Action::Log(LogEvent::CapacityScarce {
                    sessions: taking_part.count(),
                    waiting_cpu_milli: self.shares.waiting_cpu_milli(now),
                }));
                let counts = |id: &SessionId| (*id, self.shares.offer_counts(id.0));
                let counts_before = self.sessions.keys().map(counts).collect();
                self.sharing = Some(Sharing { since: now, last_offer: now, counts_before });
            }
            None => {}
            Some(sharing) => {
                if is_scarce {
                    sharing.last_offer = now;
                }
                let is_over = now.since(sharing.last_offer) >= SCARCITY_PAUSE;
                if is_over || now.since(sharing.since) >= OFFER_LOG_INTERVAL {
                    self.log_offered(actions);
                }
            }
        }
    }

    /// Logs what sessions were offered in the current period and ends it.
    fn log_offered(&mut self, actions: &mut Vec<Action>) {
        let Some(sharing) = self.sharing.take() else { return };
        // The counts of a session that was retired in the period start anew.
        let since_then = |offers: SessionOffers| {
            let before = sharing.counts_before.get(&offers.session).copied().unwrap_or_default();
            SessionOffers {
                session: offers.session,
                turns: offers.turns.saturating_sub(before.turns),
                used: offers.used.saturating_sub(before.used),
                taken_cpu_milli: offers.taken_cpu_milli.saturating_sub(before.taken_cpu_milli),
            }
        };
        let offers = self.offers().map(since_then).filter(|offers| offers.turns > 0);
        let mut offers: Vec<SessionOffers> = offers.collect();
        offers.sort_by_key(|offers| (Reverse(offers.turns), offers.session));
        offers.truncate(MAX_LOGGED_OFFERS);
        let for_ms = sharing.last_offer.since(sharing.since).as_millis() as u64;
        actions.push(Action::Log(LogEvent::CapacityOffered { for_ms, offers }));
    }

    /// Minimum time to the next load report: the faster free capacity is taken, the shorter.
    fn adaptive_load_interval(&self, load: &Load, rate: f64) -> Duration {
        let timing = &self.timing;
        if !load.open || load.on_trial {
            return timing.min_load_interval;
        }
        let until_taken =
            load.free.cpu_milli as f64 * timing.load_change_fraction / rate.max(1.0) / 1e3;
        Duration::from_secs_f64(until_taken)
            .clamp(timing.min_load_interval, timing.max_adaptive_load_interval)
    }

    fn current_load(&self, now: Time) -> Load {
        let mut free = self.free_capacity();
        let waiting = self.runs.values().filter(|run| !run.holds_capacity());
        waiting.for_each(|run| free -= run.resources);
        let on_trial = self.target.as_ref().is_some_and(|target| target.health.on_trial());
        let slowdown = self.target.as_ref().map_or(0, |target| target.speed.slowdown_percent());
        Load {
            at: now,
            free,
            taken_per_ms: 0,
            last_start_sequence: 0,
            open: self.is_open(now) && (!on_trial || self.runs.is_empty()),
            on_trial,
            slowdown_percent: slowdown,
        }
    }
}
