//! Calls to other entries over reused connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use membership::{HostList, Role};
use model::{NodeName, SubmissionId};
use net::Spawner;
use tarpc::client::{Config, NewClient};
use wire::{EntryServiceClient, RelayReply, RelayRequest};

/// The addresses of the other entries and the open connections to them.
pub(super) struct Peers {
    tasks: Spawner,
    addresses: RefCell<HashMap<NodeName, SocketAddr>>,
    clients: RefCell<HashMap<NodeName, EntryServiceClient>>,
}

impl Peers {
    pub fn new(tasks: Spawner) -> Self {
        Self { tasks, addresses: RefCell::default(), clients: RefCell::default() }
    }

    /// Replaces the addresses with those of the entries on the platform's list.
    pub fn set_hosts(&self, list: &HostList) {
        let entries = list.of_role(Role::Entry);
        *self.addresses.borrow_mut() =
            entries.map(|host| (host.name.clone(), host.address)).collect();
    }

    /// Relays a submission to the entry that owns it; `None` if the owner is unreachable.
    pub async fn relay(&self, owner: &NodeName, request: RelayRequest) -> Option<RelayReply> {
        let client = self.client(owner).await?;
        let reply = client.relay(net::call_context(), request).await;
        self.forget_failed(owner, reply)
    }

    /// Fetches an outcome from the entry that owns the submission; `None` if the owner is
    /// unreachable.
    pub async fn fetch(&self, owner: &NodeName, submission: SubmissionId) -> Option<RelayReply> {
        let client = self.client(owner).await?;
        let reply = client.fetch(net::call_context(), submission).await;
        self.forget_failed(owner, reply)
    }

    /// Removes the connection if the call failed.
    fn forget_failed<T, E>(&self, owner: &NodeName, reply: Result<T, E>) -> Option<T> {
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
            // Pending calls fail with the cause, so the result is not needed here.
            let _ = dispatch.await;
        });
        self.clients.borrow_mut().insert(owner.clone(), client.clone());
        Some(client)
    }
}
