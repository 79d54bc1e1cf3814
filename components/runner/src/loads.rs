//! What entries are told of the load, and when.

use std::time::Duration;

use model::Time;
use wire::{Load, ToEntry};

use crate::event::{Action, SessionId};
use crate::runner::Runner;
use crate::sessions::Session;
use crate::turns::Turns;

impl Session {
    /// The load as the entry is told it; `its_turn` says whether scarce room is told to it, if room is scarce.
    fn view(&self, now: Time, load: &Load, per_ms: f64, its_turn: Option<bool>) -> Load {
        let open = load.open && self.retired.is_none();
        let mut view = Load { seen: self.seen, open, ..*load };
        match its_turn {
            // Others are not told of it, and take none.
            Some(true) => view.taken_per_ms = 0,
            Some(false) if Turns::is_active(now, self.last_start) => view.free.cpu_milli = 0,
            _ => view.taken_per_ms = (per_ms - self.rate.per_ms(now)).max(0.0) as u32,
        }
        view
    }

    /// Whether a load tells the entry more than the last one did. That there is still no room does not.
    fn has_news(&self, load: &Load) -> bool {
        let told = &self.told_load;
        let still_full = told.free.cpu_milli == 0 && load.free.cpu_milli == 0;
        self.dirty && !(still_full && told.open == load.open && told.seen == load.seen)
    }
}

impl Runner {
    /// Tells each entry of ends at once, and of the load now and then.
    pub(crate) fn report_loads(&mut self, now: Time, out: &mut Vec<Action>) {
        let load = self.load(now);
        let turn = self.turn(now, &load);
        let interval = self.timing.load_interval;
        let may_tell =
            |session: &Session| session.is_dirty() || now.since(session.told) >= interval;
        if !self.sessions.values().any(may_tell) {
            return;
        }
        let per_ms: f64 = self.sessions.values().map(|session| session.rate.per_ms(now)).sum();
        let gap = self.load_gap(&load, per_ms);
        for (id, session) in &mut self.sessions {
            if !may_tell(session) {
                continue;
            }
            let its_turn = turn.map(|turn| turn == *id);
            let load = session.view(now, &load, per_ms, its_turn);
            let age = now.since(session.told);
            let gap = match its_turn {
                // A turn is too short to wait.
                Some(true) => Duration::ZERO,
                // That the target takes work again is never held back.
                _ if session.told_load.open != load.open => self.timing.load_gap,
                _ => gap,
            };
            if !session.reports.is_empty() {
                let reports = std::mem::take(&mut session.reports);
                out.push(Action::Send(*id, ToEntry::Ended { reports, load }));
            } else if age >= interval || (session.has_news(&load) && age >= gap) {
                out.push(Action::Send(*id, ToEntry::Load(load)));
            } else {
                continue;
            }
            session.dirty = false;
            session.told = now;
            session.told_load = load;
        }
    }

    /// Whose turn it is to be told of scarce room; none while room is not scarce.
    fn turn(&mut self, now: Time, load: &Load) -> Option<SessionId> {
        if !load.open || !self.turns.is_scarce(load.free.cpu_milli) {
            return None;
        }
        let active = self.active_sessions(now);
        let holder = self.turns.holder(now, &active)?;
        if let Some(session) = self.sessions.get_mut(&holder)
            && session.told_load.free.cpu_milli != load.free.cpu_milli
        {
            session.dirty = true;
        }
        Some(holder)
    }

    /// Whether entries are told of room in turns.
    pub(crate) fn takes_turns(&self, now: Time) -> bool {
        self.turns.is_scarce(self.load(now).free.cpu_milli) && self.active_sessions(now).len() > 1
    }

    fn active_sessions(&self, now: Time) -> Vec<SessionId> {
        let is_active = |session: &Session| Turns::is_active(now, session.last_start);
        let active = self.sessions.iter().filter(|(_, session)| is_active(session));
        active.map(|(id, _)| *id).collect()
    }

    /// From one report of a load like this to the next, at least: what is free changes the more in
    /// that time, the faster it is taken.
    fn load_gap(&self, load: &Load, per_ms: f64) -> Duration {
        let timing = &self.timing;
        if !load.open || load.on_trial {
            return timing.load_gap;
        }
        let until_taken = load.free.cpu_milli as f64 * timing.load_change / per_ms.max(1.0) / 1e3;
        Duration::from_secs_f64(until_taken).clamp(timing.load_gap, timing.load_gap_plenty)
    }

    fn load(&self, now: Time) -> Load {
        let mut free = self.free();
        let waiting = self.runs.values().filter(|run| !run.takes_room());
        waiting.for_each(|run| free -= run.resources);
        let on_trial = self.target.as_ref().is_some_and(|target| target.health.on_trial());
        let slowdown = self.target.as_ref().map_or(0.0, |target| target.slowdown_percent);
        Load {
            at: now,
            free,
            taken_per_ms: 0,
            seen: 0,
            open: self.is_open(now) && (!on_trial || self.runs.is_empty()),
            on_trial,
            slowdown_percent: slowdown as u32,
        }
    }
}
