//! The platform's list of hosts, read at intervals.

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
use net::Spawner;
use spdlog::warn;

use crate::threads::{ThreadHandle, spawn_until};

/// Timeout of a request to the platform.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The source of the host list.
#[derive(Clone, Debug)]
pub enum Platform {
    /// No list.
    None,
    /// A file.
    File(PathBuf),
    /// An HTTP server and the path of the list on it.
    Http(SocketAddr, String),
    /// A list in this process, for tests and the demo.
    Shared(Arc<Mutex<HostList>>),
}

impl Platform {
    /// Parses `file:PATH` or `http://IP:PORT/PATH`; empty text means no list.
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

    async fn read(&self, tasks: &Spawner) -> Result<HostList, String> {
        let text = match self {
            Self::None => return Ok(HostList::default()),
            Self::Shared(list) => {
                return Ok(list.lock().unwrap_or_else(PoisonError::into_inner).clone());
            }
            Self::File(path) => std::fs::read_to_string(path).map_err(|error| error.to_string())?,
            Self::Http(address, path) => fetch(*address, path, tasks).await?,
        };
        HostList::from_ini(&text).map_err(|error| error.to_string())
    }
}

async fn fetch(address: SocketAddr, path: &str, tasks: &Spawner) -> Result<String, String> {
    let client = net::Client::new(address, tasks.clone());
    let reply = client
        .send(Method::GET, path, HeaderMap::new(), Bytes::new(), READ_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    if reply.status != 200 {
        return Err(format!("status {}", reply.status));
    }
    String::from_utf8(reply.body.to_vec()).map_err(|error| error.to_string())
}

/// Receives the list; returns false to unsubscribe.
pub(crate) type ListSubscriber = Box<dyn Fn(&HostList) -> bool + Send>;

/// Starts a thread that reads the list and passes it to the subscribers. It ends when the other
/// side of `stopped` is dropped or no subscriber is left. If the list can't be read, the
/// subscribers keep the last one.
pub(crate) fn watch(
    platform: Platform,
    poll_interval: Duration,
    mut subscribers: Vec<ListSubscriber>,
    stopped: Receiver<()>,
) -> io::Result<ThreadHandle> {
    spawn_until("platform", stopped, move |tasks| async move {
        let mut last_list: Option<HostList> = None;
        let mut read_failing = false;
        while !subscribers.is_empty() {
            match platform.read(&tasks).await {
                Ok(list) => {
                    read_failing = false;
                    if last_list.as_ref() != Some(&list) {
                        subscribers.retain(|subscriber| subscriber(&list));
                        last_list = Some(list);
                    }
                }
                Err(error) => {
                    if !read_failing {
                        warn!("platform: failed to read the host list: {}", error);
                    }
                    read_failing = true;
                }
            }
            // Passes the list again even if it is unchanged, so that ended subscribers unsubscribe.
            if let Some(list) = &last_list {
                subscribers.retain(|subscriber| subscriber(list));
            }
            Timer::after(poll_interval).await;
        }
    })
}
