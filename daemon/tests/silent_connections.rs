//! Connections between our processes that go silent for good, without a reset, while new ones work.
//! The kernel of the other host may go on acknowledging, so that only an answer shows life.
//!
//! Each stand-in takes connections over real sockets and reads or does not read; none answers.

// Spans that a test measures or waits.
#![allow(clippy::disallowed_methods)]

use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use async_io::Async;
use consensus::{Entry, Message, Payload};
use daemon::{Config, KeeperHandle, KeeperOptions, init_keeper};
use futures::StreamExt;
use futures_lite::{AsyncReadExt, FutureExt};
use model::{Incarnation, NodeName};
use net::Spawner;
use peers::ToPeers;
use session::SessionSender;
use socket2::SockRef;
use support::{Fleet, eventually};
use tarpc::client::NewClient;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use wire::{
    DocumentPart, KeeperService, KeeperServiceClient, NodeInfo, NodeRole, PartRequest, PeerMessage,
    PullReply, PullRequest, WatchReply, WatchRequest,
};

#[allow(unused_imports)]
mod support;

#[path = "../src/keeper_role/peers.rs"]
#[allow(dead_code)]
mod peers;
#[path = "../src/capacity/session.rs"]
#[allow(dead_code)]
mod session;

/// Longest wait for anything that is to come about.
const TIMEOUT: Duration = Duration::from_secs(15);
/// A message between keepers that is to get through does so in less than this, whatever goes silent.
const REPLACED_WITHIN: Duration = Duration::from_secs(2);
/// Far below the time after which the kernel gives up a connection whose bytes are not taken.
const ENDED_WITHIN: Duration = Duration::from_millis(500);

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

/// Takes connections, reads all that comes and answers nothing; tells when a connection brought its
/// first bytes.
fn start_silent_reader() -> (SocketAddr, Receiver<Instant>) {
    let (listener, address) = listener();
    (address, read_without_answering(listener))
}

fn read_without_answering(listener: TcpListener) -> Receiver<Instant> {
    let (first_bytes, received) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, first_bytes) = (stream.expect("a connection"), first_bytes.clone());
            thread::spawn(move || {
                let mut chunk = [0; 4_096];
                if stream.read(&mut chunk).is_ok_and(|read| read > 0) {
                    // The test may have ended.
                    let _ = first_bytes.send(Instant::now());
                }
                while stream.read(&mut chunk).is_ok_and(|read| read > 0) {}
            });
        }
    });
    received
}

/// Runs a keeper's thread that sends to others, until the ring of its inputs is dropped.
fn start_sender() -> async_channel::Sender<ToPeers> {
    let (inputs, taken) = async_channel::bounded(64);
    thread::spawn(move || {
        net::block_on(|tasks| async move {
            let own = NodeName::new("own");
            peers::run(own, tasks.clone(), Default::default(), taken, |_, _| {}).await;
        });
    });
    inputs
}

/// What users would see: a change of the configuration is not acknowledged, or nobody leads, though
/// every keeper is up and reachable. The order of events: the connections of a keeper to others go
/// silent; each message waits for the answer to the one before it, which never comes; the other keepers
/// hear of it no more. The cause: a call between keepers had no time-out but that of the kernel, which
/// counts only what is not acknowledged.
#[test]
fn a_message_reaches_a_keeper_over_a_new_connection_after_the_old_one_goes_silent() {
    let (address, received) = start_silent_reader();
    let to = NodeName::new(&address.to_string());
    let inputs = start_sender();
    let send = || {
        let message = ToPeers::Message(to.clone(), Message::Join);
        inputs.send_blocking(message).expect("the sender runs");
    };
    send();
    let first = received.recv_timeout(TIMEOUT).expect("the first connection");
    send();
    let second = received.recv_timeout(TIMEOUT).expect("a second connection, and no reset");
    assert!(second - first < REPLACED_WITHIN, "after {:?}", second - first);
}

/// A keeper that says that it has each message.
#[derive(Clone)]
struct AcknowledgingKeeper;

impl KeeperService for AcknowledgingKeeper {
    async fn peer(self, _: Context, _: PeerMessage) {}

    async fn pull(self, _: Context, _: PullRequest) -> PullReply {
        PullReply::Unsure { leader: None }
    }

    async fn watch(self, _: Context, _: WatchRequest) -> WatchReply {
        WatchReply { version: 0, nodes: None, halls: None, peers: 0, keepers: None }
    }

    async fn document(self, _: Context, _: PartRequest) -> Option<DocumentPart> {
        None
    }
}

