//! The roles of `dockpassd`, connected to threads, channels and sockets.
//!
//! Each role has one thread that listens, one that drives the role's state machine and one that
//! sends requests to other processes, connected by bounded channels. With capacity scheduling,
//! entries and agents run on a single thread instead. The state machines are libraries that do no
//! I/O.

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
mod text;
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
