//! A node's connections to the keepers: registers at each of them, merges their lists of nodes, and
//! fetches the newest document from the sources that have it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use keeper::{DocumentFetch, DocumentSource, FetchStep, PART_TIMEOUT};
use model::Time;
use net::Spawner;
use serde_json::json;
use tarpc::client::{Config, NewClient};
use wire::{
    Document, DocumentPart, EmptiedHalls, KeeperServiceClient, KeeperStarted, NodeInfo, NodeList,
    NodeListUpdate, PartRequest, WatchReply, WatchRequest,
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::clock::Clock;
use crate::event_log::{Budget, EventLog};

/// Delay before reconnecting to a keeper.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// A keeper that has not replied for this long is reconnected to. Keepers reply sooner, even
/// without changes.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Consecutive failures after which a keeper that nothing refers to any more is forgotten.
const MAX_FAILURES: u32 = 20;
/// Max size of a keeper's announcement that is read; an encoded address is well below it.
const MAX_ANNOUNCEMENT_BYTES: usize = 64;
/// Number of keepers that a node takes the list of entries from. Each keeper lists all entries, so
/// a few suffice even if some are lost or cut off.
const LIST_SOURCES: usize = 3;
/// Announcements are ignored once this many keepers are followed, which is more than a cluster has.
const MAX_KEEPERS: usize = 32;

/// Called with a newer document and the source of its last part.
type OnDocument = Box<dyn Fn(Document, DocumentSource)>;
/// Called with the listed entries and the number of nodes with this node's role and service.
type OnNodes = Box<dyn Fn(&[NodeInfo], usize)>;
/// Called with the halls that a keeper reports as emptied.
type OnHalls = Box<dyn Fn(EmptiedHalls)>;
/// Requests a part of a document from the agent of a session.
type RequestAgentPart = Box<dyn Fn(u64, PartRequest)>;

/// Callbacks for what the keepers report, and for requests to agents.
pub(crate) struct WatchCallbacks {
    pub on_document: OnDocument,
    pub on_nodes: OnNodes,
    pub on_halls: OnHalls,
    pub request_agent_part: RequestAgentPart,
}

/// An event of an agent as a document source.
pub(crate) enum AgentEvent {
    /// The agent announced its document version.
    Offered(u64),
    /// The agent answered a request for a part; `None` if it lacks the requested version.
    Answered(Option<DocumentPart>),
    /// The agent's session ended.
    Gone,
}

/// State of the watch, shared by its tasks.
pub(crate) struct KeeperWatch {
    own_node: NodeInfo,
    tasks: Spawner,
    log: EventLog,
    node_port: u16,
    callbacks: WatchCallbacks,
    /// Keepers named in the configuration.
    contacts: RefCell<BTreeSet<SocketAddr>>,
    /// Keepers that other keepers report, by the reporting keeper.
    reported: RefCell<BTreeMap<SocketAddr, Vec<SocketAddr>>>,
    /// Keepers that this node connects to or tries to reach.
    followed: RefCell<BTreeSet<SocketAddr>>,
    /// Nodes listed by the keepers that the list of entries is taken from.
    listings: RefCell<BTreeMap<SocketAddr, Listing>>,
    /// Clients of the connected keepers.
    clients: RefCell<BTreeMap<SocketAddr, KeeperServiceClient>>,
    fetch: RefCell<DocumentFetch>,
    clock: Clock,
}

/// The nodes that one keeper lists.
struct Listing {
    list: NodeList,
    /// Number of nodes with this node's role and service, itself included.
    peers: usize,
}

impl KeeperWatch {
    /// Starts following the configured keepers.
    pub fn start(
        own_node: NodeInfo,
        tasks: Spawner,
        log: EventLog,
        node_port: u16,
        contacts: &[SocketAddr],
        callbacks: WatchCallbacks,
    ) -> Rc<Self> {
        let watch = Rc::new(Self {
            own_node,
            tasks,
            log,
            node_port,
            callbacks,
            contacts: RefCell::default(),
            reported: RefCell::default(),
            followed: RefCell::default(),
            listings: RefCell::default(),
            clients: RefCell::default(),
            fetch: RefCell::default(),
            clock: Clock::start(),
        });
        watch.set_contacts(contacts);
        watch.listen_for_announcements();
        watch
    }

    /// Receives announcements of restarted keepers that remember this node. If the port is
    /// unavailable, only the configured keepers and those that they report are found.
    fn listen_for_announcements(self: &Rc<Self>) {
        let address = SocketAddr::new(self.own_node.address.ip(), self.node_port);
        let socket = match Async::<UdpSocket>::bind(address) {
            Ok(socket) => socket,
            Err(error) => {
                let reason = error.to_string();
                let fields = || json!({"address": address.to_string(), "reason": reason});
                return self.log.line("calls-not-heard", Budget::Full, fields);
            }
        };
        let watch = self.clone();
        self.tasks.spawn(async move {
            let mut bytes = [0; MAX_ANNOUNCEMENT_BYTES];
            loop {
                let Ok(length) = socket.recv(&mut bytes).await else {
                    // The keeper repeats a lost announcement.
                    Timer::after(RETRY_DELAY).await;
                    continue;
                };
                watch.handle_announcement(&bytes[..length]);
            }
        });
    }

    fn handle_announcement(self: &Rc<Self>, bytes: &[u8]) {
        // Other datagrams are ignored; the keeper repeats a damaged announcement.
        let Ok(KeeperStarted { keeper }) = bincode::deserialize(bytes) else { return };
        let is_new = !self.followed.borrow().contains(&keeper);
        // All keepers of a cluster listen on the same port.
        if is_new && keeper.port() == self.node_port && self.followed.borrow().len() < MAX_KEEPERS {
            self.log_keeper(keeper, "keeper-calls");
            self.add_keeper(keeper);
        }
    }

    /// Replaces the configured keepers and follows new ones.
    pub fn set_contacts(self: &Rc<Self>, contacts: &[SocketAddr]) {
        let port = self.node_port;
        let contacts = contacts.iter().map(|contact| SocketAddr::new(contact.ip(), port)).collect();
        *self.contacts.borrow_mut() = contacts;
        let all: Vec<SocketAddr> = self.contacts.borrow().iter().copied().collect();
        all.into_iter().for_each(|keeper| self.add_keeper(keeper));
    }

    fn add_keeper(self: &Rc<Self>, keeper: SocketAddr) {
        if self.followed.borrow_mut().insert(keeper) {
            let watch = self.clone();
            self.tasks.clone().spawn_rpc(async move { watch.follow(keeper).await });
        }
    }

    /// Whether a keeper is configured or reported by another keeper.
    fn is_referenced(&self, keeper: SocketAddr) -> bool {
        let by_others = self
            .reported
            .borrow()
            .iter()
            .any(|(by, reported)| *by != keeper && reported.contains(&keeper));
        by_others || self.contacts.borrow().contains(&keeper)
    }

    /// Follows a keeper until it stays unreachable and nothing refers to it any more.
    async fn follow(self: Rc<Self>, keeper: SocketAddr) {
        let mut failures = 0;
        while failures < MAX_FAILURES || self.is_referenced(keeper) {
            if let Ok(stream) = net::connect(keeper).await {
                let NewClient { client, dispatch } =
                    KeeperServiceClient::new(Config::default(), net::framed_transport(stream));
                let dispatch = async move {
                    // The pending calls return the error.
                    let _ = dispatch.await;
                };
                self.clients.borrow_mut().insert(keeper, client.clone());
                let polling = self.poll_keeper(keeper, &client).or(async {
                    dispatch.await;
                    false
                });
                if polling.await {
                    failures = 0;
                }
                self.clients.borrow_mut().remove(&keeper);
                self.drive_fetch(|fetch, now| {
                    fetch.source_gone(now, DocumentSource::Keeper(keeper))
                });
            }
            failures += 1;
            Timer::after(RETRY_DELAY).await;
        }
        self.followed.borrow_mut().remove(&keeper);
        self.listings.borrow_mut().remove(&keeper);
        self.reported.borrow_mut().remove(&keeper);
        self.report_nodes();
    }

    /// Polls a keeper until a call fails or times out; returns whether any call succeeded.
    async fn poll_keeper(
        self: &Rc<Self>,
        keeper: SocketAddr,
        client: &KeeperServiceClient,
    ) -> bool {
        let mut answered = false;
        let (mut revision, mut version, mut halls, mut keepers) = (0, 0, 0, 0);
        loop {
            let node = self.own_node.clone();
            let wants_list = self.is_list_source(keeper);
            let request = WatchRequest {
                node,
                document: version,
                revision: wants_list.then_some(revision),
                halls,
                keepers,
            };
            let answer = async { client.watch(net::call_context(), request).await.ok() };
            let timeout = async {
                Timer::after(REPLY_TIMEOUT).await;
                None
            };
            let Some(reply) = answer.or(timeout).await else {
                if answered {
                    self.log_keeper(keeper, "keeper-lost");
                }
                return answered;
            };
            if !std::mem::replace(&mut answered, true) {
                self.log_keeper(keeper, "keeper-heard");
            }
            version = reply.version;
            if let Some(update) = &reply.nodes {
                revision = update.revision();
            } else if !wants_list {
                self.listings.borrow_mut().remove(&keeper);
                revision = 0;
            }
            if let Some(update) = &reply.halls {
                halls = update.revision;
            }
            if let Some(reported) = &reply.keepers {
                keepers = reported.digest();
            }
            self.apply_reply(keeper, reply);
        }
    }

    /// Whether the list of entries is taken from a keeper: it ranks among the first of the
    /// connected keepers, in an order specific to this node.
    fn is_list_source(&self, keeper: SocketAddr) -> bool {
        let seed = xxh3_64(self.own_node.name.as_str().as_bytes());
        let rank = |address: &SocketAddr| xxh3_64_with_seed(address.to_string().as_bytes(), seed);
        let own_rank = rank(&keeper);
        let clients = self.clients.borrow();
        clients.keys().filter(|other| rank(other) > own_rank).count() < LIST_SOURCES
    }

    fn log_keeper(&self, keeper: SocketAddr, kind: &'static str) {
        self.log.line(kind, Budget::Full, || json!({"keeper": keeper.to_string()}));
    }

    /// Updates the document fetch and executes the resulting steps.
    fn drive_fetch(
        self: &Rc<Self>,
        update: impl FnOnce(&mut DocumentFetch, Time) -> Option<FetchStep>,
    ) {
        let mut next = update(&mut self.fetch.borrow_mut(), self.clock.now());
        while let Some(step) = next.take() {
            match step {
                FetchStep::Request(source, request) => self.request_part(source, request),
                FetchStep::Complete(document, source) => {
                    (self.callbacks.on_document)(document, source);
                    next = self.fetch.borrow_mut().next_step(self.clock.now());
                }
            }
        }
    }

    /// Requests a part of a document, and resumes the fetch after a timeout in case it has not
    /// arrived.
    fn request_part(self: &Rc<Self>, source: DocumentSource, request: PartRequest) {
        let watch = self.clone();
        self.tasks.spawn(async move {
            Timer::after(PART_TIMEOUT).await;
            watch.drive_fetch(DocumentFetch::next_step);
        });
        match source {
            DocumentSource::Keeper(keeper) => self.request_keeper_part(keeper, request),
            DocumentSource::Agent(session) => (self.callbacks.request_agent_part)(session, request),
        }
    }

    /// Whether a document newer than the received one is known to exist.
    pub fn is_behind(&self) -> bool {
        self.fetch.borrow().is_behind()
    }

    /// Handles an event of an agent as a document source.
    pub fn handle_agent_event(self: &Rc<Self>, session: u64, event: AgentEvent) {
        let source = DocumentSource::Agent(session);
        self.drive_fetch(|fetch, now| match event {
            AgentEvent::Offered(version) => fetch.version_offered(now, source, version),
            AgentEvent::Answered(part) => fetch.part_answered(now, source, part),
            AgentEvent::Gone => fetch.source_gone(now, source),
        });
    }

    fn request_keeper_part(self: &Rc<Self>, keeper: SocketAddr, request: PartRequest) {
        let client = self.clients.borrow().get(&keeper).cloned();
        let watch = self.clone();
        self.tasks.spawn_rpc(async move {
            let source = DocumentSource::Keeper(keeper);
            let answer = match &client {
                Some(client) => client.document(net::call_context(), request).await.ok(),
                None => None,
            };
            watch.drive_fetch(|fetch, now| match answer {
                Some(part) => fetch.part_answered(now, source, part),
                None => fetch.source_gone(now, source),
            });
        });
    }

    fn apply_reply(self: &Rc<Self>, keeper: SocketAddr, reply: WatchReply) {
        let source = DocumentSource::Keeper(keeper);
        self.drive_fetch(|fetch, now| fetch.version_offered(now, source, reply.version));
        if let Some(halls) = reply.halls {
            (self.callbacks.on_halls)(halls);
        }
        if let Some(names) = reply.keepers {
            let reported = names.0.iter().filter_map(|name| name.as_str().parse().ok());
            let reported: Vec<SocketAddr> = reported.collect();
            self.reported.borrow_mut().insert(keeper, reported.clone());
            reported.into_iter().for_each(|keeper| self.add_keeper(keeper));
        }
        if self.update_listing(keeper, reply.nodes, reply.peers as usize) {
            self.report_nodes();
        }
    }

    /// Stores a keeper's list of nodes; returns whether it changed.
    fn update_listing(
        &self,
        keeper: SocketAddr,
        update: Option<NodeListUpdate>,
        peers: usize,
    ) -> bool {
        let mut listings = self.listings.borrow_mut();
        let listing = match update {
            Some(NodeListUpdate::Snapshot(list)) => {
                listings.insert(keeper, Listing { list, peers });
                return true;
            }
            _ => listings.get_mut(&keeper),
        };
        // Keepers send changes only to nodes that have their list.
        let Some(listing) = listing else { return false };
        let changed = update.is_some();
        if let Some(NodeListUpdate::Delta(change)) = update {
            listing.list.apply(change);
        }
        std::mem::replace(&mut listing.peers, peers) != peers || changed
    }

    /// Reports all entries that any keeper lists. The highest peer count is used, as keepers that
    /// have just started do not know all nodes yet.
    fn report_nodes(&self) {
        let listings = self.listings.borrow();
        let nodes: BTreeSet<NodeInfo> =
            listings.values().flat_map(|listing| listing.list.nodes.iter().cloned()).collect();
        let nodes: Vec<NodeInfo> = nodes.into_iter().collect();
        let peers = listings.values().map(|listing| listing.peers).max().unwrap_or(0);
        drop(listings);
        (self.callbacks.on_nodes)(&nodes, peers);
    }
}
