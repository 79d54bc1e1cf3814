//! Connections between entries and agents, and what may befall their frames.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use agent::{CallId, Reply, Request};
use entry::{Connection, Event};
use execution::Session;
use model::{NodeName, SubmissionId, TaskKey, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// How a run's network behaves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NetworkConditions {
    /// Longest delay of most frames.
    pub max_delay: Duration,
    /// Share of frames that are delivered a second time, later.
    pub duplicate_rate: f64,
    /// Share of frames that overtake earlier ones.
    pub reorder_rate: f64,
    /// Share of frames of a broken connection that arrive all the same, later.
    pub late_delivery_rate: f64,
}

/// What an entry called for, so that its reply becomes the right event.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    Hello,
    Claim(SubmissionId),
    Lookup(SubmissionId),
    Start(TaskKey),
    Settle(TaskKey),
    Sync,
}

/// One connection of an entry to an agent.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    pub entry: usize,
    pub entry_incarnation: u64,
    pub agent: usize,
    pub agent_incarnation: u64,
    pub open: bool,
    /// Calls without a reply.
    pub pending_calls: BTreeMap<CallId, PendingCall>,
    last_to_agent: Time,
    last_to_entry: Time,
}

/// Every connection that ever was.
#[derive(Debug, Default)]
pub(crate) struct Network {
    links: HashMap<u64, Link>,
    next_link: u64,
    next_call: u64,
    links_by_call: HashMap<CallId, u64>,
}

impl Network {
    /// Opens a connection.
    pub fn open(&mut self, entry: (usize, u64), agent: (usize, u64), now: Time) -> u64 {
        self.next_link += 1;
        let link = Link {
            entry: entry.0,
            entry_incarnation: entry.1,
            agent: agent.0,
            agent_incarnation: agent.1,
            open: true,
            pending_calls: BTreeMap::new(),
            last_to_agent: now,
            last_to_entry: now,
        };
        self.links.insert(self.next_link, link);
        self.next_link
    }

    pub fn link(&self, id: u64) -> &Link {
        &self.links[&id]
    }

    /// The open connection between two nodes, if any.
    pub fn open_link(&self, entry: usize, agent: usize) -> Option<u64> {
        let open_link = |link: &Link| link.open && link.entry == entry && link.agent == agent;
        self.links.iter().filter(|(_, link)| open_link(link)).map(|(id, _)| *id).max()
    }

    /// The open connections that match, in order.
    pub fn open_links(&self, wanted: impl Fn(&Link) -> bool) -> Vec<u64> {
        let mut ids: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, link)| link.open && wanted(link))
            .map(|(id, _)| *id)
            .collect();
        ids.sort_unstable();
        ids
    }

    /// Closes a connection; returns the calls that get no reply.
    pub fn close(&mut self, id: u64) -> Vec<PendingCall> {
        let Some(link) = self.links.get_mut(&id) else { return Vec::new() };
        link.open = false;
        std::mem::take(&mut link.pending_calls).into_values().collect()
    }

    /// Numbers a call on a connection.
    pub fn call(&mut self, id: u64, pending_call: PendingCall) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.links_by_call.insert(call, id);
        if let Some(link) = self.links.get_mut(&id) {
            link.pending_calls.insert(call, pending_call);
        }
        call
    }

    /// The connection that a call came on.
    pub fn link_of_call(&self, call: CallId) -> Option<u64> {
        self.links_by_call.get(&call).copied()
    }

    /// Takes the call that a reply belongs to; none where it was answered or its connection broke.
    pub fn take_call(&mut self, id: u64, call: CallId) -> Option<PendingCall> {
        let link = self.links.get_mut(&id)?;
        if !link.open {
            return None;
        }
        link.pending_calls.remove(&call)
    }

    /// When a frame arrives: after those before it, unless it overtakes them.
    pub fn arrival_time(
        &mut self,
        id: u64,
        to_agent: bool,
        conditions: &NetworkConditions,
        rng: &mut ChaCha8Rng,
        now: Time,
    ) -> Time {
        let longest = conditions.max_delay.as_micros() as u64;
        let at = now + Duration::from_micros(rng.random_range(50..=longest.max(51)));
        let Some(link) = self.links.get_mut(&id) else { return at };
        let last = if to_agent { &mut link.last_to_agent } else { &mut link.last_to_entry };
        if rng.random_bool(conditions.reorder_rate) {
            return at;
        }
        *last = (*last + Duration::from_micros(1)).max(at);
        *last
    }
}

/// The session that an agent sees of a connection.
pub(crate) fn session(link: u64) -> Session {
    Session(link)
}

/// The event that a reply, or its loss, becomes at the entry.
pub(crate) fn reply_event(
    agent: &NodeName,
    link: u64,
    pending_call: PendingCall,
    reply: Option<Reply>,
) -> Option<Event> {
    let connection = Connection(link);
    let agent = agent.clone();
    Some(match (pending_call, reply) {
        (PendingCall::Hello, Some(Reply::Hello(info))) => Event::Connected { connection, info },
        (PendingCall::Hello, _) => return None,
        (PendingCall::Claim(submission), reply) => {
            let reply = match reply {
                Some(Reply::Claim(reply)) => Some(reply),
                _ => None,
            };
            Event::ClaimReplied { holder: agent, submission, reply }
        }
        (PendingCall::Lookup(submission), reply) => {
            let reply = match reply {
                Some(Reply::Lookup(reply)) => Some(reply),
                _ => None,
            };
            Event::LookupReplied { holder: agent, submission, reply }
        }
        (PendingCall::Start(key), reply) => {
            let reply = match reply {
                Some(Reply::Start(reply)) => Some(reply),
                _ => None,
            };
            Event::StartReplied { agent, connection, key, reply }
        }
        (PendingCall::Settle(key), reply) => {
            let reply = match reply {
                Some(Reply::Settle(reply)) => Some(reply),
                _ => None,
            };
            Event::SettleReplied { agent, key, reply }
        }
        (PendingCall::Sync, reply) => {
            let reply = match reply {
                Some(Reply::Sync(reply)) => Some(reply),
                _ => None,
            };
            Event::SyncReplied { agent, connection, reply }
        }
    })
}

/// The call that a request is.
pub(crate) fn pending_call(request: &Request) -> PendingCall {
    match request {
        Request::Hello(_) | Request::Status => PendingCall::Hello,
        Request::Claim(request) => PendingCall::Claim(request.submission),
        Request::Lookup(submission) => PendingCall::Lookup(*submission),
        Request::Start(request) => PendingCall::Start(request.key),
        Request::Settle(request) => PendingCall::Settle(request.key),
        Request::Sync(_) => PendingCall::Sync,
    }
}
