//! The agent's serving thread: tarpc from entries.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use agent::{Reply, Request};
use async_channel::{Receiver, Sender};
use async_io::Async;
use claims::{ClaimReply, ClaimRequest, LookupReply};
use execution::Session;
use futures::StreamExt;
use futures::channel::oneshot;
use futures_lite::future;
use model::SubmissionId;
use net::Spawner;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel, Config};
use wire::{
    AgentInfo, AgentService, AgentStatus, HelloRequest, SettleReply, SettleRequest, StartReply,
    StartRequest, SyncReply, SyncRequest,
};

use super::Shared;
use super::decide::Input;
use crate::driver::RING;

/// Serves until the deciding thread ends.
pub(crate) async fn run(
    tasks: Spawner,
    listener: Async<TcpListener>,
    ring: Sender<Input>,
    shared: Arc<Shared>,
    opened: Receiver<()>,
) {
    // Ends, with an error, once the first settings have come.
    let _ = opened.recv().await;
    let sessions = AtomicU64::new(0);
    let accept = async {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            net::set_socket_options(&stream);
            let session = Session(sessions.fetch_add(1, Ordering::Relaxed));
            let server = Server { session, ring: ring.clone(), shared: shared.clone() };
            tasks.spawn(serve(tasks.clone(), stream, server));
        }
    };
    let stop = ring.closed();
    future::or(accept, stop).await;
}

/// Serves one connection to its end.
async fn serve(tasks: Spawner, stream: Async<std::net::TcpStream>, server: Server) {
    let (session, ring) = (server.session, server.ring.clone());
    let config = Config { pending_response_buffer: RING };
    let channel = BaseChannel::new(config, net::framed_transport(stream));
    let runner = tasks.clone();
    let calls = async_compat::Compat::new(async move {
        let mut calls = std::pin::pin!(channel.execute(server.serve()));
        while let Some(call) = calls.next().await {
            runner.spawn_rpc(call);
        }
    });
    calls.await;
    // The deciding thread may have ended.
    let _ = ring.send(Input::Closed(session)).await;
}

/// The service on one connection.
#[derive(Clone)]
struct Server {
    session: Session,
    ring: Sender<Input>,
    shared: Arc<Shared>,
}

/// Counts a call until it is answered.
struct Answering(Arc<Shared>);

impl Answering {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.calls.fetch_add(1, Ordering::AcqRel);
        Self(shared.clone())
    }
}

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Server {
    /// Passes a call to the deciding thread. A call that it does not answer is never answered:
    /// the entry learns of it when the connection ends.
    async fn ask(&self, request: Request) -> Reply {
        let (reply, answer) = oneshot::channel();
        let input = Input::Call { session: self.session, request, reply };
        if self.ring.send(input).await.is_err() {
            return future::pending().await;
        }
        match answer.await {
            Ok(reply) => reply,
            Err(_) => future::pending().await,
        }
    }
}

/// Unwraps the reply that belongs to a request; the state machine gives no other.
macro_rules! reply {
    ($reply:expr, $kind:ident) => {
        match $reply {
            Reply::$kind(reply) => reply,
            other => unreachable!("a reply of another kind: {other:?}"),
        }
    };
}

impl AgentService for Server {
    async fn hello(self, _: Context, request: HelloRequest) -> AgentInfo {
        reply!(self.ask(Request::Hello(request)).await, Hello)
    }

    async fn claim(self, _: Context, request: ClaimRequest) -> ClaimReply {
        reply!(self.ask(Request::Claim(request)).await, Claim)
    }

    async fn lookup(self, _: Context, submission: SubmissionId) -> LookupReply {
        reply!(self.ask(Request::Lookup(submission)).await, Lookup)
    }

    async fn start(self, _: Context, request: StartRequest) -> StartReply {
        let _answering = Answering::new(&self.shared);
        reply!(self.ask(Request::Start(request)).await, Start)
    }

    async fn settle(self, _: Context, request: SettleRequest) -> SettleReply {
        let _answering = Answering::new(&self.shared);
        reply!(self.ask(Request::Settle(request)).await, Settle)
    }

    async fn status(self, _: Context) -> AgentStatus {
        *reply!(self.ask(Request::Status).await, Status)
    }

    async fn sync(self, _: Context, request: SyncRequest) -> SyncReply {
        reply!(self.ask(Request::Sync(request)).await, Sync)
    }
}
