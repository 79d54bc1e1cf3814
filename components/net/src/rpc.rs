//! tarpc connections.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_compat::Compat;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tarpc::context::Context;
use tarpc::serde_transport::{self, Transport};
use tokio_serde::formats::Bincode;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Longest frame taken, in bytes: a relayed job with the largest body.
const FRAME_BYTES_MAX: usize = 32 * 1024 * 1024;
/// How long to wait for a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// After this a connection breaks whose sent bytes are not acknowledged by the other host. A
/// process that stands still does not cause it: its host acknowledges.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Deadline of calls. Deadlines of work are part of the messages; a call itself ends with its
/// answer or its connection, so that no answer is dropped that carries a token.
const CALL_TIME: Duration = Duration::from_secs(24 * 3600);

/// A connection of framed bincode messages.
pub type Frames<Item, SinkItem> =
    Transport<Compat<Async<TcpStream>>, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Connects, without Nagle's delay.
pub async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let late = async {
        Timer::after(CONNECT_TIME).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    let stream = Async::<TcpStream>::connect(address).or(late).await?;
    tune(&stream);
    Ok(stream)
}

/// Sends small frames at once, and breaks a connection whose other host is silent.
///
/// Without the options frames still come, only later: a failure to set them is no failure.
pub fn tune(stream: &Async<TcpStream>) {
    let socket = SockRef::from(stream.get_ref());
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(SILENCE));
}

/// Frames a connection.
pub fn frames<Item, SinkItem>(stream: Async<TcpStream>) -> Frames<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let codec = LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec();
    serde_transport::new(Framed::new(Compat::new(stream), codec), Bincode::default())
}

/// The context of a call.
pub fn call_context() -> Context {
    let mut context = Context::current();
    context.deadline = Instant::now() + CALL_TIME;
    context
}

/// Waits.
pub async fn pause(time: Duration) {
    Timer::after(time).await;
}
