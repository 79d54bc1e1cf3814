//! Guards against processes that run out of memory, hang or stop serving because of clients that
//! send too much, too slowly, too little, or don't read. Prints a table of what each crowd caused.

// Tests measure wall-clock time and sleep.
#![allow(clippy::disallowed_methods)]

mod crowds;
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use client::new_submission_id;
use crowds::crowd::ID_DIGITS;
use crowds::scripts::{Target, VALID_JOBS_AHEAD, fragmented_jobs};
use crowds::slots_fleet::SlotsFleet;
use crowds::{Door, play, play_alone, play_for};
use support::http::call_with_headers;
use support::{FakeTarget, Fleet, Process, call, eventually};

/// Memory of the smallest machine of each role, in MB.
const ENTRY_MEMORY_MB: u64 = 160;
const AGENT_MEMORY_MB: u64 = 128;
const KEEPER_MEMORY_MB: u64 = 256;
/// The limit for bodies in the configuration.
const MAX_BODY_BYTES: usize = 262_144;
/// The fixed limit of the product's own interface.
const OWN_MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// The fixed limit for operators' bodies at a keeper.
const OPERATOR_MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// How long an ordinary client waits.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// How long the load balancer waits for the answer to a readiness check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a crowd presses whose effect adds up.
const LONG_PRESS: Duration = Duration::from_secs(20);
/// Connections at a door for many clients.
const MANY: usize = 3_300;

const JOB: &str = "{\"spec\":\"50\",\"best_effort\":true,\"steps\":[{\"count\":2,\"cpu\":100,\
                   \"mem_mb\":64,\"estimated_ms\":50}]}";
const HEARTBEAT: &str = "{\"service\":\"other\",\"zone\":\"hall\",\"state\":\"ready\",\"labels\":[],\
                         \"capacity\":{\"cpu\":100,\"mem_mb\":64,\"gpu\":0},\"clock_ms\":5,\
                         \"sequence\":1}";
const DOCUMENT: &str = "{\"version\":1,\"routes\":[],\"services\":[]}";

/// A fleet of two entries and four agents with their targets.
struct Site {
    fleet: Fleet,
    _targets: Vec<FakeTarget>,
}

impl Site {
    fn new() -> Self {
        let fleet = Fleet::with_entries(2, 4);
        let target = |number| {
            let (address, agent) = (fleet.target_address(number), fleet.agent_address(number));
            FakeTarget::start(address, agent, &format!("i-{number}"))
        };
        let targets = (0..4).map(target).collect();
        Self { fleet, _targets: targets }
    }

    /// Starts all processes but one, and configures them once the last one has been started.
    fn start_others(&self, without: &str) -> Vec<Process> {
        let names = self.fleet.names();
        names.iter().filter(|name| *name != without).map(|name| self.fleet.start(name)).collect()
    }

    /// Starts the process under test and waits until the fleet serves.
    fn start(&self, name: &str) -> Process {
        let process = self.fleet.start(name);
        let body = document().replace("\"version\":1", "\"version\":7");
        eventually("the configuration is acknowledged", || {
            let to = self.fleet.keeper_address();
            call(to, "POST", "/configuration/replace", &body, Duration::from_secs(5))
                .is_some_and(|answer| answer.status == 200)
        });
        self.fleet.wait_until_ready();
        process
    }

    /// Submits a job of two tasks; returns whether it completed in time.
    fn submit(&self, entry: usize, id: u64) -> bool {
        let path = format!("/q/{id:016x}");
        let deadline = format!("X-Dockpass-Deadline-Milliseconds: {}\r\n", DEADLINE.as_millis());
        let to = self.fleet.entry_address_of(entry);
        let answer = call_with_headers(to, "POST", &path, &deadline, JOB, DEADLINE);
        let is_served = answer.as_ref().is_some_and(|answer| answer.status == 200);
        if !is_served {
            println!("not served: {:?}", answer.map(|answer| (answer.status, answer.body)));
        }
        is_served
    }

    fn entry_is_ready(&self, entry: usize) -> bool {
        let to = self.fleet.readiness_address(entry);
        call(to, "GET", "/readiness", "", CHECK_TIMEOUT).is_some_and(|answer| answer.status == 200)
    }

