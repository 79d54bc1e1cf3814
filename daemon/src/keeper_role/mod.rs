//! The keeper role: one thread listens to operators, nodes and other keepers, one drives the state
//! machine and writes the journal, one sends messages to the other keepers.

mod driver;
mod hall_commands;
mod listen;
mod log_lines;
mod peers;
mod roster;
mod storage;

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use async_channel::Sender;
use async_io::Async;
use consensus::{Record, Replica, Timing};
use journal::{Disk, Journal, JournalError};
use keeper::{Keeper, Roster};
use membership::HostList;
use model::{NodeName, Time};
use net::Clients;
use settings::Tree;
use spdlog::warn;
use thiserror::Error;

use crate::clock::Clock;
use crate::config::{KeeperConfig, NodeConfig, Scheduling};
use crate::event_log::EventLog;
use crate::event_loop::CHANNEL_CAPACITY;
use crate::hosts::ListSubscriber;
use crate::threads::{ThreadHandle, join, spawn};

pub use driver::KeeperStatus;
use driver::{Input, KeeperDriver, RosterLink};
use peers::PeersInput;
use storage::{encode_record, open_journal};

/// File name of the journal in the data folder.
const JOURNAL_FILE: &str = "settings.journal";

/// Options to start a keeper.
#[derive(Clone, Debug)]
pub struct KeeperOptions {
    /// The node's configuration.
    pub node: NodeConfig,
    /// The configuration of the keeper role.
    pub keeper: KeeperConfig,
    /// The event log; without it, events go to the daemon's text log.
    pub(crate) log: Option<EventLog>,
    /// The disk that the journal is written to.
    pub disk: Disk,
    /// The clients of all servers of the process.
    pub clients: Clients,
}

impl KeeperOptions {
    /// Returns options without an event log.
    pub fn new(node: NodeConfig, keeper: KeeperConfig) -> Self {
        let clients = Clients::new(node.client_limits);
        Self { node, keeper, log: None, disk: Disk::default(), clients }
    }
}

