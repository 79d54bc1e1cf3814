//! A client of the keepers' HTTP interface for operators.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::header::LOCATION;
use hyper::{HeaderMap, Method};
use net::{Client, Reply, Spawner};
use serde::Deserialize;
use settings::{Edit, SettingsError, Tree};
use thiserror::Error;
use uuid::Uuid;
use wire::{ChangeRequest, ChangeResult, EmptiedHalls, HallCommand};

use crate::RequestError;
use crate::entry_client::parse_body;

/// Timeout for a keeper's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Attempts at each keeper before an outcome is reported as unknown.
const ROUNDS: usize = 30;
/// Delay between two rounds of attempts.
const ROUND_DELAY: Duration = Duration::from_millis(300);
/// Most confirmations that one attempt at a keeper follows.
const CONFIRMATIONS_MAX: usize = 3;
/// A log index that no log reaches: a keeper answers a command with it by the index to confirm.
const UNCONFIRMED: u64 = u64::MAX;

/// A version of the settings tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TreeVersion {
    /// The version's number.
    pub version: u64,
    /// The tree at this version.
    pub tree: Tree,
}

/// The outcome of a change, as far as the client knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The result that a keeper reported.
    Known(ChangeResult),
    /// No keeper reported a result after several attempts. The change may still be accepted.
    Unknown,
}

/// The outcome of a hall command, as far as the client knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HallOutcome {
    /// The command is committed; the halls that are emptied after it.
    Accepted(EmptiedHalls),
    /// The command was refused for this reason.
    Refused(String),
    /// No keeper reported a result after several attempts. The command may still be accepted.
    Unknown,
}

/// The body of a keeper's error response.
#[derive(Deserialize)]
struct ErrorBody {
    message: String,
}

/// Error while reading from the keepers.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// No keeper gave a valid response; the error of the last attempt.
    #[error("no keeper gave a valid response: {0}")]
    NoKeeper(RequestError),
    /// The client was created without keeper addresses.
    #[error("no keeper addresses are given")]
    NoKeeperAddresses,
    /// A keeper returned an invalid settings tree.
    #[error("the keeper returned an invalid settings tree: {0}")]
    InvalidTree(#[from] SettingsError),
}

#[derive(Deserialize)]
struct TreeBody {
    version: u64,
    tree: String,
}

/// A client of several keepers, which are tried in order until one responds.
pub struct OperatorClient {
    keepers: Vec<Client>,
}

impl OperatorClient {
    /// Creates a client of the keepers at these addresses.
    pub fn new(keepers: &[SocketAddr], spawner: &Spawner) -> Self {
        let client = |address: &SocketAddr| Client::new(*address, spawner.clone());
        Self { keepers: keepers.iter().map(client).collect() }
    }

    /// Reads the current settings tree.
    pub async fn read_settings(&self) -> Result<TreeVersion, OperatorError> {
        let body: TreeBody = self.get_json("/v1/settings").await?;
        Ok(TreeVersion { version: body.version, tree: Tree::from_ini(&body.tree)? })
    }

    /// Reads a JSON document from the first keeper that returns it.
    pub async fn get_json<T: for<'de> Deserialize<'de>>(
        &self,
        path: &str,
    ) -> Result<T, OperatorError> {
        let mut last_error = OperatorError::NoKeeperAddresses;
        for keeper in &self.keepers {
            let reply = exchange(keeper, Method::GET, path, Vec::new()).await;
            match reply.and_then(|reply| parse_body(&require_ok(reply)?)) {
                Ok(document) => return Ok(document),
                Err(error) => last_error = OperatorError::NoKeeper(error),
            }
        }
        Err(last_error)
    }

    /// Submits edits as a new change, with a limited number of retries under the same id.
    pub async fn submit_edits(&self, base_version: u64, edits: Vec<Edit>) -> ChangeOutcome {
        let request = ChangeRequest { change: Uuid::new_v4().to_string(), base_version, edits };
        self.submit_change(&request).await
    }

    /// Submits a change, with a limited number of retries. A change whose id was submitted before
    /// gets the result of the first submission.
    pub async fn submit_change(&self, request: &ChangeRequest) -> ChangeOutcome {
        let body = serde_json::to_vec(request).expect("the request type always serializes");
        let attempt = async |keeper: &Client| {
            let reply = exchange(keeper, Method::POST, "/v1/changes", body.clone()).await;
            // A keeper that gave no response may have accepted the request; the next attempt
            // returns the outcome in that case.
            reply.ok().and_then(|reply| change_outcome(&reply))
        };
        let outcome = self.try_until_known(attempt).await;
        outcome.unwrap_or(ChangeOutcome::Unknown)
    }