    /// A door of the first entry, beside ordinary jobs there.
    fn entry_door(&self, name: &'static str, address: SocketAddr) -> Door<'_> {
        let fleet = &self.fleet;
        Door {
            name,
            address,
            listens: vec![
                fleet.entry_address_of(0),
                fleet.readiness_address(0),
                fleet.metrics_address_of(0),
            ],
            memory_mb: ENTRY_MEMORY_MB,
            start: Box::new(|| self.start("entry")),
            request: Box::new(|id| self.submit(0, id)),
            check: Box::new(|| self.entry_is_ready(0)),
        }
    }
}

/// A configuration with one queue and the limits that the platform's pages name.
fn document() -> String {
    support::document(1).replace(
        "{\"max_body_bytes\":10000}",
        "{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
          \"idle_timeout_ms\":15000}",
    )
}

/// Requests to a queue, or with other paths.
fn requests(post: &str, get: &str) -> Target {
    Target {
        post: post.replace("{id}", &format!("abcd{ID_DIGITS}")),
        get: get.to_owned(),
        max_body_bytes: MAX_BODY_BYTES,
        body: JOB,
        connections: MANY,
    }
}

#[test]
fn crowds_at_a_queue() {
    let _alone = play_alone();
    let site = Site::new();
    let _others = site.start_others("entry");
    let target = requests("POST /q/{id}", "GET /q/00000000c0ffee00");
    let mut crowds = target.crowds();
    crowds.extend(fragmented_jobs(&target));
    play(&site.entry_door("queue", site.fleet.entry_address_of(0)), crowds);
}

#[test]
fn crowds_at_a_path_without_a_route() {
    let _alone = play_alone();
    let site = Site::new();
    let _others = site.start_others("entry");
    let target = requests("POST /nowhere/{id}", "GET /nowhere/");
    let mut crowds = target.crowds();
    let long_path = format!("POST /{}", "x".repeat(15_000));
    let long_path = Target { post: long_path, ..target };
    crowds.push(long_path.repeating("a long path", 200, JOB));
    play(&site.entry_door("no route", site.fleet.entry_address_of(0)), crowds);
}

#[test]
fn crowds_at_the_readiness_address() {
    let _alone = play_alone();
    let site = Site::new();
    let _others = site.start_others("entry");
    let target = Target { connections: 900, ..requests("POST /readiness", "GET /readiness") };
    play(&site.entry_door("ready", site.fleet.readiness_address(0)), target.crowds());
}

#[test]
fn crowds_at_the_metrics_address() {
    let _alone = play_alone();
    let site = Site::new();
    let _others = site.start_others("entry");
    let target = Target { connections: 900, ..requests("POST /metrics", "GET /metrics") };
    let door = site.entry_door("metrics", site.fleet.metrics_address_of(0));
    let metrics = site.fleet.metrics_address_of(0);
    let page = move || call(metrics, "GET", "/metrics", "", CHECK_TIMEOUT).is_some();
    play(&Door { check: Box::new(page), ..door }, target.crowds());
}

#[test]
fn crowds_at_a_keeper() {
    let _alone = play_alone();
    let site = Site::new();
    let _others = site.start_others("keeper");
    let keeper = site.fleet.keeper_address();
    let fetch = || {
        call(keeper, "GET", "/configuration/fetch", "", DEADLINE)
            .is_some_and(|answer| answer.status == 200)
    };
    let door = Door {
        name: "control",
        address: keeper,
        listens: vec![keeper],
        memory_mb: KEEPER_MEMORY_MB,
        start: Box::new(|| site.start("keeper")),
        request: Box::new(move |_| fetch()),
        check: Box::new(|| site.entry_is_ready(0)),
    };
    let target = Target {
        body: DOCUMENT,
        connections: 1_200,
        ..requests("POST /configuration/replace", "GET /configuration/fetch")
    };
    let mut crowds = target.crowds();
    let largest =
        Target { max_body_bytes: OPERATOR_MAX_BODY_BYTES, connections: 200, ..target.clone() };
    crowds.extend(largest.crowds().into_iter().take(5));
    let services = "{\"name\":\"a\"},".repeat(300_000);
    let services = DOCUMENT.replace("\"services\":[]", &format!("\"services\":[{services}{{}}]"));
    crowds.push(largest.repeating("300,000 services, the last one invalid", 60, &services));
    let service = DOCUMENT.replacen("[]", &format!("\"{}\"", "x".repeat(250_000)), 1);
    crowds.push(target.repeating("a long text where a list belongs", 60, &service));
    let elsewhere = Target { post: "POST /nowhere".to_owned(), ..largest };
    crowds.extend(elsewhere.crowds().into_iter().take(5));
    play(&door, crowds);
}

#[test]
fn crowds_at_an_agent() {
    let _alone = play_alone();
    let site = Site::new();
    let _others = site.start_others("agent0");
    let agent = site.fleet.agent_address(0);
    let silences = || site.fleet.log("agent0").matches("\"event\":\"target-silent\"").count();
    let door = Door {
        name: "agent",
        address: agent,
        listens: vec![agent, site.fleet.agent_metrics_address(0)],
        memory_mb: AGENT_MEMORY_MB,
        start: Box::new(|| site.start("agent0")),
        request: Box::new(|id| site.submit(0, id)),
        check: Box::new(|| silences() == 0),
    };
    let target = Target {
        body: HEARTBEAT,
        connections: 900,
        ..requests("POST /instances/i-{id}/heartbeat", "GET /instances/i-x")
    };
    let mut crowds = target.crowds();
    let labels = HEARTBEAT.replace("[]", &format!("[{}\"\"]", "\"a\",".repeat(50_000)));
    crowds.push(target.repeating("heartbeats with 50,000 labels", 200, &labels));
    let state = HEARTBEAT.replace("ready", &"x".repeat(250_000));
    crowds.push(target.repeating("heartbeats with a long unknown state", 60, &state));
    play(&door, crowds);
}

const OWN_JOB: &str =
    "{\"service\":\"work\",\"kind\":\"k\",\"tasks\":[\"a\",\"b\"],\"deadline_ms\":1400}";

/// The entry of a fleet that schedules by slots, beside ordinary jobs there.
fn own_interface(fleet: &SlotsFleet) -> Door<'_> {
    let entry = fleet.entry_address();
    Door {
        name: "own interface",
        address: entry,
        listens: vec![entry],
        memory_mb: ENTRY_MEMORY_MB,
        start: Box::new(|| {
            let process = fleet.start("entry");
            fleet.wait_until_ready();
            process
        }),
        request: Box::new(move |_| {
            let path = format!("/v1/jobs/{}", new_submission_id());
            call(entry, "PUT", &path, OWN_JOB, DEADLINE).is_some_and(|answer| answer.status == 200)
        }),
        check: Box::new(|| fleet.is_ready()),
    }
}

