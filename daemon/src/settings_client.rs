//! Pulls settings from the keepers and passes them to the node's roles.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use model::{NodeName, Time};
use settings::{Catalog, Tree};
use spdlog::{error, info, warn};
use tarpc::client::{Config, NewClient};
use wire::{KeeperServiceClient, PullReply, PullRequest};

use crate::clock::Clock;
use crate::threads::{ThreadHandle, spawn_until};

/// Delay before the next keeper is tried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A change or confirmation of the settings.
#[derive(Clone, Debug)]
pub(crate) enum SettingsUpdate {
    /// A new version of the settings.
    Catalog(Arc<Catalog>),
    /// The current version was the newest one at this time.
    Confirmed(Time),
}

/// Receives updates; returns false to unsubscribe.
pub(crate) type SettingsSubscriber = Box<dyn Fn(SettingsUpdate) -> bool + Send>;

/// The current settings and their subscribers.
struct SettingsClient {
    node: NodeName,
    clock: Clock,
    subscribers: Vec<SettingsSubscriber>,
    current: Option<(u64, Tree)>,
}

/// Starts the client's thread. It ends when the other side of `stopped` is dropped or no subscriber
/// is left.
pub(crate) fn start(
    node: NodeName,
    keepers: Vec<SocketAddr>,
    clock: Clock,
    subscribers: Vec<SettingsSubscriber>,
    stopped: Receiver<()>,
) -> io::Result<ThreadHandle> {
    spawn_until("settings", stopped, move |tasks| async move {
        let mut settings_client = SettingsClient { node, clock, subscribers, current: None };
        let mut attempt = 0;
        while !settings_client.subscribers.is_empty() {
            let keeper = keepers[attempt % keepers.len()];
            attempt += 1;
            if let Ok(stream) = net::connect(keeper).await {
                let NewClient { client, dispatch } =
                    KeeperServiceClient::new(Config::default(), net::framed_transport(stream));
                tasks.spawn_rpc(async move {
                    // Pending calls fail with the cause, so the result is not needed here.
                    let _ = dispatch.await;
                });
                settings_client.pull_from(&client, keeper).await;
            }
            Timer::after(RETRY_DELAY).await;
        }
    })
}

impl SettingsClient {
    /// Pulls from one keeper until a call fails or the keeper does not know the current settings.
    async fn pull_from(&mut self, client: &KeeperServiceClient, keeper: SocketAddr) {
        while !self.subscribers.is_empty() {
            let requested_at = self.clock.now();
            let have = self.current.as_ref().map(|(version, _)| *version);
            let request = PullRequest { node: self.node.clone(), have };
            match client.pull(net::call_context(), request).await {
                Ok(PullReply::Unsure { .. }) | Err(_) => return,
                Ok(reply) => {
                    if !self.apply_reply(reply, requested_at, keeper) {
                        return;
                    }
                }
            }
        }
    }

    /// Applies a keeper's reply. Returns false if the reply is unusable.
    fn apply_reply(&mut self, reply: PullReply, requested_at: Time, keeper: SocketAddr) -> bool {
        match reply {
            PullReply::Unsure { .. } => return false,
            PullReply::Current => {}
            PullReply::Snapshot { version, tree } => {
                if !self.apply_tree(version, tree, keeper) {
                    return false;
                }
            }
            PullReply::Delta { version, edits } => {
                let Some((_, tree)) = &self.current else { return false };
                let tree =
                    edits.iter().try_fold(tree.clone(), |tree, edits| tree.with_edits(edits));
                let Ok(tree) = tree else {
                    error!("settings: the delta from keeper {} gives an invalid tree", keeper);
                    self.current = None;
                    return false;
                };
                if !self.apply_tree(version, tree, keeper) {
                    return false;
                }
            }
        }
        self.notify(&SettingsUpdate::Confirmed(requested_at));
        true
    }

    /// Replaces the current settings unless the version is older. Returns whether they were
    /// replaced.
    fn apply_tree(&mut self, version: u64, tree: Tree, keeper: SocketAddr) -> bool {
        if self.current.as_ref().is_some_and(|(current, _)| version < *current) {
            warn!("settings: ignoring older version {} from keeper {}", version, keeper);
            return false;
        }
        info!("settings: received version {} from keeper {}", version, keeper);
        let catalog = Arc::new(Catalog::new(version, &tree));
        self.current = Some((version, tree));
        self.notify(&SettingsUpdate::Catalog(catalog));
        true
    }

    fn notify(&mut self, update: &SettingsUpdate) {
        self.subscribers.retain(|subscriber| subscriber(update.clone()));
    }
}
