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

use super::operators::Asker;
use super::world::{Happening, KeeperWorld};

/// Told apart from the seed of everything else.
const STREAM: u64 = 0x4a11_5eed_0bad;
const HALLS: [&str; 2] = ["north", "south"];
/// Without an answer for so long an operator sends its order again, to any keeper.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// An operator gives up sending an order after so long; whether it was taken then is not known.
const LONGEST: Duration = Duration::from_secs(5);
/// Longest pause between two orders for one hall, or from an acknowledgement to the next order.
const PAUSE: Duration = Duration::from_millis(2_500);
/// How long the last orders are made before the end.
const LAST_ORDERS: Duration = Duration::from_secs(10);

/// What an operator knows of its hall.
#[derive(Clone, Debug)]
struct Hall {
    /// What was acknowledged last; none before, and while the outcome of a later order is not known.
    emptied: Option<bool>,
    /// Counts the orders.
    order: u64,
    takes_work: bool,
    began: Time,
}

/// The orders of a run.
#[derive(Debug)]
pub(crate) struct HallOrders {
    rng: ChaCha8Rng,
    halls: Vec<Hall>,
    /// The newest revision that anyone was told of.
    newest: EmptiedHalls,
    /// Orders that were acknowledged.
    pub acknowledged: u64,
    /// When each copy of an order was sent.
    sent: HashMap<CallId, Time>,
}

impl HallOrders {
    pub fn new(seed: u64, start: Time) -> Self {
        let hall = Hall { emptied: Some(false), order: 0, takes_work: true, began: start };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed ^ STREAM),
            halls: vec![hall; HALLS.len()],
            newest: EmptiedHalls::default(),
            acknowledged: 0,
            sent: HashMap::new(),
        }
    }
}

fn name(hall: usize) -> HallName {
    HALLS[hall].parse().expect("a name")
}

impl KeeperWorld {
    pub(super) fn set_up_halls(&mut self, seed: u64) {
        self.halls = Some(HallOrders::new(seed, self.now));
        for hall in 0..HALLS.len() {
            self.after(Duration::from_secs(2), Happening::NextHallOrder(hall));
        }
    }

    /// An operator gives the next order for its hall.
    pub(super) fn next_hall_order(&mut self, number: usize) {
        let (now, end) = (self.now, self.end);
        let Some(halls) = &mut self.halls else { return };
        if now + LAST_ORDERS > end {
            return;
        }
        let hall = &mut halls.halls[number];
        hall.order += 1;
        hall.began = now;
        hall.takes_work = halls.rng.random_bool(0.5);
        // It may be taken from now on.
        hall.emptied = None;
        self.send_hall_order(number);
    }

    fn send_hall_order(&mut self, number: usize) {
        let keepers = self.keepers.len();
        let Some(halls) = &mut self.halls else { return };
        let hall = &halls.halls[number];
        let (order, takes_work) = (hall.order, hall.takes_work);
        let to = halls.rng.random_range(0..keepers);
        let asker = Asker::Hall { hall: number, order };
        let ordered = HallOrder { hall: name(number), takes_work };
        let ticket = self.ask(to, asker, |ticket| Event::HallCommand(ticket, ordered));
        if let Some(halls) = &mut self.halls {
            halls.sent.insert(ticket, self.now);
        }
        self.after(PATIENCE, Happening::HallOrderUnanswered(number, order));
    }

    /// Whether whoever sent a copy of an order has closed its connection by now. A keeper that reads the order reads that
    /// as well, and does not carry it out (`an_order_whose_operator_has_left_is_not_carried_out`).
    pub(super) fn has_sender_left(&self, ticket: CallId) -> bool {
        let sent = self.halls.as_ref().and_then(|halls| halls.sent.get(&ticket));
        sent.is_some_and(|at| self.now.since(*at) > PATIENCE)
    }

    /// An order got no clear answer in time: it is sent again, or given up.
    pub(super) fn hall_order_unanswered(&mut self, number: usize, order: u64) {
        let now = self.now;
        let Some(halls) = &mut self.halls else { return };
        let hall = &mut halls.halls[number];
        if hall.order != order {
            return;
        }
        if now.since(hall.began) < LONGEST {
            return self.send_hall_order(number);
        }
        hall.order += 1;
        // A copy may be on its way yet: what the hall is, only the next acknowledged order says.
        let pause = Duration::from_millis(halls.rng.random_range(0..PAUSE.as_millis() as u64));
        self.after(pause, Happening::NextHallOrder(number));
    }

