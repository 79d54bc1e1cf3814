//! Orders to empty and refill data halls, as real processes carry them out.
//!
//! `DOCKPASS_HALL_SEEDS=FIRST..END` runs other seeds under signals by hand.

// Spans that a test measures or waits.
#![allow(clippy::disallowed_methods)]

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;
use support::process::FaultyProcess;
use support::{Answer, FakeTarget, Fleet, call, checks, eventually, seeds_from_env};

const COMPLETED: &str = "{\"state\":\"completed\"}";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Users allow 5 s from the acknowledgement until nothing starts any more; a keeper's news takes some
/// milliseconds on a host with time to spare.
const EFFECT_TIME: Duration = Duration::from_millis(1_500);

fn target_in(fleet: &Fleet, number: usize, hall: &'static str) -> FakeTarget {
    let id = format!("i-{number}");
    FakeTarget::start_in(fleet.target_address(number), fleet.agent_address(number), &id, hall)
}

fn send_hall_command(fleet: &Fleet, path: &str) -> Option<Answer> {
    call(fleet.keeper_address(), "POST", path, "", ANSWER_TIMEOUT)
}

fn send_until_acknowledged(fleet: &Fleet, path: &str) {
    eventually("the order is acknowledged", || {
        send_hall_command(fleet, path).is_some_and(|answer| answer.status == 200)
    });
}

fn starts(target: &FakeTarget) -> usize {
    target.observed.lock().expect("no panic").starts.len()
}

/// Hands in jobs for a while; returns how many were completed, by the first entry.
fn submit_jobs(fleet: &Fleet, first_id: u64, time: Duration) -> usize {
    let started = Instant::now();
    let mut completed = 0;
    for id in first_id.. {
        if started.elapsed() > time {
            break;
        }
        let answer = fleet.submit_job(id, 2, 30).expect("it is answered");
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
    assert!(submit_jobs(&fleet, 2_000, Duration::from_millis(500)) > 0, "the other hall serves");
    // Each in turn comes back and hears of the order from those who know it.
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
    assert_eq!(starts(&north), before, "nothing started in the emptied hall");

    // The keeper, which has restarted, still has the order; the product's own interface shows it.
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
    eventually("it serves", || submit_jobs(&fleet, 1, Duration::from_millis(100)) > 0);
    send_until_acknowledged(&fleet, "/v1/halls/north/empty");
    // An entry that has just started takes two seconds to be sure that no other agent comes.
    std::thread::sleep(EFFECT_TIME + Duration::from_secs(1));
    let before = starts(&target);
    let started = Instant::now();
    let answer = fleet.submit_job(9_000, 2, 400).expect("it is answered");
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
    let status = |path: &str| send_hall_command(&fleet, path).expect("it is answered").status;
    assert_eq!(status("/evacuations/a%20b/start"), 400);
    assert_eq!(status("/v1/halls/a%20b/empty"), 400);
    assert_eq!(status("/v1/halls/north/close"), 404);
    assert_eq!(status("/evacuations/north"), 404);
    // Where no node is yet, an order holds for those that come.
    assert_eq!(status("/evacuations/nobody-there/start"), 200);
    assert_eq!(status("/evacuations/nobody-there/start"), 200, "sent again");
    assert_eq!(status("/evacuations/nobody-there/finish"), 200);
}

/// How long faults strike in a run.
const FAULTS_TIME: Duration = Duration::from_secs(6);
/// A process that was struck is back after so long at most, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 100..900;
/// From one fault to the next, and from one order to the next, in milliseconds.
const FAULT_EVERY_MS: std::ops::Range<u64> = 200..900;
const COMMAND_EVERY_MS: std::ops::Range<u64> = 300..1_800;
/// Users allow 5 s from an acknowledgement until nothing starts any more. Here all that has to come back does
/// within 0.9 s, finds a keeper or an entry within 1.7 s, and a start is under way for 0.3 s.
const EFFECT_TIME_UNDER_FAULTS: Duration = Duration::from_millis(3_500);
/// How long a client of a run waits.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Orders for one hall, as its operator knows them.
#[derive(Default)]
struct HallCommands {
    /// When the hall was last said to be emptied, while no refill has been sent since.
    emptied_since: Option<Instant>,
    /// Times in which the hall was surely emptied and long enough for everyone to know.
    closed_periods: Vec<(Instant, Instant)>,
    acknowledged: u32,
}

impl HallCommands {
    /// Sends one order until it is acknowledged or the run is over; copies follow lost answers.
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

    /// The hall may take work from now on.
    fn reopen(&mut self, now: Instant) {
        if let Some(since) = self.emptied_since.take()
            && now > since + EFFECT_TIME_UNDER_FAULTS
        {
            self.closed_periods.push((since + EFFECT_TIME_UNDER_FAULTS, now));
        }
    }
}

/// A run of a seed: processes are killed, stopped and paused while orders for a hall come and callers press. The last
/// order empties the hall, and stands while faults go on.
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
        for caller in 0..2_u64 {
            let fleet = &fleet;
            scope.spawn(move || {
                let mut id = seed << 32 | caller << 24;
                while Instant::now() < end {
                    id += 1;
                    let entry = (id % 2) as usize;
                    // Whatever it is told; an entry may be away.
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
        let observed = target.observed.lock().expect("no panic");
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
    println!("{acknowledged} orders acknowledged");
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
    assert!(acknowledged > 0, "no order was acknowledged");
}

/// An operator gives up an order that is held up on its way, closes the connection, and has the opposite one acknowledged;
/// then the first arrives, with the end of its connection behind it. Orders have no version by which a late copy could be
/// known, but what a sender that has left has sent is not carried out. The soak of keepers takes it for so.
#[test]
fn a_command_from_a_disconnected_operator_is_not_executed() {
    let fleet = Fleet::new(1);
    let _keeper = fleet.start("keeper");
    fleet.configure(7);
    for path in ["/evacuations/north/start", "/v1/halls/north/empty"] {
        send_until_acknowledged(&fleet, "/evacuations/north/finish");
        let mut late = TcpStream::connect(fleet.keeper_address()).expect("it listens");
        // The end of the connection arrives with the order, as after a delay on its way.
        SockRef::from(&late).set_tcp_cork(true).expect("it is a TCP socket");
        let request = format!("POST {path} HTTP/1.1\r\nHost: k\r\nContent-Length: 0\r\n\r\n");
        late.write_all(request.as_bytes()).expect("it is sent");
        drop(late);
        // A later order shows that whatever came before it has been carried out.
        send_until_acknowledged(&fleet, "/evacuations/south/start");
        let halls = call(fleet.keeper_address(), "GET", "/v1/halls", "", ANSWER_TIMEOUT)
            .expect("it is answered");
        assert!(halls.body.contains("\"south\"") && !halls.body.contains("\"north\""), "{halls:?}");
        send_until_acknowledged(&fleet, "/evacuations/south/finish");
    }
}
