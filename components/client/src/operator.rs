//! A client of the operators' interface of the keepers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::{HeaderMap, Method};
use net::{Client, Reply, Tasks};
use serde::Deserialize;
use settings::{Edit, SettingsError, Tree};
use thiserror::Error;
use uuid::Uuid;
use wire::{ChangeRequest, ChangeResult, EmptiedHalls, HallCommand};

use crate::CallerError;
use crate::caller::parse;

/// Longest time for a keeper's answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// Rounds over all keepers before a change's outcome is given up as unknown.
const ROUNDS: usize = 30;
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// A version of the settings tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TreeVersion {
    /// The version.
    pub version: u64,
    /// The tree.
    pub tree: Tree,
}

/// What became of a change, as far as the operator can know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// A keeper said so.
    Known(ChangeResult),
    /// No keeper could tell, after several tries. It may be accepted yet.
    Unknown,
}

/// What became of an order for a hall, as far as the operator can know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HallOutcome {
    /// It lasts; the halls that are emptied after it.
    Taken(EmptiedHalls),
    /// It was not taken, and why.
    Refused(String),
    /// No keeper could tell, after several tries. It may be taken yet.
    Unknown,
}

/// A problem that a keeper tells.
#[derive(Deserialize)]
struct Problem {
    message: String,
}

/// Why the tree can't be read.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// No keeper answered.
    #[error("no keeper answers: {0}")]
    NoKeeper(CallerError),
    /// No keepers were named.
    #[error("no keeper is named")]
    NoneNamed,
    /// The keeper's tree does not check out.
    #[error("the keeper's tree does not check out: {0}")]
    BadTree(#[from] SettingsError),
}

#[derive(Deserialize)]
struct TreeBody {
    version: u64,
    tree: String,
}

/// A client of all keepers: the first that answers is used.
pub struct Operator {
    keepers: Vec<Client>,
}

impl Operator {
    /// A client of these keepers.
    pub fn new(keepers: &[SocketAddr], tasks: &Tasks) -> Self {
        let client = |address: &SocketAddr| Client::new(*address, tasks.clone());
        Self { keepers: keepers.iter().map(client).collect() }
    }

    /// Reads the tree in force.
    pub async fn read(&self) -> Result<TreeVersion, OperatorError> {
        let body: TreeBody = self.get("/v1/settings").await?;
        Ok(TreeVersion { version: body.version, tree: Tree::from_ini(&body.tree)? })
    }

    /// Reads a JSON document from the first keeper that has it.
    pub async fn get<T: for<'de> Deserialize<'de>>(&self, path: &str) -> Result<T, OperatorError> {
        let mut last = OperatorError::NoneNamed;
        for keeper in &self.keepers {
            let reply = exchange(keeper, Method::GET, path, Vec::new()).await;
            match reply.and_then(|reply| parse(&checked(reply)?)) {
                Ok(document) => return Ok(document),
                Err(error) => last = OperatorError::NoKeeper(error),
            }
        }
        Err(last)
    }

    /// Sends a change, again and again under the same id, until its outcome is known.
    pub async fn change(&self, base_version: u64, edits: Vec<Edit>) -> ChangeOutcome {
        let request = ChangeRequest { change: Uuid::new_v4().to_string(), base_version, edits };
        self.send(&request).await
    }

    /// Sends a change under an id that may have been used before.
    pub async fn send(&self, request: &ChangeRequest) -> ChangeOutcome {
        let body = serde_json::to_vec(request).expect("plain structs become JSON");
        let outcome = self.ask_until_told("/v1/changes", &body, change_outcome).await;
        outcome.unwrap_or(ChangeOutcome::Unknown)
    }

    /// Sends an order for a hall, again and again until a keeper says what became of it. One that is carried out
    /// twice is as one that is carried out once.
    pub async fn order_hall(&self, order: &HallCommand) -> HallOutcome {
        let action = if order.takes_work { "refill" } else { "empty" };
        let path = format!("/v1/halls/{}/{action}", order.hall);
        let outcome = self.ask_until_told(&path, &[], hall_outcome).await;
        outcome.unwrap_or(HallOutcome::Unknown)
    }

    /// Asks all keepers, one after the other and in some rounds, until an answer says what became of it.
    async fn ask_until_told<T>(
        &self,
        path: &str,
        body: &[u8],
        outcome: impl Fn(&Reply) -> Option<T>,
    ) -> Option<T> {
        for round in 0..ROUNDS {
            if round > 0 {
                net::pause(ROUND_PAUSE).await;
            }
            for keeper in &self.keepers {
                let reply = exchange(keeper, Method::POST, path, body.to_vec()).await;
                // One that does not answer may have taken it; the next one can tell.
                if let Some(told) = reply.ok().and_then(|reply| outcome(&reply)) {
                    return Some(told);
                }
            }
        }
        None
    }
}

/// What a keeper's answer to a change says; `None` where another keeper has to be asked.
fn change_outcome(reply: &Reply) -> Option<ChangeOutcome> {
    if !matches!(reply.status, 200 | 400 | 409) {
        return None;
    }
    parse(reply).ok().map(ChangeOutcome::Known)
}

/// What a keeper's answer to an order for a hall says; `None` where another keeper has to be asked.
fn hall_outcome(reply: &Reply) -> Option<HallOutcome> {
    match reply.status {
        200 => parse(reply).ok().map(HallOutcome::Taken),
        400..=499 => {
            let problem = parse::<Problem>(reply).ok();
            let message = problem.map_or_else(|| "no reason given".to_owned(), |told| told.message);
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
) -> Result<Reply, CallerError> {
    let sent = keeper.send(method, path, HeaderMap::new(), Bytes::from(body), ANSWER_TIME).await;
    Ok(sent?)
}

fn checked(reply: Reply) -> Result<Reply, CallerError> {
    if reply.status == 200 {
        return Ok(reply);
    }
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    Err(CallerError::BadAnswer(format!("status {}: {text}", reply.status)))
}
