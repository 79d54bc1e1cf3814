//! Connections between processes that go silent permanently, without a reset, while new ones work.
//! The kernel of the peer may still acknowledge data, so only an answer shows that the peer is
//! alive.

// Tests measure wall-clock time and sleep.
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
use peers::PeersInput;
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

// Private modules of the daemon, included to test them directly.
#[path = "../src/keeper_role/peers.rs"]
#[allow(dead_code)]
mod peers;
#[path = "../src/capacity/session.rs"]
#[allow(dead_code)]
mod session;

/// Longest wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Time in which a message between keepers arrives although a connection is silent.
const REPLACED_WITHIN: Duration = Duration::from_secs(2);
/// Time in which a closed session ends, far below the kernel's timeout for unacknowledged data.
const ENDED_WITHIN: Duration = Duration::from_millis(500);

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    (listener, address)
}

/// Accepts connections and reads from them without answering; reports when the first bytes of each
/// connection arrived.
fn start_silent_reader() -> (SocketAddr, Receiver<Instant>) {
    let (listener, address) = listener();
    (address, read_without_answering(listener))
}

fn read_without_answering(listener: TcpListener) -> Receiver<Instant> {
    let (first_bytes, received) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, first_bytes) =
                (stream.expect("a connection is established"), first_bytes.clone());
            thread::spawn(move || {
                let mut chunk = [0; 4_096];
                if stream.read(&mut chunk).is_ok_and(|read| read > 0) {
                    // The test may have finished and dropped the receiver.
                    let _ = first_bytes.send(Instant::now());
                }
                while stream.read(&mut chunk).is_ok_and(|read| read > 0) {}
            });
        }
    });
    received
}

/// Runs the task that sends a keeper's messages to its peers, until its input channel is dropped.
fn start_sender() -> async_channel::Sender<PeersInput> {
    let (inputs, receiver) = async_channel::bounded(64);
    thread::spawn(move || {
        net::block_on(|tasks| async move {
            let own = NodeName::new("own");
            peers::run(own, tasks.clone(), Default::default(), receiver, |_, _| {}).await;
        });
    });
    inputs
}

/// Guards against calls between keepers without a timeout, which block later messages on a silent
/// connection.
#[test]
fn a_message_reaches_a_keeper_over_a_new_connection_after_the_old_one_goes_silent() {
    let (address, received) = start_silent_reader();
    let to = NodeName::new(&address.to_string());
    let inputs = start_sender();
    let send = || {
        let message = PeersInput::Message(to.clone(), Message::Join);
        inputs.send_blocking(message).expect("the sender runs");
    };
    send();
    let first = received.recv_timeout(TIMEOUT).expect("the first connection is opened");
    send();
    let second = received.recv_timeout(TIMEOUT).expect("a second connection is opened");
    assert!(second - first < REPLACED_WITHIN, "after {:?}", second - first);
}

/// A keeper that acknowledges every message.
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

/// Time for an answer to be sent before the connection is closed.
const ANSWER_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Accepts one message per connection, answers it and closes the connection; reports when the peer
/// has closed it too.
async fn serve_one_message_per_connection(
    listener: TcpListener,
    tasks: Spawner,
    closed: mpsc::Sender<()>,
) {
    let listener = Async::new(listener).expect("the socket is registered with the reactor");
    loop {
        let (stream, _) = listener.accept().await.expect("a connection is established");
        let (tasks, closed) = (tasks.clone(), closed.clone());
        tasks.clone().spawn_rpc(async move {
            let raw = stream.get_ref().try_clone().expect("the socket handle is duplicated");
            let mut raw = Async::new(raw).expect("the socket is registered with the reactor");
            let channel = BaseChannel::with_defaults(net::framed_transport(stream));
            let mut calls = std::pin::pin!(channel.execute(AcknowledgingKeeper.serve()));
            let call = calls.next().await.expect("a message arrives");
            tasks.spawn_rpc(call);
            let answered = async {
                net::sleep(ANSWER_FLUSH_TIME).await;
                None
            };
            calls.next().or(answered).await;
            raw.get_ref().shutdown(Shutdown::Write).expect("the connection is open");
            while raw.read(&mut [0; 64]).await.is_ok_and(|read| read > 0) {}
            // The test may have finished and dropped the receiver.
            let _ = closed.send(());
        });
    }
}

/// Guards against a message that is lost because its idle connection was closed by the peer.
#[test]
fn no_message_is_lost_on_a_connection_closed_by_its_peer() {
    let (listener, address) = listener();
    let (closed, received) = mpsc::channel();
    thread::spawn(move || {
        net::block_on(|tasks| serve_one_message_per_connection(listener, tasks, closed));
    });
    let to = NodeName::new(&address.to_string());
    let inputs = start_sender();
    for number in 1..=3 {
        let message = PeersInput::Message(to.clone(), Message::Join);
        inputs.send_blocking(message).expect("the sender runs");
        assert!(received.recv_timeout(TIMEOUT).is_ok(), "message {number} is lost");
    }
}

/// Size of a message that exceeds the buffers of both kernels.
const LARGE_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
/// Bytes read at once on a slow link.
const SLOW_LINK_CHUNK: usize = 64 * 1024;
/// Pause after each read on a slow link.
const SLOW_LINK_PAUSE: Duration = Duration::from_millis(16);

