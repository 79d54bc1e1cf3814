//! A keeper as threads: one listens to operators and nodes, one decides and writes its journal.

mod decide;
mod listen;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use async_channel::Sender;
use async_io::Async;
use journal::{Journal, JournalError};
use settings::Tree;
use thiserror::Error;

use crate::clock::Clock;
use crate::config::{KeeperConfig, NodeConfig};
use crate::driver::RING;
use crate::threads::{Duty, join, spawn};

use decide::{Input, KeeperDecider};

/// The journal's file in the data folder.
const JOURNAL: &str = "settings.journal";

/// What a keeper is started with.
#[derive(Clone, Debug)]
pub struct KeeperOptions {
    /// Who the node is.
    pub node: NodeConfig,
    /// The keeper's part of the configuration.
    pub keeper: KeeperConfig,
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
    /// The journal's records make no sense.
    #[error("keeper: record {0} of the journal can't be read")]
    BadRecord(usize),
    /// The initial tree is refused.
    #[error("keeper: {path}: {reason}")]
    BadTree {
        /// The file.
        path: String,
        /// Why.
        reason: String,
    },
}

/// A running keeper.
pub struct KeeperHandle {
    address: SocketAddr,
    node_address: SocketAddr,
    ring: Sender<Input>,
    duties: Vec<Duty>,
}

impl KeeperHandle {
    /// Recovers the state and starts the threads.
    pub fn start(options: KeeperOptions) -> Result<Self, KeeperError> {
        let clock = Clock::start();
        let listener = Async::<TcpListener>::bind(options.keeper.listen)?;
        let node_listener = Async::<TcpListener>::bind(options.keeper.node_listen)?;
        let address = listener.get_ref().local_addr()?;
        let node_address = node_listener.get_ref().local_addr()?;
        let initial = initial_tree(options.keeper.initial.as_deref())?;
        let opened = Journal::open(&options.keeper.data.join(JOURNAL))?;
        let decider = KeeperDecider::recover(options.node.name.clone(), opened, initial)?;
        let (ring, inputs) = async_channel::bounded(RING);
        let decide = spawn("keeper-decide", move |_| crate::driver::drive(decider, inputs, clock))?;
        let calls = ring.clone();
        let listen = spawn("keeper-listen", move |tasks| {
            listen::run(tasks, listener, node_listener, calls)
        })?;
        Ok(Self { address, node_address, ring, duties: vec![decide, listen] })
    }

    /// Where operators reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where nodes reach it.
    pub fn node_address(&self) -> SocketAddr {
        self.node_address
    }

    /// Ends after the change in hand.
    pub fn stop(mut self) {
        self.ring.close();
        join(std::mem::take(&mut self.duties));
    }
}

fn initial_tree(path: Option<&Path>) -> Result<Tree, KeeperError> {
    let Some(path) = path else { return Ok(Tree::default()) };
    let text = std::fs::read_to_string(path)?;
    Tree::from_ini(&text).map_err(|error| KeeperError::BadTree {
        path: path.display().to_string(),
        reason: error.to_string(),
    })
}
