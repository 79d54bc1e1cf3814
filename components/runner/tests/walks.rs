//! Reports, answers and restarts in any order: the agent finds the life that is there.
//!
//! Users would see a sound target that gets no more work until it restarts. It takes a report of an
//! earlier life that was held up, and an agent which has no record of that life.
//! The agent gave up the life that was there and remembered it as over: that ended 309 walks of 2,000.

mod support;

use runner::{Event, HoldReply, TargetInstance, TargetReport};

use support::{Agent, CLOCK, SESSION, empty, numbered, started_at, target};

/// Lives of a target at one address, whose reports are held up at will.
struct Address {
    life: u64,
    sequence: u64,
    held_up: Vec<TargetReport>,
    /// Answers to holds that are on their way.
    answers: Vec<(TargetInstance, HoldReply)>,
    dice: u64,
}

impl Address {
    fn roll(&mut self, sides: u64) -> u64 {
        self.dice = self.dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.dice >> 33) % sides
    }

    fn id(&self) -> String {
        format!("life{}", self.life)
    }

    fn report(&mut self) -> TargetReport {
        self.sequence += 1;
        numbered(&self.id(), self.sequence)
    }

    /// Answers the first hold as the life that is there now.
    fn answer(&mut self, agent: &mut Agent) {
        if agent.holds.is_empty() {
            return;
        }
        let target = agent.holds.remove(0).target;
        let reply = if *target.id == *self.id() { empty() } else { HoldReply::OtherInstance };
        self.answers.push((target, reply));
    }

    /// An answer arrives, whichever was sent first.
    fn deliver(&mut self, agent: &mut Agent) {
        let count = self.answers.len() as u64;
        if count > 0 {
            let which = self.roll(count) as usize;
            let (target, reply) = self.answers.swap_remove(which);
            agent.handle(Event::HoldAnswered(target, reply));
        }
    }

    fn restart(&mut self, agent: &mut Agent) {
        let report = self.report();
        let first = if self.held_up.is_empty() { report } else { self.held_up.swap_remove(0) };
        *agent = Agent::at_target(&first.instance.id, CLOCK);
        self.answers.clear();
    }

    /// One thing happens: a report is sent or held up, one that was held up arrives, a hold is
    /// carried out, its answer arrives, or the target or its agent restarts.
    fn step(&mut self, agent: &mut Agent) {
        match self.roll(14) {
            0..=3 => {
                let report = self.report();
                agent.handle(Event::TargetReported(report));
            }
            4 | 5 => {
                let report = self.report();
                self.held_up.push(report);
            }
            6 | 7 => {
                let count = self.held_up.len() as u64;
                if count > 0 {
                    let which = self.roll(count) as usize;
                    agent.handle(Event::TargetReported(self.held_up.swap_remove(which)));
                }
            }
            8 | 9 => self.answer(agent),
            12 | 13 => self.deliver(agent),
            10 if self.roll(3) == 0 => {
                self.life += 1;
                self.sequence = 0;
            }
            11 if self.roll(4) == 0 => self.restart(agent),
            _ => agent.run_for(10),
        }
    }
}

#[test]
fn the_present_life_is_found_again_whatever_order_reports_come_in() {
    for dice in 0..2_000 {
        let (held_up, answers) = (Vec::new(), Vec::new());
        let mut address = Address { life: 1, sequence: 0, held_up, answers, dice };
        let mut agent = Agent::at_target("life1", CLOCK);
        (0..200).for_each(|_| address.step(&mut agent));
        // What was held up arrives, the present life reports, and orders are answered.
        for late in std::mem::take(&mut address.held_up) {
            agent.handle(Event::TargetReported(late));
        }
        for _ in 0..30 {
            agent.handle(Event::TargetReported(address.report()));
            (0..agent.holds.len()).for_each(|_| address.answer(&mut agent));
            (0..address.answers.len()).for_each(|_| address.deliver(&mut agent));
            agent.run_for(20);
        }
        agent.handle(Event::SessionOpened(SESSION));
        assert_eq!(started_at(&mut agent, "last"), [target(&address.id())], "dice {dice}");
    }
}
