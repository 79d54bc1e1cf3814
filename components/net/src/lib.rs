//! HTTP and tarpc over `async-io`, without a tokio runtime of our own.
//!
//! tarpc needs a tokio context for its timers; `async_compat::Compat` around each of its futures
//! gives it.

mod client;
mod rpc;
mod server;

pub use client::{Client, ClientError, Reply};
pub use rpc::{Frames, call_context, connect, frames, pause, spawn};
pub use server::{Body, BodyError, Limits, serve};
