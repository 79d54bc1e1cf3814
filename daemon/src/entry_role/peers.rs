//! Calls to other entries, each over a connection kept for later ones.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use membership::{HostList, Role};
use model::{NodeName, SubmissionId};
use net::Spawner;
use tarpc::client::{Config, NewClient};
use wire::{EntryServiceClient, RelayReply, RelayRequest};

/// The other entries.
pub(super) struct Peers {
    tasks: Spawner,
    addresses: RefCell<HashMap<NodeName, SocketAddr>>,
    clients: RefCell<HashMap<NodeName, EntryServiceClient>>,
}

impl Peers {
    pub fn new(tasks: Spawner) -> Self {
        Self { tasks, addresses: RefCell::default(), clients: RefCell::default() }
    }

    /// Takes the addresses of entries from the platform's list.
    pub fn set_hosts(&self, list: &HostList) {
        let entries = list.of_role(Role::Entry);
        *self.addresses.borrow_mut() =
            entries.map(|host| (host.name.clone(), host.address)).collect();
    }

    /// Hands a submission to its owner; `None` when the owner can't be reached.
    pub async fn relay(&self, owner: &NodeName, request: RelayRequest) -> Option<RelayReply> {
        let client = self.client(owner).await?;
        let reply = client.relay(net::call_context(), request).await;
        self.checked(owner, reply)
    }

    /// Asks the owner for an outcome; `None` when the owner can't be reached.
    pub async fn fetch(&self, owner: &NodeName, submission: SubmissionId) -> Option<RelayReply> {
        let client = self.client(owner).await?;
        let reply = client.fetch(net::call_context(), submission).await;
        self.checked(owner, reply)
    }

    /// Forgets a connection that failed.
    fn checked<T, E>(&self, owner: &NodeName, reply: Result<T, E>) -> Option<T> {
        if reply.is_err() {
            self.clients.borrow_mut().remove(owner);
        }
        reply.ok()
    }

    async fn client(&self, owner: &NodeName) -> Option<EntryServiceClient> {
        if let Some(client) = self.clients.borrow().get(owner) {
            return Some(client.clone());
        }
        let address = self.addresses.borrow().get(owner).copied()?;
        let stream = net::connect(address).await.ok()?;
        let NewClient { client, dispatch } =
            EntryServiceClient::new(Config::default(), net::framed_transport(stream));
        self.tasks.spawn_rpc(async move {
            // The calls see why it ended.
            let _ = dispatch.await;
        });
        self.clients.borrow_mut().insert(owner.clone(), client.clone());
        Some(client)
    }
}