/// Requests of the product's own interface.
fn own_requests() -> Target {
    let id = new_submission_id().to_string();
    let id = format!("{}{ID_DIGITS}", &id[..id.len() - ID_DIGITS.len()]);
    Target {
        body: OWN_JOB,
        ..requests(&format!("PUT /v1/jobs/{id}"), &format!("GET /v1/jobs/{id}"))
    }
}

#[test]
fn crowds_at_the_products_own_interface() {
    let _alone = play_alone();
    let fleet = SlotsFleet::new();
    let _others = ["keeper", "agent"].map(|name| fleet.start(name));
    let target = own_requests();
    let mut crowds = target.crowds();
    crowds.retain(|crowd| crowd.name != VALID_JOBS_AHEAD);
    let largest = Target { max_body_bytes: OWN_MAX_BODY_BYTES, connections: 100, ..target.clone() };
    crowds.extend(largest.crowds().into_iter().take(5));
    let tasks = |count: usize, text: &str| {
        let tasks = format!("\"{text}\",").repeat(count);
        format!("{{\"service\":\"work\",\"kind\":\"k\",\"tasks\":[{tasks}\"\"]}}")
    };
    crowds.push(largest.repeating("3,000,000 empty tasks", 60, &tasks(3_000_000, "")));
    crowds.push(target.repeating("50,000 tasks", 200, &tasks(50_000, "a")));
    let elsewhere = Target { post: "PUT /nowhere".to_owned(), ..largest };
    crowds.extend(elsewhere.crowds().into_iter().take(5));
    play(&own_interface(&fleet), crowds);
}

/// Guards against an entry that keeps a record of each of very many valid submissions until its
/// memory is used up.
#[test]
fn valid_jobs_sent_ahead_at_the_products_own_interface() {
    let _alone = play_alone();
    let fleet = SlotsFleet::new();
    let _others = ["keeper", "agent"].map(|name| fleet.start(name));
    let mut crowds = own_requests().crowds();
    crowds.retain(|crowd| crowd.name == VALID_JOBS_AHEAD);
    play_for(&own_interface(&fleet), crowds, LONG_PRESS);
}

/// Guards against a limit that refuses a single large request in calm.
#[test]
fn a_single_request_of_the_largest_size_is_served_in_calm() {
    let _alone = play_alone();
    let site = Site::new();
    let _others = site.start_others("entry");
    let _entry = site.start("entry");
    let body = JOB.to_owned() + &" ".repeat(MAX_BODY_BYTES - JOB.len());
    let answer =
        call(site.fleet.entry_address_of(0), "POST", "/q/00000000000000aa", &body, DEADLINE);
    assert_eq!(answer.map(|answer| answer.status), Some(200));
    let document = document().replace("\"version\":1", "\"version\":9");
    let document = document.clone() + &" ".repeat(OPERATOR_MAX_BODY_BYTES - document.len());
    let answer = call(
        site.fleet.keeper_address(),
        "POST",
        "/configuration/replace",
        &document,
        Duration::from_secs(5),
    );
    assert_eq!(answer.map(|answer| answer.status), Some(200));
}
