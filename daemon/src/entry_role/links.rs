//! The entry's talking thread: a connection to every agent, and calls on it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use entry::{Action, Connection, Event};
use futures_lite::FutureExt;
use membership::{Host, HostList, Role};
use model::{NodeName, NodeRef};
use net::Spawner;
use tarpc::client::{Config, NewClient};
use wire::{AgentInfo, AgentServiceClient, HelloRequest};

use super::decide::Input;
use super::peers::Peers;
use crate::driver::RING;

/// Pause before an agent is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time for the calls of a connection that is given up to fail.
const GIVE_UP_TIME: Duration = Duration::from_millis(50);

/// What reaches the talking thread.
#[derive(Debug)]
pub(crate) enum LinkInput {
    /// Something to say.
    Action(Action),
    /// The platform's list.
    Hosts(HostList),
    /// The failure detector says that an agent's host is dead.
    Dead(NodeName),
}

/// An open connection to an agent.
#[derive(Clone)]
struct Open {
    connection: Connection,
    client: AgentServiceClient,
    /// Closed to give the connection up.
    keep: Sender<()>,
}

/// The talking thread's state, shared by its tasks.
struct Links {
    life: NodeRef,
    tasks: Spawner,
    events: Sender<Input>,
    hosts: RefCell<HashMap<NodeName, Host>>,
    open: RefCell<HashMap<NodeName, Open>>,
    kept: RefCell<Vec<NodeName>>,
    next_connection: Cell<u64>,
    peers: Peers,
}

/// Runs until the ring is closed.
pub(crate) async fn run(
    life: NodeRef,
    tasks: Spawner,
    inputs: Receiver<LinkInput>,
    events: Sender<Input>,
) {
    let links = Rc::new(Links {
        life,
        tasks: tasks.clone(),
        events,
        hosts: RefCell::default(),
        open: RefCell::default(),
        kept: RefCell::default(),
        next_connection: Cell::new(0),
        peers: Peers::new(tasks),
    });
    while let Ok(input) = inputs.recv().await {
        match input {
            LinkInput::Action(action) => links.act(action),
            LinkInput::Hosts(list) => links.set_hosts(list),
            LinkInput::Dead(agent) => links.give_up(agent),
        }
    }
}

impl Links {
    fn spawn(self: &Rc<Self>, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn(task);
    }

    async fn tell(&self, event: Event) {
        // The deciding thread has ended: nothing is left to tell.
        let _ = self.events.send(Input::Event(event)).await;
    }

    /// Keeps a connection to every agent on the list.
    fn set_hosts(self: &Rc<Self>, list: HostList) {
        self.peers.set_hosts(&list);
        let agents: HashMap<NodeName, Host> =
            list.of_role(Role::Agent).map(|host| (host.name.clone(), host.clone())).collect();
        for name in agents.keys() {
            if !self.kept.borrow().contains(name) {
                self.kept.borrow_mut().push(name.clone());
                self.spawn(self.clone().keep(name.clone()));
            }
        }
        *self.hosts.borrow_mut() = agents;
    }

