//! Large configurations over slow links, between real processes.

// Spans that a test measures or waits.
#![allow(clippy::disallowed_methods)]

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use async_io::Async;
use futures::StreamExt;
use net::Spawner;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::proxy::{Direction, Fault, Proxy};
use support::{Fleet, call, document, eventually};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use wire::{
    Document, DocumentPart, KeeperService, PartRequest, PeerMessage, PullReply, PullRequest,
    WatchReply, WatchRequest,
};

mod support;

/// The port at which the processes of a fleet reach each other.
const NODE_PORT: u16 = 7_101;
/// How long a keeper lets a node wait for news.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// A keeper that has one configuration at a time.
#[derive(Clone)]
struct FakeKeeper(Arc<Mutex<Document>>);

impl FakeKeeper {
    fn new(version: u64, body: String) -> Self {
        Self(Arc::new(Mutex::new(Document::new(version, body))))
    }

    fn current(&self) -> Document {
        self.0.lock().expect("nobody panicked with it").clone()
    }

    fn replace(&self, version: u64, body: String) {
        *self.0.lock().expect("nobody panicked with it") = Document::new(version, body);
    }
}

impl KeeperService for FakeKeeper {
    async fn peer(self, _: Context, _: PeerMessage) {}

    async fn pull(self, _: Context, _: PullRequest) -> PullReply {
        PullReply::Unsure { leader: None }
    }

    async fn watch(self, _: Context, request: WatchRequest) -> WatchReply {
        if request.document == self.current().version {
            net::sleep(WATCH_TIMEOUT).await;
        }
        WatchReply {
            version: self.current().version,
            nodes: None,
            halls: None,
            peers: 1,
            keepers: None,
        }
    }

    async fn document(self, _: Context, request: PartRequest) -> Option<DocumentPart> {
        self.current().part(request)
    }
}

/// Serves nodes on a port of its own for as long as the test runs.
fn start_keeper(keeper: FakeKeeper) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || net::block_on(|tasks| serve_nodes(listener, keeper, tasks)));
    address
}

async fn serve_nodes(listener: TcpListener, keeper: FakeKeeper, tasks: Spawner) {
    let listener = Async::new(listener).expect("it can be waited for");
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        let channel = BaseChannel::with_defaults(net::framed_transport(stream));
        let (keeper, runner) = (keeper.clone(), tasks.clone());
        tasks.spawn_rpc(async move {
            let mut calls = std::pin::pin!(channel.execute(keeper.serve()));
            while let Some(call) = calls.next().await {
                runner.spawn_rpc(call);
            }
        });
    }
}

/// What one connection carries, and a configuration that takes four seconds by it.
const SLOW_LINK_BYTES_PER_S: u64 = 512 * 1024;
const LARGE_DOCUMENT_BYTES: usize = 2 * 1024 * 1024;

/// A configuration that is as long on its way, where it is packed: with a field that nobody reads.
fn large_document(version: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(version);
    // Less than six bits of each letter are left when it is packed.
    let filler: String =
        (0..LARGE_DOCUMENT_BYTES * 11 / 8).map(|_| rng.random_range('#'..='[')).collect();
    let body = document(version);
    let body = body.strip_suffix('}').expect("an object");
    format!(r#"{body},"filler":"{filler}"}}"#)
}

/// Users saw requests for new routes rejected as unknown 12 s after their configuration was acknowledged. The order of
/// events: a configuration of 845 kB came into force while the link of an entry was busy; the entry asked a keeper
/// for it, gave the keeper up as silent after 1.7 s while the answer was still coming, connected anew, and asked for all
/// of it again, and so at every keeper in turn. The cause: the time for an answer did not depend on what was asked for,
/// and nothing of an answer that was cut off counted. The evidence: 105 of the 134 keepers that entries gave up in one
/// run had been asked for a configuration, and nothing else was the matter with them.
#[test]
fn a_configuration_that_takes_seconds_to_transfer_reaches_an_entry() {
    let fleet = Fleet::new(1);
    let keeper = start_keeper(FakeKeeper::new(1, large_document(1)));
    let _link = slow_link(&fleet, keeper);
    let _entry = fleet.start("entry");
    fleet.wait_for_version(1);
}

/// Between a keeper and the nodes of a fleet.
fn slow_link(fleet: &Fleet, keeper: SocketAddr) -> Proxy {
    let link = Proxy::start(SocketAddr::new(fleet.keeper_address().ip(), NODE_PORT), keeper);
    let until = Instant::now() + Duration::from_secs(60);
    link.inject(Fault::Slow(SLOW_LINK_BYTES_PER_S), Direction::ToClient, until);
    link
}

/// Users saw requests for a new route answered with 404 while the configuration that has it was on its way to the entry,
/// which knew that: clients take that answer for final. They are told to come back; once the entry has the newest, what
/// is not in it is unknown.
#[test]
fn an_unknown_route_is_retried_while_a_newer_configuration_is_in_transfer() {
    let fleet = Fleet::new(1);
    let keeper = FakeKeeper::new(1, document(1));
    let _link = slow_link(&fleet, start_keeper(keeper.clone()));
    let _entry = fleet.start("entry");
    fleet.wait_for_version(1);
    let unknown = || call(fleet.entry_address(), "GET", "/new/", "", Duration::from_secs(1));
    eventually("it listens", || unknown().is_some());
    assert_eq!(unknown().map(|answer| answer.status), Some(404), "it has the newest");
    keeper.replace(2, large_document(2));
    eventually("it is told", || unknown().is_some_and(|answer| answer.status == 503));
    let answer = unknown().expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after: 1"), "{}", answer.head);
    fleet.wait_for_version(2);
    assert_eq!(unknown().map(|answer| answer.status), Some(404));
}
