//! Sessions between builds that know different messages, over loopback connections.

// Tests measure wall-clock time and sleep.
#![allow(clippy::disallowed_methods)]

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use async_io::Async;
use futures::{SinkExt, StreamExt};
use futures_lite::FutureExt;
use model::{JobId, NodeName, Resources, TaskId, Time};
use net::FramedTransport;
use serde::{Deserialize, Serialize};
use session::{Received, SessionSender};
use wire::{
    AgentProfile, Demand, DocumentPart, EmptiedHalls, Load, PartRequest, StartTask, SuspectedTask,
    TaskEnd, TaskReport, ToAgent, ToEntry,
};

// A private module of the daemon, included to test it directly.
#[path = "../src/capacity/session.rs"]
#[allow(dead_code)]
mod session;

const TIMEOUT: Duration = Duration::from_secs(15);

/// The messages to agents in builds that know no reports of waiting work.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OldToAgent {
    Heartbeat { agent_clock: Time },
    Start { agent_clock: Time, job: JobId, spec: std::sync::Arc<str>, tasks: Vec<StartTask> },
    Stop(Vec<TaskId>),
    Cancel(JobId),
    SendPart(PartRequest),
    Halls(EmptiedHalls),
}

/// The messages to entries in builds that know no suspected crashes.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OldToEntry {
    Hello { profile: AgentProfile, document: u64, halls: EmptiedHalls },
    Load(Load),
    Ended { reports: Vec<TaskReport>, load: Load },
    Cancelled(JobId),
    DocumentPart(Option<DocumentPart>),
    Halls(EmptiedHalls),
    TargetCrashed(Vec<TaskId>),
}

const CLOCK: Time = Time::from_millis(7);

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    (listener, address)
}

async fn within_timeout<T>(future: impl Future<Output = T>) -> T {
    let timed_out = async {
        net::sleep(TIMEOUT).await;
        panic!("nothing happened within {TIMEOUT:?}")
    };
    future.or(timed_out).await
}

/// The messages and empty batches that the session of a peer receives.
fn received<In>(
    stream: Async<std::net::TcpStream>,
    tasks: &net::Spawner,
    announced: bool,
) -> (SessionSender<In::Answer>, async_channel::Receiver<Option<In>>)
where
    In: Peer,
{
    let (sender, queue) = SessionSender::new();
    let queue = if announced { queue.announced() } else { queue };
    let (report, reported) = async_channel::unbounded();
    tasks.spawn(async move {
        session::run(stream, queue, |received: Received<In>| {
            let message = match received {
                Received::EmptyBatch => None,
                Received::Message(message) => Some(message),
            };
            // The test may have finished.
            let _ = report.try_send(message);
        })
        .await;
    });
    (sender, reported)
}

/// A received message, with the type of those that are sent.
trait Peer: for<'de> Deserialize<'de> + Send + 'static {
    type Answer: Serialize + Send + 'static;
}

impl Peer for ToAgent {
    type Answer = ToEntry;
}

impl Peer for ToEntry {
    type Answer = ToAgent;
}

/// Guards against an old entry that closes the session of a new agent because it cannot read the
/// announcement, or that reads other messages than were sent.
#[test]
fn an_old_entry_reads_the_session_of_a_new_agent() {
    let (listener, address) = listener();
    net::block_on(|tasks| async move {
        let stream = Async::<std::net::TcpStream>::connect(address).await.expect("connects");
        let (accepted, _) = listener.accept().expect("the connection is accepted");
        let (to_entry, from_entry) = received::<ToAgent>(stream, &tasks, true);
        let accepted = Async::new(accepted).expect("the socket is usable");
        let mut entry: FramedTransport<Vec<ToEntry>, Vec<OldToAgent>> =
            net::framed_transport(accepted);
        // What an old entry does with a batch: it passes on each message, of which there are none.
        let first = within_timeout(entry.next()).await;
        assert_eq!(first.expect("the session is open").expect("it is readable"), Vec::new());
        assert!(to_entry.send(ToEntry::Cancelled(JobId::new("a"))));
        let second = within_timeout(entry.next()).await;
        let second = second.expect("the session is open").expect("it is readable");
        assert_eq!(second, [ToEntry::Cancelled(JobId::new("a"))]);
        let heartbeat = vec![OldToAgent::Heartbeat { agent_clock: CLOCK }];
        within_timeout(entry.send(heartbeat)).await.expect("the heartbeat is sent");
        let heard = within_timeout(from_entry.recv()).await;
        assert_eq!(heard, Ok(Some(ToAgent::Heartbeat { agent_clock: CLOCK })));
    });
}

