//! Requests followed through lines of several processes.

use explain::{History, Line};

const JOB: &str = "5c0e7a21d94b36f8";

fn lines(texts: &[&str]) -> Vec<Line> {
    texts.iter().filter_map(|text| Line::parse(text)).collect()
}

#[test]
fn lines_are_found_behind_any_prefix_and_other_text_is_left() {
    let text = format!(
        "  0.78 front-1 {{\"time\":5.5,\"node\":\"e1\",\"event\":\"placed\",\"job\":\"{JOB}\",\"run\":1}}"
    );
    let line = Line::parse(&text).expect("it is a line");
    assert_eq!((line.time, line.node.as_str(), line.event.as_str()), (5.5, "e1", "placed"));
    assert!(line.is_about_job(JOB) && !line.is_state_change());
    assert_eq!(line.fields_text(), "run=1");
    for other in [
        "",
        "plain text",
        "{\"time\":1}",
        "{\"time\":\"x\",\"node\":\"e\",\"event\":\"e\"}",
        "{cut",
    ] {
        assert_eq!(Line::parse(other), None, "{other}");
    }
}

#[test]
fn a_refused_request_leads_to_what_was_known_of_the_targets() {
    let all = lines(&[
        r#"{"time":10.09,"node":"e1","event":"answered","job":"5c0e7a21d94b36f8","outcome":"not-run","reason":"no-room","open":11,"most_free":"450m/32128MB/0gpu","waiting":28}"#,
        r#"{"time":10.00,"node":"e1","event":"admitted","job":"5c0e7a21d94b36f8"}"#,
        r#"{"time":10.05,"node":"e1","event":"admitted","job":"0000000000000001"}"#,
    ]);
    let history = History::for_job(JOB, all);
    assert_eq!(history.lines.len(), 2);
    let verdict = history.explanation();
    assert_eq!(verdict.outcome, "not-run");
    assert_eq!(
        verdict.cause,
        "no target had room in time: 11 open, the freest had 450m/32128MB/0gpu, 28 tasks waited"
    );
}

#[test]
fn a_failed_request_leads_to_the_agents_where_its_task_failed() {
    let all = lines(&[
        r#"{"time":10.0,"node":"e1","event":"admitted","job":"5c0e7a21d94b36f8"}"#,
        r#"{"time":10.1,"node":"e1","event":"task-ended","job":"5c0e7a21d94b36f8","agent":"a1","end":"Failed"}"#,
        r#"{"time":10.15,"node":"a1","event":"target-left-out","failures":4,"for_ms":1000}"#,
        r#"{"time":10.15,"node":"a9","event":"target-left-out","failures":4,"for_ms":1000}"#,
        r#"{"time":10.2,"node":"e1","event":"task-ended","job":"5c0e7a21d94b36f8","agent":"a2","end":"Failed"}"#,
        r#"{"time":10.2,"node":"e1","event":"answered","job":"5c0e7a21d94b36f8","outcome":"failed","reason":"attempts"}"#,
    ]);
    let history = History::for_job(JOB, all);
    assert_eq!(history.explanation().cause, "a task failed as often as it may: a1, a2");
    assert_eq!(history.context.len(), 1, "only what its own nodes wrote");
    assert_eq!(history.merged()[2].event, "target-left-out");
}

#[test]
fn a_request_lost_with_its_entry_is_said_to_be_so() {
    let all = lines(&[
        r#"{"time":10.0,"node":"e1","event":"admitted","job":"5c0e7a21d94b36f8"}"#,
        r#"{"time":10.1,"node":"e1","event":"placed","job":"5c0e7a21d94b36f8","agent":"a1"}"#,
        r#"{"time":10.4,"node":"a1","event":"session-lost","why":"closed","runs":1}"#,
        r#"{"time":10.5,"node":"a1","event":"run-ended","job":"5c0e7a21d94b36f8","end":"Stopped"}"#,
    ]);
    let history = History::for_job(JOB, all);
    let verdict = history.explanation();
    assert_eq!(verdict.outcome, "unanswered");
    assert_eq!(verdict.cause, "e1 took it and wrote no answer: it ended or lost power");
    assert_eq!(history.context[0].event, "session-lost");
}

#[test]
fn the_last_answer_counts_and_an_unknown_request_is_empty() {
    let all = lines(&[
        r#"{"time":10.0,"node":"e1","event":"answered","job":"5c0e7a21d94b36f8","outcome":"may-have-run","reason":"agent-lost"}"#,
        r#"{"time":9.9,"node":"e1","event":"agent-lost","agent":"a1","why":"silent"}"#,
        r#"{"time":11.5,"node":"e2","event":"completed","job":"5c0e7a21d94b36f8","outcome":"completed","reason":""}"#,
    ]);
    assert_eq!(History::for_job(JOB, all.clone()).explanation().outcome, "completed");
    let first = History::for_job(JOB, all[..2].to_vec());
    assert_eq!(first.explanation().cause, "the session with a1 died (silent)");
    assert!(History::for_job("0000000000000001", all).is_empty());
}
