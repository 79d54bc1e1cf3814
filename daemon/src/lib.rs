//! The roles of `dockpassd`, wired to threads, rings and sockets.
//!
//! Each role has a thread for each duty, joined by bounded rings: one listens, one decides, one
//! talks to the other side. The deciding thread drives a library that does no I/O.

mod agent_role;
mod capacity;
mod clock;
mod config;
mod decisions;
mod entry_role;
mod event_log;
mod event_loop;
mod failure_detector;
mod hosts;
mod keeper_role;
mod logs;
mod node;
mod settings_client;
mod threads;

pub use agent_role::{AgentHandle, AgentOptions};
pub use capacity::{CapacityNodeError, run_capacity_node};
pub use config::{
    AgentConfig, Config, ConfigError, EntryConfig, KeeperConfig, NodeConfig, Scheduling,
    print_reference,
};
pub use decisions::DecisionLog;
pub use entry_role::{EntryHandle, EntryOptions};
pub use hosts::Platform;
pub use keeper_role::{KeeperError, KeeperHandle, KeeperOptions, KeeperStatus, init_keeper};
pub use logs::{LogError, init_logs};
pub use node::{Node, NodeError};
