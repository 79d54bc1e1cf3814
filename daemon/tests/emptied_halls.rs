//! Commands to empty and refill data halls, executed by real processes.
//!
//! `DOCKPASS_HALL_SEEDS=FIRST..END` selects other seeds of the run under faults.

// Tests measure wall-clock time and sleep.
#![allow(clippy::disallowed_methods)]

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;
use support::http::call_as_operator;
use support::process::FaultyProcess;
use support::{Answer, FakeTarget, Fleet, call, checks, eventually, seeds_from_env};

const COMPLETED: &str = "{\"state\":\"completed\"}";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after an acknowledgement in which a command takes effect everywhere.
const EFFECT_TIME: Duration = Duration::from_millis(1_500);

fn target_in(fleet: &Fleet, number: usize, hall: &'static str) -> FakeTarget {
    let id = format!("i-{number}");
    FakeTarget::start_in(fleet.target_address(number), fleet.agent_address(number), &id, hall)
}

fn send_hall_command(fleet: &Fleet, path: &str) -> Option<Answer> {
    call_as_operator(fleet.keeper_address(), "POST", path, ANSWER_TIMEOUT)
}

fn send_until_acknowledged(fleet: &Fleet, path: &str) {
    eventually("the command is acknowledged", || {
        send_hall_command(fleet, path).is_some_and(|answer| answer.status == 200)
    });
}

fn starts(target: &FakeTarget) -> usize {
    target.observed.lock().expect("the mutex is not poisoned").starts.len()
}

/// Submits jobs to the first entry for a while; returns the number completed.
fn submit_jobs(fleet: &Fleet, first_id: u64, time: Duration) -> usize {
    let started = Instant::now();
    let mut completed = 0;
    for id in first_id.. {
        if started.elapsed() > time {
            break;
        }
        let answer = fleet.submit_job(id, 2, 30).expect("the request is answered");
        completed += usize::from(answer.body == COMPLETED);
    }
    completed
}

#[test]
fn an_emptied_hall_gets_no_work_across_restarts_until_it_is_refilled() {
    let fleet = Fleet::new(2);
    let north = target_in(&fleet, 0, "north");
    let south = target_in(&fleet, 1, "south");
    let mut keeper = Some(fleet.start("keeper"));
    let mut entry = Some(fleet.start("entry"));
    let mut agent = Some(fleet.start("agent0"));
    let _other = fleet.start("agent1");
    fleet.configure(7);
    fleet.wait_until_ready();
    eventually("both halls get work", || {
        submit_jobs(&fleet, 1_000, Duration::from_millis(200));
        starts(&north) > 0 && starts(&south) > 0
    });

    send_until_acknowledged(&fleet, "/evacuations/north/start");
    std::thread::sleep(EFFECT_TIME);
    let before = starts(&north);
    assert!(
        submit_jobs(&fleet, 2_000, Duration::from_millis(500)) > 0,
        "the other hall completes jobs"
    );
    // Each restarted process learns of the command from the others.
    for name in ["keeper", "entry", "agent0"] {
        let process = match name {
            "keeper" => &mut keeper,
            "entry" => &mut entry,
            _ => &mut agent,
        };
        drop(process.take());
        *process = Some(fleet.start(name));
        fleet.wait_until_ready();
        submit_jobs(&fleet, 3_000, Duration::from_millis(700));
    }
    assert_eq!(starts(&north), before, "no task started in the emptied hall");

    // The restarted keeper still knows the command, which the operator API shows.
    eventually("the keeper leads", || {
        call(fleet.keeper_address(), "GET", "/v1/halls", "", ANSWER_TIMEOUT)
            .is_some_and(|answer| answer.status == 200 && answer.body.contains("\"north\""))
    });
    send_until_acknowledged(&fleet, "/v1/halls/north/refill");
    eventually("the hall gets work again", || {
        submit_jobs(&fleet, 4_000, Duration::from_millis(200));
        starts(&north) > before
    });
}

