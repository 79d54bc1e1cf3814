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
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// A keeper that has not answered for so long is connected to anew; it answers within a second.
const SILENCE: Duration = Duration::from_millis(1_700);
/// Failures after which a keeper that nobody names any more is forgotten.
const FAILURES: u32 = 20;
/// Longest call of a keeper that is read: an address takes a fraction of it.
const CALL_BYTES: usize = 64;
/// Keepers of which a node takes the list of entries. Each of them lists all entries; two may be lost, or cut off from some.
const LISTS_FROM: usize = 3;
/// Keepers beyond so many are not followed for their call alone: more than any cluster has.
const MOST_KEEPERS: usize = 32;

/// Takes a newer document, and who sent the last of it.
type TakeDocument = Box<dyn Fn(Document, DocumentSource)>;
/// Takes the entries that are listed, and how many nodes do the same as this one.
type TakeNodes = Box<dyn Fn(&[NodeInfo], usize)>;
/// Takes the halls that a keeper tells to be emptied.
type TakeHalls = Box<dyn Fn(EmptiedHalls)>;
/// Asks the agent of a session for a part of a document.
type AskAgent = Box<dyn Fn(u64, PartRequest)>;

/// What a node does with what the watch learns, and how it asks agents.
pub(crate) struct WatchCallbacks {
    pub document: TakeDocument,
    pub nodes: TakeNodes,
    pub halls: TakeHalls,
    pub ask_agent: AskAgent,
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
pub(crate) struct Watch {
    own: NodeInfo,
    tasks: Tasks,
    log: EventLog,
    node_port: u16,
    callbacks: WatchCallbacks,
    /// Keepers that are named by the configuration.
    seeds: RefCell<BTreeSet<SocketAddr>>,
    /// Keepers that other keepers name.
    named: RefCell<BTreeMap<SocketAddr, Vec<SocketAddr>>>,
    watched: RefCell<BTreeSet<SocketAddr>>,
    lists: RefCell<BTreeMap<SocketAddr, Listing>>,
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

impl Watch {
    /// Starts to watch the keepers that the configuration names.
    pub fn start(
        own: NodeInfo,
        tasks: Tasks,
        log: EventLog,
        node_port: u16,
        seeds: &[SocketAddr],
        callbacks: WatchCallbacks,
    ) -> Rc<Self> {
        let watch = Rc::new(Self {
            own,
            tasks,
            log,
            node_port,
            callbacks,
            seeds: RefCell::default(),
            named: RefCell::default(),
            watched: RefCell::default(),
            lists: RefCell::default(),
            clients: RefCell::default(),
            fetch: RefCell::default(),
            clock: Clock::start(),
        });
        watch.set_seeds(seeds);
        watch.listen_for_calls();
        watch
    }

    /// Takes calls of keepers that have started and knew this node before. Without them only the keepers that the
    /// configuration names are found.
    fn listen_for_calls(self: &Rc<Self>) {
        let address = SocketAddr::new(self.own.address.ip(), self.node_port);
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
            let mut bytes = [0; CALL_BYTES];
            loop {
                let Ok(length) = socket.recv(&mut bytes).await else {
                    // What is lost is a hint, and the keeper calls again.
                    Timer::after(RETRY_PAUSE).await;
                    continue;
                };
                watch.take_call(&bytes[..length]);
            }
        });
    }

    fn take_call(self: &Rc<Self>, bytes: &[u8]) {
        // Whatever else comes to the port names no keeper, and a call that is torn comes again.
        let Ok(KeeperIsUp { keeper }) = bincode::deserialize(bytes) else { return };
        let is_new = !self.watched.borrow().contains(&keeper);
        // Keepers of a cluster listen at one port.
        if is_new && keeper.port() == self.node_port && self.watched.borrow().len() < MOST_KEEPERS {
            self.keeper_is(keeper, "keeper-calls");
            self.add(keeper);
        }
    }

