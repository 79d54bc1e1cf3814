//! `dockpass load` against stand-ins for the metrics servers of entries and agents.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::thread;

use serde_json::{Value, json};

/// Serves a fixed response on a loopback port, one request per connection, for the life of the
/// test.
fn serve(status: &'static str, page: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("the connection is accepted");
            let mut request = Vec::new();
            let mut chunk = [0; 1_024];
            while !request.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
                match stream.read(&mut chunk) {
                    Ok(0) | Err(_) => break,
                    Ok(length) => request.extend_from_slice(&chunk[..length]),
                }
            }
            let found = request.starts_with(b"GET /metrics ");
            let status = if found { status } else { "404 Not Found" };
            let _ = write!(
                stream,
                "HTTP/1.1 {status}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{page}",
                page.len()
            );
        }
    });
    address
}

fn entry(lines: &str) -> SocketAddr {
    serve("200 OK", format!("dockpass_jobs_submitted_total 9\ndockpass_ready 1\n{lines}"))
}

fn agent(lines: &str) -> SocketAddr {
    serve("200 OK", format!("dockpass_tasks_asked_total 9\n{lines}"))
}

/// The metrics of one queue, with refusals by cause.
fn queue(name: &str, waiting: u64, in_time: u64, late: u64, refused: &[(&str, u64)]) -> String {
    let mut lines = format!(
        "dockpass_queue_tasks_waiting{{queue=\"{name}\"}} {waiting}\n\
         dockpass_queue_jobs_total{{queue=\"{name}\",result=\"in_time\"}} {in_time}\n\
         dockpass_queue_jobs_total{{queue=\"{name}\",result=\"late\"}} {late}\n\
         dockpass_job_seconds{{queue=\"{name}\",quantile=\"0.5\"}} 0.0431\n"
    );
    for (reason, count) in refused {
        lines += &format!(
            "dockpass_queue_refused_total{{queue=\"{name}\",reason=\"{reason}\"}} {count}\n"
        );
    }
    lines
}

/// Runs `dockpass load` for the given entries and agents.
fn load(entries: &[SocketAddr], agents: &[SocketAddr], options: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dockpass"));
    command.arg("load").args(options);
    for (name, addresses) in [("--entry", entries), ("--agent", agents)] {
        for address in addresses {
            command.arg(name).arg(address.to_string());
        }
    }
    command.output().expect("the program runs")
}

fn report(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|error| panic!("{error}: {output:?}"))
}

fn text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("the output is UTF-8")
}

/// An address at which nothing listens. A port that was closed just now could be given to another
/// test.
fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 77, 0, 1], 1))
}

/// Guards against sums that miss an entry or a cause, and against a worst entry that is merely the
/// one with the most jobs or the one with a single, late job.
#[test]
fn queues_are_summed_and_the_worst_entry_is_named() {
    let usual = entry(&queue("urgent", 3, 9_000, 60, &[("no-room", 40)]));
    let worst = entry(&queue("urgent", 4, 800, 30, &[("no-room", 150), ("draining", 20)]));
    let quiet = entry(&format!("{}{}", queue("urgent", 0, 0, 1, &[]), queue("slow", 2, 5, 0, &[])));
    let output = load(&[usual, worst, quiet], &[], &["--json"]);
    assert!(output.status.success(), "{output:?}");
    let report = report(&output);
    let urgent = json!({"queue": "urgent", "entries": 3,
        "total": {"waiting": 7, "in_time": 9_800, "late": 91, "refused": 210,
            "refused_by_cause": {"draining": 20, "no-room": 190}},
        "worst": {"entry": worst, "waiting": 4, "in_time": 800, "late": 30, "refused": 170,
            "refused_by_cause": {"draining": 20, "no-room": 150}}});
    let queues = report["queues"].as_array().expect("the report has queues");
    assert_eq!(queues.len(), 2, "{report}");
    assert_eq!(queues[1], urgent);
    assert_eq!((&queues[0]["queue"], &queues[0]["total"]["waiting"]), (&json!("slow"), &json!(2)));
}

/// Guards against a table that lacks a column or whose rows can't be told apart.
#[test]
fn the_table_shows_sum_and_worst_entry_of_each_queue() {
    let first = entry(&queue("urgent", 3, 900, 60, &[("no-room", 40)]));
    let second = entry(&queue("urgent", 1, 990, 6, &[("halls-emptied", 4)]));
    let output = load(&[first, second], &[], &[]);
    assert!(output.status.success(), "{output:?}");
    let text = text(&output);
    let rows: Vec<Vec<&str>> = text.lines().map(|line| line.split_whitespace().collect()).collect();
    let header = "queue entry waiting in time late refused by cause";
    assert_eq!(rows[0].join(" "), header, "{text}");
    assert_eq!(
        rows[1].join(" "),
        "urgent all 2 4 1890 66 44 halls-emptied 4, no-room 40",
        "{text}"
    );
    assert_eq!(rows[2].join(" "), format!("worst {first} 3 900 60 40 no-room 40"), "{text}");
}

