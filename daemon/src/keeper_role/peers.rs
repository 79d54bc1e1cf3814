//! The keeper's thread that sends messages to the other keepers.
//!
//! A connection may become half-open while new connections work. So every message has to be
//! acknowledged within a timeout; otherwise its connection is closed, and the next message opens a
//! new one. The unacknowledged message counts as lost: the consensus protocol tolerates losses.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use consensus::Message;
use futures_lite::FutureExt;
use membership::{HostList, Role};
use model::NodeName;
use net::Spawner;
use tarpc::client::{Config, NewClient};
use wire::{KeeperServiceClient, PeerMessage};

/// Capacity of the queue for one keeper; further messages are dropped.
const QUEUE_CAPACITY: usize = 256;
/// Delay between two attempts to connect to a keeper.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a keeper may take to acknowledge a message, in addition to the message's transfer time.
/// Longer than TCP's minimum retransmission timeout, shorter than the shortest election timeout, so
/// that a half-open connection to a follower does not cause an election.
const ACK_TIMEOUT: Duration = Duration::from_millis(300);
/// The lowest throughput assumed for a link, in bytes per millisecond: a third of the narrowest
/// link (25 Mbit/s), since links are shared.
const MIN_LINK_BYTES_PER_MS: u64 = 1_000;

/// An input of the thread.
#[derive(Debug)]
pub(crate) enum PeersInput {
    /// A message for another keeper.
    Message(NodeName, Message),
    /// A new version of the platform's host list; a replaced keeper may have another address.
    Hosts(HostList),
}

/// A callback for a keeper that stops acknowledging messages or does so again.
pub(crate) trait PeerStatusLogger: Fn(&NodeName, PeerStatus) + Clone + 'static {}

impl<F: Fn(&NodeName, PeerStatus) + Clone + 'static> PeerStatusLogger for F {}

/// Whether a keeper acknowledges messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerStatus {
    /// A message was not acknowledged within its timeout.
    Silent,
    /// A message was acknowledged after an unacknowledged one.
    Answering,
}

/// The addresses of the other keepers.
type Addresses = Rc<RefCell<HashMap<NodeName, SocketAddr>>>;

/// Sends messages until the input channel is closed. Each keeper has a queue and a task of its own,
/// so that a slow or unreachable keeper does not delay the others.
pub(crate) async fn run(
    own_name: NodeName,
    tasks: Spawner,
    addresses: HashMap<NodeName, SocketAddr>,
    inputs: Receiver<PeersInput>,
    status_logger: impl PeerStatusLogger,
) {
    let addresses: Addresses = Rc::new(RefCell::new(addresses));
    let mut queues: HashMap<NodeName, Sender<Message>> = HashMap::new();
    while let Ok(input) = inputs.recv().await {
        match input {
            PeersInput::Message(to, message) => {
                let queue = queues.entry(to.clone()).or_insert_with(|| {
                    let (queue, messages) = async_channel::bounded(QUEUE_CAPACITY);
                    let queue_task = send_to_peer(
                        own_name.clone(),
                        to,
                        addresses.clone(),
                        messages,
                        status_logger.clone(),
                    );
                    tasks.spawn_rpc(queue_task);
                    queue
                });
                // Messages that do not fit into the queue are dropped; the protocol tolerates
                // losses.
                let _ = queue.try_send(message);
            }
            PeersInput::Hosts(list) => set_addresses(&addresses, &list),
        }
    }
}

fn set_addresses(addresses: &Addresses, list: &HostList) {
    let mut addresses = addresses.borrow_mut();
    for host in list.of_role(Role::Keeper) {
        if let Some(address) = addresses.get_mut(&host.name) {
            *address = host.address;
        }
    }
}

/// Sends messages to one keeper over a reused connection. The connection is opened only when there
/// is a message to send, as the other side closes idle connections.
async fn send_to_peer(
    own_name: NodeName,
    to: NodeName,
    addresses: Addresses,
    messages: Receiver<Message>,
    status_logger: impl PeerStatusLogger,
) {
    let is_silent = Cell::new(false);
    let report = |status: PeerStatus| {
        if is_silent.replace(status == PeerStatus::Silent) != (status == PeerStatus::Silent) {
            status_logger(&to, status);
        }
    };
    while let Ok(first) = messages.recv().await {
        let listed_address = addresses.borrow().get(&to).copied();
        // The name of a keeper that is not listed is its address.
        let Some(address) = listed_address.or_else(|| to.as_str().parse().ok()) else { return };
        let Ok(stream) = net::connect(address).await else {
            // Messages queued for an unreachable keeper are outdated.
            while messages.try_recv().is_ok() {}
            net::sleep(RETRY_DELAY).await;
            continue;
        };
        let NewClient { client, dispatch } =
            KeeperServiceClient::new(Config::default(), net::framed_transport(stream));
        let dispatch_ended = async move {
            // Pending calls fail with the cause, so the result is not needed here.
            let _ = dispatch.await;
        };
        // Ending both together closes the connection even if its send buffer is full.
        send_messages(&own_name, &client, first, &messages, report).or(dispatch_ended).await;
    }
}

/// Sends messages in order, each after the previous one is acknowledged, until one is not.
async fn send_messages(
    own_name: &NodeName,
    client: &KeeperServiceClient,
    first: Message,
    messages: &Receiver<Message>,
    report: impl Fn(PeerStatus),
) {
    let mut next = Ok(first);
    while let Ok(message) = next {
        let message = PeerMessage { from: own_name.clone(), message };
        let timeout = ack_timeout(&message);
        let acknowledged = async { Some(client.peer(net::call_context(), message).await) };
        let timed_out = async {
            net::sleep(timeout).await;
            None
        };
        match acknowledged.or(timed_out).await {
            Some(Ok(())) => report(PeerStatus::Answering),
            // The connection is closed.
            Some(Err(_)) => return,
            None => return report(PeerStatus::Silent),
        }
        next = messages.recv().await;
    }
}

/// Returns how long a keeper may take to acknowledge a message of this size.
fn ack_timeout(message: &PeerMessage) -> Duration {
    // A message that can't be encoded fails its call at once, whatever the timeout.
    let bytes = bincode::serialized_size(message).unwrap_or(0);
    ACK_TIMEOUT + Duration::from_millis(bytes / MIN_LINK_BYTES_PER_MS)
}
