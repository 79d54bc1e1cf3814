//! HTTP and tarpc over `async-io`, without a tokio runtime of our own.
//!
//! tarpc needs a tokio context for its timers; `async_compat::Compat` around each of its futures
//! gives it.

mod client;
mod connect;
mod connections;
mod rpc;
mod server;
mod tasks;
mod tracked;

pub use client::{Client, ClientError, Reply};
pub use connect::{connect, set_socket_options};
pub use connections::{ConnectionInfo, Connections, Phase};
pub use rpc::{FramedTransport, call_context, framed_transport, sleep};
pub use server::{Body, BodyError, DEFAULT_MAX_HEADER_BYTES, Limits, serve, serve_until_closed};
pub use tasks::{Spawner, block_on};