    /// Sends a command for a hall, with a limited number of retries. It is accepted once at most, and
    /// only if no other command for the hall has been accepted since a keeper asked for a
    /// confirmation.
    pub async fn send_hall_command(&self, command: &HallCommand) -> HallOutcome {
        let mut confirmed = ConfirmedCommand::new(command);
        let outcome = self.try_until_known(async |keeper| confirmed.send(keeper).await).await;
        outcome.unwrap_or(HallOutcome::Unknown)
    }

    /// Tries the keepers in turn until an attempt returns a result; `None` after the last of
    /// [`ROUNDS`] rounds.
    async fn try_until_known<T>(
        &self,
        mut attempt: impl AsyncFnMut(&Client) -> Option<T>,
    ) -> Option<T> {
        for round in 0..ROUNDS {
            if round > 0 {
                net::sleep(ROUND_DELAY).await;
            }
            for keeper in &self.keepers {
                if let Some(known) = attempt(keeper).await {
                    return Some(known);
                }
            }
        }
        None
    }
}

/// A hall command with the log index that its sender confirms.
struct ConfirmedCommand {
    path: String,
    index: u64,
    /// Whether an attempt with a confirmed index got no clear answer.
    may_be_accepted: bool,
}

impl ConfirmedCommand {
    fn new(command: &HallCommand) -> Self {
        let action = if command.takes_work { "refill" } else { "empty" };
        let path = format!("/v1/halls/{}/{action}", command.hall);
        Self { path, index: UNCONFIRMED, may_be_accepted: false }
    }

    /// Sends the command to a keeper and confirms it if the keeper asks for that; `None` if another
    /// keeper must be tried.
    async fn send(&mut self, keeper: &Client) -> Option<HallOutcome> {
        for _ in 0..CONFIRMATIONS_MAX {
            let path = format!("{}?after={}", self.path, self.index);
            let reply = exchange(keeper, Method::POST, &path, Vec::new()).await.ok();
            let Some(index) = reply.as_ref().and_then(index_to_confirm) else {
                let outcome = reply.as_ref().and_then(hall_outcome);
                self.may_be_accepted |= outcome.is_none() && self.index != UNCONFIRMED;
                return outcome;
            };
            // The command may have been accepted before another one, and must not take effect again.
            if self.may_be_accepted {
                return Some(HallOutcome::Unknown);
            }
            self.index = index;
        }
        None
    }
}

/// The log index that a keeper asks the sender of a hall command to confirm.
fn index_to_confirm(reply: &Reply) -> Option<u64> {
    let location = reply.headers.get(LOCATION).filter(|_| reply.status == 307)?;
    let (_, index) = location.to_str().ok()?.rsplit_once("?after=")?;
    index.parse().ok()
}

/// The outcome of a change in a keeper's response; `None` if another keeper must be tried.
fn change_outcome(reply: &Reply) -> Option<ChangeOutcome> {
    if !matches!(reply.status, 200 | 400 | 409) {
        return None;
    }
    parse_body(reply).ok().map(ChangeOutcome::Known)
}

/// The outcome of a hall command in a keeper's response; `None` if another keeper must be tried.
fn hall_outcome(reply: &Reply) -> Option<HallOutcome> {
    match reply.status {
        200 => parse_body(reply).ok().map(HallOutcome::Accepted),
        400..=499 => {
            let error_body = parse_body::<ErrorBody>(reply).ok();
            let message = error_body
                .map_or_else(|| "the keeper gave no reason".to_owned(), |body| body.message);
            Some(HallOutcome::Refused(message))
        }
        _ => None,
    }
}

async fn exchange(
    keeper: &Client,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Reply, RequestError> {
    let result =
        keeper.send(method, path, HeaderMap::new(), Bytes::from(body), RESPONSE_TIMEOUT).await;
    Ok(result?)
}

fn require_ok(reply: Reply) -> Result<Reply, RequestError> {
    if reply.status == 200 {
        return Ok(reply);
    }
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    Err(RequestError::InvalidResponse(format!("status {}: {text}", reply.status)))
}
