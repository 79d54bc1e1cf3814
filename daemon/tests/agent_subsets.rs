//! Agents that each serve a subset of the entries, as real processes.

// Tests measure wall-clock time and sleep.
#![allow(clippy::disallowed_methods)]

mod support;

use std::thread;
use std::time::{Duration, Instant};

use support::{FakeTarget, Fleet, call, eventually};

const ENTRIES: usize = 4;
const AGENTS: usize = 6;
/// Each agent has sessions with two entries.
const AGENT_SETTINGS: &str = "entries_served = 2\nagents_of_entry = 1\n";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const COMPLETED: &str = "{\"state\":\"completed\"}";
const CANCELLED: &str = "{\"state\":\"cancelled\"}";
/// Run time of a task that is cancelled, far longer than a cancel may take.
const LONG_TASK_MS: u64 = 3_000;
/// Time in which a cancel sent to any entry ends the job.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_500);

struct RunningFleet {
    fleet: Fleet,
    targets: Vec<FakeTarget>,
    _processes: Vec<support::process::Process>,
}

fn start() -> RunningFleet {
    let fleet = Fleet::with_agent_settings(ENTRIES, AGENTS, AGENT_SETTINGS);
    let target = |number| {
        FakeTarget::start(
            fleet.target_address(number),
            fleet.agent_address(number),
            &format!("i-{number}"),
        )
    };
    let targets = (0..AGENTS).map(target).collect();
    let processes = fleet.names().iter().map(|name| fleet.start(name)).collect();
    fleet.configure(7);
    fleet.wait_until_ready();
    RunningFleet { fleet, targets, _processes: processes }
}

impl RunningFleet {
    /// Number of agents that have a session with an entry.
    fn agents_of(&self, entry: usize) -> Option<usize> {
        let page =
            call(self.fleet.metrics_address_of(entry), "GET", "/metrics", "", ANSWER_TIMEOUT)?.body;
        let line =
            page.lines().find(|line| line.starts_with("dockpass_agents{state=\"known\"}"))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    fn sessions(&self) -> usize {
        (0..ENTRIES).filter_map(|entry| self.agents_of(entry)).sum()
    }

    fn starts(&self) -> usize {
        self.targets
            .iter()
            .map(|target| target.observed.lock().expect("the mutex is not poisoned").starts.len())
            .sum()
    }
}

/// Guards against agents that connect to every entry, and entries that no agent serves.
#[test]
fn agents_serve_a_subset_of_the_entries_and_every_entry_serves() {
    let running = start();
    eventually("each agent has two sessions", || running.sessions() == 2 * AGENTS);
    for entry in 0..ENTRIES {
        let answer =
            running.fleet.submit_job_within(entry, entry as u64 + 1, 4, 50, ANSWER_TIMEOUT);
        assert_eq!(answer.expect("the request is answered").body, COMPLETED);
    }
    assert_eq!(running.starts(), 4 * ENTRIES, "each task is started once");
    let page = call(running.fleet.metrics_address(), "GET", "/metrics", "", ANSWER_TIMEOUT)
        .expect("the metrics page is served")
        .body;
    let sent = "dockpass_session_messages_total{direction=\"sent\",kind=\"start\"}";
    assert!(page.contains(sent), "{page}");
}

/// Guards against a cancel that is lost because it reaches another entry than the one with the job,
/// with no agent in common.
#[test]
fn a_cancel_at_any_entry_ends_a_job_of_another_entry() {
    let running = start();
    eventually("each agent has two sessions", || running.sessions() == 2 * AGENTS);
    let fleet = &running.fleet;
    for cancelled_at in 1..ENTRIES {
        let id = 0x100 + cancelled_at as u64;
        let before = running.starts();
        thread::scope(|scope| {
            let job = scope
                .spawn(move || fleet.submit_job_within(0, id, 2, LONG_TASK_MS, 2 * ANSWER_TIMEOUT));
            eventually("the tasks of the job are running", || running.starts() == before + 2);
            let started = Instant::now();
            let path = format!("/q/{id:016x}");
            let answer =
                call(fleet.entry_address_of(cancelled_at), "DELETE", &path, "", ANSWER_TIMEOUT);
            assert_eq!(
                answer.map(|answer| answer.status),
                Some(410),
                "the entry does not have the job"
            );
            let answer =
                job.join().expect("the thread does not panic").expect("the request is answered");
            assert_eq!((answer.status, answer.body.as_str()), (200, CANCELLED));
            assert!(started.elapsed() < CANCEL_TIMEOUT, "after {:?}", started.elapsed());
        });
    }
}
