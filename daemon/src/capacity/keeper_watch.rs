//! A node's watch of the keepers: it registers at each of them, takes the list of nodes of each, and fetches the
//! newest document from those that have it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use keeper::{DocumentFetch, DocumentSource, FetchStep, PART_WITHIN};
use model::Time;
use net::Tasks;
use serde_json::json;
use tarpc::client::{Config, NewClient};
use wire::{
    Document, DocumentPart, EmptiedHalls, KeeperIsUp, KeeperServiceClient, ListNews, NodeInfo,
    NodeList, PartRequest, WatchReply, WatchRequest,
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::clock::Clock;
use crate::event_log::{Budget, EventLog};

/// Pause before a keeper is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// A keeper that has not answered for so long is connected to anew; it answers within a second.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Failures after which a keeper that nobody names any more is forgotten.
const MAX_FAILURES: u32 = 20;
/// Longest call of a keeper that is read: an address takes a fraction of it.
const MAX_ANNOUNCEMENT_BYTES: usize = 64;
/// Keepers of which a node takes the list of entries. Each of them lists all entries; two may be lost, or cut off from some.
const LIST_SOURCES: usize = 3;
/// Keepers beyond so many are not followed for their call alone: more than any cluster has.
const MAX_KEEPERS: usize = 32;

/// Takes a newer document, and who sent the last of it.
type OnDocument = Box<dyn Fn(Document, DocumentSource)>;
/// Takes the entries that are listed, and how many nodes do the same as this one.
type OnNodes = Box<dyn Fn(&[NodeInfo], usize)>;
/// Takes the halls that a keeper tells to be emptied.
type OnHalls = Box<dyn Fn(EmptiedHalls)>;
/// Asks the agent of a session for a part of a document.
type RequestAgentPart = Box<dyn Fn(u64, PartRequest)>;

/// What a node does with what the watch learns, and how it asks agents.
pub(crate) struct WatchCallbacks {
    pub on_document: OnDocument,
    pub on_nodes: OnNodes,
    pub on_halls: OnHalls,
    pub request_agent_part: RequestAgentPart,
}

/// What happens to an agent as a source of documents.
pub(crate) enum AgentEvent {
    /// It tells the version that it has.
    Offered(u64),
    /// It answers a question for a part; with none where it has not that version.
    Answered(Option<DocumentPart>),
    /// Its session is over.
    Gone,
}

/// The watch, shared by its tasks.
pub(crate) struct KeeperWatch {
    own_node: NodeInfo,
    tasks: Tasks,
    log: EventLog,
    node_port: u16,
    callbacks: WatchCallbacks,
    /// Keepers that are named by the configuration.
    seeds: RefCell<BTreeSet<SocketAddr>>,
    /// Keepers that other keepers name.
    reported: RefCell<BTreeMap<SocketAddr, Vec<SocketAddr>>>,
    followed: RefCell<BTreeSet<SocketAddr>>,
    listings: RefCell<BTreeMap<SocketAddr, Listing>>,
    /// The keepers that are connected to.
    clients: RefCell<BTreeMap<SocketAddr, KeeperServiceClient>>,
    fetch: RefCell<DocumentFetch>,
    clock: Clock,
}

/// What one keeper has told of other nodes.
struct Listing {
    list: NodeList,
    /// Nodes that do the same as this one.
    peers: usize,
}

impl KeeperWatch {
    /// Starts to watch the keepers that the configuration names.
    pub fn start(
        own_node: NodeInfo,
        tasks: Tasks,
        log: EventLog,
        node_port: u16,
        seeds: &[SocketAddr],
        callbacks: WatchCallbacks,
    ) -> Rc<Self> {
        let watch = Rc::new(Self {
            own_node,
            tasks,
            log,
            node_port,
            callbacks,
            seeds: RefCell::default(),
            reported: RefCell::default(),
            followed: RefCell::default(),
            listings: RefCell::default(),
            clients: RefCell::default(),
            fetch: RefCell::default(),
            clock: Clock::start(),
        });
        watch.set_seeds(seeds);
        watch.listen_for_announcements();
        watch
    }

    /// Takes calls of keepers that have started and knew this node before. Without them only the keepers that the
    /// configuration names are found.
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
                    // What is lost is a hint, and the keeper calls again.
                    Timer::after(RETRY_DELAY).await;
                    continue;
                };
                watch.handle_announcement(&bytes[..length]);
            }
        });
    }

    fn handle_announcement(self: &Rc<Self>, bytes: &[u8]) {
        // Whatever else comes to the port names no keeper, and a call that is torn comes again.
        let Ok(KeeperIsUp { keeper }) = bincode::deserialize(bytes) else { return };
        let is_new = !self.followed.borrow().contains(&keeper);
        // Keepers of a cluster listen at one port.
        if is_new && keeper.port() == self.node_port && self.followed.borrow().len() < MAX_KEEPERS {
            self.log_keeper(keeper, "keeper-calls");
            self.add_keeper(keeper);
        }
    }

    /// The configuration names other keepers.
    pub fn set_seeds(self: &Rc<Self>, seeds: &[SocketAddr]) {
        let port = self.node_port;
        let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect();
        *self.seeds.borrow_mut() = seeds;
        let all: Vec<SocketAddr> = self.seeds.borrow().iter().copied().collect();
        all.into_iter().for_each(|keeper| self.add_keeper(keeper));
    }

    fn add_keeper(self: &Rc<Self>, keeper: SocketAddr) {
        if self.followed.borrow_mut().insert(keeper) {
            let watch = self.clone();
            self.tasks.clone().spawn_rpc(async move { watch.follow(keeper).await });
        }
    }

    /// Whether anyone names a keeper.
    fn is_referenced(&self, keeper: SocketAddr) -> bool {
        let by_others = self
            .reported
            .borrow()
            .iter()
            .any(|(by, reported)| *by != keeper && reported.contains(&keeper));
        by_others || self.seeds.borrow().contains(&keeper)
    }

    /// Watches one keeper until it is gone and nobody names it any more.
    async fn follow(self: Rc<Self>, keeper: SocketAddr) {
        let mut failures = 0;
        while failures < MAX_FAILURES || self.is_referenced(keeper) {
            if let Ok(stream) = net::connect(keeper).await {
                let NewClient { client, dispatch } =
                    KeeperServiceClient::new(Config::default(), net::frames(stream));
                let dispatch = async move {
                    // The calls see why it ended.
                    let _ = dispatch.await;
                };
                self.clients.borrow_mut().insert(keeper, client.clone());
                let answered = self.poll_keeper(keeper, &client).or(async {
                    dispatch.await;
                    false
                });
                if answered.await {
                    failures = 0;
                }
                self.clients.borrow_mut().remove(&keeper);
                self.drive_fetch(|fetch, now| fetch.gone(now, DocumentSource::Keeper(keeper)));
            }
            failures += 1;
            Timer::after(RETRY_DELAY).await;
        }
        self.followed.borrow_mut().remove(&keeper);
        self.listings.borrow_mut().remove(&keeper);
        self.reported.borrow_mut().remove(&keeper);
        self.report_nodes();
    }

    /// Asks one keeper again and again; returns whether it ever answered.
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

    /// Whether the list of entries is taken from a keeper: from the first few of those that are connected to, in an order of
    /// this node's own.
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

    /// Tells the fetch of what has happened, and does what follows.
    fn drive_fetch(
        self: &Rc<Self>,
        update: impl FnOnce(&mut DocumentFetch, Time) -> Option<FetchStep>,
    ) {
        let mut next = update(&mut self.fetch.borrow_mut(), self.clock.now());
        while let Some(step) = next.take() {
            match step {
                FetchStep::Ask(source, request) => self.request_part(source, request),
                FetchStep::Whole(document, source) => {
                    (self.callbacks.on_document)(document, source);
                    next = self.fetch.borrow_mut().next(self.clock.now());
                }
            }
        }
    }

    /// Asks for a part of a document, and looks after a while whether it has come.
    fn request_part(self: &Rc<Self>, source: DocumentSource, request: PartRequest) {
        let watch = self.clone();
        self.tasks.spawn(async move {
            Timer::after(PART_WITHIN).await;
            watch.drive_fetch(DocumentFetch::next);
        });
        match source {
            DocumentSource::Keeper(keeper) => self.request_keeper_part(keeper, request),
            DocumentSource::Agent(session) => (self.callbacks.request_agent_part)(session, request),
        }
    }

    /// Whether a newer document is known of than has come.
    pub fn is_behind(&self) -> bool {
        self.fetch.borrow().is_behind()
    }

    /// Takes what happens to an agent as a source of documents.
    pub fn handle_agent_event(self: &Rc<Self>, session: u64, event: AgentEvent) {
        let source = DocumentSource::Agent(session);
        self.drive_fetch(|fetch, now| match event {
            AgentEvent::Offered(version) => fetch.offered(now, source, version),
            AgentEvent::Answered(part) => fetch.answered(now, source, part),
            AgentEvent::Gone => fetch.gone(now, source),
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
                Some(part) => fetch.answered(now, source, part),
                None => fetch.gone(now, source),
            });
        });
    }

    fn apply_reply(self: &Rc<Self>, keeper: SocketAddr, reply: WatchReply) {
        let source = DocumentSource::Keeper(keeper);
        self.drive_fetch(|fetch, now| fetch.offered(now, source, reply.version));
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

    /// Takes note of what a keeper tells of other nodes; returns whether that is new.
    fn update_listing(&self, keeper: SocketAddr, update: Option<ListNews>, peers: usize) -> bool {
        let mut listings = self.listings.borrow_mut();
        let listing = match update {
            Some(ListNews::Whole(list)) => {
                listings.insert(keeper, Listing { list, peers });
                return true;
            }
            _ => listings.get_mut(&keeper),
        };
        // Only who has a list is told what has changed in it.
        let Some(listing) = listing else { return false };
        let changed = update.is_some();
        if let Some(ListNews::Change(change)) = update {
            listing.list.apply(change);
        }
        std::mem::replace(&mut listing.peers, peers) != peers || changed
    }

    /// All entries that some keeper lists. Of the numbers of peers the highest counts: keepers that have
    /// just started have not heard of all yet.
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
