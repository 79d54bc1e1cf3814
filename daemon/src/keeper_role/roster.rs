//! The keeper's thread that stores the known nodes and notifies their hosts of this keeper.
//!
//! A thread of its own keeps slow writes of the node file from delaying the state machine.

use std::fs;
use std::io::{self, ErrorKind, Write};
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};

use async_channel::Receiver;
use async_io::Async;
use keeper::{RosterWork, StoredNode};
use wire::KeeperStarted;

use super::log_lines;
use crate::event_log::EventLog;

/// File name of the stored nodes in the data folder.
const NODES_FILE: &str = "nodes.json";

/// Reads the stored nodes. They are only a hint, so an unreadable file counts as empty.
pub(super) fn read_stored_nodes(data: &Path, log: Option<&EventLog>) -> Vec<StoredNode> {
    let nodes = fs::read(data.join(NODES_FILE))
        .and_then(|bytes| serde_json::from_slice(&bytes).map_err(io::Error::other));
    match nodes {
        Ok(nodes) => nodes,
        Err(error) if error.kind() == ErrorKind::NotFound => Vec::new(),
        Err(error) => {
            log_lines::log_roster_error(log, "nodes-unreadable", &error);
            Vec::new()
        }
    }
}

/// Writes nodes and notifies hosts until the channel is closed.
pub(super) async fn run(
    data: PathBuf,
    own_address: SocketAddr,
    log: Option<EventLog>,
    inputs: Receiver<RosterWork>,
) {
    let socket = match Async::<UdpSocket>::bind((own_address.ip(), 0)) {
        Ok(socket) => Some(socket),
        Err(error) => {
            log_lines::log_roster_error(log.as_ref(), "nodes-not-called", &error);
            None
        }
    };
    while let Ok(work) = inputs.recv().await {
        if let Some(socket) = &socket {
            notify_hosts(socket, own_address, &work.notify).await;
        }
        if let Some(nodes) = &work.store
            && let Err(error) = write_nodes(&data, nodes)
        {
            log_lines::log_roster_error(log.as_ref(), "nodes-not-stored", &error);
        }
    }
}

/// Notifies hosts that this keeper is up. The roster repeats the notice to hosts that do not
/// respond.
async fn notify_hosts(socket: &Async<UdpSocket>, own_address: SocketAddr, hosts: &[IpAddr]) {
    let message = bincode::serialize(&KeeperStarted { keeper: own_address })
        .expect("an address serializes to bincode");
    for host in hosts {
        let address = SocketAddr::new(*host, own_address.port());
        // The host may be down or not listening yet.
        let _ = socket.send_to(&message, address).await;
    }
}

fn write_nodes(data: &Path, nodes: &[StoredNode]) -> io::Result<()> {
    let bytes = serde_json::to_vec(nodes)?;
    journal::replace_file(&data.join(NODES_FILE), |file| file.write_all(&bytes))
}
