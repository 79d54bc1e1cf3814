//! Reports of the target's load to entries: their content and their timing.

use std::time::Duration;

use model::Time;
use wire::{Load, ToEntry};

use crate::event::{Action, SessionId};
use crate::round_robin::RoundRobin;
use crate::runner::Runner;
use crate::sessions::Session;

impl Session {
    /// The load as reported to this entry. `rate` is the CPU that all entries together take, in
    /// thousandths of a core per millisecond. `has_turn` is `None` unless scarce capacity is
    /// offered to one entry at a time.
    fn load_for_entry(&self, now: Time, load: &Load, rate: f64, has_turn: Option<bool>) -> Load {
        let open = load.open && self.retired.is_none();
        let mut reported = Load { last_start_sequence: self.last_sequence, open, ..*load };
        match has_turn {
            // No other entry is offered the capacity, so none takes it.
            Some(true) => reported.taken_per_ms = 0,
            Some(false) if RoundRobin::is_active(now, self.last_start) => {
                reported.free.cpu_milli = 0
            }
            _ => reported.taken_per_ms = (rate - self.start_rate.per_ms(now)).max(0.0) as u32,
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
        let turn = self.turn_holder(now, &load);
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
            let has_turn = turn.map(|turn| turn == *id);
            let load = session.load_for_entry(now, &load, rate, has_turn);
            let since_report = now.since(session.last_report);
            let min_interval = match has_turn {
                // A turn is too short to delay the report.
                Some(true) => Duration::ZERO,
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

    /// The session that is offered scarce capacity; `None` while capacity is not scarce.
    fn turn_holder(&mut self, now: Time, load: &Load) -> Option<SessionId> {
        if !load.open || !self.round_robin.is_scarce(load.free.cpu_milli) {
            return None;
        }
        let active = self.active_sessions(now);
        let holder = self.round_robin.holder(now, &active)?;
        if let Some(session) = self.sessions.get_mut(&holder)
            && session.last_load.free.cpu_milli != load.free.cpu_milli
        {
            session.load_changed = true;
        }
        Some(holder)
    }

    /// Whether capacity is offered to one entry at a time.
    pub(crate) fn uses_round_robin(&self, now: Time) -> bool {
        self.round_robin.is_scarce(self.current_load(now).free.cpu_milli)
            && self.active_sessions(now).len() > 1
    }

    fn active_sessions(&self, now: Time) -> Vec<SessionId> {
        let is_active = |session: &Session| RoundRobin::is_active(now, session.last_start);
        let active = self.sessions.iter().filter(|(_, session)| is_active(session));
        active.map(|(id, _)| *id).collect()
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