/// Guards against a large message that is aborted and restarted forever because its transfer is
/// taken for silence.
#[test]
fn a_large_message_over_a_slow_link_does_not_time_out() {
    let (listener, address) = listener();
    SockRef::from(&listener).set_recv_buffer_size(SLOW_LINK_CHUNK).expect("the buffer size is set");
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
    inputs.send_blocking(PeersInput::Message(to, append)).expect("the sender runs");
    let (mut stream, _) = listener.accept().expect("a connection is established");
    let mut total_read = 0;
    let mut chunk = vec![0; SLOW_LINK_CHUNK];
    while total_read < LARGE_MESSAGE_BYTES {
        let read = stream.read(&mut chunk).expect("the connection is not reset");
        assert!(read > 0, "closed after {total_read} bytes");
        total_read += read;
        thread::sleep(SLOW_LINK_PAUSE * read as u32 / SLOW_LINK_CHUNK as u32);
    }
}

/// Guards against a closed session whose connection stays open because its writer is blocked.
#[test]
fn a_closed_session_ends_although_its_peer_reads_nothing() {
    let (listener, address) = listener();
    let (outgoing, queue) = SessionSender::<Vec<u8>>::new();
    // Exceeds the buffers of both kernels, within the frame size limit.
    for _ in 0..16 {
        assert!(outgoing.send(vec![0; 1024 * 1024]));
    }
    let ended = net::block_on(|tasks| async move {
        let stream =
            Async::<TcpStream>::connect(address).await.expect("a connection is established");
        let _unread = listener.accept().expect("the connection is accepted");
        let (end_guard, ended_signal) = async_channel::bounded::<()>(1);
        tasks.spawn(async move {
            session::run(stream, queue, |_: session::Received<()>| {}).await;
            drop(end_guard);
        });
        // Lets the session fill the buffers.
        net::sleep(Duration::from_millis(100)).await;
        drop(outgoing);
        let ended = async {
            // Returns an error once the session has ended and dropped the sender.
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

/// Guards against a keeper that runs out of file descriptors because it never closes silent
/// connections.
#[test]
fn a_keeper_closes_an_idle_connection() {
    let folder = tempfile::tempdir().expect("the folder is created");
    let file = folder.path().join("keeper.ini");
    let text = format!(
        "[node]\nname = k1\nroles = keeper\n[keeper]\nlisten = 127.0.0.1:0\n\
         node_listen = 127.0.0.1:0\ndata = {}\n",
        folder.path().display()
    );
    std::fs::write(&file, text).expect("the configuration file is written");
    let config = Config::load(&file).expect("the configuration is valid");
    let (node, config) =
        (config.node, config.keeper.expect("the configuration has a keeper section"));
    init_keeper(&node, &config).expect("the cluster is initialized");
    let keeper = KeeperHandle::start(KeeperOptions::new(node, config)).expect("the keeper starts");
    let mut silent =
        TcpStream::connect(keeper.node_address()).expect("the address accepts connections");
    silent.set_read_timeout(Some(TIMEOUT)).expect("the timeout is not zero");
    let read = silent.read_to_end(&mut Vec::new());
    assert!(read.is_ok_and(|read| read == 0), "the connection is still open after {TIMEOUT:?}");
    keeper.stop();
}

/// Port for connections between the processes of a fleet.
const NODE_PORT: u16 = 7_101;
/// Delay after which clients retry; no earlier run may be left by then.
const CLIENT_RETRY_DELAY: Duration = Duration::from_millis(1_300);
/// Time in which a node replaces a silent connection to a keeper.
const WATCH_REPLACED_WITHIN: Duration = Duration::from_millis(2_500);

/// Registers an entry with a keeper.
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
            // The call itself reports the error.
            let _ = dispatch.await;
        });
        let reply = client.watch(net::call_context(), request).await;
        assert!(reply.is_ok(), "{reply:?}");
    });
}

/// Guards against an agent that keeps a silent session, and its tasks, until clients retry.
#[test]
fn an_agent_replaces_a_silent_session_before_clients_retry() {
    let fleet = Fleet::new(1);
    let _keeper = fleet.start("keeper");
    let keeper = SocketAddr::new(fleet.keeper_address().ip(), NODE_PORT);
    eventually("the keeper listens", || TcpStream::connect(keeper).is_ok());
    let (entry, received) = start_silent_reader();
    register_entry(keeper, entry);
    let _agent = fleet.start("agent0");
    let first = received.recv_timeout(TIMEOUT).expect("the agent opens a session");
    let second = received.recv_timeout(TIMEOUT).expect("the agent opens a second session");
    assert!(second - first < CLIENT_RETRY_DELAY, "after {:?}", second - first);
}

/// Guards against an entry that keeps a silent session until clients retry.
#[test]
fn an_entry_closes_a_silent_session_before_clients_retry() {
    let fleet = Fleet::new(1);
    let _entry = fleet.start("entry");
    let sessions = SocketAddr::new(fleet.entry_address().ip(), NODE_PORT);
    eventually("the entry listens", || TcpStream::connect(sessions).is_ok());
    let started = Instant::now();
    let mut session = TcpStream::connect(sessions).expect("the address accepts connections");
    session.set_read_timeout(Some(TIMEOUT)).expect("the timeout is not zero");
    let mut frames = Vec::new();
    session.read_to_end(&mut frames).expect("the connection is closed, not reset");
    assert!(started.elapsed() < CLIENT_RETRY_DELAY, "after {:?}", started.elapsed());
}

/// Guards against a node that waits forever on a silent connection to a keeper.
#[test]
fn a_silent_watch_is_replaced_in_bounded_time() {
    let fleet = Fleet::new(1);
    let keeper = SocketAddr::new(fleet.keeper_address().ip(), NODE_PORT);
    let received = read_without_answering(TcpListener::bind(keeper).expect("the address is free"));
    let _agent = fleet.start("agent0");
    let first = received.recv_timeout(TIMEOUT).expect("the agent opens a watch");
    let second = received.recv_timeout(TIMEOUT).expect("the agent opens a second watch");
    assert!(second - first < WATCH_REPLACED_WITHIN, "after {:?}", second - first);
}