    /// The configuration names other keepers.
    pub fn set_seeds(self: &Rc<Self>, seeds: &[SocketAddr]) {
        let port = self.node_port;
        let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect();
        *self.seeds.borrow_mut() = seeds;
        let all: Vec<SocketAddr> = self.seeds.borrow().iter().copied().collect();
        all.into_iter().for_each(|keeper| self.add(keeper));
    }

    fn add(self: &Rc<Self>, keeper: SocketAddr) {
        if self.watched.borrow_mut().insert(keeper) {
            let watch = self.clone();
            self.tasks.clone().spawn_rpc(async move { watch.follow(keeper).await });
        }
    }

    /// Whether anyone names a keeper.
    fn is_named(&self, keeper: SocketAddr) -> bool {
        let by_others =
            self.named.borrow().iter().any(|(by, named)| *by != keeper && named.contains(&keeper));
        by_others || self.seeds.borrow().contains(&keeper)
    }

    /// Watches one keeper until it is gone and nobody names it any more.
    async fn follow(self: Rc<Self>, keeper: SocketAddr) {
        let mut failures = 0;
        while failures < FAILURES || self.is_named(keeper) {
            if let Ok(stream) = net::connect(keeper).await {
                let NewClient { client, dispatch } =
                    KeeperServiceClient::new(Config::default(), net::frames(stream));
                let dispatch = async move {
                    // The calls see why it ended.
                    let _ = dispatch.await;
                };
                self.clients.borrow_mut().insert(keeper, client.clone());
                let heard = self.ask(keeper, &client).or(async {
                    dispatch.await;
                    false
                });
                if heard.await {
                    failures = 0;
                }
                self.clients.borrow_mut().remove(&keeper);
                self.drive_fetch(|fetch, now| fetch.gone(now, DocumentSource::Keeper(keeper)));
            }
            failures += 1;
            Timer::after(RETRY_PAUSE).await;
        }
        self.watched.borrow_mut().remove(&keeper);
        self.lists.borrow_mut().remove(&keeper);
        self.named.borrow_mut().remove(&keeper);
        self.tell_nodes();
    }

    /// Asks one keeper again and again; returns whether it ever answered.
    async fn ask(self: &Rc<Self>, keeper: SocketAddr, client: &KeeperServiceClient) -> bool {
        let mut heard = false;
        let (mut revision, mut version, mut halls, mut keepers) = (0, 0, 0, 0);
        loop {
            let node = self.own.clone();
            let takes_list = self.takes_list_of(keeper);
            let request = WatchRequest {
                node,
                document: version,
                revision: takes_list.then_some(revision),
                halls,
                keepers,
            };
            let answer = async { client.watch(net::call_context(), request).await.ok() };
            let late = async {
                Timer::after(SILENCE).await;
                None
            };
            let Some(reply) = answer.or(late).await else {
                if heard {
                    self.keeper_is(keeper, "keeper-lost");
                }
                return heard;
            };
            if !std::mem::replace(&mut heard, true) {
                self.keeper_is(keeper, "keeper-heard");
            }
            version = reply.version;
            if let Some(news) = &reply.nodes {
                revision = news.revision();
            } else if !takes_list {
                self.lists.borrow_mut().remove(&keeper);
                revision = 0;
            }
            if let Some(news) = &reply.halls {
                halls = news.revision;
            }
            if let Some(named) = &reply.keepers {
                keepers = named.digest();
            }
            self.take(keeper, reply);
        }
    }

    /// Whether the list of entries is taken from a keeper: from the first few of those that are connected to, in an order of
    /// this node's own.
    fn takes_list_of(&self, keeper: SocketAddr) -> bool {
        let own = xxh3_64(self.own.name.as_str().as_bytes());
        let rank = |address: &SocketAddr| xxh3_64_with_seed(address.to_string().as_bytes(), own);
        let own_rank = rank(&keeper);
        let clients = self.clients.borrow();
        clients.keys().filter(|other| rank(other) > own_rank).count() < LISTS_FROM
    }

    fn keeper_is(&self, keeper: SocketAddr, what: &'static str) {
        self.log.line(what, Budget::Full, || json!({"keeper": keeper.to_string()}));
    }

