//! The keeper's thread that remembers nodes on the disk and calls them.
//!
//! Apart from the deciding thread, as its disk may be slow: no change waits for it.

use std::fs;
use std::io::{self, ErrorKind, Write};
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};

use async_channel::Receiver;
use async_io::Async;
use keeper::{RosterWork, StoredNode};
use wire::KeeperStarted;

use super::news_lines;
use crate::event_log::EventLog;

/// The file in the data folder.
const FILE: &str = "nodes.json";

/// Reads the nodes that were remembered. They are a hint: none where they can't be read.
pub(super) fn read(data: &Path, log: Option<&EventLog>) -> Vec<StoredNode> {
    let nodes = fs::read(data.join(FILE))
        .and_then(|bytes| serde_json::from_slice(&bytes).map_err(io::Error::other));
    match nodes {
        Ok(nodes) => nodes,
        Err(error) if error.kind() == ErrorKind::NotFound => Vec::new(),
        Err(error) => {
            news_lines::nodes_problem(log, "nodes-unreadable", &error);
            Vec::new()
        }
    }
}

/// Stores and calls until the ring is closed.
pub(super) async fn run(
    data: PathBuf,
    own: SocketAddr,
    log: Option<EventLog>,
    inputs: Receiver<RosterWork>,
) {
    let socket = match Async::<UdpSocket>::bind((own.ip(), 0)) {
        Ok(socket) => Some(socket),
        Err(error) => {
            news_lines::nodes_problem(log.as_ref(), "nodes-not-called", &error);
            None
        }
    };
    while let Ok(work) = inputs.recv().await {
        if let Some(socket) = &socket {
            call(socket, own, &work.call).await;
        }
        if let Some(nodes) = &work.store
            && let Err(error) = store(&data, nodes)
        {
            news_lines::nodes_problem(log.as_ref(), "nodes-not-stored", &error);
        }
    }
}

/// Tells hosts that this keeper is up. Who is not told is called again.
async fn call(socket: &Async<UdpSocket>, own: SocketAddr, hosts: &[IpAddr]) {
    let message = bincode::serialize(&KeeperStarted { keeper: own }).expect("an address");
    for host in hosts {
        let address = SocketAddr::new(*host, own.port());
        // The host may be down, its port without a listener yet.
        let _ = socket.send_to(&message, address).await;
    }
}

fn store(data: &Path, nodes: &[StoredNode]) -> io::Result<()> {
    let bytes = serde_json::to_vec(nodes)?;
    journal::replace_file(&data.join(FILE), |file| file.write_all(&bytes))
}
