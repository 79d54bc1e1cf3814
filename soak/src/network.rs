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
pub(crate) struct Behaviour {
    /// Longest delay of most frames.
    pub delay: Duration,
    /// Share of frames that are delivered a second time, later.
    pub doubled: f64,
    /// Share of frames that overtake earlier ones.
    pub overtaking: f64,
    /// Share of frames of a broken connection that arrive all the same, later.
    pub late_after_break: f64,
}

/// What an entry called for, so that its reply becomes the right event.
#[derive(Clone, Debug)]
pub(crate) enum Called {
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
    pub entry_life: u64,
    pub agent: usize,
    pub agent_life: u64,
    pub open: bool,
    /// Calls without a reply.
    pub calls: BTreeMap<CallId, Called>,
    to_agent: Time,
    to_entry: Time,
}

/// Every connection that ever was.
#[derive(Debug, Default)]
pub(crate) struct Network {
    links: HashMap<u64, Link>,
    next_link: u64,
    next_call: u64,
    owners: HashMap<CallId, u64>,
}

impl Network {
    /// Opens a connection.
    pub fn open(&mut self, entry: (usize, u64), agent: (usize, u64), now: Time) -> u64 {
        self.next_link += 1;
        let link = Link {
            entry: entry.0,
            entry_life: entry.1,
            agent: agent.0,
            agent_life: agent.1,
            open: true,
            calls: BTreeMap::new(),
            to_agent: now,
            to_entry: now,
        };
        self.links.insert(self.next_link, link);
        self.next_link
    }

    pub fn link(&self, id: u64) -> &Link {
        &self.links[&id]
    }

    /// The open connection between two nodes, if any.
    pub fn between(&self, entry: usize, agent: usize) -> Option<u64> {
        let between = |link: &Link| link.open && link.entry == entry && link.agent == agent;
        self.links.iter().filter(|(_, link)| between(link)).map(|(id, _)| *id).max()
    }

    /// The open connections that match, in order.
    pub fn matching(&self, wanted: impl Fn(&Link) -> bool) -> Vec<u64> {
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
    pub fn close(&mut self, id: u64) -> Vec<Called> {
        let Some(link) = self.links.get_mut(&id) else { return Vec::new() };
        link.open = false;
        std::mem::take(&mut link.calls).into_values().collect()
    }

    /// Numbers a call on a connection.
    pub fn call(&mut self, id: u64, called: Called) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.owners.insert(call, id);
        if let Some(link) = self.links.get_mut(&id) {
            link.calls.insert(call, called);
        }
        call
    }

    /// The connection that a call came on.
    pub fn owner(&self, call: CallId) -> Option<u64> {
        self.owners.get(&call).copied()
    }

    /// Takes the call that a reply belongs to; none where it was answered or its connection broke.
    pub fn answered(&mut self, id: u64, call: CallId) -> Option<Called> {
        let link = self.links.get_mut(&id)?;
        if !link.open {
            return None;
        }
        link.calls.remove(&call)
    }

    /// When a frame arrives: after those before it, unless it overtakes them.
    pub fn arrival(
        &mut self,
        id: u64,
        to_agent: bool,
        behaviour: &Behaviour,
        rng: &mut ChaCha8Rng,
        now: Time,
    ) -> Time {
        let longest = behaviour.delay.as_micros() as u64;
        let at = now + Duration::from_micros(rng.random_range(50..=longest.max(51)));
        let Some(link) = self.links.get_mut(&id) else { return at };
        let last = if to_agent { &mut link.to_agent } else { &mut link.to_entry };
        if rng.random_bool(behaviour.overtaking) {
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
pub(crate) fn event(
    agent: &NodeName,
    link: u64,
    called: Called,
    reply: Option<Reply>,
) -> Option<Event> {
    let connection = Connection(link);
    let agent = agent.clone();
    Some(match (called, reply) {
        (Called::Hello, Some(Reply::Hello(info))) => Event::Connected { connection, info },
        (Called::Hello, _) => return None,
        (Called::Claim(submission), reply) => {
            let reply = match reply {
                Some(Reply::Claim(reply)) => Some(reply),
                _ => None,
            };
            Event::ClaimReplied { holder: agent, submission, reply }
        }
        (Called::Lookup(submission), reply) => {
            let reply = match reply {
                Some(Reply::Lookup(reply)) => Some(reply),
                _ => None,
            };
            Event::LookupReplied { holder: agent, submission, reply }
        }
        (Called::Start(key), reply) => {
            let reply = match reply {
                Some(Reply::Start(reply)) => Some(reply),
                _ => None,
            };
            Event::StartReplied { agent, connection, key, reply }
        }
        (Called::Settle(key), reply) => {
            let reply = match reply {
                Some(Reply::Settle(reply)) => Some(reply),
                _ => None,
            };
            Event::SettleReplied { agent, key, reply }
        }
        (Called::Sync, reply) => {
            let reply = match reply {
                Some(Reply::Sync(reply)) => Some(reply),
                _ => None,
            };
            Event::SyncReplied { agent, connection, reply }
        }
    })
}

/// The call that a request is.
pub(crate) fn called(request: &Request) -> Called {
    match request {
        Request::Hello(_) | Request::Status => Called::Hello,
        Request::Claim(request) => Called::Claim(request.submission),
        Request::Lookup(submission) => Called::Lookup(*submission),
        Request::Start(request) => Called::Start(request.key),
        Request::Settle(request) => Called::Settle(request.key),
        Request::Sync(_) => Called::Sync,
    }
}
