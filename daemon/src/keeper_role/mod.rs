//! A keeper as threads: one listens to operators, nodes and other keepers, one decides and writes
//! its journal, one talks to the other keepers.

mod decide;
mod listen;
mod news_lines;
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
use settings::Tree;
use spdlog::warn;
use thiserror::Error;

use crate::clock::Clock;
use crate::config::{KeeperConfig, NodeConfig, Scheduling};
use crate::driver::RING;
use crate::event_log::EventLog;
use crate::hosts::ListSubscriber;
use crate::threads::{Duty, join, spawn};

pub use decide::KeeperStatus;
use decide::{Input, KeeperDecider, RosterLink};
use peers::PeersInput;
use storage::{read_journal, write_record};

/// The journal's file in the data folder.
const JOURNAL: &str = "settings.journal";

/// What a keeper is started with.
#[derive(Clone, Debug)]
pub struct KeeperOptions {
    /// Who the node is.
    pub node: NodeConfig,
    /// The keeper's part of the configuration.
    pub keeper: KeeperConfig,
    /// Where lines of changes of state go; those of the daemon's plain log otherwise.
    pub(crate) log: Option<EventLog>,
    /// What takes the journal's bytes.
    pub disk: Disk,
}

impl KeeperOptions {
    /// Options without a log of lines.
    pub fn new(node: NodeConfig, keeper: KeeperConfig) -> Self {
        Self { node, keeper, log: None, disk: Disk::default() }
    }
}