/// Guards against a new entry that takes an old agent for one that reads demand: the first batch of
/// an old agent has messages.
#[test]
fn an_old_agent_announces_nothing() {
    let (listener, address) = listener();
    net::block_on(|tasks| async move {
        let stream = Async::<std::net::TcpStream>::connect(address).await.expect("connects");
        let (accepted, _) = listener.accept().expect("the connection is accepted");
        let accepted = Async::new(accepted).expect("the socket is usable");
        let (to_agent, from_agent) = received::<ToEntry>(accepted, &tasks, false);
        let mut agent: FramedTransport<Vec<OldToAgent>, Vec<ToEntry>> =
            net::framed_transport(stream);
        let message = ToEntry::Cancelled(JobId::new("a"));
        within_timeout(agent.send(vec![message.clone()])).await.expect("the message is sent");
        let heard = within_timeout(from_agent.recv()).await;
        assert_eq!(heard, Ok(Some(message)));
        assert!(to_agent.send(ToAgent::Heartbeat { agent_clock: CLOCK }));
        let batch = within_timeout(agent.next()).await;
        let batch = batch.expect("the session is open").expect("it is readable");
        assert_eq!(batch, [OldToAgent::Heartbeat { agent_clock: CLOCK }]);
    });
}

/// Guards against an announcement that a new entry misses, or that does not come first.
#[test]
fn a_new_entry_reads_the_announcement_before_all_messages() {
    let (listener, address) = listener();
    net::block_on(|tasks| async move {
        let stream = Async::<std::net::TcpStream>::connect(address).await.expect("connects");
        let (accepted, _) = listener.accept().expect("the connection is accepted");
        let accepted = Async::new(accepted).expect("the socket is usable");
        let (to_entry, from_entry) = received::<ToAgent>(stream, &tasks, true);
        assert!(to_entry.send(ToEntry::Cancelled(JobId::new("a"))));
        let (to_agent, from_agent) = received::<ToEntry>(accepted, &tasks, false);
        let heard = [
            within_timeout(from_agent.recv()).await.expect("the session is open"),
            within_timeout(from_agent.recv()).await.expect("the session is open"),
        ];
        assert_eq!(heard, [None, Some(ToEntry::Cancelled(JobId::new("a")))]);
        let waiting = vec![Demand { priority: 1, tasks: 3, cpu_milli: 4_800, due_ms: 40 }];
        let demand = ToAgent::Demand { agent_clock: CLOCK, waiting };
        assert!(to_agent.send(demand.clone()));
        assert_eq!(within_timeout(from_entry.recv()).await, Ok(Some(demand)));
    });
}

/// Guards against an old agent that closes the session of a new entry because it cannot read the
/// announcement, or that reads other messages than were sent.
#[test]
fn an_old_agent_reads_the_session_of_a_new_entry() {
    let (listener, address) = listener();
    net::block_on(|tasks| async move {
        let stream = Async::<std::net::TcpStream>::connect(address).await.expect("connects");
        let (accepted, _) = listener.accept().expect("the connection is accepted");
        let accepted = Async::new(accepted).expect("the socket is usable");
        let (to_agent, from_agent) = received::<ToEntry>(accepted, &tasks, true);
        let mut agent: FramedTransport<Vec<OldToAgent>, Vec<OldToEntry>> =
            net::framed_transport(stream);
        // What an old agent does with a batch: it passes on each message, of which there are none.
        let first = within_timeout(agent.next()).await;
        assert_eq!(first.expect("the session is open").expect("it is readable"), Vec::new());
        assert!(to_agent.send(ToAgent::Heartbeat { agent_clock: CLOCK }));
        let second = within_timeout(agent.next()).await;
        let second = second.expect("the session is open").expect("it is readable");
        assert_eq!(second, [OldToAgent::Heartbeat { agent_clock: CLOCK }]);
        let task = TaskId { job: JobId::new("a"), index: 2 };
        let crashed = vec![OldToEntry::TargetCrashed(vec![task.clone()])];
        within_timeout(agent.send(crashed)).await.expect("the message is sent");
        let heard = within_timeout(from_agent.recv()).await;
        assert_eq!(heard, Ok(Some(ToEntry::TargetCrashed(vec![task]))));
    });
}

