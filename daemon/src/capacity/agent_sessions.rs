//! Keeps an agent's sessions in step with the subset of entries selected for it.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use model::Time;
use runner::{Event, SessionId};
use serde_json::json;
use wire::{NodeInfo, NodeRole, ToAgent};

use super::agent::Agent;
use super::session::{self, Received, SessionSender};
use crate::event_log::Budget;

/// Delay before reconnecting to an entry.
const RETRY_DELAY: Duration = Duration::from_millis(120);
/// How long an entry that is no longer listed is still retried.
const UNLISTED_RETRY_TIME: Duration = Duration::from_secs(30);
/// How often the selection is recomputed without updates from keepers. It also changes with time:
/// absent entries expire, and a changed number of entries takes effect after a delay.
const SELECTION_POLL: Duration = Duration::from_millis(500);

/// An entry that the agent has a session with or tries to connect to.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EntryContact {
    /// Whether the entry is in the agent's subset.
    selected: bool,
    /// When reconnecting to an entry that is no longer listed ends.
    retry_until: Time,
    session: Option<SessionId>,
}

/// Reapplies the selection periodically, for changes that depend only on time.
pub(super) async fn poll_selection(agent: Rc<Agent>) {
    loop {
        Timer::after(SELECTION_POLL).await;
        agent.update_selection();
    }
}

impl Agent {
    /// Takes the nodes that keepers list and the number of agents of the service.
    pub(super) fn update_entries(self: &Rc<Self>, nodes: &[NodeInfo], agents: usize) {
        let listed = nodes.iter().filter(|node| node.role == NodeRole::Entry);
        let listed = listed.map(|node| (&node.name, node.address));
        self.subset.borrow_mut().update_registered(self.clock.now(), listed, agents);
        self.update_selection();
    }

    /// Connects to the selected entries and retires sessions with listed entries that are not
    /// selected.
    fn update_selection(self: &Rc<Self>) {
        let now = self.clock.now();
        let selected = self.subset.borrow_mut().select(now);
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

    /// Deselects listed entries that are not in `selected` and returns their sessions. An unlisted
    /// entry keeps its session, as it may be running where it reaches no keeper.
    fn deselect_others(&self, selected: &[SocketAddr]) -> Vec<SessionId> {
        let subset = self.subset.borrow();
        let mut contacts = self.contacts.borrow_mut();
        let others = contacts.iter_mut().filter(|(address, contact)| {
            contact.selected && !selected.contains(address) && subset.contains(**address)
        });
        let deselect = |(_, contact): (&SocketAddr, &mut EntryContact)| {
            contact.selected = false;
            contact.retry_until = Time::default();
            contact.session
        };
        others.filter_map(deselect).collect()
    }

    /// Reconnects to an entry while it is selected, and for a while after it is no longer listed:
    /// an entry that restarts while no keeper is reachable is found again.
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
        let on_received = move |received: Received<ToAgent>| {
            let Received::Message(message) = received else {
                return receiver.handle_event(Event::EntryReadsSuspicions(id));
            };
            receiver.message_counters.record_received(message.kind());
            receiver.handle_event(Event::FromEntry(id, message));
        };
        session::run(stream, queue.announced(), on_received).await;
        self.sessions.borrow_mut().remove(&id);
        self.handle_event(Event::SessionClosed(id));
        self.record_session(address, None);
    }

    /// The entries with open sessions.
    pub(super) fn entries_by_session(&self) -> HashMap<SessionId, SocketAddr> {
        let contacts = self.contacts.borrow();
        let with_session =
            contacts.iter().filter_map(|(address, contact)| Some((contact.session?, *address)));
        with_session.collect()
    }

    /// Records the start or end of the session with an entry. A selected entry is retried for the
    /// full time from now; a session with an entry that has been deselected meanwhile is retired.
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
