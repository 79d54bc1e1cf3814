//! Guards against late copies of commands for a hall that undo a command which was acknowledged
//! since, at keepers that are real processes.
//!
//! A copy reaches a keeper after its sender has closed the connection and sent the command to
//! another keeper. The end of the connection arrives with the copy, later or never.

// Tests measure wall-clock time and sleep.
#![allow(clippy::disallowed_methods)]

mod keeper_cluster;
mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use client::{HallOutcome, OperatorClient};
use keeper_cluster::Keepers;
use rustix::process::Signal;
use socket2::SockRef;
use support::http::call_as_operator;
use support::{Fleet, call, eventually};
use wire::HallCommand;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Port of the keepers for operators.
const PORT: u16 = 7_100;
/// Longest time for which an operator sends a command again; a copy is not in transit for longer.
const MAX_SEND_TIME: Duration = Duration::from_secs(5);
/// Times from the arrival of a copy to that of the end of its connection; it never arrives at last.
const ENDS: [Option<Duration>; 5] = [
    Some(Duration::ZERO),
    Some(Duration::from_millis(2)),
    Some(Duration::from_millis(30)),
    Some(Duration::from_millis(300)),
    None,
];

/// One hall in each direction: the acknowledged command empties the first one and refills the
/// second one.
const EMPTIED: &str = "emptied";
const REFILLED: &str = "refilled";

/// The interfaces for commands: the prefix of the path, the action that empties a hall and the one
/// that refills it.
const INTERFACES: [(&str, &str, &str); 2] =
    [("/evacuations/", "start", "finish"), ("/v1/halls/", "empty", "refill")];

fn path(interface: usize, hall: &str, empties: bool) -> String {
    let (prefix, empty, refill) = INTERFACES[interface];
    format!("{prefix}{hall}/{}", if empties { empty } else { refill })
}

/// Sends a command to the keepers in turn until one acknowledges it, and checks that this takes no
/// longer than operators try.
fn send_acknowledged(keepers: &[SocketAddr], path: &str) {
    let started = Instant::now();
    eventually("the command is acknowledged", || {
        keepers.iter().any(|keeper| {
            call_as_operator(*keeper, "POST", path, ANSWER_TIMEOUT)
                .is_some_and(|answer| answer.status == 200)
        })
    });
    assert!(started.elapsed() < MAX_SEND_TIME, "{path} took {:?}", started.elapsed());
}

/// Sends the commands that the copies contradict, over one of the interfaces.
fn send_commands(keepers: &[SocketAddr], interface: usize) {
    for empties in [true, false, true] {
        send_acknowledged(keepers, &path(interface, EMPTIED, empties));
        send_acknowledged(keepers, &path(interface, REFILLED, !empties));
    }
}

/// Delivers a copy; returns its connection if that has no end.
fn deliver_copy(to: SocketAddr, path: &str, end: Option<Duration>) -> Option<TcpStream> {
    let mut connection = TcpStream::connect(to).ok()?;
    if end == Some(Duration::ZERO) {
        // Corking sends the command together with the end of the connection.
        SockRef::from(&connection).set_tcp_cork(true).expect("the socket option is set");
    }
    let request = format!("POST {path} HTTP/1.1\r\nHost: k\r\nContent-Length: 0\r\n\r\n");
    connection.write_all(request.as_bytes()).expect("the copy is sent");
    let Some(end) = end else { return Some(connection) };
    std::thread::spawn(move || {
        std::thread::sleep(end);
        drop(connection);
    });
    None
}

/// Delivers copies of all commands that were undone to every keeper, with each kind of end.
fn deliver_copies(keepers: &[SocketAddr]) -> Vec<TcpStream> {
    let mut open = Vec::new();
    for interface in 0..INTERFACES.len() {
        for end in ENDS {
            for keeper in keepers {
                open.extend(deliver_copy(*keeper, &path(interface, EMPTIED, false), end));
                open.extend(deliver_copy(*keeper, &path(interface, REFILLED, true), end));
            }
        }
    }
    open
}

/// Checks the emptied halls once copies that have just been delivered would be in force.
fn check_halls(keepers: &[SocketAddr], after: &str) {
    std::thread::sleep(Duration::from_millis(500));
    let mut halls = String::new();
    eventually("the halls are read", || {
        let mut answers = keepers
            .iter()
            .filter_map(|keeper| call(*keeper, "GET", "/v1/halls", "", ANSWER_TIMEOUT));
        let answer = answers.find(|answer| answer.status == 200);
        halls = answer.map(|answer| answer.body).unwrap_or_default();
        !halls.is_empty()
    });
    let (emptied, refilled) = (format!("\"{EMPTIED}\""), format!("\"{REFILLED}\""));
    assert!(halls.contains(&emptied) && !halls.contains(&refilled), "{halls} after {after}");
}

