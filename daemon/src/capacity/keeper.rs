//! The keeper role for nodes that schedule by reported capacity.

use std::time::Duration;

use async_io::Timer;

use super::{CapacityNodeError, NodeContext, io_error, metrics, reload_until_stopped};
use crate::keeper_role::{KeeperHandle, KeeperOptions};

/// How long a resigning leader waits for another keeper to take over.
const HANDOVER_TIME: Duration = Duration::from_millis(250);

/// Runs the keeper until the process is asked to stop or the keeper fails.
pub(super) fn run(context: NodeContext) -> Result<(), CapacityNodeError> {
    let Some(keeper) = context.config.keeper.clone() else { return Ok(()) };
    let log = Some(context.log.clone());
    let options = KeeperOptions {
        log,
        clients: context.clients.clone(),
        ..KeeperOptions::new(context.config.node.clone(), keeper)
    };
    let handle = KeeperHandle::start(options)?;
    net::block_on(|tasks| async move {
        if let Some(address) = context.config.node.metrics {
            let status = handle.status_reader();
            metrics::serve(address, &tasks, &context.clients, move |page| {
                let Some(status) = status.read() else { return };
                page.value("keeper_leads", "", u64::from(status.leads));
                page.value("keeper_term", "", status.term);
                page.value("keeper_committed", "", status.committed);
                page.value("keeper_blank", "", u64::from(status.blank));
                page.value("configuration_version", "", status.document);
                page.value("halls_revision", "", status.halls_revision);
                page.value("halls_emptied", "", status.emptied_halls.len() as u64);
                page.value("hall_commands_unconfirmed_total", "", status.unconfirmed_hall_commands);
                page.value("journal_bytes", "", status.journal_bytes);
                page.value("keeper_disk_full", "", u64::from(status.disk_full));
                page.value("nodes", "", status.nodes as u64);
            })
            .map_err(io_error(address.to_string()))?;
        }
        let failed = handle.wait_until_ended();
        let stopped = async {
            reload_until_stopped(&context, |config| handle.set_contacts(&config.node)).await;
            handle.resign();
            Timer::after(HANDOVER_TIME).await;
        };
        futures_lite::future::or(stopped, failed).await;
        handle.stop();
        Ok(())
    })
}
