//! The agent's serving thread: the tarpc service for entries.

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

use super::SharedState;
use super::driver::Input;
use crate::event_loop::CHANNEL_CAPACITY;

/// Accepts connections from the first settings until the state machine's thread ends.
pub(crate) async fn run(
    tasks: Spawner,
    listener: Async<TcpListener>,
    input_sender: Sender<Input>,
    shared: Arc<SharedState>,
    calls_released: Receiver<()>,
) {
    // Fails once the sender is dropped on the first settings.
    let _ = calls_released.recv().await;
    let sessions = AtomicU64::new(0);
    let accept_connections = async {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            net::set_socket_options(&stream);
            let session = Session(sessions.fetch_add(1, Ordering::Relaxed));
            let server = ConnectionService {
                session,
                input_sender: input_sender.clone(),
                shared: shared.clone(),
            };
            tasks.spawn(serve_connection(tasks.clone(), stream, server));
        }
    };
    let stop = input_sender.closed();
    future::or(accept_connections, stop).await;
}

/// Serves one connection until it is closed.
async fn serve_connection(
    tasks: Spawner,
    stream: Async<std::net::TcpStream>,
    server: ConnectionService,
) {
    let (session, input_sender) = (server.session, server.input_sender.clone());
    let config = Config { pending_response_buffer: CHANNEL_CAPACITY };
    let channel = BaseChannel::new(config, net::framed_transport(stream));
    let call_tasks = tasks.clone();
    let calls = async_compat::Compat::new(async move {
        let mut calls = std::pin::pin!(channel.execute(server.serve()));
        while let Some(call) = calls.next().await {
            call_tasks.spawn_rpc(call);
        }
    });
    calls.await;
    // Fails only if the state machine's thread has ended.
    let _ = input_sender.send(Input::Closed(session)).await;
}

/// The tarpc service on one connection.
#[derive(Clone)]
struct ConnectionService {
    session: Session,
    input_sender: Sender<Input>,
    shared: Arc<SharedState>,
}

/// Counts a call until it is answered.
struct UnansweredCallGuard(Arc<SharedState>);

impl UnansweredCallGuard {
    fn new(shared: &Arc<SharedState>) -> Self {
        shared.unanswered_calls.fetch_add(1, Ordering::AcqRel);
        Self(shared.clone())
    }
}

impl Drop for UnansweredCallGuard {
    fn drop(&mut self) {
        self.0.unanswered_calls.fetch_sub(1, Ordering::AcqRel);
    }
}

impl ConnectionService {
    /// Passes a call to the state machine and waits for the reply. If the state machine drops the
    /// call or has ended, the call never returns, and the entry sees it fail once the connection is
    /// closed.
    async fn call(&self, request: Request) -> Reply {
        let (reply, answer) = oneshot::channel();
        let input = Input::Call { session: self.session, request, reply };
        if self.input_sender.send(input).await.is_err() {
            return future::pending().await;
        }
        match answer.await {
            Ok(reply) => reply,
            Err(_) => future::pending().await,
        }
    }
}

/// Unwraps the reply of the request's kind; the state machine returns no other kind.
macro_rules! reply {
    ($reply:expr, $kind:ident) => {
        match $reply {
            Reply::$kind(reply) => reply,
            other => unreachable!("reply of the wrong kind: {other:?}"),
        }
    };
}

impl AgentService for ConnectionService {
    async fn hello(self, _: Context, request: HelloRequest) -> AgentInfo {
        reply!(self.call(Request::Hello(request)).await, Hello)
    }

    async fn claim(self, _: Context, request: ClaimRequest) -> ClaimReply {
        reply!(self.call(Request::Claim(request)).await, Claim)
    }

    async fn lookup(self, _: Context, submission: SubmissionId) -> LookupReply {
        reply!(self.call(Request::Lookup(submission)).await, Lookup)
    }

    async fn start(self, _: Context, request: StartRequest) -> StartReply {
        let _guard = UnansweredCallGuard::new(&self.shared);
        reply!(self.call(Request::Start(request)).await, Start)
    }

    async fn settle(self, _: Context, request: SettleRequest) -> SettleReply {
        let _guard = UnansweredCallGuard::new(&self.shared);
        reply!(self.call(Request::Settle(request)).await, Settle)
    }

    async fn status(self, _: Context) -> AgentStatus {
        *reply!(self.call(Request::Status).await, Status)
    }

    async fn sync(self, _: Context, request: SyncRequest) -> SyncReply {
        reply!(self.call(Request::Sync(request)).await, Sync)
    }
}