#[test]
fn with_every_hall_emptied_requests_are_refused_at_once() {
    let fleet = Fleet::new(1);
    let target = target_in(&fleet, 0, "north");
    let _processes = ["keeper", "entry", "agent0"].map(|name| fleet.start(name));
    fleet.configure(7);
    fleet.wait_until_ready();
    eventually("the entry completes jobs", || {
        submit_jobs(&fleet, 1, Duration::from_millis(100)) > 0
    });
    send_until_acknowledged(&fleet, "/v1/halls/north/empty");
    // A newly started entry waits for further agents before it refuses jobs for good.
    std::thread::sleep(EFFECT_TIME + Duration::from_secs(1));
    let before = starts(&target);
    let started = Instant::now();
    let answer = fleet.submit_job(9_000, 2, 400).expect("the request is answered");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.body.contains("not run: halls-emptied"), "{answer:?}");
    assert!(answer.head.contains("retry-after: 8"), "{answer:?}");
    assert!(started.elapsed() < Duration::from_millis(200), "after {:?}", started.elapsed());
    assert_eq!(starts(&target), before);
}

#[test]
fn invalid_hall_commands_are_rejected() {
    let fleet = Fleet::new(1);
    let _keeper = fleet.start("keeper");
    fleet.configure(7);
    let status =
        |path: &str| send_hall_command(&fleet, path).expect("the request is answered").status;
    assert_eq!(status("/evacuations/a%20b/start"), 400);
    assert_eq!(status("/v1/halls/a%20b/empty"), 400);
    assert_eq!(status("/v1/halls/north/close"), 404);
    assert_eq!(status("/evacuations/north"), 404);
    // A command for an unknown hall applies to nodes that join later.
    assert_eq!(status("/evacuations/nobody-there/start"), 200);
    assert_eq!(status("/evacuations/nobody-there/start"), 200, "a repeated command is accepted");
    assert_eq!(status("/evacuations/nobody-there/finish"), 200);
}

/// Time during which faults are injected.
const FAULTS_TIME: Duration = Duration::from_secs(6);
/// Time until a process recovers from a fault, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 100..900;
/// Time between faults, and between commands, in milliseconds.
const FAULT_EVERY_MS: std::ops::Range<u64> = 200..900;
const COMMAND_EVERY_MS: std::ops::Range<u64> = 300..1_800;
/// Time after an acknowledgement in which a command takes effect despite faults: recovery,
/// reconnection, and pending starts.
const EFFECT_TIME_UNDER_FAULTS: Duration = Duration::from_millis(3_500);
/// Timeout of a client.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Commands for the hall `north`, as known to the operator that sends them.
#[derive(Default)]
struct HallCommands {
    /// Time of the acknowledgement that the hall is emptied; `None` once a refill was sent.
    emptied_since: Option<Instant>,
    /// Periods in which no task may start in the hall.
    closed_periods: Vec<(Instant, Instant)>,
    /// Number of acknowledged commands.
    acknowledged: u32,
}