    /// Keeps a connection to one agent while it is on the list.
    async fn keep(self: Rc<Self>, agent: NodeName) {
        // The list is set right after this task was made.
        futures_lite::future::yield_now().await;
        loop {
            let Some(address) = self.hosts.borrow().get(&agent).map(|host| host.address) else {
                break;
            };
            match net::connect(address).await {
                Ok(stream) => self.session(&agent, stream).await,
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    // Nobody listens there: the process is gone.
                    self.tell(Event::AgentDead { agent: agent.clone() }).await;
                }
                Err(_) => {}
            }
            Timer::after(RETRY_PAUSE).await;
        }
        self.kept.borrow_mut().retain(|kept| *kept != agent);
        self.tell(Event::AgentDead { agent }).await;
    }

    /// One connection from its first call to its end.
    async fn session(&self, agent: &NodeName, stream: Async<TcpStream>) {
        let mut config = Config::default();
        config.max_in_flight_requests = RING;
        config.pending_request_buffer = RING;
        let NewClient { client, dispatch } =
            AgentServiceClient::new(config, net::framed_transport(stream));
        let (done, ended) = async_channel::bounded::<()>(1);
        let (keep, kept) = async_channel::bounded::<()>(1);
        self.tasks.spawn_rpc(async move {
            // The calls see why it ended.
            let dispatch = async {
                let _ = dispatch.await;
            };
            let given_up = async {
                // Ends, with an error, when the connection is given up.
                let _ = kept.recv().await;
            };
            dispatch.or(given_up).await;
            drop(done);
        });
        let hello = HelloRequest { entry: self.life.clone() };
        let Ok(info) = client.hello(net::call_context(), hello).await else { return };
        let connection = self.opened(agent, client, keep, &info);
        self.tell(Event::Connected { connection, info }).await;
        // Ends, with an error, when the dispatch does.
        let _ = ended.recv().await;
        self.open.borrow_mut().remove(agent);
        self.tell(Event::Disconnected { agent: agent.clone(), connection }).await;
    }

    fn opened(
        &self,
        agent: &NodeName,
        client: AgentServiceClient,
        keep: Sender<()>,
        info: &AgentInfo,
    ) -> Connection {
        debug_assert_eq!(*agent, info.agent.name, "the list and the agent agree on its name");
        let connection = Connection(self.next_connection.get() + 1);
        self.next_connection.set(connection.0);
        self.open.borrow_mut().insert(agent.clone(), Open { connection, client, keep });
        connection
    }

    /// Gives up the connection to an agent whose host is dead.
    fn give_up(self: &Rc<Self>, agent: NodeName) {
        if let Some(open) = self.open.borrow_mut().remove(&agent) {
            open.keep.close();
        }
        let links = self.clone();
        self.spawn(async move {
            // What the connection had under way fails first.
            net::sleep(GIVE_UP_TIME).await;
            links.tell(Event::AgentDead { agent }).await;
        });
    }

    /// The client of the open connection to an agent.
    fn client(&self, agent: &NodeName) -> Option<AgentServiceClient> {
        self.open.borrow().get(agent).map(|open| open.client.clone())
    }

    /// The client, where the connection is still this one.
    fn client_on(&self, agent: &NodeName, connection: Connection) -> Option<AgentServiceClient> {
        let open = self.open.borrow();
        open.get(agent).filter(|open| open.connection == connection).map(|open| open.client.clone())
    }

    /// Says something, and tells what came back.
    fn act(self: &Rc<Self>, action: Action) {
        let links = self.clone();
        match action {
            Action::Start { agent, connection, request } => {
                let client = self.client_on(&agent, connection);
                self.spawn(async move {
                    let key = request.key;
                    let reply = match client {
                        Some(client) => client.start(net::call_context(), request).await.ok(),
                        None => None,
                    };
                    links.tell(Event::StartReplied { agent, connection, key, reply }).await;
                });
            }
            Action::Sync { agent, connection, request } => {
                let client = self.client_on(&agent, connection);
                self.spawn(async move {
                    let reply = match client {
                        Some(client) => client.sync(net::call_context(), request).await.ok(),
                        None => None,
                    };
                    links.tell(Event::SyncReplied { agent, connection, reply }).await;
                });
            }
            Action::Claim { holder, request } => {
                let client = self.client(&holder);
                self.spawn(async move {
                    let submission = request.submission;
                    let reply = match client {
                        Some(client) => client.claim(net::call_context(), request).await.ok(),
                        None => None,
                    };
                    links.tell(Event::ClaimReplied { holder, submission, reply }).await;
                });
            }
            Action::Lookup { holder, submission } => {
                let client = self.client(&holder);
                self.spawn(async move {
                    let reply = match client {
                        Some(client) => client.lookup(net::call_context(), submission).await.ok(),
                        None => None,
                    };
                    links.tell(Event::LookupReplied { holder, submission, reply }).await;
                });
            }
            Action::Settle { agent, request } => {
                let client = self.client(&agent);
                self.spawn(async move {
                    let key = request.key;
                    let reply = match client {
                        Some(client) => client.settle(net::call_context(), request).await.ok(),
                        None => None,
                    };
                    links.tell(Event::SettleReplied { agent, key, reply }).await;
                });
            }
            Action::Relay { call, owner, request } => self.spawn(async move {
                let submission = request.submission;
                let reply = links.peers.relay(&owner.name, request).await;
                links.tell(Event::OwnerReplied { call, submission, reply }).await;
            }),
            Action::Fetch { call, owner, submission } => self.spawn(async move {
                let reply = links.peers.fetch(&owner.name, submission).await;
                links.tell(Event::OwnerReplied { call, submission, reply }).await;
            }),
            Action::Respond { .. } | Action::LogDecision(_) | Action::Log(_) => {}
        }
    }
}
