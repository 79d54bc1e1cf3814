//! Connections to other hosts, which may be down, just starting, or far.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use futures_lite::FutureExt;
use socket2::SockRef;

/// How long to wait for a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// A further attempt begins beside those under way after each such pause. The kernel repeats the
/// opening packet only after a second, which is long for a host that has just come back.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(200);
/// After this a connection breaks whose sent bytes are not acknowledged by the other host. A
/// process that stands still does not cause it: its host acknowledges.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Connects, without Nagle's delay: by whichever of several attempts is answered first.
pub async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let late = async {
        Timer::after(CONNECT_TIME).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    let stream = first_answered(address).or(late).await?;
    set_socket_options(&stream);
    Ok(stream)
}

/// Begins attempts one after the other until one of them is answered, even by a refusal.
async fn first_answered(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(Async::<TcpStream>::connect(address));
        let pause = async {
            Timer::after(ATTEMPT_PAUSE).await;
            None
        };
        if let Some(answered) = attempts.next().or(pause).await {
            return answered;
        }
    }
}

/// Sends small frames at once, and breaks a connection whose other host is silent.
///
/// Without the options frames still come, only later: a failure to set them is no failure.
pub fn set_socket_options(stream: &Async<TcpStream>) {
    let socket = SockRef::from(stream.get_ref());
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(SILENCE));
}
