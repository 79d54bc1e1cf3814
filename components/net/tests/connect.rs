//! Connections to hosts that do not answer at first.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use socket2::{Domain, Socket, Type};

/// A listener that lets openings go unanswered while its queue is full.
fn small_listener() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    socket.into()
}

#[test]
fn a_host_that_answers_a_little_later_is_reached_before_the_kernel_asks_again() {
    let listener = small_listener();
    let address = listener.local_addr().unwrap();
    let filler = TcpStream::connect(address).unwrap();
    let accept_late = std::thread::spawn(move || {
        async_io::block_on(async {
            // The first attempt is unanswered by then, and the next ones are still to come.
            Timer::after(Duration::from_millis(100)).await;
            let listener = Async::new(listener).unwrap();
            let first = listener.accept().await.unwrap();
            let second = listener.accept().await.unwrap();
            (first, second)
        })
    });
    let stream = async_io::block_on(net::connect(address)).expect("a later attempt is answered");
    assert_eq!(stream.get_ref().peer_addr().unwrap(), address);
    accept_late.join().unwrap();
    drop(filler);
}

#[test]
fn a_refusal_is_told_at_once() {
    let listener = small_listener();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = async_io::block_on(net::connect(address)).expect_err("nobody listens");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
}