/// How long an answer may take to leave. Where it takes longer the other side sees a broken call, and
/// the test shows less.
const ANSWER_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Takes one message over each connection, answers it, and ends the connection; tells of it once the
/// other side has ended it too.
async fn serve_one_message_per_connection(
    listener: TcpListener,
    tasks: Spawner,
    taken: mpsc::Sender<()>,
) {
    let listener = Async::new(listener).expect("it can be waited for");
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        let (tasks, taken) = (tasks.clone(), taken.clone());
        tasks.clone().spawn_rpc(async move {
            let raw = stream.get_ref().try_clone().expect("a second handle");
            let mut raw = Async::new(raw).expect("it can be waited for");
            let channel = BaseChannel::with_defaults(net::framed_transport(stream));
            let mut calls = std::pin::pin!(channel.execute(AcknowledgingKeeper.serve()));
            let call = calls.next().await.expect("a message");
            tasks.spawn_rpc(call);
            let answered = async {
                net::sleep(ANSWER_FLUSH_TIME).await;
                None
            };
            calls.next().or(answered).await;
            raw.get_ref().shutdown(Shutdown::Write).expect("it is open");
            while raw.read(&mut [0; 64]).await.is_ok_and(|read| read > 0) {}
            // The test may have ended.
            let _ = taken.send(());
        });
    }
}

/// What operators would see: a vote or an entry that comes seconds late. The order of events: nothing is
/// said for a while, the other keeper closes the connection, and the next message is given to it. The
/// cause: the connection was opened before there was a message, and its end seen only by the next.
#[test]
fn no_message_is_lost_on_a_connection_closed_by_its_peer() {
    let (listener, address) = listener();
    let (taken, received) = mpsc::channel();
    thread::spawn(move || {
        net::block_on(|tasks| serve_one_message_per_connection(listener, tasks, taken));
    });
    let to = NodeName::new(&address.to_string());
    let inputs = start_sender();
    for number in 1..=3 {
        let message = ToPeers::Message(to.clone(), Message::Join);
        inputs.send_blocking(message).expect("the sender runs");
        assert!(received.recv_timeout(TIMEOUT).is_ok(), "message {number} is lost");
    }
}

/// Bytes of one large message between keepers: more than the buffers of both kernels hold.
const LARGE_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
/// How much of it a slow link carries at once,
const SLOW_LINK_CHUNK: usize = 64 * 1024;
/// and the pause after each: in all about 4 MB a second.
const SLOW_LINK_PAUSE: Duration = Duration::from_millis(16);

/// A keeper that is behind gets the whole state in one message. Where that is taken for silence, it is
/// cut off and begun again for ever.
#[test]
fn a_large_message_over_a_slow_link_does_not_time_out() {
    let (listener, address) = listener();
    SockRef::from(&listener).set_recv_buffer_size(SLOW_LINK_CHUNK).expect("a small buffer");
    let to = NodeName::new(&address.to_string());
    let inputs = start_sender();
    let entry =
        Entry { index: 1, term: 1, payload: Payload::Command(vec![7; LARGE_MESSAGE_BYTES]) };
    let append = Message::Append {
        term: 1,
        prev_index: 0,
        prev_term: 0,
        entries: vec![entry],
        commit: 0,
        sent: model::Time::default(),
        leader_confirmed: false,
    };
    inputs.send_blocking(ToPeers::Message(to, append)).expect("the sender runs");
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut taken = 0;
    let mut chunk = vec![0; SLOW_LINK_CHUNK];
    while taken < LARGE_MESSAGE_BYTES {
        let read = stream.read(&mut chunk).expect("it is not reset");
        assert!(read > 0, "cut off after {taken} bytes");
        taken += read;
        thread::sleep(SLOW_LINK_PAUSE * read as u32 / SLOW_LINK_CHUNK as u32);
    }
}

/// What users would see: an entry finds no room at a target that is well, for seconds. The order of
/// events: the connection between the agent and the entry goes silent while a large configuration or
/// many reports are on their way over it; either side takes the session for dead in time and closes
/// it; but the task that writes waits for the connection to take more, so that the connection stays
/// and the agent does not connect again. The cause: closing a session ended only what waited for the
/// next message to send.
#[test]
fn a_closed_session_ends_although_its_peer_reads_nothing() {
    let (listener, address) = listener();
    let (outgoing, waiting) = SessionSender::<Vec<u8>>::new();
    // More than the buffers of both kernels hold, and less than the longest frame.
    for _ in 0..16 {
        assert!(outgoing.send(vec![0; 1024 * 1024]));
    }
    let ended = net::block_on(|tasks| async move {
        let stream = Async::<TcpStream>::connect(address).await.expect("a connection");
        let _unread = listener.accept().expect("the other side of it");
        let (end_guard, ended_signal) = async_channel::bounded::<()>(1);
        tasks.spawn(async move {
            session::run(stream, waiting, |_: ()| {}).await;
            drop(end_guard);
        });
        // It writes what it can.
        net::sleep(Duration::from_millis(100)).await;
        drop(outgoing);
        let ended = async {
            // Nothing is sent; it fails once the other half is dropped.
            let _ = ended_signal.recv().await;
            true
        };
        let timed_out = async {
            net::sleep(ENDED_WITHIN).await;
            false
        };
        ended.or(timed_out).await
    });
    assert!(ended, "the connection is still open {ENDED_WITHIN:?} after the session was closed");
}

