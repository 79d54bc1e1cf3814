//! The planned stop of an entry: carries out its steps.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use dispatch::{Event, PlannedStop, StopStep, StopTiming, StopView};
use model::Time;
use net::{ConnectionInfo, Connections, Phase};
use serde_json::{Value, json};

use super::entry::Entry;
use crate::event_log::Budget;

/// How often a stopping entry looks at itself: a small part of what it waits for.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Questions of the balancer that come closer together count once: it asks each second, and others may
/// ask as well.
const NOTICE_GAP: Duration = Duration::from_millis(400);

/// How far an entry is with its planned stop.
pub(super) struct StopProgress {
    /// How long the platform waits for the end.
    pub grace: Cell<Duration>,
    /// The connections of callers.
    pub callers: Rc<Connections>,
    began: Cell<bool>,
    /// How often the balancer was told since that the entry is not ready.
    notices: Cell<u32>,
    /// When that was counted last.
    noticed: Cell<Option<Time>>,
    /// Once the balancer has noticed: when every job is answered.
    answers_at: Cell<Option<Time>>,
}

impl StopProgress {
    /// A stop that has not begun.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace: Cell::new(grace),
            callers: Rc::default(),
            began: Cell::new(false),
            notices: Cell::new(0),
            noticed: Cell::new(None),
            answers_at: Cell::new(None),
        }
    }

    /// Whether the entry was told to stop.
    pub fn has_begun(&self) -> bool {
        self.began.get()
    }

    /// The balancer was told whether the entry is ready.
    pub fn told_balancer(&self, now: Time) {
        let recent = self.noticed.get().is_some_and(|at| now.since(at) < NOTICE_GAP);
        if self.has_begun() && !recent {
            self.noticed.set(Some(now));
            self.notices.set(self.notices.get() + 1);
        }
    }

    /// Once the balancer has noticed the stop: how much time is left for what still comes.
    pub fn time_left(&self, now: Time) -> Option<Duration> {
        self.answers_at.get().map(|at| at.since(now))
    }

    fn view(&self, jobs: usize) -> StopView {
        StopView {
            notices: self.notices.get(),
            jobs,
            open: self.callers.unfinished(),
            quiet: self.callers.quiet(),
        }
    }

    fn connections(&self) -> Value {
        let count = |phase: Phase| (phase.as_str().to_owned(), self.callers.count(phase).into());
        Value::Object(Phase::ALL.map(count).into_iter().collect())
    }
}

impl Entry {
    /// A planned stop, until the process may end.
    pub(super) async fn drain(&self) {
        let timing = StopTiming::within(self.stop.grace.get());
        let mut stop = PlannedStop::new(timing, self.now());
        self.stop.began.set(true);
        self.tell_stop("draining", stop.began());
        loop {
            Timer::after(STOP_POLL).await;
            while let Some(step) = stop.next(self.now(), &self.stop.view(self.active())) {
                self.take_step(step, stop.began());
                if step == StopStep::End {
                    return;
                }
            }
        }
    }

    fn take_step(&self, step: StopStep, began: Time) {
        match step {
            StopStep::TakeOnlyWhatEndsBy(end) => {
                self.stop.answers_at.set(Some(end));
                self.feed(Event::TakeOnlyWhatEndsBy(end));
                self.stop.callers.close_idle();
                self.tell_stop("closing", began);
            }
            StopStep::CloseIntake => {
                self.stop.callers.close();
                self.tell_stop("intake-closed", began);
            }
            StopStep::AnswerAll => {
                self.tell_stop("answering-all", began);
                self.feed(Event::AnswerAll);
            }
            StopStep::End => {
                self.tell_stop("drained", began);
                let open = self.stop.callers.list().into_iter();
                open.filter(|info| info.phase.is_busy()).for_each(|info| self.tell_cut(info));
            }
        }
    }

    /// A step of the stop, with what is under way.
    fn tell_stop(&self, what: &'static str, began: Time) {
        self.log.line(what, Budget::Full, || {
            json!({"after_ms": self.now().since(began).as_millis() as u64, "jobs": self.active(),
                "notices": self.stop.notices.get(), "connections": self.stop.connections()})
        });
    }

    /// The end of the process cuts off a request.
    fn tell_cut(&self, info: ConnectionInfo) {
        self.log.line("connection-cut", Budget::Full, || {
            json!({"peer": info.peer.map(|peer| peer.to_string()), "phase": info.phase.as_str(),
                "age_ms": info.age.as_millis() as u64, "answered": info.answered})
        });
    }
}
