//! The entry's connections to agents: one to each listed agent, with the calls on it.

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

use super::driver::Input;
use super::peers::Peers;
use crate::event_loop::CHANNEL_CAPACITY;

/// Delay between two attempts to connect to an agent.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Delay between closing the connection to a dead agent and reporting the agent as dead, in which
/// the calls in progress fail.
const CALL_FAILURE_DELAY: Duration = Duration::from_millis(50);

/// An input of the links' thread.
#[derive(Debug)]
pub(crate) enum AgentLinkInput {
    /// An action of the state machine that calls an agent or another entry.
    Action(Action),
    /// A new version of the platform's host list.
    Hosts(HostList),
    /// The failure detector reports an agent as dead.
    Dead(NodeName),
}

/// An open connection to an agent.
#[derive(Clone)]
struct OpenConnection {
    connection: Connection,
    client: AgentServiceClient,
    /// Closing this channel closes the connection.
    close_sender: Sender<()>,
}

/// The state of the links' thread, shared by its tasks.
struct AgentLinks {
    node_ref: NodeRef,
    tasks: Spawner,
    events: Sender<Input>,
    hosts: RefCell<HashMap<NodeName, Host>>,
    open_connections: RefCell<HashMap<NodeName, OpenConnection>>,
    /// Agents that have a connection task.
    maintained: RefCell<Vec<NodeName>>,
    last_connection: Cell<u64>,
    peers: Peers,
}

/// Executes actions and maintains connections until the input channel is closed.
pub(crate) async fn run(
    node_ref: NodeRef,
    tasks: Spawner,
    inputs: Receiver<AgentLinkInput>,
    events: Sender<Input>,
) {
    let links = Rc::new(AgentLinks {
        node_ref,
        tasks: tasks.clone(),
        events,
        hosts: RefCell::default(),
        open_connections: RefCell::default(),
        maintained: RefCell::default(),
        last_connection: Cell::new(0),
        peers: Peers::new(tasks),
    });
    while let Ok(input) = inputs.recv().await {
        match input {
            AgentLinkInput::Action(action) => links.execute(action),
            AgentLinkInput::Hosts(list) => links.set_hosts(list),
            AgentLinkInput::Dead(agent) => links.drop_connection(agent),
        }
    }
}

impl AgentLinks {
    fn spawn(self: &Rc<Self>, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn(task);
    }

    async fn send_event(&self, event: Event) {
        // Fails only if the state machine's thread has ended.
        let _ = self.events.send(Input::Event(event)).await;
    }

    /// Starts a connection task for every newly listed agent.
    fn set_hosts(self: &Rc<Self>, list: HostList) {
        self.peers.set_hosts(&list);
        let agents: HashMap<NodeName, Host> =
            list.of_role(Role::Agent).map(|host| (host.name.clone(), host.clone())).collect();
        for name in agents.keys() {
            if !self.maintained.borrow().contains(name) {
                self.maintained.borrow_mut().push(name.clone());
                self.spawn(self.clone().maintain_connection(name.clone()));
            }
        }
        *self.hosts.borrow_mut() = agents;
    }

