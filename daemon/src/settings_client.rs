//! A node's link to the keepers: pulls settings and hands them to the node's roles.

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

/// Pause before the next keeper is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// News of the settings.
#[derive(Clone, Debug)]
pub(crate) enum SettingsUpdate {
    /// A version came into force.
    Catalog(Arc<Catalog>),
    /// The version in force was the newest at this time.
    Confirmed(Time),
}

/// Takes news; false when it wants no more.
pub(crate) type SettingsSubscriber = Box<dyn Fn(SettingsUpdate) -> bool + Send>;

/// What is known of the settings.
struct Link {
    node: NodeName,
    clock: Clock,
    subscribers: Vec<SettingsSubscriber>,
    have: Option<(u64, Tree)>,
}

/// Starts the link's thread. It ends when told to, or when no subscriber wants more.
pub(crate) fn start(
    node: NodeName,
    keepers: Vec<SocketAddr>,
    clock: Clock,
    subscribers: Vec<SettingsSubscriber>,
    stopped: Receiver<()>,
) -> io::Result<ThreadHandle> {
    spawn_until("settings", stopped, move |tasks| async move {
        let mut link = Link { node, clock, subscribers, have: None };
        let mut turn = 0;
        while !link.subscribers.is_empty() {
            let keeper = keepers[turn % keepers.len()];
            turn += 1;
            if let Ok(stream) = net::connect(keeper).await {
                let NewClient { client, dispatch } =
                    KeeperServiceClient::new(Config::default(), net::frames(stream));
                tasks.spawn_rpc(async move {
                    // The calls see why it ended.
                    let _ = dispatch.await;
                });
                link.follow(&client, keeper).await;
            }
            Timer::after(RETRY_PAUSE).await;
        }
    })
}

impl Link {
    /// Pulls from one keeper until it fails or can't tell.
    async fn follow(&mut self, client: &KeeperServiceClient, keeper: SocketAddr) {
        while !self.subscribers.is_empty() {
            let asked = self.clock.now();
            let have = self.have.as_ref().map(|(version, _)| *version);
            let request = PullRequest { node: self.node.clone(), have };
            match client.pull(net::call_context(), request).await {
                Ok(PullReply::Unsure { .. }) | Err(_) => return,
                Ok(reply) => {
                    if !self.take(reply, asked, keeper) {
                        return;
                    }
                }
            }
        }
    }

    /// Takes a keeper's reply; false when it makes no sense.
    fn take(&mut self, reply: PullReply, asked: Time, keeper: SocketAddr) -> bool {
        match reply {
            PullReply::Unsure { .. } => return false,
            PullReply::Current => {}
            PullReply::Snapshot { version, tree } => {
                if !self.apply(version, tree, keeper) {
                    return false;
                }
            }
            PullReply::Delta { version, edits } => {
                let Some((_, tree)) = &self.have else { return false };
                let tree = edits.iter().try_fold(tree.clone(), |tree, edits| tree.with(edits));
                let Ok(tree) = tree else {
                    error!("settings: a delta of {} makes no valid tree", keeper);
                    self.have = None;
                    return false;
                };
                if !self.apply(version, tree, keeper) {
                    return false;
                }
            }
        }
        self.tell(&SettingsUpdate::Confirmed(asked));
        true
    }

    /// Puts a version into force, unless it is lower than the one in force.
    fn apply(&mut self, version: u64, tree: Tree, keeper: SocketAddr) -> bool {
        if self.have.as_ref().is_some_and(|(have, _)| version < *have) {
            warn!("settings: {} is behind with version {}", keeper, version);
            return false;
        }
        info!("settings: version {} from {}", version, keeper);
        let catalog = Arc::new(Catalog::new(version, &tree));
        self.have = Some((version, tree));
        self.tell(&SettingsUpdate::Catalog(catalog));
        true
    }

    fn tell(&mut self, update: &SettingsUpdate) {
        self.subscribers.retain(|subscriber| subscriber(update.clone()));
    }
}
