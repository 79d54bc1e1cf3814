//! The keeper's thread that sends messages to the other keepers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use consensus::Message;
use membership::{HostList, Role};
use model::NodeName;
use net::Tasks;
use tarpc::client::{Config, NewClient};
use wire::{KeeperServiceClient, PeerMessage};

/// Messages that wait for one keeper; more are dropped, as if lost.
const WAITING: usize = 256;
/// Pause before a keeper is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What reaches the thread.
#[derive(Debug)]
pub(crate) enum ToPeers {
    /// A message for another keeper.
    Message(NodeName, Message),
    /// The platform's list: a keeper that was replaced may have another address.
    Hosts(HostList),
}

/// Where the other keepers listen.
type Addresses = Rc<RefCell<HashMap<NodeName, SocketAddr>>>;

/// Sends until the ring is closed. A keeper that is slow or gone holds up no other.
pub(crate) async fn run(
    own: NodeName,
    tasks: Tasks,
    addresses: HashMap<NodeName, SocketAddr>,
    inputs: Receiver<ToPeers>,
) {
    let addresses: Addresses = Rc::new(RefCell::new(addresses));
    let mut lanes: HashMap<NodeName, Sender<Message>> = HashMap::new();
    while let Ok(input) = inputs.recv().await {
        match input {
            ToPeers::Message(to, message) => {
                let lane = lanes.entry(to.clone()).or_insert_with(|| {
                    let (lane, waiting) = async_channel::bounded(WAITING);
                    let lane_task =
                        send_to(own.clone(), to, tasks.clone(), addresses.clone(), waiting);
                    tasks.spawn(lane_task);
                    lane
                });
                // A message that finds no room is as one that is lost.
                let _ = lane.try_send(message);
            }
            ToPeers::Hosts(list) => set_addresses(&addresses, &list),
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

/// Sends to one keeper, over a connection kept for later messages.
async fn send_to(
    own: NodeName,
    to: NodeName,
    tasks: Tasks,
    addresses: Addresses,
    waiting: Receiver<Message>,
) {
    while !waiting.is_closed() {
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
        tasks.spawn_rpc(async move {
            // The calls see why it ended.
            let _ = dispatch.await;
        });
        while let Ok(message) = waiting.recv().await {
            let message = PeerMessage { from: own.clone(), message };
            if client.peer(net::call_context(), message).await.is_err() {
                break;
            }
        }
    }
}