fn addresses(keepers: &Keepers) -> Vec<SocketAddr> {
    (0..keepers.count()).map(|number| keepers.address(number, PORT)).collect()
}

fn leader(keepers: &Keepers) -> usize {
    let mut leader = None;
    eventually("a keeper leads", || {
        leader = (0..keepers.count())
            .find(|number| keepers.status(*number).is_some_and(|status| status["leads"] == true));
        leader.is_some()
    });
    leader.expect("a keeper leads")
}

#[test]
fn late_copies_do_not_undo_an_acknowledged_hall_command() {
    for interface in 0..INTERFACES.len() {
        let keepers = Keepers::start(3, 1);
        let operators = addresses(&keepers);
        send_commands(&operators, interface);
        let acknowledged_at = Instant::now();
        let mut open = Vec::new();
        while acknowledged_at.elapsed() < MAX_SEND_TIME - Duration::from_millis(500) {
            open.extend(deliver_copies(&operators));
            check_halls(&operators, "copies");
            std::thread::sleep(Duration::from_millis(700));
        }
    }
}

#[test]
fn late_copies_do_not_undo_a_hall_command_of_an_earlier_leader() {
    let mut keepers = Keepers::start(3, 1);
    let operators = addresses(&keepers);
    send_commands(&operators, 0);
    let first = leader(&keepers);
    keepers.kill(first);
    let second = leader(&keepers);
    let _open = deliver_copies(&operators);
    check_halls(&operators, "the death of the leader");
    keepers.start_keeper(first);
    eventually("all keepers have caught up", || keepers.all_have_caught_up());
    keepers.signal(second, Signal::TERM);
    eventually("the keeper ends", || !keepers.is_running(second));
    let _open = deliver_copies(&operators);
    check_halls(&operators, "the planned stop of the leader");
}

#[test]
fn late_copies_do_not_undo_a_hall_command_from_before_a_restart_of_all_keepers() {
    let mut keepers = Keepers::start(3, 1);
    let operators = addresses(&keepers);
    send_commands(&operators, 0);
    for _ in 0..2 {
        keepers.kill_all();
        (0..keepers.count()).for_each(|number| keepers.start_keeper(number));
        leader(&keepers);
        let _open = deliver_copies(&operators);
        check_halls(&operators, "a restart of all keepers");
    }
    send_commands(&operators, 1);
}

/// The client confirms each command, so that no copy of its requests has an effect however late.
#[test]
fn commands_of_the_client_are_acknowledged_at_once_and_never_carried_out_again() {
    let keepers = Keepers::start(3, 1);
    let operators = addresses(&keepers);
    for (number, takes_work) in [false, true, false, true, false].into_iter().enumerate() {
        let hall = EMPTIED.parse().expect("the name is valid");
        let command = HallCommand { hall, takes_work };
        let started = Instant::now();
        let to = operators.clone();
        let outcome = net::block_on(|tasks| async move {
            OperatorClient::new(&to, &tasks).send_hall_command(&command).await
        });
        assert!(matches!(outcome, HallOutcome::Accepted(_)), "{outcome:?}");
        assert!(started.elapsed() < Duration::from_secs(1), "command {number}");
    }
    // Copies with each index that the client can have confirmed.
    let committed = keepers.status(leader(&keepers)).expect("the keeper answers")["committed"]
        .as_u64()
        .expect("an index");
    for index in 0..committed {
        let path = format!("{}?after={index}", path(1, EMPTIED, false));
        let _open: Vec<_> =
            operators.iter().map(|keeper| deliver_copy(*keeper, &path, None)).collect();
    }
    check_halls(&operators, "copies of confirmed commands");
}

/// The copies lie in the socket of a process that stands still for longer than a copy is in transit.
#[test]
fn copies_that_are_read_after_a_standstill_do_not_undo_an_acknowledged_hall_command() {
    let fleet = Fleet::new(1);
    let keeper = fleet.start("keeper");
    let operators = [fleet.keeper_address()];
    send_commands(&operators, 0);
    keeper.signal("STOP");
    let _open = deliver_copies(&operators);
    std::thread::sleep(MAX_SEND_TIME + Duration::from_secs(1));
    keeper.signal("CONT");
    check_halls(&operators, "a standstill");
}
