//! Messages between the processes of dockpass, and the tarpc services that carry them.
//!
//! Messages are plain data types that simulations and traces share with the daemon. They are
//! encoded by position, so the order of fields and variants is part of the protocol.

// `tarpc::service` generates undocumented public items.
#![allow(missing_docs)]

mod agent;
mod document;
mod entry;
mod halls;
mod keeper;
mod registry;
mod session;

pub use agent::{
    AgentInfo, AgentService, AgentServiceClient, AgentStatus, HelloRequest, SettleReply,
    SettleRequest, StartRefusal, StartReply, StartRequest, StartResult, SyncReply, SyncRequest,
};
pub use document::{Document, DocumentPart, PART_BYTES_MAX, PartRequest};
pub use entry::{EntryService, EntryServiceClient, RelayReply, RelayRequest};
pub use halls::{EmptiedHalls, HallCommand, HallName, InvalidHallName};
pub use keeper::{
    ChangeRequest, ChangeResult, KeeperService, KeeperServiceClient, PeerMessage, PullReply,
    PullRequest,
};
pub use registry::{
    KeeperNames, KeeperStarted, NodeInfo, NodeList, NodeListDelta, NodeListUpdate, NodeRole,
    WatchReply, WatchRequest,
};
pub use session::{
    AgentProfile, Demand, Load, MAX_DEMAND_ROWS, Refusal, StartTask, SuspectedTask, TaskEnd,
    TaskReport, ToAgent, ToEntry,
};
