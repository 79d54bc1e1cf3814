//! An operator's order to end an evacuation is held up on its way. The operator sends it again to
//! another keeper, later evacuates the zone anew, and then the held-up copy arrives.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::Record;
use crate::executor::RunRecord;
use crate::fleet::{Fleet, KYUTICKET_MEMORY_MB, submission};
use crate::http::{Message, call, connect, read_answer, request};

const ZONE: &str = "kumamoto-hall";
/// How long an operator waits for an answer before it moves on.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the order is held up: less than `ack_timeout_ms`, within which it may be sent again.
const HELD_UP: Duration = Duration::from_millis(3_500);
/// Time from the arrival of the order to that of the end of its connection: a round trip at 1 ms one
/// way, as the end is sent once the order's bytes are acknowledged.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// `evacuation_ms`.
const EVACUATION: Duration = Duration::from_millis(5_000);
const WATCHED: Duration = Duration::from_secs(6);
const DEADLINE_MS: u64 = 1_500;
const JOB_INTERVAL: Duration = Duration::from_millis(100);

pub fn run(trouble: bool, record: &Record) -> Result<bool, String> {
    let fleet = Fleet::start(2, 6, KYUTICKET_MEMORY_MB, record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<JoinHandle<()>> =
        (0..2).map(|entry| start_client(entry, fleet.front(entry), stop.clone())).collect();
    let leader = find_leader(&fleet, record)?;
    std::thread::sleep(Duration::from_secs(1));

    let proxy = hold_up(leader, trouble, record)?;
    let mut first = connect(proxy, ANSWER_TIMEOUT).ok_or("no connection")?;
    first.write_all(&order(leader, "finish")).map_err(|error| error.to_string())?;
    record.line("operator: finish sent");
    if read_answer(&mut first, ANSWER_TIMEOUT).is_some() {
        return Err("the order that is held up was answered".to_owned());
    }
    drop(first);
    record.line("operator: no answer for a second; closes the connection and moves on");
    send_order(&fleet, "finish", record)?;
    std::thread::sleep(Duration::from_millis(500));
    send_order(&fleet, "start", record)?;
    let evacuated_at = Instant::now();
    std::thread::sleep(EVACUATION + WATCHED);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap_or_default());

    let runs: Vec<RunRecord> =
        fleet.executors.iter().flat_map(|executor| executor.runs()).collect();
    let in_zone = |run: &&RunRecord| fleet.zone_of(&run.executor) == ZONE;
    let late: Vec<&RunRecord> =
        runs.iter().filter(in_zone).filter(|run| run.started > evacuated_at + EVACUATION).collect();
    for run in late.iter().take(20) {
        let ms = run.started.saturating_duration_since(evacuated_at).as_millis();
        record.line(&format!(
            "EVAC: {} started on {} {ms} ms after the evacuation was acknowledged",
            run.task, run.executor
        ));
    }
    record.line(&format!("{} starts in the evacuated zone, {} in all", late.len(), runs.len()));
    if runs.is_empty() {
        return Err("nothing ran".to_owned());
    }
    Ok(late.is_empty())
}

fn order(keeper: SocketAddr, action: &str) -> Vec<u8> {
    request("POST", &keeper.to_string(), &format!("/evacuations/{ZONE}/{action}"), "", "")
}

/// Sends an order to the keepers in turn until one acknowledges it; follows redirects. Returns the
/// keeper that did.
fn send_order(fleet: &Fleet, action: &str, record: &Record) -> Result<SocketAddr, String> {
    for attempt in 0..12 {
        let keeper = fleet.keeper(attempt % 3);
        let mut answer = call(keeper, &order(keeper, action), ANSWER_TIMEOUT);
        let mut asked = keeper;
        if let Some(location) = answer.as_ref().and_then(redirect) {
            asked = location;
            answer = call(location, &order(location, action), ANSWER_TIMEOUT);
        }
        if answer.is_some_and(|answer| answer.status() == 200) {
            record.line(&format!("operator: {action} acknowledged by {asked}"));
            return Ok(asked);
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    Err(format!("{action} was not acknowledged"))
}

/// The keeper that a redirect names.
fn redirect(answer: &Message) -> Option<SocketAddr> {
    if answer.status() != 307 {
        return None;
    }
    let location = answer.headers.get("location")?;
    location.strip_prefix("http://")?.split('/').next()?.parse().ok()
}

/// Evacuates the zone once; the keeper that acknowledges it leads.
fn find_leader(fleet: &Fleet, record: &Record) -> Result<SocketAddr, String> {
    send_order(fleet, "start", record)
}

/// Listens for one connection and holds its bytes up. Then they and the end of the connection reach
/// the keeper; without trouble they are lost.
fn hold_up(keeper: SocketAddr, trouble: bool, record: &Record) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let record = record.clone();
    std::thread::spawn(move || {
        let Ok((mut from, _)) = listener.accept() else { return };
        let arrived = Instant::now();
        let mut bytes = Vec::new();
        // Ends when the operator closes the connection.
        let _ = from.read_to_end(&mut bytes);
        std::thread::sleep(HELD_UP.saturating_sub(arrived.elapsed()));
        if !trouble {
            return record.line("the copy that was held up is lost");
        }
        let Ok(mut to) = TcpStream::connect(keeper) else { return };
        let _ = to.write_all(&bytes);
        record.line("the copy that was held up arrives");
        std::thread::sleep(ROUND_TRIP);
        drop(to);
    });
    Ok(address)
}

/// Submits small jobs one after the other.
fn start_client(entry: usize, front: SocketAddr, stop: Arc<AtomicBool>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut id = 0xb000_0000 + entry as u64 * 0x1_0000;
        while !stop.load(Ordering::Relaxed) {
            id += 1;
            let bytes = submission(id, 6, 1_600, 50, DEADLINE_MS);
            let _ = call(front, &bytes, Duration::from_millis(DEADLINE_MS));
            std::thread::sleep(JOB_INTERVAL);
        }
    })
}
