//! Clients that don't behave: many connections from one thread, each playing the same script again
//! and again.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use socket2::SockRef;

/// The end of an id in the path of a request, which is another one in each request.
pub const ID_DIGITS: &str = "0000c0ffee00";
/// Delay after a failed or closed connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Longest time that a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Connections opened at once when the crowd starts.
const CONNECT_BATCH: usize = 100;
/// Pause between the batches of new connections.
const CONNECT_PAUSE: Duration = Duration::from_millis(10);
/// Size of the receive buffer of a client that reads slowly.
const SMALL_BUFFER_BYTES: usize = 2_048;
/// Chunks of a chunked body that are written together.
const CHUNKS_PER_WRITE: usize = 4_096;

/// What a client does on each of its connections.
#[derive(Clone)]
pub enum Script {
    /// Sends these bytes, and then nothing.
    Stall(Arc<[u8]>),
    /// Sends the head, and then the body in chunks of one byte. Without an end the chunks continue
    /// until the connection is closed.
    Chunks { head: Arc<[u8]>, count: usize, ends: bool },
    /// Sends the bytes in pieces with pauses.
    Pieces { bytes: Arc<[u8]>, piece: usize, pause: Duration },
    /// Sends the request and reads the answer, repeatedly, each time with another id.
    Repeat(Arc<[u8]>),
    /// Sends half of the request and closes the connection.
    Abort(Arc<[u8]>),
    /// Sends a request and reads its answer a byte at a time, with pauses.
    ReadSlowly(Arc<[u8]>, Duration),
    /// Sends requests without reading any answer.
    Unread(Arc<[u8]>),
    /// Sends nothing.
    Silent,
}

/// A running crowd; it stops when dropped.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    pub fn start(to: SocketAddr, connections: usize, script: Script) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || run(to, connections, script, &stopped));
        Self { stop, thread: Some(thread) }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic in the thread has already been printed.
            let _ = thread.join();
        }
    }
}

fn run(to: SocketAddr, connections: usize, script: Script, stopped: &AtomicBool) {
    let script = Rc::new(script);
    net::block_on(|tasks| async move {
        for number in 0..connections {
            if number % CONNECT_BATCH == 0 {
                Timer::after(CONNECT_PAUSE).await;
            }
            let script = script.clone();
            tasks.spawn(async move {
                loop {
                    // A refused or closed connection is what the crowd provokes.
                    let _ = play(to, &script).await;
                    Timer::after(RECONNECT_DELAY).await;
                }
            });
        }
        while !stopped.load(Ordering::Relaxed) {
            Timer::after(CONNECT_PAUSE).await;
        }
    });
}

async fn play(to: SocketAddr, script: &Script) -> std::io::Result<()> {
    let mut stream = Async::<TcpStream>::connect(to).await?;
    stream.get_ref().set_nodelay(true)?;
    match script {
        Script::Stall(bytes) => {
            stream.write_all(bytes).await?;
            wait_until_closed(&mut stream).await
        }
        Script::Chunks { head, count, ends } => {
            stream.write_all(head).await?;
            send_chunks(&mut stream, *count, *ends).await?;
            wait_until_closed(&mut stream).await
        }
        Script::Pieces { bytes, piece, pause } => {
            for part in bytes.chunks(*piece) {
                stream.write_all(part).await?;
                Timer::after(*pause).await;
            }
            wait_until_closed(&mut stream).await
        }
        Script::Repeat(request) => loop {
            stream.write_all(&with_new_id(request)).await?;
            read_answer(&mut stream).await?;
        },
        Script::Abort(request) => {
            stream.write_all(&request[..request.len() / 2]).await?;
            Timer::after(RECONNECT_DELAY).await;
            Ok(())
        }
        Script::Unread(request) => loop {
            stream.write_all(&with_new_id(request)).await?;
        },
        Script::ReadSlowly(request, pause) => {
            // A small buffer leaves most of the answer with the server.
            SockRef::from(stream.get_ref()).set_recv_buffer_size(SMALL_BUFFER_BYTES)?;
            stream.write_all(&with_new_id(request)).await?;
            while stream.read(&mut [0]).await? > 0 {
                Timer::after(*pause).await;
            }
            Ok(())
        }
        Script::Silent => wait_until_closed(&mut stream).await,
    }
}

/// Returns the request with another id in its path, if the path ends with [`ID_DIGITS`].
fn with_new_id(request: &[u8]) -> Vec<u8> {
    static LAST_ID: AtomicU64 = AtomicU64::new(1);
    let mut request = request.to_vec();
    let line_end = request.iter().position(|byte| *byte == b'\r').unwrap_or(0);
    let line = &request[..line_end];
    let place = line.windows(ID_DIGITS.len()).position(|part| part == ID_DIGITS.as_bytes());
    if let Some(place) = place {
        let id = format!("{:012x}", LAST_ID.fetch_add(1, Ordering::Relaxed));
        request[place..place + ID_DIGITS.len()].copy_from_slice(id.as_bytes());
    }
    request
}

async fn send_chunks(
    stream: &mut Async<TcpStream>,
    count: usize,
    ends: bool,
) -> std::io::Result<()> {
    let chunks = b"1\r\nx\r\n".repeat(CHUNKS_PER_WRITE);
    let mut sent = 0;
    while sent < count || !ends {
        stream.write_all(&chunks).await?;
        sent += CHUNKS_PER_WRITE;
    }
    stream.write_all(b"0\r\n\r\n").await
}

/// Reads and discards until the connection is closed.
async fn wait_until_closed(stream: &mut Async<TcpStream>) -> std::io::Result<()> {
    let mut buffer = [0; 512];
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}

/// Reads an answer up to the end of its first part, which holds all of a short answer.
async fn read_answer(stream: &mut Async<TcpStream>) -> std::io::Result<()> {
    let mut buffer = [0; 2_048];
    let timed_out = async {
        Timer::after(ANSWER_TIMEOUT).await;
        Err(ErrorKind::TimedOut.into())
    };
    match stream.read(&mut buffer).or(timed_out).await? {
        0 => Err(ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}
