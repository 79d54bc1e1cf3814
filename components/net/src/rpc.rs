//! Transport and call contexts for tarpc over TCP.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_compat::Compat;
use async_io::{Async, Timer};
use serde::{Deserialize, Serialize};
use tarpc::context::Context;
use tarpc::serde_transport::{self, Transport};
use tokio_serde::formats::Bincode;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum frame size, in bytes. Fits a relayed job with the largest allowed body.
const FRAME_BYTES_MAX: usize = 32 * 1024 * 1024;
/// Deadline of an RPC, long enough never to apply: tarpc drops late responses, and a response may
/// carry a slot token. Deadlines of tasks are part of the messages.
const CALL_DEADLINE: Duration = Duration::from_secs(24 * 3600);

/// A transport of length-delimited bincode messages over TCP.
pub type FramedTransport<Item, SinkItem> =
    Transport<Compat<Async<TcpStream>>, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Wraps a TCP stream in a transport of length-delimited bincode messages.
pub fn framed_transport<Item, SinkItem>(stream: Async<TcpStream>) -> FramedTransport<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let codec = LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec();
    serde_transport::new(Framed::new(Compat::new(stream), codec), Bincode::default())
}

/// The context of an RPC.
///
/// tarpc's deadlines use `Instant`, which doesn't advance while the host is suspended. Callers that
/// need a timeout measure it with their own clock.
#[allow(clippy::disallowed_methods)]
pub fn call_context() -> Context {
    let mut context = Context::current();
    context.deadline = Instant::now() + CALL_DEADLINE;
    context
}

/// Completes after `duration`.
pub async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}
