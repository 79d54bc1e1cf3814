//! A node's watch of the keepers: it registers at each of them, takes the list of nodes of each, and the document
//! from one that has it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use keeper::{Ask, DocumentFetch};
use net::Tasks;
use serde_json::json;
use tarpc::client::{Config, NewClient};
use wire::{Document, KeeperServiceClient, ListNews, NodeInfo, NodeList, WatchReply, WatchRequest};

use crate::clock::Clock;
use crate::event_log::{Budget, EventLog};

/// Pause before a keeper is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// A keeper that has not answered for so long is connected to anew; it answers within a second.
const SILENCE: Duration = Duration::from_millis(1_700);
/// Failures after which a keeper that nobody names any more is forgotten.
const FAILURES: u32 = 20;

/// Takes a newer document.
type TakeDocument = Box<dyn Fn(Document)>;
/// Takes the entries that are listed, and how many nodes do the same as this one.
type TakeNodes = Box<dyn Fn(&[NodeInfo], usize)>;

/// The watch, shared by its tasks.
pub(crate) struct Watch {
    own: NodeInfo,
    tasks: Tasks,
    log: EventLog,
    node_port: u16,
    /// The newest version that is known.
    version: Cell<u64>,
    take_document: TakeDocument,
    take_nodes: TakeNodes,
    /// Keepers that are named by the configuration.
    seeds: RefCell<BTreeSet<SocketAddr>>,
    /// Keepers that other keepers name.
    named: RefCell<BTreeMap<SocketAddr, Vec<SocketAddr>>>,
    watched: RefCell<BTreeSet<SocketAddr>>,
    lists: RefCell<BTreeMap<SocketAddr, Listing>>,
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
        take_document: TakeDocument,
        take_nodes: TakeNodes,
    ) -> Rc<Self> {
        let watch = Rc::new(Self {
            own,
            tasks,
            log,
            node_port,
            version: Cell::new(0),
            take_document,
            take_nodes,
            seeds: RefCell::default(),
            named: RefCell::default(),
            watched: RefCell::default(),
            lists: RefCell::default(),
            fetch: RefCell::default(),
            clock: Clock::start(),
        });
        watch.set_seeds(seeds);
        watch
    }

    /// The configuration names other keepers.
    pub fn set_seeds(self: &Rc<Self>, seeds: &[SocketAddr]) {
        let port = self.node_port;
        let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect();
        *self.seeds.borrow_mut() = seeds;
        let all: Vec<SocketAddr> = self.seeds.borrow().iter().copied().collect();
        all.into_iter().for_each(|keeper| self.add(keeper));
    }

    /// A document became known in another way.
    pub fn has_document(&self, version: u64) {
        self.version.set(self.version.get().max(version));
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
                let heard = self.ask(keeper, &client).or(async {
                    dispatch.await;
                    false
                });
                if heard.await {
                    failures = 0;
                }
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
        let (mut revision, mut version) = (0, 0);
        loop {
            let sends_document = self.until_due(version).await;
            let request = WatchRequest {
                node: self.own.clone(),
                document: self.version.get(),
                sends_document,
                revision,
            };
            let answer = async { client.watch(net::call_context(), request).await.ok() };
            let late = async {
                Timer::after(SILENCE).await;
                None
            };
            let Some(reply) = answer.or(late).await else {
                if sends_document {
                    self.fetch.borrow_mut().lost();
                }
                if heard {
                    let what = json!({"keeper": keeper.to_string(), "document": sends_document});
                    self.log.line("keeper-lost", Budget::Full, || what);
                }
                return heard;
            };
            if !std::mem::replace(&mut heard, true) {
                let what = json!({"keeper": keeper.to_string()});
                self.log.line("keeper-heard", Budget::Full, || what);
            }
            version = reply.version;
            if let Some(news) = &reply.nodes {
                revision = news.revision();
            }
            self.take(keeper, reply);
        }
    }

    /// Waits until a keeper that has told of a version of the document is to be asked again; returns whether
    /// it is to send the document.
    async fn until_due(&self, told: u64) -> bool {
        loop {
            let next = self.fetch.borrow_mut().next(self.clock.now(), self.version.get(), told);
            match next {
                Ask::News => return false,
                Ask::Document => return true,
                Ask::After(time) => Timer::after(time).await,
            };
        }
    }

    fn take(self: &Rc<Self>, keeper: SocketAddr, reply: WatchReply) {
        if let Some(document) = reply.document
            && document.version > self.version.get()
        {
            self.version.set(document.version);
            (self.take_document)(document);
        }
        let named: Vec<SocketAddr> =
            reply.keepers.iter().filter_map(|name| name.as_str().parse().ok()).collect();
        self.named.borrow_mut().insert(keeper, named.clone());
        named.into_iter().for_each(|keeper| self.add(keeper));
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
        (self.take_nodes)(&nodes, peers);
    }
}
