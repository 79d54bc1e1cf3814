//! Operators that have halls emptied and refilled: each hall has one operator, who sends an order until it is
//! acknowledged, loses answers, and then perhaps orders the opposite. Orders have no version and no id.
//!
//! All that is drawn here comes from a stream of its own, and only in runs that have such orders.

use std::collections::HashMap;
use std::time::Duration;

use keeper::{CallId, Event, Reply};
use model::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{EmptiedHalls, HallName, HallOrder};

use super::operators::Requester;
use super::simulation::{KeeperSimulation, SimEvent};

/// Told apart from the seed of everything else.
const RNG_STREAM: u64 = 0x4a11_5eed_0bad;
const HALLS: [&str; 2] = ["north", "south"];
/// Without an answer for so long an operator sends its order again, to any keeper.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// An operator gives up sending an order after so long; whether it was taken then is not known.
const MAX_SEND_TIME: Duration = Duration::from_secs(5);
/// Longest pause between two orders for one hall, or from an acknowledgement to the next order.
const MAX_PAUSE: Duration = Duration::from_millis(2_500);
/// How long the last orders are made before the end.
const QUIET_BEFORE_END: Duration = Duration::from_secs(10);

/// What an operator knows of its hall.
#[derive(Clone, Debug)]
struct HallState {
    /// What was acknowledged last; none before, and while the outcome of a later order is not known.
    emptied: Option<bool>,
    /// Counts the orders.
    command: u64,
    takes_work: bool,
    started_at: Time,
}

/// The orders of a run.
#[derive(Debug)]
pub(crate) struct HallCommands {
    rng: ChaCha8Rng,
    halls: Vec<HallState>,
    /// The newest revision that anyone was told of.
    newest: EmptiedHalls,
    /// Orders that were acknowledged.
    pub acknowledged: u64,
    /// When each copy of an order was sent.
    sent_at: HashMap<CallId, Time>,
}

impl HallCommands {
    pub fn new(seed: u64, start: Time) -> Self {
        let hall =
            HallState { emptied: Some(false), command: 0, takes_work: true, started_at: start };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed ^ RNG_STREAM),
            halls: vec![hall; HALLS.len()],
            newest: EmptiedHalls::default(),
            acknowledged: 0,
            sent_at: HashMap::new(),
        }
    }
}

fn hall_name(hall: usize) -> HallName {
    HALLS[hall].parse().expect("a name")
}

impl KeeperSimulation {
    pub(super) fn set_up_halls(&mut self, seed: u64) {
        self.halls = Some(HallCommands::new(seed, self.now));
        for hall in 0..HALLS.len() {
            self.schedule_after(Duration::from_secs(2), SimEvent::StartHallCommand(hall));
        }
    }

    /// An operator gives the next order for its hall.
    pub(super) fn start_hall_command(&mut self, number: usize) {
        let (now, end) = (self.now, self.end);
        let Some(halls) = &mut self.halls else { return };
        if now + QUIET_BEFORE_END > end {
            return;
        }
        let hall = &mut halls.halls[number];
        hall.command += 1;
        hall.started_at = now;
        hall.takes_work = halls.rng.random_bool(0.5);
        // It may be taken from now on.
        hall.emptied = None;
        self.send_hall_command(number);
    }

    fn send_hall_command(&mut self, number: usize) {
        let keepers = self.keepers.len();
        let Some(halls) = &mut self.halls else { return };
        let hall = &halls.halls[number];
        let (command, takes_work) = (hall.command, hall.takes_work);
        let to = halls.rng.random_range(0..keepers);
        let requester = Requester::Hall { hall: number, command };
        let request = HallOrder { hall: hall_name(number), takes_work };
        let call_id =
            self.send_request(to, requester, |call_id| Event::HallCommand(call_id, request));
        if let Some(halls) = &mut self.halls {
            halls.sent_at.insert(call_id, self.now);
        }
        self.schedule_after(RETRY_INTERVAL, SimEvent::HallCommandTimeout(number, command));
    }

    /// Whether whoever sent a copy of an order has closed its connection by now. A keeper that reads the order reads that
    /// as well, and does not carry it out (`an_order_whose_operator_has_left_is_not_carried_out`).
    pub(super) fn has_sender_disconnected(&self, call_id: CallId) -> bool {
        let sent = self.halls.as_ref().and_then(|halls| halls.sent_at.get(&call_id));
        sent.is_some_and(|at| self.now.since(*at) > RETRY_INTERVAL)
    }

