//! Changes of the settings tree reach every node and stay.

mod support;

use client::{ChangeOutcome, OperatorClient, Outcome, new_submission_id};
use model::Verdict;
use settings::Edit;
use support::{answers, caller, finish, job, options, run, start};
use testbed::Cluster;
use wire::{ChangeRequest, ChangeResult};

/// Sends a change of one value of the service, as `KEY=VALUE`.
fn change(cluster: &Cluster, id: &str, base_version: u64, pair: &str) -> ChangeOutcome {
    let (key, value) = pair.split_once('=').unwrap();
    let keepers = cluster.keeper_addresses();
    let section = "booking".parse().unwrap();
    let edit = Edit::Set { section, key: key.to_owned(), value: value.to_owned() };
    let request = ChangeRequest { change: id.to_owned(), base_version, edits: vec![edit] };
    run(|tasks| async move { OperatorClient::new(&keepers, &tasks).submit_change(&request).await })
}

fn accepted(version: u64) -> ChangeOutcome {
    ChangeOutcome::Known(ChangeResult::Accepted { version })
}

#[test]
fn a_stopped_service_refuses_and_a_started_one_takes_work_again() {
    let cluster = start(options());
    let entry = cluster.entry_address(0);
    let submit = || {
        run(|tasks| async move {
            caller(entry, &tasks).submit_job(new_submission_id(), &job(&["seat 1"])).await.unwrap()
        })
    };
    assert_eq!(change(&cluster, "c1", 1, "state=stopped"), accepted(2));
    let refused = |outcome: &Outcome| {
        matches!(outcome, Outcome::Failed { code, verdict: Verdict::NotRun, status: 503, .. }
            if code == "service-stopped")
    };
    cluster.wait_for(|_| refused(&submit())).unwrap();
    assert_eq!(change(&cluster, "c2", 2, "state=started"), accepted(3));
    cluster.wait_for(|_| matches!(submit(), Outcome::Complete(_))).unwrap();
    finish(cluster);
}

#[test]
fn changes_survive_the_keeper_and_resends_get_the_first_answer() {
    let mut cluster = start(options());
    assert_eq!(change(&cluster, "c1", 1, "deadline_ms=900"), accepted(2));
    assert_eq!(change(&cluster, "c2", 2, "deadline_ms=800"), accepted(3));
    cluster.kill_keeper(0);
    cluster.start_keeper(0).unwrap();
    assert_eq!(change(&cluster, "c1", 1, "deadline_ms=900"), accepted(2));
    let conflict = ChangeOutcome::Known(ChangeResult::Conflict {
        version: 3,
        sections: vec!["booking".to_owned()],
    });
    assert_eq!(change(&cluster, "c3", 1, "deadline_ms=700"), conflict);
    assert_eq!(change(&cluster, "c4", 3, "deadline_ms=600"), accepted(4));
    let entry = cluster.entry_address(0);
    // Requests do not need the keeper.
    run(|tasks| async move {
        let outcome =
            caller(entry, &tasks).submit_job(new_submission_id(), &job(&["seat 1"])).await;
        assert_eq!(answers(&outcome.unwrap()), ["done: seat 1"]);
    });
    finish(cluster);
}

/// Three keepers, and settings that may be older than a moment without stopping work.
fn three_keepers() -> Cluster {
    start(testbed::ClusterOptions { keepers: 3, ..options() })
}

#[test]
fn three_keepers_accept_changes_with_any_one_dead() {
    let mut cluster = three_keepers();
    assert_eq!(change(&cluster, "c1", 1, "deadline_ms=900"), accepted(2));
    for (number, version) in [(0, 3), (1, 4), (2, 5)] {
        cluster.kill_keeper(number);
        let value = format!("deadline_ms={}", 800 + version);
        assert_eq!(
            change(&cluster, &format!("c{version}"), version - 1, &value),
            accepted(version)
        );
        // A resent change gets its first answer from whoever leads now.
        assert_eq!(change(&cluster, "c1", 1, "deadline_ms=900"), accepted(2));
        cluster.start_keeper(number).unwrap();
    }
    finish(cluster);
}

#[test]
fn two_keepers_lost_with_their_disks_one_after_the_other_lose_no_change() {
    let mut cluster = three_keepers();
    assert_eq!(change(&cluster, "c1", 1, "deadline_ms=900"), accepted(2));
    for (number, version) in [(0, 3), (1, 4)] {
        cluster.kill_keeper(number);
        cluster.wipe_keeper_disk(number).unwrap();
        cluster.start_keeper(number).unwrap();
        // The second loss comes right after the repair of the first.
        let repaired =
            |cluster: &Cluster| cluster.keeper_status(number).is_some_and(|status| !status.blank);
        cluster.wait_for(repaired).unwrap();
        let value = format!("deadline_ms={}", 800 + version);
        assert_eq!(
            change(&cluster, &format!("c{version}"), version - 1, &value),
            accepted(version)
        );
    }
    assert_eq!(change(&cluster, "c1", 1, "deadline_ms=900"), accepted(2));
    assert_eq!(change(&cluster, "c5", 4, "deadline_ms=600"), accepted(5));
    finish(cluster);
}
