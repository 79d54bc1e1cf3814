//! Messages between dockpass's own processes, and the tarpc services that carry them.
//!
//! Every message is a plain typed value, so that tests and traces use the same ones as the daemon.

// The service macro makes items that it does not document.
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
pub use session::{AgentProfile, Load, Refusal, StartTask, TaskEnd, TaskReport, ToAgent, ToEntry};
