//! Executes the steps of an entry's planned stop.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use dispatch::{Event, PlannedStop, StopStatus, StopStep, StopTiming};
use model::Time;
use net::{ConnectionInfo, Connections, Phase};
use serde_json::{Value, json};

use super::entry::Entry;
use crate::event_log::Budget;

/// How often a stopping entry checks for its next step.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Readiness checks closer together than this count as one, as clients other than the load balancer
/// may check too.
const READINESS_CHECK_GAP: Duration = Duration::from_millis(400);

/// Progress of an entry's planned stop.
pub(super) struct StopProgress {
    /// How long the platform waits between the stop request and ending the process.
    pub grace: Cell<Duration>,
    /// Connections of callers.
    pub connections: Rc<Connections>,
    started: Cell<bool>,
    /// Readiness checks counted since the stop started.
    readiness_checks: Cell<u32>,
    /// When a readiness check was last counted.
    last_readiness_check: Cell<Option<Time>>,
    /// When every job gets its final answer; `None` until the load balancer has noticed the stop.
    answer_deadline: Cell<Option<Time>>,
}

impl StopProgress {
    /// Creates the state of a stop that has not started.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace: Cell::new(grace),
            connections: Rc::default(),
            started: Cell::new(false),
            readiness_checks: Cell::new(0),
            last_readiness_check: Cell::new(None),
            answer_deadline: Cell::new(None),
        }
    }

    /// Whether the planned stop has started.
    pub fn is_started(&self) -> bool {
        self.started.get()
    }

    /// Counts a readiness check during the stop.
    pub fn record_readiness_check(&self, now: Time) {
        let recent =
            self.last_readiness_check.get().is_some_and(|at| now.since(at) < READINESS_CHECK_GAP);
        if self.is_started() && !recent {
            self.last_readiness_check.set(Some(now));
            self.readiness_checks.set(self.readiness_checks.get() + 1);
        }
    }

    /// Time left until every job gets its final answer; `None` until the load balancer has noticed
    /// the stop.
    pub fn time_left(&self, now: Time) -> Option<Duration> {
        self.answer_deadline.get().map(|at| at.since(now))
    }

    fn status(&self, jobs: usize) -> StopStatus {
        StopStatus {
            failed_readiness_checks: self.readiness_checks.get(),
            jobs,
            busy_connections: self.connections.active_count(),
            quiet_for: self.connections.time_since_arrival(),
        }
    }

    fn connection_counts(&self) -> Value {
        let count =
            |phase: Phase| (phase.as_str().to_owned(), self.connections.count(phase).into());
        Value::Object(Phase::ALL.map(count).into_iter().collect())
    }
}

impl Entry {
    /// Performs a planned stop; returns when the process may end.
    pub(super) async fn drain(&self) {
        let timing = StopTiming::within(self.stop.grace.get());
        let mut stop = PlannedStop::new(timing, self.now());
        self.stop.started.set(true);
        self.log_step("draining", stop.started_at());
        loop {
            Timer::after(STOP_POLL).await;
            while let Some(step) = stop.next_step(self.now(), &self.stop.status(self.active_jobs()))
            {
                self.execute_step(step, stop.started_at());
                if step == StopStep::End {
                    return;
                }
            }
        }
    }

    fn execute_step(&self, step: StopStep, started: Time) {
        match step {
            StopStep::AdmitOnlyJobsEndingBy(end) => {
                self.stop.answer_deadline.set(Some(end));
                self.handle_event(Event::AdmitOnlyJobsEndingBy(end));
                self.stop.connections.close_idle();
                self.log_step("closing", started);
            }
            StopStep::CloseListener => {
                self.stop.connections.close();
                self.log_step("intake-closed", started);
            }
            StopStep::AnswerAll => {
                self.log_step("answering-all", started);
                self.handle_event(Event::AnswerAll);
            }
            StopStep::End => {
                self.log_step("drained", started);
                let open = self.stop.connections.list().into_iter();
                open.filter(|info| info.phase.is_busy())
                    .for_each(|info| self.log_cut_connection(info));
            }
        }
    }

    /// Logs a step of the stop with the number of open jobs and connections.
    fn log_step(&self, kind: &'static str, started: Time) {
        self.log.line(kind, Budget::Full, || {
            json!({"after_ms": self.now().since(started).as_millis() as u64,
                "jobs": self.active_jobs(), "notices": self.stop.readiness_checks.get(),
                "connections": self.stop.connection_counts()})
        });
    }

    /// Logs a connection whose request is cut off by the end of the process.
    fn log_cut_connection(&self, info: ConnectionInfo) {
        self.log.line("connection-cut", Budget::Full, || {
            json!({"peer": info.peer.map(|peer| peer.to_string()), "phase": info.phase.as_str(),
                "age_ms": info.age.as_millis() as u64, "answered": info.answered})
        });
    }
}
