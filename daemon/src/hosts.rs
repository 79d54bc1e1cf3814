//! The platform's list of hosts, read now and then.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use hyper::body::Bytes;
use hyper::{HeaderMap, Method};
use membership::HostList;
use net::Tasks;
use spdlog::warn;

use crate::threads::{ThreadHandle, spawn_until};

/// Longest time for the platform to answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);

/// Where the list comes from.
#[derive(Clone, Debug)]
pub enum Platform {
    /// No list.
    None,
    /// A file.
    File(PathBuf),
    /// An HTTP server, with the path to ask for.
    Http(SocketAddr, String),
    /// A list in this process, for tests and the demo.
    Shared(Arc<Mutex<HostList>>),
}

impl Platform {
    /// Reads a setting as `file:PATH` or `http://IP:PORT/PATH`.
    pub fn parse(text: &str) -> Option<Self> {
        if text.is_empty() {
            return Some(Self::None);
        }
        if let Some(path) = text.strip_prefix("file:") {
            return Some(Self::File(PathBuf::from(path)));
        }
        let rest = text.strip_prefix("http://")?;
        let (address, path) = rest.split_once('/').unwrap_or((rest, ""));
        Some(Self::Http(address.parse().ok()?, format!("/{path}")))
    }

    async fn read(&self, tasks: &Tasks) -> Result<HostList, String> {
        let text = match self {
            Self::None => return Ok(HostList::default()),
            Self::Shared(list) => {
                return Ok(list.lock().unwrap_or_else(PoisonError::into_inner).clone());
            }
            Self::File(path) => std::fs::read_to_string(path).map_err(|error| error.to_string())?,
            Self::Http(address, path) => get(*address, path, tasks).await?,
        };
        HostList::from_ini(&text).map_err(|error| error.to_string())
    }
}

async fn get(address: SocketAddr, path: &str, tasks: &Tasks) -> Result<String, String> {
    let client = net::Client::new(address, tasks.clone());
    let reply = client
        .send(Method::GET, path, HeaderMap::new(), Bytes::new(), ANSWER_TIME)
        .await
        .map_err(|error| error.to_string())?;
    if reply.status != 200 {
        return Err(format!("status {}", reply.status));
    }
    String::from_utf8(reply.body.to_vec()).map_err(|error| error.to_string())
}

/// Takes a changed list; false when it wants no more.
pub(crate) type ListSubscriber = Box<dyn Fn(&HostList) -> bool + Send>;

/// Starts a thread that reads the list and hands out each change. It ends when told to, or when
/// no subscriber wants more. A list that can't be read leaves the last one in force.
pub(crate) fn watch(
    platform: Platform,
    every: Duration,
    mut subscribers: Vec<ListSubscriber>,
    stopped: Receiver<()>,
) -> io::Result<ThreadHandle> {
    spawn_until("platform", stopped, move |tasks| async move {
        let mut last: Option<HostList> = None;
        let mut failing = false;
        while !subscribers.is_empty() {
            match platform.read(&tasks).await {
                Ok(list) => {
                    failing = false;
                    if last.as_ref() != Some(&list) {
                        subscribers.retain(|subscriber| subscriber(&list));
                        last = Some(list);
                    }
                }
                Err(error) => {
                    if !failing {
                        warn!("platform: the list can't be read: {}", error);
                    }
                    failing = true;
                }
            }
            // An unchanged list is handed out again, so that ended subscribers are noticed.
            if let Some(list) = &last {
                subscribers.retain(|subscriber| subscriber(list));
            }
            Timer::after(every).await;
        }
    })
}
