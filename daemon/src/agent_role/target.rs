//! The agent's thread that talks to the target: one HTTP request a task.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use execution::TaskOutcome;
use hyper::Method;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use model::{TaskKey, Time, Verdict};
use net::{Client, ClientError, Reply, Spawner};

use super::decide::Input;
use crate::clock::Clock;
use crate::config::AgentConfig;

/// Names the submission to the target.
const SUBMISSION_HEADER: &str = "dockpass-submission";
/// Names the task's index to the target.
const TASK_HEADER: &str = "dockpass-task";
/// Tells the target how much time is left, in milliseconds.
const DEADLINE_HEADER: &str = "dockpass-deadline-ms";

/// A task to be handed to the target.
#[derive(Debug)]
pub(crate) struct Run {
    pub key: TaskKey,
    pub task: Arc<str>,
    pub deadline: Time,
}

/// Hands tasks to the target until the ring is closed.
///
/// The agent has at most as many tasks at the target as it has slots, so the number of
/// connections is bounded by the slots too.
pub(crate) async fn run(
    tasks: Spawner,
    config: AgentConfig,
    runs: Receiver<Run>,
    ended: Sender<Input>,
    clock: Clock,
) {
    let client = Rc::new(Client::new(config.target, tasks.clone()));
    while let Ok(run) = runs.recv().await {
        let (client, ended, stuck) = (client.clone(), ended.clone(), config.stuck);
        let task = async move {
            let outcome = hand_over(&client, &run, stuck, clock).await;
            // The deciding thread may have ended.
            let _ = ended.send(Input::Ended(run.key, outcome)).await;
        };
        tasks.spawn(task);
    }
}

async fn hand_over(client: &Client, run: &Run, stuck: Duration, clock: Clock) -> TaskOutcome {
    let left = run.deadline.since(clock.now());
    let headers = headers(run, left);
    let body = Bytes::from_owner(TaskText(run.task.clone()));
    let sent = client.send(Method::POST, "/", headers, body, stuck).await;
    match sent {
        Ok(reply) => outcome(reply),
        Err(error) => lost(&error),
    }
}

/// A task's text as a body, without a copy.
struct TaskText(Arc<str>);

impl AsRef<[u8]> for TaskText {
    fn as_ref(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

fn headers(run: &Run, left: Duration) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let submission = HeaderValue::from_str(&run.key.submission.to_string());
    headers.insert(SUBMISSION_HEADER, submission.expect("a UUID is a header value"));
    headers.insert(TASK_HEADER, HeaderValue::from(run.key.index));
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(millis));
    headers
}

/// Any 2xx is an answer; it has to be text.
fn outcome(reply: Reply) -> TaskOutcome {
    if !(200..300).contains(&reply.status) {
        return TaskOutcome::Failed(format!("the target answered with status {}", reply.status));
    }
    match String::from_utf8(reply.body.to_vec()) {
        Ok(text) => TaskOutcome::Answer(text.into()),
        Err(_) => TaskOutcome::Failed("the target's answer is not UTF-8 text".to_owned()),
    }
}

fn lost(error: &ClientError) -> TaskOutcome {
    match error.verdict() {
        Verdict::NotRun => TaskOutcome::NeverSent(format!("target: {error}")),
        Verdict::MayHaveRun | Verdict::Ran => TaskOutcome::Lost(format!("target: {error}")),
    }
}
