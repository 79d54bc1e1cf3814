//! Randomly ordered reports, answers and restarts. Guards against a healthy target that gets no
//! more work because the agent took a late report of an earlier instance for its successor's.

mod support;

use runner::{Event, HoldReply, TargetInstance, TargetReport};

use support::{Agent, CLOCK, SESSION, no_runs, numbered_report, start_task, target};

/// The instances of a target at one address; their reports may be delayed.
struct TargetAddress {
    instance: u64,
    sequence: u64,
    delayed: Vec<TargetReport>,
    /// Answers to holds that are in flight.
    answers: Vec<(TargetInstance, HoldReply)>,
    random_state: u64,
}

impl TargetAddress {
    fn random_below(&mut self, bound: u64) -> u64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random_state >> 33) % bound
    }

    fn id(&self) -> String {
        format!("instance{}", self.instance)
    }

    fn report(&mut self) -> TargetReport {
        self.sequence += 1;
        numbered_report(&self.id(), self.sequence)
    }

    /// Answers the oldest hold as the current instance.
    fn answer_oldest_hold(&mut self, agent: &mut Agent) {
        if agent.holds.is_empty() {
            return;
        }
        let target = agent.holds.remove(0).target;
        let reply = if *target.id == *self.id() { no_runs() } else { HoldReply::OtherInstance };
        self.answers.push((target, reply));
    }

    /// Delivers a random answer.
    fn deliver_answer(&mut self, agent: &mut Agent) {
        let count = self.answers.len() as u64;
        if count > 0 {
            let which = self.random_below(count) as usize;
            let (target, reply) = self.answers.swap_remove(which);
            agent.handle(Event::HoldAnswered(target, reply));
        }
    }

    /// Replaces the agent by a new process, which may first receive a delayed report.
    fn restart_agent(&mut self, agent: &mut Agent) {
        let report = self.report();
        let first = if self.delayed.is_empty() { report } else { self.delayed.swap_remove(0) };
        *agent = Agent::at_target(&first.instance.id, CLOCK);
        self.answers.clear();
    }

    /// Performs a random step: sends or delays a report, delivers a delayed one, answers a hold,
    /// delivers an answer, or restarts the target or the agent.
    fn random_step(&mut self, agent: &mut Agent) {
        match self.random_below(14) {
            0..=3 => {
                let report = self.report();
                agent.handle(Event::TargetReported(report));
            }
            4 | 5 => {
                let report = self.report();
                self.delayed.push(report);
            }
            6 | 7 => {
                let count = self.delayed.len() as u64;
                if count > 0 {
                    let which = self.random_below(count) as usize;
                    agent.handle(Event::TargetReported(self.delayed.swap_remove(which)));
                }
            }
            8 | 9 => self.answer_oldest_hold(agent),
            12 | 13 => self.deliver_answer(agent),
            10 if self.random_below(3) == 0 => {
                self.instance += 1;
                self.sequence = 0;
            }
            11 if self.random_below(4) == 0 => self.restart_agent(agent),
            _ => agent.run_for(10),
        }
    }
}

#[test]
fn current_instance_is_found_after_any_order_of_reports() {
    for random_state in 0..2_000 {
        let (delayed, answers) = (Vec::new(), Vec::new());
        let mut address =
            TargetAddress { instance: 1, sequence: 0, delayed, answers, random_state };
        let mut agent = Agent::at_target("instance1", CLOCK);
        (0..200).for_each(|_| address.random_step(&mut agent));
        // The delayed reports arrive, the current instance reports, and commands are answered.
        for late in std::mem::take(&mut address.delayed) {
            agent.handle(Event::TargetReported(late));
        }
        for _ in 0..30 {
            agent.handle(Event::TargetReported(address.report()));
            (0..agent.holds.len()).for_each(|_| address.answer_oldest_hold(&mut agent));
            (0..address.answers.len()).for_each(|_| address.deliver_answer(&mut agent));
            agent.run_for(20);
        }
        agent.handle(Event::SessionOpened(SESSION));
        assert_eq!(
            start_task(&mut agent, "last"),
            [target(&address.id())],
            "random state {random_state}"
        );
    }
}
