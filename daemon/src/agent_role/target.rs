//! The agent's thread that sends tasks to the target, each as one HTTP request.

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

use super::driver::Input;
use crate::clock::Clock;
use crate::config::AgentConfig;

/// Request header with the submission's ID.
const SUBMISSION_HEADER: &str = "dockpass-submission";
/// Request header with the task's index in the submission.
const TASK_HEADER: &str = "dockpass-task";
/// Request header with the time left until the task's deadline, in milliseconds.
const DEADLINE_HEADER: &str = "dockpass-deadline-ms";

/// A task to send to the target.
#[derive(Debug)]
pub(crate) struct TargetTask {
    pub key: TaskKey,
    pub task: Arc<str>,
    pub deadline: Time,
}

/// Sends tasks to the target until the channel is closed.
///
/// The state machine runs at most one task per slot, which also bounds the number of connections.
pub(crate) async fn run(
    tasks: Spawner,
    config: AgentConfig,
    target_tasks: Receiver<TargetTask>,
    input_sender: Sender<Input>,
    clock: Clock,
) {
    let client = Rc::new(Client::new(config.target, tasks.clone()));
    while let Ok(target_task) = target_tasks.recv().await {
        let (client, input_sender, task_timeout) =
            (client.clone(), input_sender.clone(), config.task_timeout);
        let task = async move {
            let outcome = send_task(&client, &target_task, task_timeout, clock).await;
            // Fails only if the state machine's thread has ended.
            let _ = input_sender.send(Input::Ended(target_task.key, outcome)).await;
        };
        tasks.spawn(task);
    }
}

async fn send_task(
    client: &Client,
    target_task: &TargetTask,
    task_timeout: Duration,
    clock: Clock,
) -> TaskOutcome {
    let time_left = target_task.deadline.since(clock.now());
    let headers = headers(target_task, time_left);
    let body = Bytes::from_owner(TaskBody(target_task.task.clone()));
    let result = client.send(Method::POST, "/", headers, body, task_timeout).await;
    match result {
        Ok(reply) => response_outcome(reply),
        Err(error) => error_outcome(&error),
    }
}

/// A request body that shares the task's text instead of copying it.
struct TaskBody(Arc<str>);

impl AsRef<[u8]> for TaskBody {
    fn as_ref(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

fn headers(target_task: &TargetTask, time_left: Duration) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let submission = HeaderValue::from_str(&target_task.key.submission.to_string());
    headers.insert(SUBMISSION_HEADER, submission.expect("a UUID is a header value"));
    headers.insert(TASK_HEADER, HeaderValue::from(target_task.key.index));
    let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(millis));
    headers
}

/// Converts a response: status 2xx with a UTF-8 body is an answer, everything else a failure.
fn response_outcome(reply: Reply) -> TaskOutcome {
    if !(200..300).contains(&reply.status) {
        return TaskOutcome::Failed(format!("the target answered with status {}", reply.status));
    }
    match String::from_utf8(reply.body.to_vec()) {
        Ok(text) => TaskOutcome::Answer(text.into()),
        Err(_) => TaskOutcome::Failed("the target's answer is not UTF-8 text".to_owned()),
    }
}

fn error_outcome(error: &ClientError) -> TaskOutcome {
    match error.verdict() {
        Verdict::NotRun => TaskOutcome::NeverSent(format!("target: {error}")),
        Verdict::MayHaveRun | Verdict::Ran => TaskOutcome::Lost(format!("target: {error}")),
    }
}
