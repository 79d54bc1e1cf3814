//! The keeper's thread that sends messages to the other keepers.
//!
//! A connection may go silent for good while new ones work, and the other kernel go on acknowledging
//! what is sent. So each message has a time within which the other keeper has to say that it has it;
//! after that the connection is given up, and the next message goes over a new one. The message itself
//! counts as lost: the replicas' protocol repeats what matters.

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
use net::Tasks;
use tarpc::client::{Config, NewClient};
use wire::{KeeperServiceClient, PeerMessage};

/// Messages that wait for one keeper; more are dropped, as if lost.
const WAITING: usize = 256;
/// Pause before a keeper is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long a keeper may take to say that it has a message, besides the time that the message takes on
/// the link. Above the kernel's first repetition of a lost packet (200 ms), below the shortest wait for
/// a leader (400 ms): a follower whose connection goes silent need not stand.
const SILENCE: Duration = Duration::from_millis(300);
/// What a link carries at least, in bytes a millisecond: a third of the narrowest of ours (25 Mbit/s),
/// which are shared.
const SLOWEST_LINK: u64 = 1_000;

/// What reaches the thread.
#[derive(Debug)]
pub(crate) enum PeersInput {
    /// A message for another keeper.
    Message(NodeName, Message),
    /// The platform's list: a keeper that was replaced may have another address.
    Hosts(HostList),
}

/// Takes note that a keeper leaves messages unanswered, or answers again.
pub(crate) trait Notice: Fn(&NodeName, Answers) + Clone + 'static {}

impl<F: Fn(&NodeName, Answers) + Clone + 'static> Notice for F {}

/// Whether a keeper answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answers {
    /// Not within the time for it.
    No,
    /// It does again.
    Again,
}

/// Where the other keepers listen.
type Addresses = Rc<RefCell<HashMap<NodeName, SocketAddr>>>;

/// Sends until the ring is closed. A keeper that is slow or gone holds up no other.
pub(crate) async fn run(
    own: NodeName,
    tasks: Tasks,
    addresses: HashMap<NodeName, SocketAddr>,
    inputs: Receiver<PeersInput>,
    notice: impl Notice,
) {
    let addresses: Addresses = Rc::new(RefCell::new(addresses));
    let mut lanes: HashMap<NodeName, Sender<Message>> = HashMap::new();
    while let Ok(input) = inputs.recv().await {
        match input {
            PeersInput::Message(to, message) => {
                let lane = lanes.entry(to.clone()).or_insert_with(|| {
                    let (lane, waiting) = async_channel::bounded(WAITING);
                    let lane_task =
                        send_to(own.clone(), to, addresses.clone(), waiting, notice.clone());
                    tasks.spawn_rpc(lane_task);
                    lane
                });
                // A message that finds no room is as one that is lost.
                let _ = lane.try_send(message);
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

/// Sends to one keeper, over a connection kept for later messages. It is opened for a message, so that
/// one which its other side closed for want of any costs none.
async fn send_to(
    own: NodeName,
    to: NodeName,
    addresses: Addresses,
    waiting: Receiver<Message>,
    notice: impl Notice,
) {
    let silent = Cell::new(false);
    let answers = |now: Answers| {
        if silent.replace(now == Answers::No) != (now == Answers::No) {
            notice(&to, now);
        }
    };
    while let Ok(first) = waiting.recv().await {
        let known = addresses.borrow().get(&to).copied();
        // A keeper that is in no list goes by its address.
        let Some(address) = known.or_else(|| to.as_str().parse().ok()) else { return };
        let Ok(stream) = net::connect(address).await else {
            // What waited for a keeper that is gone is of no more use.
            while waiting.try_recv().is_ok() {}
            net::pause(RETRY_PAUSE).await;
            continue;
        };
        let NewClient { client, dispatch } =
            KeeperServiceClient::new(Config::default(), net::frames(stream));
        let ended = async move {
            // The calls see why it ended.
            let _ = dispatch.await;
        };
        // Both end together, so that the connection is closed also where it takes no more bytes.
        talk(&own, &client, first, &waiting, answers).or(ended).await;
    }
}

/// Sends one message after the other, each once the one before it was taken, until one is not.
async fn talk(
    own: &NodeName,
    client: &KeeperServiceClient,
    first: Message,
    waiting: &Receiver<Message>,
    answers: impl Fn(Answers),
) {
    let mut next = Ok(first);
    while let Ok(message) = next {
        let message = PeerMessage { from: own.clone(), message };
        let time = answer_time(&message);
        let taken = async { Some(client.peer(net::call_context(), message).await) };
        let late = async {
            net::pause(time).await;
            None
        };
        match taken.or(late).await {
            Some(Ok(())) => answers(Answers::Again),
            // The connection is gone.
            Some(Err(_)) => return,
            None => return answers(Answers::No),
        }
        next = waiting.recv().await;
    }
}

/// How long a keeper may take to say that it has a message.
fn answer_time(message: &PeerMessage) -> Duration {
    // One that can't be written makes the call fail at once, whatever the time for it.
    let bytes = bincode::serialized_size(message).unwrap_or(0);
    SILENCE + Duration::from_millis(bytes / SLOWEST_LINK)
}