/// Guards against speeds that are sorted the wrong way round, and agents without a target that
/// count as fast ones.
#[test]
fn targets_are_shown_by_speed() {
    let agents = [
        agent("dockpass_target_slowdown_percent 120\n"),
        agent("dockpass_target_slowdown_percent 55\n"),
        agent("dockpass_target_slowdown_percent 240\n"),
        agent(""),
    ];
    let output = load(&[], &agents, &["--json"]);
    assert!(output.status.success(), "{output:?}");
    let found = report(&output);
    assert_eq!(
        found["targets"],
        json!({"known": 3, "slowest": {"agent": agents[2], "percent": 240.0},
            "median": {"agent": agents[0], "percent": 120.0},
            "fastest": {"agent": agents[1], "percent": 55.0}})
    );
    assert_eq!(found["agents_without_target"], 1);
    let text = text(&load(&[], &agents, &[]));
    assert!(text.contains(&format!("slowest 240 % ({})", agents[2])), "{text}");
    assert!(text.contains("agents without a target: 1"), "{text}");
}

/// Guards against sums that silently lack a node, and against one dead node that hides all others.
#[test]
fn unreachable_nodes_are_listed_and_fail_the_command() {
    let alive = entry(&queue("urgent", 3, 900, 60, &[]));
    let dead = closed_address();
    let broken = serve("500 Internal Server Error", String::new());
    let other = serve("200 OK", "some_other_program_total 3\n".to_owned());
    let output = load(&[alive, dead, broken], &[other, alive], &["--json"]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let found = report(&output);
    assert_eq!(found["queues"][0]["total"]["in_time"], 900);
    let unreachable = found["unreachable"].as_array().expect("the report has a list");
    let cause_of = |role: &str, address: SocketAddr| {
        let is_wanted = |node: &&Value| node["role"] == role && node["address"] == json!(address);
        let node = unreachable.iter().find(is_wanted);
        node.and_then(|node| node["cause"].as_str()).unwrap_or("not listed")
    };
    assert!(cause_of("entry", dead).contains("can't connect"), "{found}");
    assert!(cause_of("entry", broken).contains("status 500"), "{found}");
    assert!(cause_of("agent", other).contains("not that of an agent"), "{found}");
    assert!(cause_of("agent", alive).contains("not that of an agent"), "{found}");
    assert_eq!(unreachable.len(), 4, "{found}");
    let cut = entry("dockpass_queue_tasks_waiting{queue=\"urgent} 3\n");
    let found = report(&load(&[cut], &[], &["--json"]));
    let cause = found["unreachable"][0]["cause"].as_str().expect("the node is listed");
    assert!(cause.contains("not a metrics page, at the line"), "{found}");
    let text = text(&load(&[alive, dead], &[], &[]));
    assert!(
        text.contains("urgent") && text.contains(&format!("unreachable: entry {dead}")),
        "{text}"
    );
}

/// Guards against a node that accepts connections but never answers and blocks the command.
#[test]
fn a_silent_node_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let silent = listener.local_addr().expect("the listener has an address");
    let output = load(&[silent], &[], &[]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(text(&output).contains("no answer in time"), "{output:?}");
}

/// Guards against invalid arguments that are ignored or reported as unreachable nodes.
#[test]
fn invalid_addresses_are_rejected() {
    for arguments in [&["--entry", "entry-1:9100"][..], &["--agent", "127.0.0.1"], &[]] {
        let output = load(&[], &[], arguments);
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {output:?}");
        let expected = match arguments {
            [name, address] => format!("{name}: '{address}' is not IP:PORT"),
            _ => "at least one --entry or --agent is required".to_owned(),
        };
        assert!(error.contains(&expected), "{error}");
    }
}

/// Guards against a node that is given twice and counted twice.
#[test]
fn a_node_that_is_given_twice_counts_once() {
    let node = entry(&queue("urgent", 3, 900, 60, &[]));
    let found = report(&load(&[node, node], &[], &["--json"]));
    assert_eq!(found["queues"][0]["total"]["in_time"], 900);
}

/// Guards against output and memory that grow with the number of queues a node reports, and against
/// names with a quote or a backslash that cut the line.
#[test]
fn queues_are_bounded_and_their_names_are_unescaped() {
    let lines: String =
        (0..300).map(|number| queue(&format!("q{number:03}"), 1, 2, 0, &[])).collect();
    let many = entry(&lines);
    let found = report(&load(&[many], &[], &["--json"]));
    let queues = found["queues"].as_array().expect("the report has queues");
    assert_eq!(queues.len(), 256);
    let jobs = |queue: &Value| queue["total"]["in_time"].as_u64().expect("a count");
    assert_eq!(queues.iter().map(jobs).sum::<u64>(), 600);
    let odd = entry(&queue("a\\\"b\\\\c, {d}=e", 7, 0, 0, &[]));
    let found = report(&load(&[odd], &[], &["--json"]));
    assert_eq!(found["queues"][0]["queue"], "a\"b\\c, {d}=e", "{found}");
    assert_eq!(found["queues"][0]["total"]["waiting"], 7);
}
