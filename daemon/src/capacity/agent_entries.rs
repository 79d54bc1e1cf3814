//! The entries that an agent serves: sessions with those that are chosen, as the choice changes.

use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use model::Time;
use runner::{Event, SessionId};
use serde_json::json;
use wire::{NodeInfo, NodeRole, ToAgent};

use super::agent::Agent;
use super::session::{self, SessionSender};
use crate::event_log::Budget;

/// Pause before an entry is connected to again.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// An entry that is no longer listed is still tried for so long.
const ENTRY_KEPT: Duration = Duration::from_secs(30);
/// How often the choice of entries is looked at when keepers tell nothing new: it waits some seconds for
/// entries that are missing from a list, and for numbers to hold.
const CHOICE_POLL: Duration = Duration::from_millis(500);

/// An entry that the agent has a session with, or tries to have one with.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Contact {
    /// Whether the agent is to serve it.
    chosen: bool,
    /// One that is not listed any more is tried until then.
    until: Time,
    session: Option<SessionId>,
}

/// Follows changes of the choice that come with time alone.
pub(super) async fn keep_choice(agent: Rc<Agent>) {
    loop {
        Timer::after(CHOICE_POLL).await;
        agent.choose_entries();
    }
}

impl Agent {
    /// Keepers list these entries, and so many agents of the service.
    pub(super) fn entries_are(self: &Rc<Self>, entries: &[NodeInfo], agents: usize) {
        let listed = entries.iter().filter(|node| node.role == NodeRole::Entry);
        let listed = listed.map(|node| (&node.name, node.address));
        self.subset.borrow_mut().listed(self.clock.now(), listed, agents);
        self.choose_entries();
    }

    /// Connects to entries that are chosen now, and retires the sessions with listed ones that are not.
    fn choose_entries(self: &Rc<Self>) {
        let now = self.clock.now();
        let chosen = self.subset.borrow_mut().chosen(now);
        for address in &chosen {
            self.serve_entry(now, *address);
        }
        let retired: Vec<SessionId> = self.retire_others(&chosen);
        retired.into_iter().for_each(|id| self.feed(Event::SessionRetired(id)));
    }

    fn serve_entry(self: &Rc<Self>, now: Time, address: SocketAddr) {
        let mut entries = self.entries.borrow_mut();
        let is_new = !entries.contains_key(&address);
        let contact = entries.entry(address).or_default();
        contact.chosen = true;
        contact.until = now + ENTRY_KEPT;
        if is_new {
            let agent = self.clone();
            self.tasks.spawn(async move { agent.stay_connected(address).await });
        }
    }

    /// Marks the contacts that are listed and not chosen; returns their sessions. An entry that is not
    /// listed keeps its session: it may live on where no keeper can be reached.
    fn retire_others(&self, chosen: &[SocketAddr]) -> Vec<SessionId> {
        let subset = self.subset.borrow();
        let mut entries = self.entries.borrow_mut();
        let others = entries.iter_mut().filter(|(address, contact)| {
            contact.chosen && !chosen.contains(address) && subset.knows(**address)
        });
        let retire = |(_, contact): (&SocketAddr, &mut Contact)| {
            contact.chosen = false;
            contact.until = Time::default();
            contact.session
        };
        others.filter_map(retire).collect()
    }

    /// Keeps a session with an entry for as long as it is chosen, and with one that is no longer listed
    /// a while longer: an entry that has restarted while no keeper can be reached is found again so.
    async fn stay_connected(self: Rc<Self>, address: SocketAddr) {
        loop {
            if let Ok(stream) = net::connect(address).await {
                self.run_session(address, stream).await;
            }
            Timer::after(RETRY_PAUSE).await;
            let now = self.clock.now();
            let mut entries = self.entries.borrow_mut();
            if entries.get(&address).is_none_or(|contact| contact.until < now) {
                entries.remove(&address);
                return;
            }
        }
    }

    async fn run_session(self: &Rc<Self>, address: SocketAddr, stream: Async<TcpStream>) {
        self.next.set(self.next.get() + 1);
        let id = SessionId(self.next.get());
        let (outgoing, waiting) = SessionSender::new();
        self.sessions.borrow_mut().insert(id, outgoing);
        self.log.line(
            "entry-heard",
            Budget::Full,
            || json!({"entry": address.to_string(), "session": id.0}),
        );
        self.feed(Event::SessionOpened(id));
        self.note_session(address, Some(id));
        let taker = self.clone();
        let take = move |message: ToAgent| {
            taker.messages.received(message.kind());
            taker.feed(Event::FromEntry(id, message));
        };
        session::run(stream, waiting, take).await;
        self.sessions.borrow_mut().remove(&id);
        self.feed(Event::SessionClosed(id));
        self.note_session(address, None);
    }

    /// Takes note of the session with an entry. A chosen one that answers is listed, or was so a moment
    /// ago.
    fn note_session(self: &Rc<Self>, address: SocketAddr, session: Option<SessionId>) {
        let until = self.clock.now() + ENTRY_KEPT;
        let chosen = {
            let mut entries = self.entries.borrow_mut();
            let Some(contact) = entries.get_mut(&address) else { return };
            contact.session = session;
            if contact.chosen {
                contact.until = until;
            }
            contact.chosen
        };
        if let Some(id) = session.filter(|_| !chosen) {
            self.feed(Event::SessionRetired(id));
        }
    }
}
