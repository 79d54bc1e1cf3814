//! Connections between entries and agents, with delayed, duplicated and reordered frames.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use agent::{CallId, Reply, Request};
use entry::{Connection, Event};
use execution::Session;
use model::{NodeName, SubmissionId, TaskKey, Time};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The properties of the network in a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NetworkConditions {
    /// Longest delay of a frame that is not held up by earlier ones.
    pub max_delay: Duration,
    /// Share of frames that are delivered twice.
    pub duplicate_rate: f64,
    /// Share of frames that may overtake earlier ones.
    pub reorder_rate: f64,
    /// Share of broken connections whose frames may still arrive at the agent.
    pub late_delivery_rate: f64,
}

/// A call that waits for its reply, with what the event of the reply needs.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    Hello,
    Claim(SubmissionId),
    Lookup(SubmissionId),
    Start(TaskKey),
    Settle(TaskKey),
    Sync,
}

/// A connection of an entry to an agent.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    pub entry: usize,
    pub entry_incarnation: u64,
    pub agent: usize,
    pub agent_incarnation: u64,
    pub open: bool,
    /// Calls without a reply.
    pub pending_calls: BTreeMap<CallId, PendingCall>,
    /// Arrival of the last frame in each direction that overtook no other.
    last_to_agent: Time,
    last_to_entry: Time,
}

/// All connections of a run, open or closed.
#[derive(Debug, Default)]
pub(crate) struct Network {
    links: HashMap<u64, Link>,
    last_link_id: u64,
    last_call_id: u64,
    links_by_call: HashMap<CallId, u64>,
}

impl Network {
    /// Opens a connection between two nodes, given by index and incarnation; returns its id.
    pub fn open(&mut self, entry: (usize, u64), agent: (usize, u64), now: Time) -> u64 {
        self.last_link_id += 1;
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
        self.links.insert(self.last_link_id, link);
        self.last_link_id
    }

    pub fn link(&self, id: u64) -> &Link {
        &self.links[&id]
    }

    /// Returns the newest open connection between an entry and an agent, if any.
    pub fn open_link(&self, entry: usize, agent: usize) -> Option<u64> {
        let open_link = |link: &Link| link.open && link.entry == entry && link.agent == agent;
        self.links.iter().filter(|(_, link)| open_link(link)).map(|(id, _)| *id).max()
    }

    /// Returns the open connections that match a predicate, in the order of their ids.
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

    /// Registers a call on a connection and returns its id.
    pub fn register_call(&mut self, id: u64, pending_call: PendingCall) -> CallId {
        self.last_call_id += 1;
        let call = CallId(self.last_call_id);
        self.links_by_call.insert(call, id);
        if let Some(link) = self.links.get_mut(&id) {
            link.pending_calls.insert(call, pending_call);
        }
        call
    }

    /// Returns the connection of a call.
    pub fn link_of_call(&self, call: CallId) -> Option<u64> {
        self.links_by_call.get(&call).copied()
    }

    /// Removes and returns the call of a reply; `None` if it was answered or its connection is
    /// closed.
    pub fn take_call(&mut self, id: u64, call: CallId) -> Option<PendingCall> {
        let link = self.links.get_mut(&id)?;
        if !link.open {
            return None;
        }
        link.pending_calls.remove(&call)
    }

    /// Returns the arrival time of a frame: after earlier ones, unless it overtakes them.
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

/// Returns the agent's session of a connection.
pub(crate) fn session(link: u64) -> Session {
    Session(link)
}

/// Returns the event that notifies an entry of a reply, or of its loss if `None`.
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

/// Returns the pending call of a request.
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
