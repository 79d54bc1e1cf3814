//! The planned stop of an entry.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use model::Time;
use net::{ConnectionInfo, Connections, Phase};
use serde_json::{Value, json};

use super::entry::Entry;
use crate::event_log::Budget;

/// How often the balancer is told that the entry is not ready before it sends nobody any more,
const NOTICES: u32 = 2;
/// and how long the entry waits for it to ask.
const NOTICE: Duration = Duration::from_millis(2_400);
/// The longest time of a planned stop.
const STOP_TIME: Duration = Duration::from_millis(5_400);
/// How often a stopping entry looks whether it is done.
const STOP_POLL: Duration = Duration::from_millis(50);

/// How far an entry is with its planned stop.
#[derive(Default)]
pub(super) struct Stop {
    /// When it was told to stop.
    began: Cell<Option<Time>>,
    /// How often the balancer was told since that it is not ready.
    notices: Cell<u32>,
    /// Set when no new connections are taken any more: when the process ends at the latest.
    closing: Cell<Option<Time>>,
    /// Dropped to take no new connections.
    pub accepting: RefCell<Option<Sender<()>>>,
    /// The connections of callers.
    pub callers: Rc<Connections>,
}

impl Stop {
    /// Whether it was told to stop.
    pub fn has_begun(&self) -> bool {
        self.began.get().is_some()
    }

    /// The balancer was told whether the entry is ready.
    pub fn told_balancer(&self) {
        if self.has_begun() {
            self.notices.set(self.notices.get() + 1);
        }
    }

    /// At the end of a planned stop: how much time is left for what still comes over connections
    /// that are open.
    pub fn time_left(&self, now: Time) -> Option<Duration> {
        let until = self.closing.get()?;
        Some(until.since(now))
    }

    fn connections(&self) -> Value {
        let count = |phase: Phase| self.callers.count(phase);
        json!({"fresh": count(Phase::Fresh), "idle": count(Phase::Idle),
            "reading": count(Phase::Reading), "handling": count(Phase::Handling),
            "answering": count(Phase::Answering)})
    }
}

impl Entry {
    /// A planned stop: says that it is not ready and goes on until the balancer has noticed; then
    /// takes no new connections, finishes what it has, ends. Each answer closes its connection, so
    /// that requests dry up.
    pub(super) async fn drain(&self) {
        let began = self.now();
        self.stop.began.set(Some(began));
        self.tell_stop("draining", began);
        loop {
            Timer::after(STOP_POLL).await;
            let now = self.now();
            let age = now.since(began);
            let idle = self.active() == 0;
            let closing = self.stop.closing.get().is_some();
            if age > STOP_TIME || (closing && idle) {
                break;
            }
            if !closing && (age > NOTICE || self.stop.notices.get() >= NOTICES) {
                self.stop.closing.set(Some(began + STOP_TIME));
                self.stop.accepting.borrow_mut().take();
                self.tell_stop("closing", began);
            }
        }
        self.tell_stop("drained", began);
        let cut = self.stop.callers.list().into_iter().filter(|info| info.phase.is_busy());
        cut.for_each(|info| self.tell_cut(info));
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
