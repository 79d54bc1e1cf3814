//! Planned stops of a keeper while operators' calls are pending.

// Tests measure wall-clock time and sleep.
#![allow(clippy::disallowed_methods)]

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

struct Keeper {
    child: Child,
    address: String,
}

impl Keeper {
    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap().success());
    }

    fn send_configuration(&self, version: u64) -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect(&self.address)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let body = serde_json::json!({"version": version, "routes": [],
            "services": [{"name": "work", "rejects_overload": true}],
            "limits": {"max_body_bytes": 10_000}})
        .to_string();
        let head = format!(
            "POST /configuration/replace HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(format!("{head}{body}").as_bytes())?;
        Ok(stream)
    }

    /// Sends a configuration; returns the status of the answer.
    fn configure_status(&self, version: u64) -> Option<u16> {
        read_status(self.send_configuration(version).ok()?)
    }
}

fn read_status(stream: TcpStream) -> Option<u16> {
    let mut line = String::new();
    // Unlike a single read, `read_line` retries after an interruption by a suspension.
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split_whitespace().nth(1)?.parse().ok()
}

impl Drop for Keeper {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_keepers(folder: &std::path::Path, subnet: u32) -> Vec<Keeper> {
    let net = format!("127.{}.{subnet}", 1 + std::process::id() % 250);
    let seeds: Vec<String> = (1..=3).map(|host| format!("{net}.{host}:7100")).collect();
    (1..=3)
        .map(|host| {
            let data = folder.join(format!("data{host}"));
            fs::create_dir_all(&data).unwrap();
            let text = format!(
                "[node]\nname = k{host}\nroles = keeper\nscheduling = room\nnode_port = 7101\n\
                 keepers = {}\n[keeper]\nlisten = {net}.{host}:7100\nnode_listen = {net}.{host}:7101\n\
                 data = {}\nfound = true\ntolerated_losses = 1\n",
                seeds.join(" "),
                data.display()
            );
            let file = folder.join(format!("k{host}.ini"));
            fs::write(&file, text).unwrap();
            let log = fs::File::create(folder.join(format!("k{host}.log"))).unwrap();
            let child = Command::new(env!("CARGO_BIN_EXE_dockpassd"))
                .arg("--config")
                .arg(&file)
                .stdout(Stdio::from(log))
                .spawn()
                .unwrap();
            Keeper { child, address: seeds[host - 1].clone() }
        })
        .collect()
}

/// Waits until a keeper accepts a configuration, which only the leader does; returns its number.
fn wait_for_leader(keepers: &[Keeper]) -> usize {
    let started = Instant::now();
    loop {
        assert!(started.elapsed() < Duration::from_secs(15), "no keeper accepts a configuration");
        let leads = |keeper: &Keeper| keeper.configure_status(1) == Some(200);
        if let Some(number) = keepers.iter().position(leads) {
            return number;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a stopping leader that drops pending calls without an answer. The leader cannot
/// reach a majority here.
#[test]
fn a_pending_change_is_answered_when_the_leader_stops() {
    let folder = tempfile::tempdir().unwrap();
    let keepers = start_keepers(folder.path(), 251);
    let leader = wait_for_leader(&keepers);
    keepers.iter().enumerate().filter(|(number, _)| *number != leader).for_each(|(_, keeper)| {
        keeper.signal("STOP");
    });
    let pending = keepers[leader].send_configuration(2).unwrap();
    std::thread::sleep(Duration::from_millis(20));
    let stopped = Instant::now();
    keepers[leader].signal("TERM");
    let status = read_status(pending);
    println!("{status:?} after {:?}", stopped.elapsed());
    assert!(status.is_some(), "the connection ended with no answer, {:?}", stopped.elapsed());
}

/// Guards against changes left unanswered while the leader of a healthy cluster stops. Only the
/// last one may be, if the listener closed before it accepted the connection of that change.
#[test]
fn changes_sent_while_the_leader_stops_are_answered() {
    let folder = tempfile::tempdir().unwrap();
    let mut keepers = start_keepers(folder.path(), 252);
    let leader = wait_for_leader(&keepers);
    keepers[leader].signal("TERM");
    let mut answers = Vec::new();
    let stopped = Instant::now();
    for version in 2.. {
        let Ok(stream) = keepers[leader].send_configuration(version) else { break };
        answers.push((stopped.elapsed().as_millis(), read_status(stream)));
    }
    let _ = keepers[leader].child.wait();
    let unanswered = |(_, status): &(u128, Option<u16>)| status.is_none();
    let last_is_unanswered = answers.last().is_some_and(unanswered);
    println!("{} sent, last {:?}", answers.len(), answers.last());
    answers.truncate(answers.len() - usize::from(last_is_unanswered));
    assert!(answers.len() > 10 && !answers.iter().any(unanswered), "{answers:?}");
}
