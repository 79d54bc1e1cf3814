//! A session between an entry and an agent: a connection with batches of typed messages both ways.

use async_channel::{Receiver, Sender};
use async_io::Async;
use futures::{SinkExt, StreamExt};
use futures_lite::future;
use serde::{Deserialize, Serialize};
use std::net::TcpStream;

/// Messages that wait to be sent; a session whose other side does not read is closed. Slots are not
/// allocated ahead: 4,096 of them take 340 KB, for each session, whatever is sent.
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Most messages in one frame.
const MAX_BATCH_MESSAGES: usize = 256;

/// The sending side of a session. Dropping it closes the connection, also while it takes no bytes.
pub(crate) struct SessionSender<M> {
    messages: Sender<M>,
    /// Dropped with this.
    _open: Sender<()>,
}

/// What waits to be sent in a session, and whether it is closed.
pub(crate) struct OutboundQueue<M> {
    messages: Receiver<M>,
    open: Receiver<()>,
}

impl<M> SessionSender<M> {
    /// A ring for a session that is about to run.
    pub fn new() -> (Self, OutboundQueue<M>) {
        let (messages, queued) = async_channel::unbounded();
        let (open, closed) = async_channel::bounded(1);
        (Self { messages, _open: open }, OutboundQueue { messages: queued, open: closed })
    }

    /// Sends a message; false where the ring is full or the session over.
    pub fn send(&self, message: M) -> bool {
        self.messages.len() < MAX_QUEUED_MESSAGES && self.messages.try_send(message).is_ok()
    }
}

/// Runs a session until either side ends it: sends what waits, hands on what comes. Once it is closed
/// here nothing more is sent: the other side may have stopped reading for good.
pub(crate) async fn run<Out, In>(
    stream: Async<TcpStream>,
    queue: OutboundQueue<Out>,
    mut on_message: impl FnMut(In),
) where
    Out: Serialize,
    In: for<'de> Deserialize<'de>,
{
    net::tune(&stream);
    let frames = net::frames::<Vec<In>, Vec<Out>>(stream);
    let (mut sink, mut source) = frames.split();
    let OutboundQueue { messages, open } = queue;
    let send = async move {
        while let Ok(first) = messages.recv().await {
            let mut batch = vec![first];
            while batch.len() < MAX_BATCH_MESSAGES
                && let Ok(next) = messages.try_recv()
            {
                batch.push(next);
            }
            if sink.send(batch).await.is_err() {
                return;
            }
        }
    };
    let receive = async move {
        while let Some(Ok(batch)) = source.next().await {
            batch.into_iter().for_each(&mut on_message);
        }
    };
    let closed = async move {
        // Nothing is ever sent; it fails once the other half is dropped.
        let _ = open.recv().await;
    };
    future::or(closed, future::or(send, receive)).await;
}
