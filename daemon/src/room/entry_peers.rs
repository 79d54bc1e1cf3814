//! What an entry tells the others: jobs that a client has cancelled here and that one of them has.
//!
//! Entries keep no connections with each other, as these would grow with their square and cancels seldom
//! come to an entry that has not the job. A connection is opened when there is something to tell, used for a moment, and
//! closed by the other side, which takes it for that of an agent that never says who it is.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use model::JobId;
use net::Tasks;
use serde_json::json;
use wire::{NodeInfo, NodeRole, ToAgent, ToEntry};

use super::session::{self, Outgoing};
use crate::event_log::{Budget, EventLog};

/// How long a connection is used for further cancels. The other side closes it after 700 ms: by then all
/// that was sent has long arrived.
const USED: Duration = Duration::from_millis(300);

/// The other entries.
pub(super) struct EntryPeers {
    own: SocketAddr,
    tasks: Tasks,
    log: EventLog,
    known: RefCell<BTreeSet<SocketAddr>>,
    links: RefCell<HashMap<SocketAddr, Rc<Outgoing<ToEntry>>>>,
}

impl EntryPeers {
    /// Those of an entry that others reach at an address; it knows none yet.
    pub fn new(own: SocketAddr, tasks: Tasks, log: EventLog) -> Rc<Self> {
        Rc::new(Self { own, tasks, log, known: RefCell::default(), links: RefCell::default() })
    }

    /// Keepers list these entries.
    pub fn listed(&self, nodes: &[NodeInfo]) {
        let others = nodes.iter().filter(|node| node.role == NodeRole::Entry);
        let addresses = others.map(|node| node.address).filter(|address| *address != self.own);
        *self.known.borrow_mut() = addresses.collect();
    }

    /// Tells every other entry that a job is cancelled.
    pub fn cancel(self: &Rc<Self>, job: &JobId) {
        let known: Vec<SocketAddr> = self.known.borrow().iter().copied().collect();
        for address in known {
            let link = self.link(address);
            if !link.send(ToEntry::Cancelled(job.clone())) {
                self.note_untold(address, "its connection takes no more");
            }
        }
    }

    fn link(self: &Rc<Self>, address: SocketAddr) -> Rc<Outgoing<ToEntry>> {
        if let Some(link) = self.links.borrow().get(&address) {
            return link.clone();
        }
        let (outgoing, waiting) = Outgoing::new();
        let link = Rc::new(outgoing);
        self.links.borrow_mut().insert(address, link.clone());
        let (peers, held) = (self.clone(), link.clone());
        self.tasks.spawn(async move {
            match net::connect(address).await {
                Ok(stream) => {
                    let unused = async {
                        Timer::after(USED).await;
                        peers.links.borrow_mut().remove(&address);
                    };
                    // Of an entry's heartbeats nothing is needed.
                    let run = session::run(stream, waiting, |_: ToAgent| {});
                    future::zip(unused, run).await;
                }
                Err(error) => peers.note_untold(address, &error.to_string()),
            }
            peers.links.borrow_mut().remove(&address);
            drop(held);
        });
        link
    }

    /// Agents that serve both entries may still tell it; where none does, the job runs to its end.
    fn note_untold(&self, entry: SocketAddr, reason: &str) {
        self.log.line(
            "cancel-untold",
            Budget::Full,
            || json!({"entry": entry.to_string(), "reason": reason}),
        );
    }
}
