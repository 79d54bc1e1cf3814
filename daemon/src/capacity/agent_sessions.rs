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
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// An entry that is no longer listed is still tried for so long.
const UNLISTED_RETRY_TIME: Duration = Duration::from_secs(30);
/// How often the choice of entries is looked at when keepers tell nothing new: it waits some seconds for
/// entries that are missing from a list, and for numbers to hold.
const SELECTION_POLL: Duration = Duration::from_millis(500);

/// An entry that the agent has a session with, or tries to have one with.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EntryContact {
    /// Whether the agent is to serve it.
    selected: bool,
    /// One that is not listed any more is tried until then.
    retry_until: Time,
    session: Option<SessionId>,
}

/// Follows changes of the choice that come with time alone.
pub(super) async fn poll_selection(agent: Rc<Agent>) {
    loop {
        Timer::after(SELECTION_POLL).await;
        agent.update_selection();
    }
}

impl Agent {
    /// Keepers list these entries, and so many agents of the service.
    pub(super) fn update_entries(self: &Rc<Self>, nodes: &[NodeInfo], agents: usize) {
        let listed = nodes.iter().filter(|node| node.role == NodeRole::Entry);
        let listed = listed.map(|node| (&node.name, node.address));
        self.subset.borrow_mut().listed(self.clock.now(), listed, agents);
        self.update_selection();
    }

    /// Connects to entries that are chosen now, and retires the sessions with listed ones that are not.
    fn update_selection(self: &Rc<Self>) {
        let now = self.clock.now();
        let selected = self.subset.borrow_mut().chosen(now);
        for address in &selected {
            self.select_entry(now, *address);
        }
        let retired: Vec<SessionId> = self.deselect_others(&selected);
        retired.into_iter().for_each(|id| self.handle_event(Event::SessionRetired(id)));
    }

    fn select_entry(self: &Rc<Self>, now: Time, address: SocketAddr) {
        let mut contacts = self.contacts.borrow_mut();
        let is_new = !contacts.contains_key(&address);
        let contact = contacts.entry(address).or_default();
        contact.selected = true;
        contact.retry_until = now + UNLISTED_RETRY_TIME;
        if is_new {
            let agent = self.clone();
            self.tasks.spawn(async move { agent.maintain_connection(address).await });
        }
    }

    /// Marks the contacts that are listed and not chosen; returns their sessions. An entry that is not
    /// listed keeps its session: it may live on where no keeper can be reached.
    fn deselect_others(&self, selected: &[SocketAddr]) -> Vec<SessionId> {
        let subset = self.subset.borrow();
        let mut contacts = self.contacts.borrow_mut();
        let others = contacts.iter_mut().filter(|(address, contact)| {
            contact.selected && !selected.contains(address) && subset.knows(**address)
        });
        let deselect = |(_, contact): (&SocketAddr, &mut EntryContact)| {
            contact.selected = false;
            contact.retry_until = Time::default();
            contact.session
        };
        others.filter_map(deselect).collect()
    }

    /// Keeps a session with an entry for as long as it is chosen, and with one that is no longer listed
    /// a while longer: an entry that has restarted while no keeper can be reached is found again so.
    async fn maintain_connection(self: Rc<Self>, address: SocketAddr) {
        loop {
            if let Ok(stream) = net::connect(address).await {
                self.run_session(address, stream).await;
            }
            Timer::after(RETRY_DELAY).await;
            let now = self.clock.now();
            let mut contacts = self.contacts.borrow_mut();
            if contacts.get(&address).is_none_or(|contact| contact.retry_until < now) {
                contacts.remove(&address);
                return;
            }
        }
    }

    async fn run_session(self: &Rc<Self>, address: SocketAddr, stream: Async<TcpStream>) {
        self.last_session.set(self.last_session.get() + 1);
        let id = SessionId(self.last_session.get());
        let (sender, queue) = SessionSender::new();
        self.sessions.borrow_mut().insert(id, sender);
        self.log.line(
            "entry-heard",
            Budget::Full,
            || json!({"entry": address.to_string(), "session": id.0}),
        );
        self.handle_event(Event::SessionOpened(id));
        self.record_session(address, Some(id));
        let receiver = self.clone();
        let on_message = move |message: ToAgent| {
            receiver.message_counters.record_received(message.kind());
            receiver.handle_event(Event::FromEntry(id, message));
        };
        session::run(stream, queue, on_message).await;
        self.sessions.borrow_mut().remove(&id);
        self.handle_event(Event::SessionClosed(id));
        self.record_session(address, None);
    }

    /// Takes note of the session with an entry. A chosen one that answers is listed, or was so a moment
    /// ago.
    fn record_session(self: &Rc<Self>, address: SocketAddr, session: Option<SessionId>) {
        let retry_until = self.clock.now() + UNLISTED_RETRY_TIME;
        let selected = {
            let mut contacts = self.contacts.borrow_mut();
            let Some(contact) = contacts.get_mut(&address) else { return };
            contact.session = session;
            if contact.selected {
                contact.retry_until = retry_until;
            }
            contact.selected
        };
        if let Some(id) = session.filter(|_| !selected) {
            self.handle_event(Event::SessionRetired(id));
        }
    }
}
