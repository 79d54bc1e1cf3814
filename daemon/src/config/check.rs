//! Checks across keys: missing keys, conflicting addresses, folders that are not writable.

use std::net::SocketAddr;
use std::path::Path;

use settings::SettingsError;

use super::keys::{AGENT, ENTRY, KEEPER, NODE};
use super::{Config, KeeperConfig, Scheduling};

/// Checks a configuration; returns the first violation.
pub(super) fn check(config: &Config) -> Result<(), SettingsError> {
    if config.node.roles.is_empty() {
        return Err(SettingsError::key(NODE, "roles", "has to be written"));
    }
    check_platform(&config.node.platform)?;
    if config.node.scheduling == Scheduling::Capacity {
        return check_capacity_scheduling(config);
    }
    let needs_settings = config.entry.is_some() || config.agent.is_some();
    if needs_settings && config.node.keepers.is_empty() {
        return Err(SettingsError::key(NODE, "keepers", "has to be written"));
    }
    if config.entry.is_some() && config.node.platform.is_empty() {
        return Err(SettingsError::key(NODE, "platform", "has to be written"));
    }
    check_duplicate_addresses(config)?;
    if let Some(logs) = &config.node.logs {
        check_writable(NODE, "logs", logs)?;
    }
    if let Some(keeper) = &config.keeper {
        check_keeper_peers(config, keeper)?;
        check_writable(KEEPER, "data", &keeper.data)?;
    }
    Ok(())
}

/// With capacity scheduling a node has one role and discovers all other nodes through the keepers.
fn check_capacity_scheduling(config: &Config) -> Result<(), SettingsError> {
    let missing = |section, key| Err(SettingsError::key(section, key, "has to be written"));
    if config.node.roles.len() != 1 {
        return Err(SettingsError::key(NODE, "roles", "with room a node has exactly one role"));
    }
    if config.node.keepers.is_empty() {
        return missing(NODE, "keepers");
    }
    if config.node.node_port == 0 {
        return missing(NODE, "node_port");
    }
    if config.entry.is_some_and(|entry| entry.ready_listen.is_none()) {
        return missing(ENTRY, "ready_listen");
    }
    check_duplicate_addresses(config)?;
    match &config.keeper {
        Some(keeper) => check_writable(KEEPER, "data", &keeper.data),
        None => Ok(()),
    }
}

/// Checks that the cluster has an odd number of keepers and includes this one.
fn check_keeper_peers(config: &Config, keeper: &KeeperConfig) -> Result<(), SettingsError> {
    let invalid = |reason: &str| Err(SettingsError::key(KEEPER, "peers", reason));
    match keeper.peers.len() {
        0 => return Ok(()),
        1 | 3 | 5 => {}
        _ => return invalid("1, 3 or 5 keepers"),
    }
    if !keeper.peers.iter().any(|(name, _)| *name == config.node.name) {
        return invalid("this node is not among them");
    }
    Ok(())
}

fn check_platform(platform: &str) -> Result<(), SettingsError> {
    let known =
        platform.is_empty() || platform.starts_with("file:") || platform.starts_with("http://");
    if known {
        return Ok(());
    }
    let reason = format!("'{platform}' is neither file:PATH nor http://IP:PORT/PATH");
    Err(SettingsError::key(NODE, "platform", reason))
}

/// Checks that no two addresses of the node's roles are equal.
fn check_duplicate_addresses(config: &Config) -> Result<(), SettingsError> {
    let mut addresses: Vec<(SocketAddr, &str, &str)> = Vec::new();
    let mut add_address = |address: SocketAddr, section, key| {
        // Port 0 asks for any free port.
        let duplicate =
            addresses.iter().find(|(other, _, _)| address.port() != 0 && *other == address);
        if let Some((_, other_section, other_key)) = duplicate {
            let reason = format!("{address} clashes with [{other_section}] {other_key}");
            return Err(SettingsError::key(section, key, reason));
        }
        addresses.push((address, section, key));
        Ok(())
    };
    if let Some(entry) = &config.entry {
        add_address(entry.listen, ENTRY, "listen")?;
        add_address(entry.peer_listen, ENTRY, "peer_listen")?;
    }
    if let Some(agent) = &config.agent {
        add_address(agent.listen, AGENT, "listen")?;
        add_address(agent.target, AGENT, "target")?;
    }
    if let Some(keeper) = &config.keeper {
        add_address(keeper.listen, KEEPER, "listen")?;
        add_address(keeper.node_listen, KEEPER, "node_listen")?;
    }
    Ok(())
}

/// Checks that a file can be created in a folder.
fn check_writable(section: &str, key: &str, folder: &Path) -> Result<(), SettingsError> {
    let file = folder.join(".dockpass-probe");
    let result = std::fs::write(&file, b"").and_then(|()| std::fs::remove_file(&file));
    result.map_err(|error| {
        let reason = format!("can't write in {}: {error}", folder.display());
        SettingsError::key(section, key, reason)
    })
}