/// What operators would see: a keeper that takes no connections any more. The order of events:
/// connections of nodes go silent, the nodes connect anew, and the keeper, to which nobody says
/// that the old ones are over, keeps them until it has no descriptor left. The cause: a keeper never
/// closed a connection over which nothing came.
#[test]
fn a_keeper_closes_an_idle_connection() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("keeper.ini");
    let text = format!(
        "[node]\nname = k1\nroles = keeper\n[keeper]\nlisten = 127.0.0.1:0\n\
         node_listen = 127.0.0.1:0\ndata = {}\n",
        folder.path().display()
    );
    std::fs::write(&file, text).expect("the file is written");
    let config = Config::load(&file).expect("it is valid");
    let (node, config) = (config.node, config.keeper.expect("a keeper"));
    init_keeper(&node, &config).expect("the cluster is begun");
    let keeper = KeeperHandle::start(KeeperOptions::new(node, config)).expect("it starts");
    let mut silent = TcpStream::connect(keeper.node_address()).expect("it listens");
    silent.set_read_timeout(Some(TIMEOUT)).expect("a time above none");
    let read = silent.read_to_end(&mut Vec::new());
    assert!(read.is_ok_and(|read| read == 0), "it is still open after {TIMEOUT:?}");
    keeper.stop();
}

/// The port at which the processes of a fleet reach each other.
const NODE_PORT: u16 = 7_101;
/// After a broken try clients send again so much later: by then no run of the first may be left.
const CLIENT_RETRY_DELAY: Duration = Duration::from_millis(1_300);
/// A node hears from a keeper whose connection went silent in less than this.
const WATCH_REPLACED_WITHIN: Duration = Duration::from_millis(2_500);

/// Registers an entry at a keeper.
fn register_entry(keeper: SocketAddr, entry: SocketAddr) {
    let node = NodeInfo {
        name: NodeName::new("stand-in"),
        role: NodeRole::Entry,
        address: entry,
        incarnation: Incarnation(1),
        service: "".into(),
    };
    let request = WatchRequest { node, document: 0, revision: Some(0), halls: 0, keepers: 0 };
    net::block_on(|tasks| async move {
        let stream = net::connect(keeper).await.expect("the keeper listens");
        let NewClient { client, dispatch } = KeeperServiceClient::new(
            tarpc::client::Config::default(),
            net::framed_transport(stream),
        );
        tasks.spawn_rpc(async move {
            // The call sees why it ended.
            let _ = dispatch.await;
        });
        let reply = client.watch(net::call_context(), request).await;
        assert!(reply.is_ok(), "{reply:?}");
    });
}

/// An agent stops what it runs for an entry that it does not hear, and connects anew, before clients
/// send again.
#[test]
fn an_agent_replaces_a_silent_session_before_clients_retry() {
    let fleet = Fleet::new(1);
    let _keeper = fleet.start("keeper");
    let keeper = SocketAddr::new(fleet.keeper_address().ip(), NODE_PORT);
    eventually("the keeper listens", || TcpStream::connect(keeper).is_ok());
    let (entry, received) = start_silent_reader();
    register_entry(keeper, entry);
    let _agent = fleet.start("agent0");
    let first = received.recv_timeout(TIMEOUT).expect("a session");
    let second = received.recv_timeout(TIMEOUT).expect("a second session");
    assert!(second - first < CLIENT_RETRY_DELAY, "after {:?}", second - first);
}

/// An entry closes the session of an agent that it does not hear.
#[test]
fn an_entry_closes_a_silent_session_before_clients_retry() {
    let fleet = Fleet::new(1);
    let _entry = fleet.start("entry");
    let sessions = SocketAddr::new(fleet.entry_address().ip(), NODE_PORT);
    eventually("the entry listens", || TcpStream::connect(sessions).is_ok());
    let started = Instant::now();
    let mut session = TcpStream::connect(sessions).expect("it listens");
    session.set_read_timeout(Some(TIMEOUT)).expect("a time above none");
    let mut frames = Vec::new();
    session.read_to_end(&mut frames).expect("it is closed, not reset");
    assert!(started.elapsed() < CLIENT_RETRY_DELAY, "after {:?}", started.elapsed());
}

/// A node asks a keeper over a new connection once the old one has gone silent.
#[test]
fn a_silent_watch_is_replaced_in_bounded_time() {
    let fleet = Fleet::new(1);
    let keeper = SocketAddr::new(fleet.keeper_address().ip(), NODE_PORT);
    let received =
        read_without_answering(TcpListener::bind(keeper).expect("the fleet's own address"));
    let _agent = fleet.start("agent0");
    let first = received.recv_timeout(TIMEOUT).expect("a watch");
    let second = received.recv_timeout(TIMEOUT).expect("a second one");
    assert!(second - first < WATCH_REPLACED_WITHIN, "after {:?}", second - first);
}
