//! The target's data hall while operators have emptied it: nothing new starts there, what runs there ends in its
//! own time.
//!
//! An agent hears of orders from keepers and from entries, and tells its entries, so that an order reaches also who
//! is cut off from every keeper. Only a higher revision counts, however late a message comes.

use model::Time;
use wire::{EmptiedHalls, Refusal, ToEntry};

use crate::event::{Action, HallsSource, LogEvent, SessionId};
use crate::runner::Runner;

impl Runner {
    /// Takes note of the halls that are emptied. Where the target's is one of them, what waits is refused at once,
    /// so that its entry places it elsewhere.
    pub(crate) fn take_halls(
        &mut self,
        now: Time,
        halls: &EmptiedHalls,
        source: HallsSource,
        out: &mut Vec<Action>,
    ) {
        if !self.halls.update(halls) {
            return;
        }
        let emptied = self.is_hall_emptied();
        out.push(Action::Log(LogEvent::Halls { halls: halls.clone(), emptied, source }));
        let others = self.sessions.keys().filter(|id| source != HallsSource::Entry(**id));
        let told: Vec<SessionId> = others.copied().collect();
        out.extend(told.into_iter().map(|id| Action::Send(id, ToEntry::Halls(halls.clone()))));
        if emptied {
            self.refuse_waiting(now, Refusal::Closed, out);
        }
        self.mark_dirty();
    }

    /// Whether the target stands in a hall that is emptied.
    pub(crate) fn is_hall_emptied(&self) -> bool {
        self.target.as_ref().is_some_and(|target| self.halls.contains(&target.report.hall))
    }
}
