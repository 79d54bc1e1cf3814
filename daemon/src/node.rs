//! A node: its roles, its settings client, its failure detector and its watch of the host list.

use std::io;
use std::thread::JoinHandle;

use async_channel::{Receiver, Sender};
use model::{Incarnation, NodeRef};
use net::Clients;
use spdlog::{info, warn};
use thiserror::Error;

use crate::agent_role::{AgentHandle, AgentOptions};
use crate::clock::Clock;
use crate::config::Config;
use crate::decisions::DecisionLog;
use crate::entry_role::{EntryHandle, EntryOptions};
use crate::failure_detector;
use crate::hosts::{ListSubscriber, Platform, watch};
use crate::keeper_role::{KeeperError, KeeperHandle, KeeperOptions};
use crate::settings_client;
use crate::threads::{ThreadHandle, join};

/// File name of the decision log in the folder of the logs.
const DECISIONS_FILE: &str = "decisions.log";

/// Why a node can't start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// A socket, file or thread is unavailable.
    #[error("{component}: {source}")]
    Io {
        /// The part of the node that failed to start.
        component: &'static str,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The keeper failed to start.
    #[error(transparent)]
    Keeper(#[from] KeeperError),
}

/// A running node.
pub struct Node {
    entry: Option<EntryHandle>,
    agent: Option<AgentHandle>,
    keeper: Option<KeeperHandle>,
    decisions: Option<JoinHandle<()>>,
    /// Dropped to end `threads`.
    stop_threads: Option<Sender<()>>,
    threads: Vec<ThreadHandle>,
}

impl Node {
    /// Starts every role of a configuration.
    pub fn start(config: &Config, platform: Platform) -> Result<Self, NodeError> {
        let io = |component| move |source| NodeError::Io { component, source };
        let node_ref = NodeRef { name: config.node.name.clone(), incarnation: new_incarnation() };
        let (log, decisions) = decision_log(config).map_err(io("decision log"))?;
        let clients = Clients::new(config.node.client_limits);
        let keeper = start_keeper(config, clients.clone())?;
        let mut node = Self {
            entry: None,
            agent: None,
            keeper,
            decisions,
            stop_threads: None,
            threads: Vec::new(),
        };
        if let Some(entry) = config.entry {
            let options = EntryOptions {
                node: config.node.clone(),
                entry,
                node_ref: node_ref.clone(),
                decisions: log,
                clients: clients.clone(),
            };
            node.entry = Some(EntryHandle::start(options).map_err(io("entry"))?);
        }
        if let Some(agent) = config.agent.clone() {
            let options =
                AgentOptions { node: config.node.clone(), agent, node_ref: node_ref.clone() };
            node.agent = Some(AgentHandle::start(options).map_err(io("agent"))?);
        }
        node.start_shared_services(config, &node_ref, platform)
            .map_err(io("settings and platform"))?;
        Ok(node)
    }

    /// Starts what the roles share: the settings client, the failure detector and the watch of the
    /// platform's host list.
    fn start_shared_services(
        &mut self,
        config: &Config,
        node_ref: &NodeRef,
        platform: Platform,
    ) -> io::Result<()> {
        let (stop, stopped) = async_channel::bounded(1);
        self.stop_threads = Some(stop);
        let mut list_subscribers = self.list_subscribers();
        self.start_failure_detector(node_ref, &mut list_subscribers, &stopped);
        self.start_settings_client(config, &stopped)?;
        self.threads.push(watch(
            platform,
            config.node.platform_poll_interval,
            list_subscribers,
            stopped,
        )?);
        Ok(())
    }

    fn list_subscribers(&self) -> Vec<ListSubscriber> {
        let entry = self.entry.as_ref().map(EntryHandle::list_subscriber);
        let agent = self.agent.as_ref().map(AgentHandle::list_subscriber);
        let keeper = self.keeper.as_ref().map(KeeperHandle::list_subscriber);
        entry.into_iter().chain(agent).chain(keeper).collect()
    }

    fn start_failure_detector(
        &mut self,
        node_ref: &NodeRef,
        list_subscribers: &mut Vec<ListSubscriber>,
        stopped: &Receiver<()>,
    ) {
        let entry = self.entry.as_ref();
        let agent = self.agent.as_ref().map(AgentHandle::address);
        let Some(address) = entry.map(EntryHandle::peer_address).or(agent) else { return };
        let subscribers = entry.map(EntryHandle::liveness_subscriber).into_iter().collect();
        match failure_detector::start(node_ref, address, subscribers, stopped.clone()) {
            Ok((list, thread)) => {
                list_subscribers.push(list);
                self.threads.push(thread);
            }
            // Replies, closed connections and leases still reveal failed nodes.
            Err(error) => warn!("failed to start the failure detector at {}: {}", address, error),
        }
    }

    fn start_settings_client(&mut self, config: &Config, stopped: &Receiver<()>) -> io::Result<()> {
        let entry = self.entry.as_ref().map(EntryHandle::settings_subscriber);
        let agent = self.agent.as_ref().map(AgentHandle::settings_subscriber);
        let subscribers: Vec<_> = entry.into_iter().chain(agent).collect();
        if subscribers.is_empty() {
            return Ok(());
        }
        let name = config.node.name.clone();
        let mut keepers = config.node.keepers.clone();
        keepers.extend(self.keeper.as_ref().map(KeeperHandle::node_address));
        let clock = Clock::start();
        let client_thread =
            settings_client::start(name, keepers, clock, subscribers, stopped.clone())?;
        self.threads.push(client_thread);
        Ok(())
    }

    /// The entry, if the node has that role.
    pub fn entry(&self) -> Option<&EntryHandle> {
        self.entry.as_ref()
    }

    /// The agent, if the node has that role.
    pub fn agent(&self) -> Option<&AgentHandle> {
        self.agent.as_ref()
    }

    /// The keeper, if the node has that role.
    pub fn keeper(&self) -> Option<&KeeperHandle> {
        self.keeper.as_ref()
    }

    /// Stops as planned: the entry and then the agent finish their work before the node ends.
    pub fn drain(mut self) {
        info!("draining");
        if let Some(entry) = self.entry.take() {
            entry.drain();
        }
        if let Some(agent) = self.agent.take() {
            agent.drain();
        }
        self.stop();
    }

    /// Stops every role and thread at once.
    pub fn stop(mut self) {
        self.stop_threads.take();
        self.entry.take().into_iter().for_each(EntryHandle::stop);
        self.agent.take().into_iter().for_each(AgentHandle::stop);
        self.keeper.take().into_iter().for_each(KeeperHandle::stop);
        join(std::mem::take(&mut self.threads));
        join(self.decisions.take());
        info!("stopped");
    }
}

/// Draws a random incarnation number, which with near certainty no earlier process of the node had.
fn new_incarnation() -> Incarnation {
    let random = uuid::Uuid::new_v4().as_u128();
    Incarnation((random >> 64) as u64 ^ random as u64)
}

fn decision_log(config: &Config) -> io::Result<(DecisionLog, Option<JoinHandle<()>>)> {
    match &config.node.logs {
        Some(folder) if config.entry.is_some() => {
            let (log, thread) = DecisionLog::to_file(&folder.join(DECISIONS_FILE))?;
            Ok((log, Some(thread)))
        }
        _ => Ok((DecisionLog::none(), None)),
    }
}

fn start_keeper(config: &Config, clients: Clients) -> Result<Option<KeeperHandle>, NodeError> {
    let Some(keeper) = config.keeper.clone() else { return Ok(None) };
    let options = KeeperOptions { clients, ..KeeperOptions::new(config.node.clone(), keeper) };
    Ok(Some(KeeperHandle::start(options)?))
}
