//! Large configurations over slow links between real processes.

// Tests measure wall-clock time and sleep.
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

/// Port for connections between the processes of a fleet.
const NODE_PORT: u16 = 7_101;
/// Time after which a watch without changes is answered.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// A fake keeper that serves one configuration.
#[derive(Clone)]
struct FakeKeeper(Arc<Mutex<Document>>);

impl FakeKeeper {
    fn new(version: u64, body: String) -> Self {
        Self(Arc::new(Mutex::new(Document::new(version, body))))
    }

    fn current(&self) -> Document {
        self.0.lock().expect("the mutex is not poisoned").clone()
    }

    fn replace(&self, version: u64, body: String) {
        *self.0.lock().expect("the mutex is not poisoned") = Document::new(version, body);
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

/// Serves nodes on a free port until the process exits.
fn start_keeper(keeper: FakeKeeper) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || net::block_on(|tasks| serve_nodes(listener, keeper, tasks)));
    address
}

async fn serve_nodes(listener: TcpListener, keeper: FakeKeeper, tasks: Spawner) {
    let listener = Async::new(listener).expect("the socket is registered with the reactor");
    loop {
        let (stream, _) = listener.accept().await.expect("a connection is established");
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

/// Rate of a slow link, at which a large configuration takes seconds.
const SLOW_LINK_BYTES_PER_S: u64 = 512 * 1024;
const LARGE_DOCUMENT_BYTES: usize = 2 * 1024 * 1024;

/// Creates a configuration that stays large when compressed, by a random field that is ignored.
fn large_document(version: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(version);
    // Each letter compresses to less than six bits.
    let filler: String =
        (0..LARGE_DOCUMENT_BYTES * 11 / 8).map(|_| rng.random_range('#'..='[')).collect();
    let body = document(version);
    let body = body.strip_suffix('}').expect("the document is an object");
    format!(r#"{body},"filler":"{filler}"}}"#)
}

/// Guards against an answer timeout that does not allow for the size of a configuration, so that
/// each transfer is aborted and restarted.
#[test]
fn a_configuration_that_takes_seconds_to_transfer_reaches_an_entry() {
    let fleet = Fleet::new(1);
    let keeper = start_keeper(FakeKeeper::new(1, large_document(1)));
    let _link = slow_link(&fleet, keeper);
    let _entry = fleet.start("entry");
    fleet.wait_for_version(1);
}

/// Starts a slow link between a keeper and the nodes of a fleet.
fn slow_link(fleet: &Fleet, keeper: SocketAddr) -> Proxy {
    let link = Proxy::start(SocketAddr::new(fleet.keeper_address().ip(), NODE_PORT), keeper);
    let until = Instant::now() + Duration::from_secs(60);
    link.inject(Fault::Slow(SLOW_LINK_BYTES_PER_S), Direction::ToClient, until);
    link
}

/// Guards against a final 404 for a new route while its configuration is in transfer. Clients are
/// asked to retry instead.
#[test]
fn an_unknown_route_is_retried_while_a_newer_configuration_is_in_transfer() {
    let fleet = Fleet::new(1);
    let keeper = FakeKeeper::new(1, document(1));
    let _link = slow_link(&fleet, start_keeper(keeper.clone()));
    let _entry = fleet.start("entry");
    fleet.wait_for_version(1);
    let unknown = || call(fleet.entry_address(), "GET", "/new/", "", Duration::from_secs(1));
    eventually("the entry accepts connections", || unknown().is_some());
    assert_eq!(
        unknown().map(|answer| answer.status),
        Some(404),
        "the entry has the newest configuration"
    );
    keeper.replace(2, large_document(2));
    eventually("the entry knows of the newer configuration", || {
        unknown().is_some_and(|answer| answer.status == 503)
    });
    let answer = unknown().expect("the request is answered");
    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after: 1"), "{}", answer.head);
    fleet.wait_for_version(2);
    assert_eq!(unknown().map(|answer| answer.status), Some(404));
}
