//! Opens TCP connections to hosts that may be down, starting or far away.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use futures_lite::FutureExt;
use socket2::SockRef;

/// Timeout for opening a connection, over all attempts.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between parallel connection attempts. The kernel retransmits a SYN only after a second,
/// which is too slow for a host that has just restarted.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(200);
/// `TCP_USER_TIMEOUT`: a connection fails when sent bytes stay unacknowledged for this time. A
/// paused process doesn't trigger it, since its kernel still acknowledges.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Opens a connection with the options of [`set_socket_options`].
///
/// Starts an attempt at regular intervals and returns the result of the first one that completes.
/// Fails with `TimedOut` if none does.
pub async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    let stream = first_completed(address).or(timeout).await?;
    set_socket_options(&stream);
    Ok(stream)
}

/// Starts further attempts until one completes, with a connection or an error.
async fn first_completed(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(Async::<TcpStream>::connect(address));
        let interval = async {
            Timer::after(ATTEMPT_INTERVAL).await;
            None
        };
        if let Some(result) = attempts.next().or(interval).await {
            return result;
        }
    }
}

/// Disables Nagle's algorithm and sets `TCP_USER_TIMEOUT`.
///
/// Errors are ignored: the connection works without these options, only with more delay.
pub fn set_socket_options(stream: &Async<TcpStream>) {
    let socket = SockRef::from(stream.get_ref());
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}