/// Why a keeper can't start.
#[derive(Debug, Error)]
pub enum KeeperError {
    /// The journal can't be used.
    #[error("keeper: {0}")]
    Journal(#[from] JournalError),
    /// A socket or thread can't be had.
    #[error("keeper: {0}")]
    Io(#[from] io::Error),
    /// A record of the journal can't be read.
    #[error("keeper: record {0} of the journal can't be read")]
    BadRecord(usize),
    /// The journal's records make no sense.
    #[error("keeper: {0}")]
    BadState(#[from] keeper::KeeperError),
    /// The initial tree is refused.
    #[error("keeper: {path}: {reason}")]
    BadTree {
        /// The file.
        path: String,
        /// Why.
        reason: String,
    },
    /// The data folder holds a journal already.
    #[error("keeper: {0} exists already: a cluster is begun once")]
    Begun(String),
    /// The data folder is empty, and there is nobody to catch up from.
    #[error("keeper: {0} does not exist: begin the cluster with dockpassd --init-keeper")]
    NotBegun(String),
}

/// Writes the journal of a keeper of a new cluster, with the tree that it begins with. Done once,
/// on each keeper, with the same tree and the same keepers.
pub fn init_keeper(node: &NodeConfig, config: &KeeperConfig) -> Result<(), KeeperError> {
    let path = config.data.join(JOURNAL);
    if path.exists() {
        return Err(KeeperError::Begun(path.display().to_string()));
    }
    let tree = initial_tree(config.initial.as_deref())?;
    let records = keeper::initial_records(config.members(&node.name), tree);
    let mut journal = Journal::open(&path)?.journal;
    let records: Vec<Vec<u8>> = records.iter().map(write_record).collect();
    journal.rewrite(&records)?;
    Ok(())
}

/// A running keeper.
pub struct KeeperHandle {
    address: SocketAddr,
    node_address: SocketAddr,
    ring: Sender<Input>,
    peers: Sender<PeersInput>,
    duties: Vec<Duty>,
}

impl KeeperHandle {
    /// Recovers the state and starts the threads.
    pub fn start(options: KeeperOptions) -> Result<Self, KeeperError> {
        let KeeperOptions { mut node, keeper: config, log, disk } = options;
        let room = node.scheduling == Scheduling::Room;
        if room {
            // Keepers find each other by address, so that is what they are named by.
            node.name = NodeName::new(&config.node_listen.to_string());
        }
        let contacts = contacts(&node);
        let clock = Clock::start();
        let listener = Async::<TcpListener>::bind(config.listen)?;
        let node_listener = Async::<TcpListener>::bind(config.node_listen)?;
        let address = listener.get_ref().local_addr()?;
        let node_address = node_listener.get_ref().local_addr()?;
        let (mut journal, records) = journal_or_blank(&node.name, &config, &contacts, disk)?;
        let seed = uuid::Uuid::new_v4().as_u128() as u64;
        let voters = room.then(|| config.tolerated_losses * 2 + 1);
        let timing = Timing { voters, ..Timing::default() };
        let now = clock.now();
        let mut keeper = Keeper::recover(node.name.clone(), records, timing, seed, now)?;
        keeper.set_contacts(contacts);
        if keeper.is_only_voter() {
            // Without its disk it could take nothing, and no other keeper goes on.
            journal.sync()?;
        }
        let (ring, inputs) = async_channel::bounded(RING);
        let (peers, to_peers) = async_channel::bounded(RING);
        let notice = news_lines::of_peers(node.name.clone(), log.clone());
        let roster = room.then(|| start_roster(now, &config, node_address, log.clone()));
        let (roster, remember) = roster.transpose()?.unzip();
        let decider =
            KeeperDecider::new(node.name.clone(), keeper, journal, peers.clone(), log, now)
                .with_roster(roster);
        let decide = spawn("keeper-decide", move |_| crate::driver::drive(decider, inputs, clock))?;
        let calls = ring.clone();
        let operators = listen::Operators { ring: calls, address, room };
        let listen = spawn("keeper-listen", move |tasks| {
            listen::run(tasks, listener, node_listener, operators)
        })?;
        let others: HashMap<NodeName, SocketAddr> =
            config.peers.iter().filter(|(name, _)| *name != node.name).cloned().collect();
        let name = node.name;
        let talk =
            spawn("keeper-peers", move |tasks| peers::run(name, tasks, others, to_peers, notice))?;
        let duties = [decide, listen, talk].into_iter().chain(remember).collect();
        Ok(Self { address, node_address, ring, peers, duties })
    }

    /// Where operators reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where nodes and other keepers reach it.
    pub fn node_address(&self) -> SocketAddr {
        self.node_address
    }

    /// What it tells of itself; none once it has stopped.
    pub fn status(&self) -> Option<KeeperStatus> {
        let (reply, status) = async_channel::bounded(1);
        self.ring.send_blocking(Input::Status(reply)).ok()?;
        status.recv_blocking().ok()
    }

    /// Asks a leader to hand over, before a planned stop.
    pub(crate) fn resign(&self) {
        // A keeper that has ended leads no more.
        let _ = self.ring.try_send(Input::Resign);
    }

    /// The configuration names other keepers.
    pub(crate) fn set_contacts(&self, node: &NodeConfig) {
        // A keeper that has ended asks nobody.
        let _ = self.ring.try_send(Input::Contacts(contacts(node)));
    }

    /// Waits until the keeper has ended by itself: its disk failed.
    pub(crate) fn wait_until_ended(&self) -> impl Future<Output = ()> + use<> {
        let ring = self.ring.clone();
        async move { ring.closed().await }
    }

    /// Where its status is had from.
    pub(crate) fn status_reader(&self) -> StatusReader {
        StatusReader(self.ring.clone())
    }

    pub(crate) fn list_subscriber(&self) -> ListSubscriber {
        let peers = self.peers.clone();
        Box::new(move |list: &HostList| {
            peers.send_blocking(PeersInput::Hosts(list.clone())).is_ok()
        })
    }

    /// Ends after the batch in hand.
    pub fn stop(mut self) {
        self.ring.close();
        self.peers.close();
        join(std::mem::take(&mut self.duties));
    }
}

/// The roster of nodes with what was remembered, and the thread that remembers and calls them.
fn start_roster(
    now: Time,
    config: &KeeperConfig,
    own: SocketAddr,
    log: Option<EventLog>,
) -> io::Result<(RosterLink, Duty)> {
    let roster = Roster::new(now, roster::read(&config.data, log.as_ref()));
    let (work, to_do) = async_channel::bounded(RING);
    let data = config.data.clone();
    let duty = spawn("keeper-roster", move |_| roster::run(data, own, log, to_do))?;
    Ok((RosterLink { roster, work }, duty))
}

/// Asks a keeper for its status.
pub(crate) struct StatusReader(Sender<Input>);

impl StatusReader {
    /// Its status; none once it has stopped.
    pub fn read(&self) -> Option<KeeperStatus> {
        let (reply, status) = async_channel::bounded(1);
        self.0.try_send(Input::Status(reply)).ok()?;
        status.recv_blocking().ok()
    }
}

/// With room: the keepers that the configuration names, by the addresses that they go by.
fn contacts(node: &NodeConfig) -> Vec<NodeName> {
    if node.scheduling != Scheduling::Room {
        return Vec::new();
    }
    let name =
        |seed: &SocketAddr| NodeName::new(&SocketAddr::new(seed.ip(), node.node_port).to_string());
    node.keepers.iter().map(name).collect()
}

/// The journal's records; those of an empty disk where there is no journal, and others to catch
/// up from.
fn journal_or_blank(
    name: &NodeName,
    config: &KeeperConfig,
    contacts: &[NodeName],
    disk: Disk,
) -> Result<(Journal, Vec<Record>), KeeperError> {
    let path = config.data.join(JOURNAL);
    if !contacts.is_empty() {
        return founded_or_blank(name, config.found, contacts, &path, disk);
    }
    let members = config.members(name);
    if !path.exists() && members.len() == 1 {
        return Err(KeeperError::NotBegun(path.display().to_string()));
    }
    let (mut journal, records, cut) = read_journal(&path, disk)?;
    if cut > 0 {
        warn!("keeper {}: cut a torn record of {} bytes", name, cut);
    }
    if !records.is_empty() {
        return Ok((journal, records));
    }
    warn!("keeper {}: an empty disk: does not vote until it has caught up", name);
    let records = Replica::blank_records(members);
    begin(&mut journal, &records)?;
    Ok((journal, records))
}

/// Writes the first records of a journal, or leaves them to be written once the disk has room.
fn begin(journal: &mut Journal, records: &[Record]) -> Result<(), JournalError> {
    let bytes: Vec<Vec<u8>> = records.iter().map(write_record).collect();
    match journal.rewrite(&bytes) {
        Err(error) if !error.is_full() => Err(error),
        _ => Ok(()),
    }
}

/// With room: the journal's records; on an empty disk those of a new cluster, where this keeper is
/// one of its founders, or else of a replica that asks to join.
fn founded_or_blank(
    name: &NodeName,
    found: bool,
    contacts: &[NodeName],
    path: &Path,
    disk: Disk,
) -> Result<(Journal, Vec<Record>), KeeperError> {
    let (mut journal, records, cut) = read_journal(path, disk)?;
    if cut > 0 {
        warn!("keeper {}: cut a torn record of {} bytes", name, cut);
    }
    if !records.is_empty() {
        return Ok((journal, records));
    }
    let records = if found && contacts.contains(name) {
        let mut members = contacts.to_vec();
        members.sort();
        keeper::initial_records(members, Tree::default())
    } else {
        Replica::blank_records(Vec::new())
    };
    begin(&mut journal, &records)?;
    Ok((journal, records))
}

fn initial_tree(path: Option<&Path>) -> Result<Tree, KeeperError> {
    let Some(path) = path else { return Ok(Tree::default()) };
    let text = std::fs::read_to_string(path)?;
    Tree::from_ini(&text).map_err(|error| KeeperError::BadTree {
        path: path.display().to_string(),
        reason: error.to_string(),
    })
}