    /// Tells the fetch of what has happened, and does what follows.
    fn drive_fetch(
        self: &Rc<Self>,
        happened: impl FnOnce(&mut DocumentFetch, Time) -> Option<FetchStep>,
    ) {
        let mut next = happened(&mut self.fetch.borrow_mut(), self.clock.now());
        while let Some(step) = next.take() {
            match step {
                FetchStep::Ask(source, request) => self.ask_part(source, request),
                FetchStep::Whole(document, source) => {
                    (self.callbacks.document)(document, source);
                    next = self.fetch.borrow_mut().next(self.clock.now());
                }
            }
        }
    }

    /// Asks for a part of a document, and looks after a while whether it has come.
    fn ask_part(self: &Rc<Self>, source: DocumentSource, request: PartRequest) {
        let watch = self.clone();
        self.tasks.spawn(async move {
            Timer::after(PART_WITHIN).await;
            watch.drive_fetch(DocumentFetch::next);
        });
        match source {
            DocumentSource::Keeper(keeper) => self.ask_keeper_part(keeper, request),
            DocumentSource::Agent(session) => (self.callbacks.ask_agent)(session, request),
        }
    }

    /// Whether a newer document is known of than has come.
    pub fn is_behind(&self) -> bool {
        self.fetch.borrow().is_behind()
    }

    /// Takes what happens to an agent as a source of documents.
    pub fn handle_agent(self: &Rc<Self>, session: u64, event: AgentEvent) {
        let source = DocumentSource::Agent(session);
        self.drive_fetch(|fetch, now| match event {
            AgentEvent::Offered(version) => fetch.offered(now, source, version),
            AgentEvent::Answered(part) => fetch.answered(now, source, part),
            AgentEvent::Gone => fetch.gone(now, source),
        });
    }

    fn ask_keeper_part(self: &Rc<Self>, keeper: SocketAddr, request: PartRequest) {
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

    fn take(self: &Rc<Self>, keeper: SocketAddr, reply: WatchReply) {
        let source = DocumentSource::Keeper(keeper);
        self.drive_fetch(|fetch, now| fetch.offered(now, source, reply.version));
        if let Some(halls) = reply.halls {
            (self.callbacks.halls)(halls);
        }
        if let Some(names) = reply.keepers {
            let named = names.0.iter().filter_map(|name| name.as_str().parse().ok());
            let named: Vec<SocketAddr> = named.collect();
            self.named.borrow_mut().insert(keeper, named.clone());
            named.into_iter().for_each(|keeper| self.add(keeper));
        }
        if self.note_list(keeper, reply.nodes, reply.peers as usize) {
            self.tell_nodes();
        }
    }

    /// Takes note of what a keeper tells of other nodes; returns whether that is new.
    fn note_list(&self, keeper: SocketAddr, news: Option<ListNews>, peers: usize) -> bool {
        let mut lists = self.lists.borrow_mut();
        let listing = match news {
            Some(ListNews::Whole(list)) => {
                lists.insert(keeper, Listing { list, peers });
                return true;
            }
            _ => lists.get_mut(&keeper),
        };
        // Only who has a list is told what has changed in it.
        let Some(listing) = listing else { return false };
        let changed = news.is_some();
        if let Some(ListNews::Change(change)) = news {
            listing.list.apply(change);
        }
        std::mem::replace(&mut listing.peers, peers) != peers || changed
    }

    /// All entries that some keeper lists. Of the numbers of peers the highest counts: keepers that have
    /// just started have not heard of all yet.
    fn tell_nodes(&self) {
        let lists = self.lists.borrow();
        let nodes: BTreeSet<NodeInfo> =
            lists.values().flat_map(|listing| listing.list.nodes.iter().cloned()).collect();
        let nodes: Vec<NodeInfo> = nodes.into_iter().collect();
        let peers = lists.values().map(|listing| listing.peers).max().unwrap_or(0);
        drop(lists);
        (self.callbacks.nodes)(&nodes, peers);
    }
}
