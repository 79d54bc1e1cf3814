//! Connecting to hosts that do not respond at first.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use socket2::{Domain, Socket, Type};

/// A listener with the shortest queue; connection attempts get no response while it is full.
fn listener_with_minimal_queue() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any_port.into()).unwrap();
    socket.listen(0).unwrap();
    socket.into()
}

#[test]
fn a_later_attempt_connects_before_the_kernel_retransmits() {
    let listener = listener_with_minimal_queue();
    let address = listener.local_addr().unwrap();
    let queued = TcpStream::connect(address).unwrap();
    let accept_late = std::thread::spawn(move || {
        async_io::block_on(async {
            // The first attempt has got no response by then; the next ones have not started.
            Timer::after(Duration::from_millis(100)).await;
            let listener = Async::new(listener).unwrap();
            let first = listener.accept().await.unwrap();
            let second = listener.accept().await.unwrap();
            (first, second)
        })
    });
    let stream = async_io::block_on(net::connect(address)).expect("a later attempt connects");
    assert_eq!(stream.get_ref().peer_addr().unwrap(), address);
    accept_late.join().unwrap();
    drop(queued);
}

#[test]
fn a_refused_connection_fails_at_once() {
    let listener = listener_with_minimal_queue();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = async_io::block_on(net::connect(address))
        .expect_err("connecting to a closed port succeeded");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
}