impl HallCommands {
    /// Sends one command until it is acknowledged or the run is over; repeats it after a lost
    /// answer.
    fn send(&mut self, fleet: &Fleet, takes_work: bool, until: Instant) {
        if takes_work {
            self.reopen(Instant::now());
        }
        let path = if takes_work { "finish" } else { "start" };
        while Instant::now() < until {
            let answer = send_hall_command(fleet, &format!("/evacuations/north/{path}"));
            if answer.is_some_and(|answer| answer.status == 200) {
                self.acknowledged += 1;
                if !takes_work {
                    self.emptied_since.get_or_insert_with(Instant::now);
                }
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Ends the period in which the hall is closed.
    fn reopen(&mut self, now: Instant) {
        if let Some(since) = self.emptied_since.take()
            && now > since + EFFECT_TIME_UNDER_FAULTS
        {
            self.closed_periods.push((since + EFFECT_TIME_UNDER_FAULTS, now));
        }
    }
}

/// Runs one seed: injects faults into processes while clients submit jobs and an operator sends
/// commands. The last command empties the hall and stays in effect while faults go on.
fn run(seed: u64) -> (Vec<String>, u32) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = Fleet::with_keeper_in_memory(2, 4);
    let halls = ["north", "south", "north", "south"];
    let targets: Vec<FakeTarget> =
        halls.iter().enumerate().map(|(number, hall)| target_in(&fleet, number, hall)).collect();
    let mut processes: Vec<FaultyProcess> =
        fleet.names().into_iter().map(|name| FaultyProcess::start(&fleet, name)).collect();
    fleet.configure(7);
    fleet.wait_until_ready();
    let end = Instant::now() + FAULTS_TIME;
    let last_command = end - FAULTS_TIME / 3 * 2;
    let mut commands = HallCommands::default();
    let command_seed = rng.random();
    std::thread::scope(|scope| {
        for client in 0..2_u64 {
            let fleet = &fleet;
            scope.spawn(move || {
                let mut id = seed << 32 | client << 24;
                while Instant::now() < end {
                    id += 1;
                    let entry = (id % 2) as usize;
                    // The answer does not matter; the entry may be down.
                    drop(fleet.submit_job_within(entry, id, 3, 60, CLIENT_TIMEOUT));
                    std::thread::sleep(Duration::from_millis(10));
                }
            });
        }
        let (fleet, commands) = (&fleet, &mut commands);
        scope.spawn(move || {
            let mut rng = ChaCha8Rng::seed_from_u64(command_seed);
            while Instant::now() < last_command {
                commands.send(fleet, rng.random_bool(0.5), end);
                std::thread::sleep(Duration::from_millis(rng.random_range(COMMAND_EVERY_MS)));
            }
            commands.send(fleet, false, end);
        });
        while Instant::now() < end {
            let now = Instant::now();
            let recover_at = now + Duration::from_millis(rng.random_range(DOWNTIME_MS));
            let number = rng.random_range(0..processes.len());
            processes[number].inject(rng.random_range(0..3), recover_at);
            let next = now + Duration::from_millis(rng.random_range(FAULT_EVERY_MS));
            while Instant::now() < next {
                processes.iter_mut().for_each(|process| process.recover(fleet, Instant::now()));
                std::thread::sleep(Duration::from_millis(10));
            }
        }
    });
    commands.reopen(Instant::now());
    let mut faults = Vec::new();
    for (target, _) in targets.iter().zip(halls).filter(|(_, hall)| *hall == "north") {
        let observed = target.observed.lock().expect("the mutex is not poisoned");
        for task_run in &observed.runs {
            let inside = |(from, to): &(Instant, Instant)| {
                task_run.started > *from && task_run.started < *to
            };
            if commands.closed_periods.iter().any(inside) {
                faults.push(format!("{} starts in the emptied hall", task_run.task));
            }
        }
    }
    faults.extend(checks::overlapping_runs(&targets));
    (faults, commands.acknowledged)
}

#[test]
fn nothing_starts_in_an_emptied_hall_under_faults() {
    let mut faults = Vec::new();
    let mut acknowledged = 0;
    for seed in seeds_from_env("DOCKPASS_HALL_SEEDS", &[]) {
        let (found, commands) = run(seed);
        acknowledged += commands;
        faults.extend(found.iter().map(|fault| format!("seed {seed}: {fault}")));
    }
    println!("{acknowledged} commands acknowledged");
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
    assert!(acknowledged > 0, "no command was acknowledged");
}

/// Guards against a delayed command that is executed after its operator has closed the connection
/// and sent the opposite one. Here the end of the connection arrives with the command; the tests of
/// `late_hall_commands` deliver it later or never.
#[test]
fn a_command_from_a_disconnected_operator_is_not_executed() {
    let fleet = Fleet::new(1);
    let _keeper = fleet.start("keeper");
    fleet.configure(7);
    for path in ["/evacuations/north/start", "/v1/halls/north/empty"] {
        send_until_acknowledged(&fleet, "/evacuations/north/finish");
        let mut late =
            TcpStream::connect(fleet.keeper_address()).expect("the address accepts connections");
        // Corking sends the command together with the end of the connection, as after a delay.
        SockRef::from(&late).set_tcp_cork(true).expect("the socket option is set");
        let request = format!("POST {path} HTTP/1.1\r\nHost: k\r\nContent-Length: 0\r\n\r\n");
        late.write_all(request.as_bytes()).expect("the command is sent");
        drop(late);
        // The acknowledgement of a later command shows that earlier ones have been processed.
        send_until_acknowledged(&fleet, "/evacuations/south/start");
        let halls = call(fleet.keeper_address(), "GET", "/v1/halls", "", ANSWER_TIMEOUT)
            .expect("the request is answered");
        assert!(halls.body.contains("\"south\"") && !halls.body.contains("\"north\""), "{halls:?}");
        send_until_acknowledged(&fleet, "/evacuations/south/finish");
    }
}