    /// Reconnects to one agent until it leaves the host list.
    async fn maintain_connection(self: Rc<Self>, agent: NodeName) {
        // `set_hosts` stores the list after it spawns this task.
        futures_lite::future::yield_now().await;
        loop {
            let Some(address) = self.hosts.borrow().get(&agent).map(|host| host.address) else {
                break;
            };
            match net::connect(address).await {
                Ok(stream) => self.run_connection(&agent, stream).await,
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    // Nothing listens on the port: the agent's process has ended.
                    self.send_event(Event::AgentDead { agent: agent.clone() }).await;
                }
                Err(_) => {}
            }
            Timer::after(RETRY_DELAY).await;
        }
        self.maintained.borrow_mut().retain(|maintained| *maintained != agent);
        self.send_event(Event::AgentDead { agent }).await;
    }

    /// Runs one connection from the `hello` call until it is closed.
    async fn run_connection(&self, agent: &NodeName, stream: Async<TcpStream>) {
        let mut config = Config::default();
        config.max_in_flight_requests = CHANNEL_CAPACITY;
        config.pending_request_buffer = CHANNEL_CAPACITY;
        let NewClient { client, dispatch } =
            AgentServiceClient::new(config, net::framed_transport(stream));
        let (finished, dispatch_ended) = async_channel::bounded::<()>(1);
        let (close_sender, close_receiver) = async_channel::bounded::<()>(1);
        self.tasks.spawn_rpc(async move {
            // Pending calls fail with the cause, so the result is not needed here.
            let dispatch = async {
                let _ = dispatch.await;
            };
            let dropped = async {
                // Fails once `drop_connection` closes the channel.
                let _ = close_receiver.recv().await;
            };
            dispatch.or(dropped).await;
            drop(finished);
        });
        let hello = HelloRequest { entry: self.node_ref.clone() };
        let Ok(info) = client.hello(net::call_context(), hello).await else { return };
        let connection = self.register_connection(agent, client, close_sender, &info);
        self.send_event(Event::Connected { connection, info }).await;
        // Fails once the dispatch task ends and drops the sender.
        let _ = dispatch_ended.recv().await;
        self.open_connections.borrow_mut().remove(agent);
        self.send_event(Event::Disconnected { agent: agent.clone(), connection }).await;
    }

    fn register_connection(
        &self,
        agent: &NodeName,
        client: AgentServiceClient,
        close_sender: Sender<()>,
        info: &AgentInfo,
    ) -> Connection {
        debug_assert_eq!(*agent, info.agent.name, "the list and the agent agree on its name");
        let connection = Connection(self.last_connection.get() + 1);
        self.last_connection.set(connection.0);
        self.open_connections
            .borrow_mut()
            .insert(agent.clone(), OpenConnection { connection, client, close_sender });
        connection
    }

    /// Closes the connection to a dead agent and reports the agent as dead.
    fn drop_connection(self: &Rc<Self>, agent: NodeName) {
        if let Some(open) = self.open_connections.borrow_mut().remove(&agent) {
            open.close_sender.close();
        }
        let links = self.clone();
        self.spawn(async move {
            // Calls in progress fail before the agent is reported as dead.
            net::sleep(CALL_FAILURE_DELAY).await;
            links.send_event(Event::AgentDead { agent }).await;
        });
    }

    /// Returns the client of the open connection to an agent.
    fn client(&self, agent: &NodeName) -> Option<AgentServiceClient> {
        self.open_connections.borrow().get(agent).map(|open| open.client.clone())
    }

    /// Returns the client if the agent's open connection is still `connection`.
    fn client_on(&self, agent: &NodeName, connection: Connection) -> Option<AgentServiceClient> {
        let open = self.open_connections.borrow();
        open.get(agent).filter(|open| open.connection == connection).map(|open| open.client.clone())
    }

    /// Calls an agent or another entry and sends the reply to the state machine as an event.
    fn execute(self: &Rc<Self>, action: Action) {
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
                    links.send_event(Event::StartReplied { agent, connection, key, reply }).await;
                });
            }
            Action::Sync { agent, connection, request } => {
                let client = self.client_on(&agent, connection);
                self.spawn(async move {
                    let reply = match client {
                        Some(client) => client.sync(net::call_context(), request).await.ok(),
                        None => None,
                    };
                    links.send_event(Event::SyncReplied { agent, connection, reply }).await;
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
                    links.send_event(Event::ClaimReplied { holder, submission, reply }).await;
                });
            }
            Action::Lookup { holder, submission } => {
                let client = self.client(&holder);
                self.spawn(async move {
                    let reply = match client {
                        Some(client) => client.lookup(net::call_context(), submission).await.ok(),
                        None => None,
                    };
                    links.send_event(Event::LookupReplied { holder, submission, reply }).await;
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
                    links.send_event(Event::SettleReplied { agent, key, reply }).await;
                });
            }
            Action::Relay { call, owner, request } => self.spawn(async move {
                let submission = request.submission;
                let reply = links.peers.relay(&owner.name, request).await;
                links.send_event(Event::OwnerReplied { call, submission, reply }).await;
            }),
            Action::Fetch { call, owner, submission } => self.spawn(async move {
                let reply = links.peers.fetch(&owner.name, submission).await;
                links.send_event(Event::OwnerReplied { call, submission, reply }).await;
            }),
            Action::Respond { .. } | Action::LogDecision(_) | Action::Log(_) => {}
        }
    }
}
