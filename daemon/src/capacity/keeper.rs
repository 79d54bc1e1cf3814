//! A keeper of nodes whose targets have room.

use std::time::Duration;

use async_io::Timer;

use super::{CapacityNodeError, Started, io_error, metrics, until_stopped};
use crate::keeper_role::{KeeperHandle, KeeperOptions};

/// How long a leader that resigns waits for another to lead.
const HAND_OVER: Duration = Duration::from_millis(250);

/// Runs the keeper until it is told to stop.
pub(super) fn run(started: Started) -> Result<(), CapacityNodeError> {
    let Some(keeper) = started.config.keeper.clone() else { return Ok(()) };
    let log = Some(started.log.clone());
    let options = KeeperOptions { log, ..KeeperOptions::new(started.config.node.clone(), keeper) };
    let handle = KeeperHandle::start(options)?;
    net::block_on(|tasks| async move {
        if let Some(address) = started.config.node.metrics {
            let status = handle.status_source();
            metrics::serve(address, &tasks, move |page| {
                let Some(status) = status.now() else { return };
                page.value("keeper_leads", "", u64::from(status.leads));
                page.value("keeper_term", "", status.term);
                page.value("keeper_committed", "", status.committed);
                page.value("keeper_blank", "", u64::from(status.blank));
                page.value("configuration_version", "", status.document);
                page.value("halls_revision", "", status.halls_revision);
                page.value("halls_emptied", "", status.emptied_halls.len() as u64);
                page.value("journal_bytes", "", status.journal_bytes);
                page.value("keeper_disk_full", "", u64::from(status.disk_full));
                page.value("nodes", "", status.nodes as u64);
            })
            .map_err(io_error(address.to_string()))?;
        }
        let broken = handle.ended();
        let stopped = async {
            until_stopped(&started, |config| handle.set_contacts(&config.node)).await;
            handle.resign();
            Timer::after(HAND_OVER).await;
        };
        futures_lite::future::or(stopped, broken).await;
        handle.stop();
        Ok(())
    })
}