/// Guards against an announcement of an entry that a new agent misses, and against reports of
/// suspected crashes that a new entry cannot read.
#[test]
fn a_new_agent_reads_the_announcement_of_a_new_entry() {
    let (listener, address) = listener();
    net::block_on(|tasks| async move {
        let stream = Async::<std::net::TcpStream>::connect(address).await.expect("connects");
        let (accepted, _) = listener.accept().expect("the connection is accepted");
        let accepted = Async::new(accepted).expect("the socket is usable");
        let (to_agent, from_agent) = received::<ToEntry>(accepted, &tasks, true);
        let (to_entry, from_entry) = received::<ToAgent>(stream, &tasks, true);
        assert!(to_agent.send(ToAgent::Heartbeat { agent_clock: CLOCK }));
        let heard = [
            within_timeout(from_entry.recv()).await.expect("the session is open"),
            within_timeout(from_entry.recv()).await.expect("the session is open"),
        ];
        assert_eq!(heard, [None, Some(ToAgent::Heartbeat { agent_clock: CLOCK })]);
        let task = TaskId { job: JobId::new("a"), index: 2 };
        let suspected = ToEntry::CrashSuspected(vec![SuspectedTask { task, noticed_at: CLOCK }]);
        assert!(to_entry.send(suspected.clone()));
        assert_eq!(within_timeout(from_agent.recv()).await, Ok(None), "the agent's announcement");
        assert_eq!(within_timeout(from_agent.recv()).await, Ok(Some(suspected)));
    });
}

/// As below, for messages to entries.
#[test]
fn messages_to_old_entries_keep_their_encoding() {
    let profile = AgentProfile {
        node: NodeName::new("agent"),
        service: "service".into(),
        hall: "hall".into(),
        labels: vec!["label".into()],
        capacity: Resources { cpu_milli: 1_600, memory_mb: 64, gpu: 0 },
    };
    let (job, halls, load) = (JobId::new("a"), EmptiedHalls::default(), Load::default());
    let tasks = vec![TaskId { job: job.clone(), index: 2 }];
    let report =
        TaskReport { task: tasks[0].clone(), sequence: 1, end: TaskEnd::Crashed, ran_ms: 5 };
    let reports = vec![report];
    let pairs = [
        (
            ToEntry::Hello { profile: profile.clone(), document: 3, halls: halls.clone() },
            OldToEntry::Hello { profile, document: 3, halls: halls.clone() },
        ),
        (ToEntry::Load(load), OldToEntry::Load(load)),
        (ToEntry::Ended { reports: reports.clone(), load }, OldToEntry::Ended { reports, load }),
        (ToEntry::Cancelled(job.clone()), OldToEntry::Cancelled(job)),
        (ToEntry::DocumentPart(None), OldToEntry::DocumentPart(None)),
        (ToEntry::Halls(halls.clone()), OldToEntry::Halls(halls)),
        (ToEntry::TargetCrashed(tasks.clone()), OldToEntry::TargetCrashed(tasks.clone())),
    ];
    for (new, old) in pairs {
        let encoded = bincode::serialize(&new).expect("messages can be encoded");
        assert_eq!(encoded, bincode::serialize(&old).expect("messages can be encoded"), "{new:?}");
    }
    let suspected = vec![SuspectedTask { task: tasks[0].clone(), noticed_at: CLOCK }];
    let encoded = bincode::serialize(&ToEntry::CrashSuspected(suspected));
    let encoded = encoded.expect("messages can be encoded");
    assert!(bincode::deserialize::<OldToEntry>(&encoded).is_err(), "old builds cannot read it");
}

/// Guards against a variant or a field that is inserted among the known ones, which old builds
/// would read as other messages.
#[test]
fn messages_to_old_agents_keep_their_encoding() {
    let task = StartTask {
        sequence: 1,
        index: 2,
        run: 3,
        resources: Resources { cpu_milli: 1_600, memory_mb: 64, gpu: 0 },
        estimated_ms: 100,
        longest_wait_ms: 10,
        priority: 1,
    };
    let (job, spec): (_, std::sync::Arc<str>) = (JobId::new("a"), "spec".into());
    let tasks = vec![TaskId { job: job.clone(), index: 2 }];
    let (agent_clock, halls) = (CLOCK, EmptiedHalls::default());
    let pairs = [
        (ToAgent::Heartbeat { agent_clock }, OldToAgent::Heartbeat { agent_clock }),
        (
            ToAgent::Start {
                agent_clock,
                job: job.clone(),
                spec: spec.clone(),
                tasks: vec![task.clone()],
            },
            OldToAgent::Start { agent_clock, job: job.clone(), spec, tasks: vec![task] },
        ),
        (ToAgent::Stop(tasks.clone()), OldToAgent::Stop(tasks)),
        (ToAgent::Cancel(job.clone()), OldToAgent::Cancel(job)),
        (ToAgent::Halls(halls.clone()), OldToAgent::Halls(halls)),
    ];
    for (new, old) in pairs {
        let encoded = bincode::serialize(&new).expect("messages can be encoded");
        assert_eq!(encoded, bincode::serialize(&old).expect("messages can be encoded"), "{new:?}");
    }
    let demand = ToAgent::Demand { agent_clock, waiting: Vec::new() };
    let encoded = bincode::serialize(&demand).expect("messages can be encoded");
    assert!(bincode::deserialize::<OldToAgent>(&encoded).is_err(), "old builds cannot read it");
}
