//! Tests of the demand for labels and of the choice between waiting and running elsewhere.

use std::sync::Arc;
use std::time::Duration;

use model::Time;
use placement::{DataChoice, DataDecision, LabelDemand, TaskNeeds};

const START: Time = Time::from_millis(1_000_000);

fn label(name: &str) -> Arc<str> {
    Arc::from(name)
}

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

fn record(demand: &mut LabelDemand, now: Time, name: &str, tasks: u32) {
    demand.record(now, &label(name), tasks, 1_500, Duration::from_millis(60));
}

/// Guards against racks that are avoided for a few tasks, or long after the demand has ended.
#[test]
fn a_label_is_in_demand_while_many_tasks_named_it_in_the_last_second() {
    let mut demand = LabelDemand::default();
    record(&mut demand, START, "r1", 8);
    record(&mut demand, at(100), "r2", 8);
    assert!(demand.in_demand(at(100)).is_empty());
    record(&mut demand, at(600), "r1", 8);
    assert_eq!(demand.in_demand(at(600)), [label("r1")]);
    let total = demand.demand(at(600), "r1");
    assert_eq!((total.tasks, total.work), (16, 16 * 1_500 * 60));
    assert!(demand.in_demand(at(1_100)).is_empty());
    assert_eq!(demand.demand(at(1_100), "r1").tasks, 8);
    assert_eq!(demand.demand(at(5_000), "r1").tasks, 0);
}

/// Guards against state that grows with the labels that clients name.
#[test]
fn the_number_of_labels_is_bounded() {
    let mut demand = LabelDemand::default();
    (0..300).for_each(|number| record(&mut demand, at(number), &format!("r{number}"), 16));
    assert_eq!(demand.in_demand(at(300)).len(), 256);
    assert_eq!(demand.demand(at(300), "r299").tasks, 16);
    assert_eq!(demand.demand(at(300), "r0").tasks, 0, "forgotten first");
}

/// Guards against forecasts from a handful of placements, and against rates that are too low at the
/// start of a demand, which would refuse jobs that can be in time.
#[test]
fn the_wait_is_forecast_from_enough_placements_of_waiting_tasks() {
    let mut demand = LabelDemand::default();
    record(&mut demand, START, "r1", 40);
    (0..19).for_each(|_| demand.record_waited(START, "r1", 1_500));
    assert_eq!(demand.expected_wait(START, "r1", 3_000), None);
    demand.record_waited(START, "r1", 1_500);
    let wait = |millis| demand.expected_wait(at(millis), "r1", 3_000);
    assert_eq!(wait(0), Some(Duration::from_millis(10)), "a tenth of the rate of the first 100 ms");
    assert_eq!(wait(950), Some(Duration::from_millis(100)), "the rate falls without placements");
    assert_eq!(demand.expected_wait(START, "r1", 0), Some(Duration::ZERO));
    assert_eq!(demand.expected_wait(at(2_000), "r1", 3_000), None);
}

/// A task of 100 ms with an objective of 220 ms, of which 15 ms are used up.
fn task(remote_penalty: f64) -> TaskNeeds {
    TaskNeeds {
        cpu_milli: 1_600,
        run_time: Duration::from_millis(100),
        longest_run_time: Duration::from_millis(100),
        objective: Duration::from_millis(220),
        elapsed: Duration::from_millis(15),
        names_label: true,
        remote_penalty,
        capacity_is_scarce: false,
        must_run: false,
    }
}

fn choice(expected_wait_ms: Option<u64>, away_slowdown: Option<f64>) -> DataChoice {
    DataChoice {
        expected_wait: expected_wait_ms.map(Duration::from_millis),
        waited: Duration::ZERO,
        near_slowdown: 1.0,
        away_slowdown,
        lowest_slowdown: 1.0,
        may_refuse: true,
    }
}

/// Guards against tasks that run elsewhere although waiting leads to an earlier end, and against
/// tasks that wait although it does not.
#[test]
fn a_task_waits_while_that_leads_to_an_earlier_end() {
    let decide = |wait| choice(Some(wait), Some(1.0)).decide(&task(2.0));
    assert_eq!(decide(99), DataDecision::Wait);
    assert_eq!(decide(101), DataDecision::RunAway, "in time elsewhere, after 215 ms");
    let unknown =
        |waited| DataChoice { waited: Duration::from_millis(waited), ..choice(None, Some(1.0)) };
    assert_eq!(unknown(50).decide(&task(2.0)), DataDecision::Wait);
    assert_eq!(unknown(101).decide(&task(2.0)), DataDecision::RunAway);
}

/// Guards against refusals of jobs that can be in time, or on a guess, and of started jobs.
#[test]
fn a_job_is_refused_only_if_it_is_certainly_late_in_both_places() {
    let late = choice(Some(150), Some(1.0));
    assert_eq!(late.decide(&task(3.0)), DataDecision::Refuse);
    assert_eq!(choice(Some(150), None).decide(&task(3.0)), DataDecision::Refuse);
    assert_eq!(choice(Some(100), Some(1.0)).decide(&task(3.0)), DataDecision::Wait);
    assert_eq!(
        choice(Some(150), None).decide(&task(2.0)),
        DataDecision::Wait,
        "a target elsewhere may free up in time"
    );
    let guessed = DataChoice { waited: Duration::from_millis(150), ..choice(None, Some(1.0)) };
    assert_eq!(guessed.decide(&task(3.0)), DataDecision::Wait);
    let hopeless = TaskNeeds { run_time: Duration::from_millis(300), ..task(3.0) };
    assert_eq!(choice(None, Some(1.0)).decide(&hopeless), DataDecision::Refuse);
    let started = DataChoice { may_refuse: false, ..late };
    assert_eq!(started.decide(&task(3.0)), DataDecision::Wait, "265 ms, elsewhere 315 ms");
    let long_wait = DataChoice { expected_wait: Some(Duration::from_millis(250)), ..started };
    assert_eq!(long_wait.decide(&task(3.0)), DataDecision::RunAway);
}