    /// An order got no clear answer in time: it is sent again, or given up.
    pub(super) fn retry_hall_command(&mut self, number: usize, command: u64) {
        let now = self.now;
        let Some(halls) = &mut self.halls else { return };
        let hall = &mut halls.halls[number];
        if hall.command != command {
            return;
        }
        if now.since(hall.started_at) < MAX_SEND_TIME {
            return self.send_hall_command(number);
        }
        hall.command += 1;
        // A copy may be on its way yet: what the hall is, only the next acknowledged order says.
        let pause = Duration::from_millis(halls.rng.random_range(0..MAX_PAUSE.as_millis() as u64));
        self.schedule_after(pause, SimEvent::StartHallCommand(number));
    }

    /// An operator got an answer to its order.
    pub(super) fn hall_command_answered(
        &mut self,
        number: usize,
        command: u64,
        reply: Option<Reply>,
    ) {
        let Some(Reply::Halls(reported)) = reply else { return };
        self.observe_halls(&reported);
        let Some(halls) = &mut self.halls else { return };
        let hall = &mut halls.halls[number];
        if hall.command != command {
            return;
        }
        halls.acknowledged += 1;
        hall.command += 1;
        hall.emptied = Some(!hall.takes_work);
        let expected = !hall.takes_work;
        let pause = match halls.rng.random_bool(0.5) {
            true => Duration::ZERO,
            false => Duration::from_millis(halls.rng.random_range(0..MAX_PAUSE.as_millis() as u64)),
        };
        if reported.contains(HALLS[number]) != expected {
            let description =
                format!("order {command} for {} was acknowledged with {reported:?}", HALLS[number]);
            self.checks.violation(self.now, description);
        }
        self.schedule_after(pause, SimEvent::StartHallCommand(number));
        self.read_halls();
        self.maybe_lose_power_after_command();
    }

    /// Someone reads which halls are emptied.
    fn read_halls(&mut self) {
        let keepers = self.keepers.len();
        let Some(halls) = &mut self.halls else { return };
        let to = halls.rng.random_range(0..keepers);
        let known = halls.halls.iter().map(|hall| (hall.command, hall.emptied)).collect();
        let newest = halls.newest.revision;
        self.send_request(to, Requester::ReadHalls { known, newest }, Event::ReadHalls);
    }

    /// Checks a read: no acknowledged order is missing that no later one may have undone.
    pub(super) fn halls_read(
        &mut self,
        known: &[(u64, Option<bool>)],
        newest: u64,
        reply: Option<Reply>,
    ) {
        let Some(Reply::Halls(reported)) = reply else { return };
        self.observe_halls(&reported);
        let Some(halls) = &self.halls else { return };
        let mut failures = Vec::new();
        if reported.revision < newest {
            failures.push(format!(
                "halls of revision {} read after {newest} was told",
                reported.revision
            ));
        }
        for (number, (command, emptied)) in known.iter().enumerate() {
            // Nothing was ordered since that may have been taken before the read.
            let settled = halls.halls[number].command == *command;
            if let Some(emptied) = emptied.filter(|_| settled)
                && reported.contains(HALLS[number]) != emptied
            {
                failures.push(format!(
                    "{}: ordered emptied={emptied}, read {reported:?}",
                    HALLS[number]
                ));
            }
        }
        failures.into_iter().for_each(|description| self.checks.violation(self.now, description));
    }

    /// A revision has one set of halls.
    fn observe_halls(&mut self, reported: &EmptiedHalls) {
        let Some(halls) = &mut self.halls else { return };
        if reported.revision == halls.newest.revision && *reported != halls.newest {
            let description = format!("one revision of halls: {:?} and {reported:?}", halls.newest);
            self.checks.violation(self.now, description);
        }
        if let Some(halls) = &mut self.halls {
            halls.newest.update(reported);
        }
    }

    fn maybe_lose_power_after_command(&mut self) {
        let calm = self.now >= self.calm_start || self.now < self.faults_start;
        let Some(halls) = &mut self.halls else { return };
        if !calm && halls.rng.random_ratio(1, 20) {
            let wait = Duration::from_micros(halls.rng.random_range(0..3_000));
            self.schedule_after(wait, SimEvent::PowerLoss);
        }
    }

    /// At the end the leader has every order that was acknowledged last.
    pub(super) fn check_halls_end(&mut self) {
        let Some(halls) = &self.halls else { return };
        let leader = self.keepers.iter().find_map(|keeper| {
            let keeper = keeper.keeper.as_ref()?;
            keeper.replica().is_confirmed_leader(self.now).then(|| keeper.state().halls().clone())
        });
        let Some(reported) = leader else { return };
        let failures: Vec<String> = halls
            .halls
            .iter()
            .enumerate()
            .filter(|(number, hall)| {
                hall.emptied.is_some_and(|emptied| reported.contains(HALLS[*number]) != emptied)
            })
            .map(|(number, hall)| format!("{}: {hall:?}, at the end {reported:?}", HALLS[number]))
            .collect();
        self.checks.summary.hall_commands = halls.acknowledged;
        failures.into_iter().for_each(|description| self.checks.violation(self.end, description));
    }
}
