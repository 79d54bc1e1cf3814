//! HTTP/1.1 and tarpc over `async-io`, without a tokio runtime.
//!
//! tarpc needs a tokio context for its timers; wrapping its futures in `async_compat::Compat`
//! provides one.

mod client;
mod connect;
mod connections;
mod rpc;
mod server;
mod spawner;
mod tracked_stream;

pub use client::{Client, ClientError, Reply};
pub use connect::{connect, set_socket_options};
pub use connections::{ConnectionInfo, Connections, Phase};
pub use rpc::{FramedTransport, call_context, framed_transport, sleep};
pub use server::{Body, BodyError, DEFAULT_MAX_HEADER_BYTES, Limits, serve, serve_until_closed};
pub use spawner::{Spawner, block_on};
