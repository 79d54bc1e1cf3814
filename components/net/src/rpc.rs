//! tarpc connections.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_compat::Compat;
use async_io::{Async, Timer};
use serde::{Deserialize, Serialize};
use tarpc::context::Context;
use tarpc::serde_transport::{self, Transport};
use tokio_serde::formats::Bincode;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Longest frame taken, in bytes: a relayed job with the largest body.
const FRAME_BYTES_MAX: usize = 32 * 1024 * 1024;
/// Deadline of calls. Deadlines of work are part of the messages; a call itself ends with its
/// answer or its connection, so that no answer is dropped that carries a token.
const CALL_TIME: Duration = Duration::from_secs(24 * 3600);

/// A connection of framed bincode messages.
pub type FramedTransport<Item, SinkItem> =
    Transport<Compat<Async<TcpStream>>, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Frames a connection.
pub fn framed_transport<Item, SinkItem>(stream: Async<TcpStream>) -> FramedTransport<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let codec = LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec();
    serde_transport::new(Framed::new(Compat::new(stream), codec), Bincode::default())
}

/// The context of a call. The library of calls takes its deadlines from the clock that stands still while the host is
/// suspended: a call lasts that much longer, and who waits for it looks at its own clock.
#[allow(clippy::disallowed_methods)]
pub fn call_context() -> Context {
    let mut context = Context::current();
    context.deadline = Instant::now() + CALL_TIME;
    context
}

/// Waits.
pub async fn sleep(time: Duration) {
    Timer::after(time).await;
}