/// Why a keeper can't be initialized or started.
#[derive(Debug, Error)]
pub enum KeeperError {
    /// The journal can't be opened or written.
    #[error("keeper: {0}")]
    Journal(#[from] JournalError),
    /// A file, socket or thread is unavailable.
    #[error("keeper: {0}")]
    Io(#[from] io::Error),
    /// A record of the journal can't be decoded; holds its index.
    #[error("keeper: record {0} of the journal can't be decoded")]
    InvalidRecord(usize),
    /// The journal's records are inconsistent.
    #[error("keeper: {0}")]
    InvalidState(#[from] keeper::KeeperError),
    /// The initial settings tree is invalid.
    #[error("keeper: {path}: {reason}")]
    InvalidTree {
        /// The path of the tree's file.
        path: String,
        /// Why the tree is invalid.
        reason: String,
    },
    /// The journal already exists; holds its path.
    #[error("keeper: {0} already exists: a cluster is created only once")]
    AlreadyInitialized(String),
    /// There is no journal, and no other keeper to catch up from; holds the journal's path.
    #[error("keeper: {0} does not exist: create the cluster with dockpassd --init-keeper")]
    NotInitialized(String),
}

/// Writes the journal of a keeper of a new cluster, with the initial settings tree. Has to run once
/// on every keeper, with the same tree and the same list of keepers.
pub fn init_keeper(node: &NodeConfig, config: &KeeperConfig) -> Result<(), KeeperError> {
    let path = config.data.join(JOURNAL_FILE);
    if path.exists() {
        return Err(KeeperError::AlreadyInitialized(path.display().to_string()));
    }
    let tree = read_initial_tree(config.initial.as_deref())?;
    let records = keeper::initial_records(config.members(&node.name), tree);
    let mut journal = Journal::open(&path)?.journal;
    let records: Vec<Vec<u8>> = records.iter().map(encode_record).collect();
    journal.rewrite(&records)?;
    Ok(())
}

/// A running keeper.
pub struct KeeperHandle {
    address: SocketAddr,
    node_address: SocketAddr,
    input_sender: Sender<Input>,
    peers: Sender<PeersInput>,
    threads: Vec<ThreadHandle>,
}

impl KeeperHandle {
    /// Recovers the state and starts the threads.
    pub fn start(options: KeeperOptions) -> Result<Self, KeeperError> {
        let KeeperOptions { mut node, keeper: config, log, disk, clients } = options;
        let capacity_scheduling = node.scheduling == Scheduling::Capacity;
        if capacity_scheduling {
            // Keepers find each other by address, so the address is also their name.
            node.name = NodeName::new(&config.node_listen.to_string());
        }
        let contacts = contacts(&node);
        let clock = Clock::start();
        let listener = Async::<TcpListener>::bind(config.listen)?;
        let node_listener = Async::<TcpListener>::bind(config.node_listen)?;
        let address = listener.get_ref().local_addr()?;
        let node_address = node_listener.get_ref().local_addr()?;
        let (mut journal, records) = open_or_create_journal(&node.name, &config, &contacts, disk)?;
        let seed = uuid::Uuid::new_v4().as_u128() as u64;
        let voters = capacity_scheduling.then(|| config.tolerated_losses * 2 + 1);
        let timing = Timing { voters, ..Timing::default() };
        let now = clock.now();
        let mut keeper = Keeper::recover(node.name.clone(), records, timing, seed, now)?;
        keeper.set_contacts(contacts);
        keeper.set_hall_command_lifetime(config.hall_command_lifetime);
        if keeper.is_only_voter() {
            // A single keeper with a full disk can't accept changes, and no other keeper replaces
            // it.
            journal.sync()?;
        }
        let (input_sender, inputs) = async_channel::bounded(CHANNEL_CAPACITY);
        let (peers, peers_inputs) = async_channel::bounded(CHANNEL_CAPACITY);
        let status_logger = log_lines::peer_status_logger(node.name.clone(), log.clone());
        let roster =
            capacity_scheduling.then(|| start_roster(now, &config, node_address, log.clone()));
        let (roster, roster_thread) = roster.transpose()?.unzip();
        let driver = KeeperDriver::new(node.name.clone(), keeper, journal, peers.clone(), log, now)
            .with_roster(roster);
        let driver_thread =
            spawn("keeper-decide", move |_| crate::event_loop::run(driver, inputs, clock))?;
        let listen_inputs = input_sender.clone();
        let context =
            listen::OperatorContext { input_sender: listen_inputs, address, capacity_scheduling };
        let listen_thread = spawn("keeper-listen", move |tasks| {
            listen::run(tasks, listener, node_listener, clients, context)
        })?;
        let others: HashMap<NodeName, SocketAddr> =
            config.peers.iter().filter(|(name, _)| *name != node.name).cloned().collect();
        let name = node.name;
        let peers_thread = spawn("keeper-peers", move |tasks| {
            peers::run(name, tasks, others, peers_inputs, status_logger)
        })?;
        let threads =
            [driver_thread, listen_thread, peers_thread].into_iter().chain(roster_thread).collect();
        Ok(Self { address, node_address, input_sender, peers, threads })
    }

    /// The address on which the keeper listens for operators.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address on which the keeper listens for nodes and other keepers.
    pub fn node_address(&self) -> SocketAddr {
        self.node_address
    }

    /// The keeper's status; `None` once it has stopped.
    pub fn status(&self) -> Option<KeeperStatus> {
        let (reply, status) = async_channel::bounded(1);
        self.input_sender.send_blocking(Input::Status(reply)).ok()?;
        status.recv_blocking().ok()
    }

    /// Asks the keeper to transfer leadership, if it leads, before a planned stop.
    pub(crate) fn resign(&self) {
        // Fails if the keeper has ended, which then no longer leads.
        let _ = self.input_sender.try_send(Input::Resign);
    }

    /// Passes the changed list of configured keepers to the keeper.
    pub(crate) fn set_contacts(&self, node: &NodeConfig) {
        // Fails if the keeper has ended.
        let _ = self.input_sender.try_send(Input::Contacts(contacts(node)));
    }

    /// Waits until the keeper's state machine has ended, as it does after a journal error.
    pub(crate) fn wait_until_ended(&self) -> impl Future<Output = ()> + use<> {
        let input_sender = self.input_sender.clone();
        async move { input_sender.closed().await }
    }

    /// Returns a reader of the keeper's status.
    pub(crate) fn status_reader(&self) -> StatusReader {
        StatusReader(self.input_sender.clone())
    }

    pub(crate) fn list_subscriber(&self) -> ListSubscriber {
        let peers = self.peers.clone();
        Box::new(move |list: &HostList| {
            peers.send_blocking(PeersInput::Hosts(list.clone())).is_ok()
        })
    }

    /// Stops the keeper after the current batch of inputs.
    pub fn stop(mut self) {
        self.input_sender.close();
        self.peers.close();
        join(std::mem::take(&mut self.threads));
    }
}

/// Reads the stored nodes into a roster and starts the roster thread.
fn start_roster(
    now: Time,
    config: &KeeperConfig,
    own: SocketAddr,
    log: Option<EventLog>,
) -> io::Result<(RosterLink, ThreadHandle)> {
    let roster = Roster::new(now, roster::read_stored_nodes(&config.data, log.as_ref()));
    let (work, work_receiver) = async_channel::bounded(CHANNEL_CAPACITY);
    let data = config.data.clone();
    let thread = spawn("keeper-roster", move |_| roster::run(data, own, log, work_receiver))?;
    Ok((RosterLink { roster, work }, thread))
}

/// Reads the status of a running keeper.
pub(crate) struct StatusReader(Sender<Input>);

impl StatusReader {
    /// Returns the keeper's status; `None` once it has stopped or its input channel is full.
    pub fn read(&self) -> Option<KeeperStatus> {
        let (reply, status) = async_channel::bounded(1);
        self.0.try_send(Input::Status(reply)).ok()?;
        status.recv_blocking().ok()
    }
}

/// With capacity scheduling: the names of the configured keepers, which are their addresses.
fn contacts(node: &NodeConfig) -> Vec<NodeName> {
    if node.scheduling != Scheduling::Capacity {
        return Vec::new();
    }
    let name = |contact: &SocketAddr| {
        NodeName::new(&SocketAddr::new(contact.ip(), node.node_port).to_string())
    };
    node.keepers.iter().map(name).collect()
}

/// Opens the journal. If it is empty, writes the records of a replica that catches up from the
/// other keepers before it votes. Without other keepers, fails if there is no journal. With
/// capacity scheduling, calls [`open_journal_with_contacts`] instead.
fn open_or_create_journal(
    name: &NodeName,
    config: &KeeperConfig,
    contacts: &[NodeName],
    disk: Disk,
) -> Result<(Journal, Vec<Record>), KeeperError> {
    let path = config.data.join(JOURNAL_FILE);
    if !contacts.is_empty() {
        return open_journal_with_contacts(name, config.create_cluster, contacts, &path, disk);
    }
    let members = config.members(name);
    if !path.exists() && members.len() == 1 {
        return Err(KeeperError::NotInitialized(path.display().to_string()));
    }
    let (mut journal, records, cut_bytes) = open_journal(&path, disk)?;
    if cut_bytes > 0 {
        warn!("keeper {}: cut a torn record of {} bytes off the journal", name, cut_bytes);
    }
    if !records.is_empty() {
        return Ok((journal, records));
    }
    warn!("keeper {}: the journal is empty: not voting until caught up", name);
    let records = Replica::blank_records(members);
    write_initial_records(&mut journal, &records)?;
    Ok((journal, records))
}

/// Writes the first records of a journal. On a full disk they remain to be written by a retry.
fn write_initial_records(journal: &mut Journal, records: &[Record]) -> Result<(), JournalError> {
    let bytes: Vec<Vec<u8>> = records.iter().map(encode_record).collect();
    match journal.rewrite(&bytes) {
        Err(error) if !error.is_full() => Err(error),
        _ => Ok(()),
    }
}

/// Opens the journal with capacity scheduling. If it is empty, writes the records of a new cluster
/// if the configuration asks for one and lists this keeper, otherwise those of a replica that joins
/// an existing cluster.
fn open_journal_with_contacts(
    name: &NodeName,
    create_cluster: bool,
    contacts: &[NodeName],
    path: &Path,
    disk: Disk,
) -> Result<(Journal, Vec<Record>), KeeperError> {
    let (mut journal, records, cut_bytes) = open_journal(path, disk)?;
    if cut_bytes > 0 {
        warn!("keeper {}: cut a torn record of {} bytes off the journal", name, cut_bytes);
    }
    if !records.is_empty() {
        return Ok((journal, records));
    }
    let records = if create_cluster && contacts.contains(name) {
        let mut members = contacts.to_vec();
        members.sort();
        keeper::initial_records(members, Tree::default())
    } else {
        Replica::blank_records(Vec::new())
    };
    write_initial_records(&mut journal, &records)?;
    Ok((journal, records))
}

fn read_initial_tree(path: Option<&Path>) -> Result<Tree, KeeperError> {
    let Some(path) = path else { return Ok(Tree::default()) };
    let text = std::fs::read_to_string(path)?;
    Tree::from_ini(&text).map_err(|error| KeeperError::InvalidTree {
        path: path.display().to_string(),
        reason: error.to_string(),
    })
}
