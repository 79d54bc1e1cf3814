//! Forwards cancellations to the other entries, one of which may have the job.
//!
//! Entries keep no permanent connections with each other: their number would grow with the square
//! of the entries, while few clients cancel a job at an entry that does not have it. A connection
//! is opened on demand, reused for a moment and closed by the other side, which takes it for an
//! agent that never identifies itself.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use dispatch::CancelNotices;
use futures_lite::future;
use model::JobId;
use net::Spawner;
use serde_json::json;
use wire::{NodeInfo, NodeRole, ToAgent, ToEntry};

use super::session::{self, Received, SessionSender};
use crate::clock::Clock;
use crate::event_log::{Budget, EventLog};

/// How long a connection is used for further cancellations. Well below the time after which the
/// other side closes it, so that every message sent arrives before that.
const LINK_LIFETIME: Duration = Duration::from_millis(300);
/// Delay before reconnecting to an entry.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The other entries and the cancellations to be sent to them.
pub(super) struct EntryPeers {
    own_address: SocketAddr,
    tasks: Spawner,
    log: EventLog,
    clock: Clock,
    notices: RefCell<CancelNotices>,
    links: RefCell<HashMap<SocketAddr, Rc<SessionSender<ToEntry>>>>,
}

impl EntryPeers {
    /// Creates an empty list of peers for the entry that others reach at `own_address`.
    pub fn new(own_address: SocketAddr, tasks: Spawner, log: EventLog, clock: Clock) -> Rc<Self> {
        let (notices, links) = (RefCell::default(), RefCell::default());
        Rc::new(Self { own_address, tasks, log, clock, notices, links })
    }

    /// Takes the nodes that keepers list. Entries new to the list receive the recent cancellations.
    pub fn update_entries(self: &Rc<Self>, nodes: &[NodeInfo]) {
        let others = nodes.iter().filter(|node| node.role == NodeRole::Entry);
        let addresses =
            others.map(|node| node.address).filter(|address| *address != self.own_address);
        let pending =
            self.notices.borrow_mut().update_entries(self.clock.now(), addresses.collect());
        for (entry, job) in pending {
            self.log.line(
                "cancel-told-later",
                Budget::Full,
                || json!({"job": job.as_str(), "entry": entry.to_string()}),
            );
            self.send_cancel(entry, job);
        }
    }

    /// Notifies every other entry that a job is cancelled.
    pub fn broadcast_cancel(self: &Rc<Self>, job: &JobId) {
        let recipients = self.notices.borrow_mut().record_cancel(self.clock.now(), job);
        for entry in recipients {
            self.send_cancel(entry, job.clone());
        }
    }

    fn send_cancel(self: &Rc<Self>, entry: SocketAddr, job: JobId) {
        if !self.open_link(entry).send(ToEntry::Cancelled(job)) {
            self.log_undelivered(entry, "the send queue is full or the session has ended");
        }
    }

    fn open_link(self: &Rc<Self>, address: SocketAddr) -> Rc<SessionSender<ToEntry>> {
        if let Some(link) = self.links.borrow().get(&address) {
            return link.clone();
        }
        let (sender, queue) = SessionSender::new();
        let link = Rc::new(sender);
        self.links.borrow_mut().insert(address, link.clone());
        let (peers, link_guard) = (self.clone(), link.clone());
        self.tasks.spawn(async move {
            if let Some(stream) = peers.connect_while_pending(address).await {
                let expire = async {
                    Timer::after(LINK_LIFETIME).await;
                    peers.links.borrow_mut().remove(&address);
                };
                // The other side's heartbeats are ignored.
                let run = session::run(stream, queue, |_: Received<ToAgent>| {});
                future::zip(expire, run).await;
            }
            peers.links.borrow_mut().remove(&address);
            drop(link_guard);
        });
        link
    }

    /// Connects to an entry, retrying while a cancellation is pending for it.
    async fn connect_while_pending(&self, entry: SocketAddr) -> Option<Async<TcpStream>> {
        loop {
            match net::connect(entry).await {
                Ok(stream) => return Some(stream),
                Err(error) => self.log_undelivered(entry, &error.to_string()),
            }
            Timer::after(RETRY_DELAY).await;
            if !self.notices.borrow_mut().has_pending(self.clock.now(), entry) {
                return None;
            }
        }
    }

    /// Logs a failed delivery. Agents that serve both entries may still forward the cancellation;
    /// without such an agent, the job runs to its end.
    fn log_undelivered(&self, entry: SocketAddr, reason: &str) {
        self.log.line(
            "cancel-untold",
            Budget::Full,
            || json!({"entry": entry.to_string(), "reason": reason}),
        );
    }
}
