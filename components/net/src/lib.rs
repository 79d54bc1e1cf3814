//! HTTP/1.1 and tarpc over `async-io`, without a tokio runtime.
//!
//! tarpc needs a tokio context for its timers; wrapping its futures in `async_compat::Compat`
//! provides one.

mod body;
mod client;
mod client_limits;
mod client_progress;
mod client_table;
mod clients;
mod connect;
mod connections;
mod rpc;
mod server;
mod spawner;
mod tracked_stream;
mod turns;

pub use body::{BodyError, HeldBody, RequestBody};
pub use client::{Client, ClientError, Reply};
pub use client_limits::{ClientLimits, LimitCounters, LimitReason, Refused, ServerLimits};
pub use client_progress::Stage;
pub use client_table::{ClientId, ClientTable, ServerId};
pub use clients::{Clients, Hold};
pub use connect::{connect, set_socket_options};
pub use connections::{ConnectionInfo, Connections, Phase};
pub use rpc::{FramedTransport, call_context, framed_transport, sleep};
pub use server::{
    Body, DEFAULT_MAX_HEADER_BYTES, DEFAULT_SOCKET_BUFFER_BYTES, Limits, serve, serve_until_closed,
};
pub use spawner::{Spawner, block_on};