    /// An operator got an answer to its order.
    pub(super) fn hall_ordered(&mut self, number: usize, order: u64, reply: Option<Reply>) {
        let Some(Reply::Halls(told)) = reply else { return };
        self.saw_halls(&told);
        let Some(halls) = &mut self.halls else { return };
        let hall = &mut halls.halls[number];
        if hall.order != order {
            return;
        }
        halls.acknowledged += 1;
        hall.order += 1;
        hall.emptied = Some(!hall.takes_work);
        let expected = !hall.takes_work;
        let pause = match halls.rng.random_bool(0.5) {
            true => Duration::ZERO,
            false => Duration::from_millis(halls.rng.random_range(0..PAUSE.as_millis() as u64)),
        };
        if told.contains(HALLS[number]) != expected {
            let description =
                format!("order {order} for {} was acknowledged with {told:?}", HALLS[number]);
            self.checks.violation(self.now, description);
        }
        self.after(pause, Happening::NextHallOrder(number));
        self.read_halls();
        self.perhaps_lose_power_after_order();
    }

    /// Someone reads which halls are emptied.
    fn read_halls(&mut self) {
        let keepers = self.keepers.len();
        let Some(halls) = &mut self.halls else { return };
        let to = halls.rng.random_range(0..keepers);
        let known = halls.halls.iter().map(|hall| (hall.order, hall.emptied)).collect();
        let newest = halls.newest.revision;
        self.ask(to, Asker::ReadHalls { known, newest }, Event::ReadHalls);
    }

    /// Checks a read: no acknowledged order is missing that no later one may have undone.
    pub(super) fn halls_read(
        &mut self,
        known: &[(u64, Option<bool>)],
        newest: u64,
        reply: Option<Reply>,
    ) {
        let Some(Reply::Halls(told)) = reply else { return };
        self.saw_halls(&told);
        let Some(halls) = &self.halls else { return };
        let mut wrong = Vec::new();
        if told.revision < newest {
            wrong.push(format!("halls of revision {} read after {newest} was told", told.revision));
        }
        for (number, (order, emptied)) in known.iter().enumerate() {
            // Nothing was ordered since that may have been taken before the read.
            let settled = halls.halls[number].order == *order;
            if let Some(emptied) = emptied.filter(|_| settled)
                && told.contains(HALLS[number]) != emptied
            {
                wrong.push(format!("{}: ordered emptied={emptied}, read {told:?}", HALLS[number]));
            }
        }
        wrong.into_iter().for_each(|description| self.checks.violation(self.now, description));
    }

    /// A revision has one set of halls.
    fn saw_halls(&mut self, told: &EmptiedHalls) {
        let Some(halls) = &mut self.halls else { return };
        if told.revision == halls.newest.revision && *told != halls.newest {
            let description = format!("one revision of halls: {:?} and {told:?}", halls.newest);
            self.checks.violation(self.now, description);
        }
        if let Some(halls) = &mut self.halls {
            halls.newest.update(told);
        }
    }

    fn perhaps_lose_power_after_order(&mut self) {
        let calm = self.now >= self.calm_from || self.now < self.faults_from;
        let Some(halls) = &mut self.halls else { return };
        if !calm && halls.rng.random_ratio(1, 20) {
            let wait = Duration::from_micros(halls.rng.random_range(0..3_000));
            self.after(wait, Happening::PowerLoss);
        }
    }

    /// At the end the leader has every order that was acknowledged last.
    pub(super) fn check_halls_end(&mut self) {
        let Some(halls) = &self.halls else { return };
        let leader = self.keepers.iter().find_map(|keeper| {
            let keeper = keeper.keeper.as_ref()?;
            keeper.replica().is_confirmed_leader(self.now).then(|| keeper.state().halls().clone())
        });
        let Some(told) = leader else { return };
        let wrong: Vec<String> = halls
            .halls
            .iter()
            .enumerate()
            .filter(|(number, hall)| {
                hall.emptied.is_some_and(|emptied| told.contains(HALLS[*number]) != emptied)
            })
            .map(|(number, hall)| format!("{}: {hall:?}, at the end {told:?}", HALLS[number]))
            .collect();
        self.checks.summary.hall_orders = halls.acknowledged;
        wrong.into_iter().for_each(|description| self.checks.violation(self.end, description));
    }
}
