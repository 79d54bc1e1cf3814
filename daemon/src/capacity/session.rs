//! A session between an entry and an agent: one connection with batches of typed messages in both
//! directions.

use async_channel::{Receiver, Sender};
use async_io::Async;
use futures::{SinkExt, StreamExt};
use futures_lite::future;
use serde::{Deserialize, Serialize};
use std::net::TcpStream;

/// Max messages queued in a session, so that a peer that stops reading is disconnected. Checked on
/// sending: a bounded channel would allocate all its slots in advance for each session.
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Max messages per frame.
const MAX_BATCH_MESSAGES: usize = 256;

/// The sending half of a session. Dropping it closes the connection, even while a write is blocked.
pub(crate) struct SessionSender<M> {
    messages: Sender<M>,
    /// Closes the session when dropped.
    _open: Sender<()>,
}

/// What is received in a session.
pub(crate) enum Received<M> {
    /// A batch without messages, which announces that the peer reads messages that old builds do
    /// not know. Old builds ignore it.
    EmptyBatch,
    Message(M),
}

/// Messages queued in a session, and a channel that closes once the [`SessionSender`] is dropped.
pub(crate) struct OutboundQueue<M> {
    messages: Receiver<M>,
    open: Receiver<()>,
    announced: bool,
}

impl<M> OutboundQueue<M> {
    /// Sends an empty batch as the first one of the session.
    pub fn announced(self) -> Self {
        Self { announced: true, ..self }
    }
}

impl<M> SessionSender<M> {
    /// Creates a sender and the queue that [`run`] takes its messages from.
    pub fn new() -> (Self, OutboundQueue<M>) {
        let (messages, queued) = async_channel::unbounded();
        let (open, closed) = async_channel::bounded(1);
        let queue = OutboundQueue { messages: queued, open: closed, announced: false };
        (Self { messages, _open: open }, queue)
    }

    /// Queues a message; returns false if the queue is full or the session has ended.
    pub fn send(&self, message: M) -> bool {
        self.messages.len() < MAX_QUEUED_MESSAGES && self.messages.try_send(message).is_ok()
    }
}

/// Runs a session until either side ends it: sends queued messages and passes what is received to
/// `on_received`. Once the sender is dropped nothing more is sent, as the peer may have stopped
/// reading.
pub(crate) async fn run<Out, In>(
    stream: Async<TcpStream>,
    queue: OutboundQueue<Out>,
    mut on_received: impl FnMut(Received<In>),
) where
    Out: Serialize,
    In: for<'de> Deserialize<'de>,
{
    net::set_socket_options(&stream);
    let frames = net::framed_transport::<Vec<In>, Vec<Out>>(stream);
    let (mut sink, mut source) = frames.split();
    let OutboundQueue { messages, open, announced } = queue;
    let send = async move {
        if announced && sink.send(Vec::new()).await.is_err() {
            return;
        }
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
            if batch.is_empty() {
                on_received(Received::EmptyBatch);
            }
            batch.into_iter().map(Received::Message).for_each(&mut on_received);
        }
    };
    let closed = async move {
        // Nothing is sent on this channel; `recv` fails once the sender is dropped.
        let _ = open.recv().await;
    };
    future::or(closed, future::or(send, receive)).await;
}
