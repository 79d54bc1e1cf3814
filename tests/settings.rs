//! Settings changes reach every node and survive failures of keepers.

mod support;

use client::{ChangeOutcome, OperatorClient, Outcome, new_submission_id};
use model::Verdict;
use settings::Edit;
use support::{
    answers, check_and_stop, cluster_options, entry_client, job, run_async, start_cluster,
};
use testbed::Cluster;
use wire::{ChangeRequest, ChangeResult};

/// Submits a change that sets one value of the service, given as `KEY=VALUE`.
fn submit_change(cluster: &Cluster, id: &str, base_version: u64, pair: &str) -> ChangeOutcome {
    let (key, value) = pair.split_once('=').unwrap();
    let keepers = cluster.keeper_addresses();
    let section = "booking".parse().unwrap();
    let edit = Edit::Set { section, key: key.to_owned(), value: value.to_owned() };
    let request = ChangeRequest { change: id.to_owned(), base_version, edits: vec![edit] };
    run_async(
        |tasks| async move { OperatorClient::new(&keepers, &tasks).submit_change(&request).await },
    )
}

fn accepted(version: u64) -> ChangeOutcome {
    ChangeOutcome::Known(ChangeResult::Accepted { version })
}

#[test]
fn stopped_service_refuses_jobs_until_it_is_started_again() {
    let cluster = start_cluster(cluster_options());
    let entry = cluster.entry_address(0);
    let submit = || {
        run_async(|tasks| async move {
            entry_client(entry, &tasks)
                .submit_job(new_submission_id(), &job(&["seat 1"]))
                .await
                .unwrap()
        })
    };
    assert_eq!(submit_change(&cluster, "c1", 1, "state=stopped"), accepted(2));
    let is_refused = |outcome: &Outcome| {
        matches!(outcome, Outcome::Failed { code, verdict: Verdict::NotRun, status: 503, .. }
            if code == "service-stopped")
    };
    cluster.wait_for(|_| is_refused(&submit())).unwrap();
    assert_eq!(submit_change(&cluster, "c2", 2, "state=started"), accepted(3));
    cluster.wait_for(|_| matches!(submit(), Outcome::Complete(_))).unwrap();
    check_and_stop(cluster);
}

#[test]
fn changes_survive_a_keeper_restart_and_resends_get_the_original_result() {
    let mut cluster = start_cluster(cluster_options());
    assert_eq!(submit_change(&cluster, "c1", 1, "deadline_ms=900"), accepted(2));
    assert_eq!(submit_change(&cluster, "c2", 2, "deadline_ms=800"), accepted(3));
    cluster.kill_keeper(0);
    cluster.start_keeper(0).unwrap();
    assert_eq!(submit_change(&cluster, "c1", 1, "deadline_ms=900"), accepted(2));
    let conflict = ChangeOutcome::Known(ChangeResult::Conflict {
        version: 3,
        sections: vec!["booking".to_owned()],
    });
    assert_eq!(submit_change(&cluster, "c3", 1, "deadline_ms=700"), conflict);
    assert_eq!(submit_change(&cluster, "c4", 3, "deadline_ms=600"), accepted(4));
    let entry = cluster.entry_address(0);
    // Jobs are still accepted after the restart.
    run_async(|tasks| async move {
        let outcome =
            entry_client(entry, &tasks).submit_job(new_submission_id(), &job(&["seat 1"])).await;
        assert_eq!(answers(&outcome.unwrap()), ["done: seat 1"]);
    });
    check_and_stop(cluster);
}

/// Starts a small cluster with three keepers.
fn start_three_keepers() -> Cluster {
    start_cluster(testbed::ClusterOptions { keepers: 3, ..cluster_options() })
}

#[test]
fn three_keepers_accept_changes_while_any_one_is_down() {
    let mut cluster = start_three_keepers();
    assert_eq!(submit_change(&cluster, "c1", 1, "deadline_ms=900"), accepted(2));
    for (index, version) in [(0, 3), (1, 4), (2, 5)] {
        cluster.kill_keeper(index);
        let value = format!("deadline_ms={}", 800 + version);
        assert_eq!(
            submit_change(&cluster, &format!("c{version}"), version - 1, &value),
            accepted(version)
        );
        // A resent change gets its original result, also from a new leader.
        assert_eq!(submit_change(&cluster, "c1", 1, "deadline_ms=900"), accepted(2));
        cluster.start_keeper(index).unwrap();
    }
    check_and_stop(cluster);
}

#[test]
fn losing_two_keeper_disks_one_after_the_other_loses_no_change() {
    let mut cluster = start_three_keepers();
    assert_eq!(submit_change(&cluster, "c1", 1, "deadline_ms=900"), accepted(2));
    for (index, version) in [(0, 3), (1, 4)] {
        cluster.kill_keeper(index);
        cluster.wipe_keeper_disk(index).unwrap();
        cluster.start_keeper(index).unwrap();
        // The next disk is lost only after this keeper has recovered its data.
        let has_recovered =
            |cluster: &Cluster| cluster.keeper_status(index).is_some_and(|status| !status.blank);
        cluster.wait_for(has_recovered).unwrap();
        let value = format!("deadline_ms={}", 800 + version);
        assert_eq!(
            submit_change(&cluster, &format!("c{version}"), version - 1, &value),
            accepted(version)
        );
    }
    assert_eq!(submit_change(&cluster, "c1", 1, "deadline_ms=900"), accepted(2));
    assert_eq!(submit_change(&cluster, "c5", 4, "deadline_ms=600"), accepted(5));
    check_and_stop(cluster);
}
