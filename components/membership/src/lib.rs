//! Which hosts exist, live and leave.

mod list;

pub use list::{Host, HostList, HostState, Role};
