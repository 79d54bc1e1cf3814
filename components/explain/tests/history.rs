//! Histories of jobs, reconstructed from the log lines of several processes.

use explain::{History, Line};

const JOB: &str = "5c0e7a21d94b36f8";

fn lines(texts: &[&str]) -> Vec<Line> {
    texts.iter().filter_map(|text| Line::parse(text)).collect()
}

#[test]
fn lines_are_parsed_after_a_prefix_and_other_text_is_ignored() {
    let text = format!(
        "  0.78 front-1 {{\"time\":5.5,\"node\":\"e1\",\"event\":\"placed\",\"job\":\"{JOB}\",\"run\":1}}"
    );
    let line = Line::parse(&text).expect("a log line");
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
fn a_refused_job_is_explained_by_the_state_of_the_targets() {
    let all = lines(&[
        r#"{"time":10.09,"node":"e1","event":"answered","job":"5c0e7a21d94b36f8","outcome":"not-run","reason":"no-room","open":11,"most_free":"450m/32128MB/0gpu","waiting":28}"#,
        r#"{"time":10.00,"node":"e1","event":"admitted","job":"5c0e7a21d94b36f8"}"#,
        r#"{"time":10.05,"node":"e1","event":"admitted","job":"0000000000000001"}"#,
    ]);
    let history = History::for_job(JOB, all);
    assert_eq!(history.lines.len(), 2);
    let explanation = history.explanation();
    assert_eq!(explanation.outcome, "not-run");
    assert_eq!(
        explanation.cause,
        "no target had free capacity in time: 11 targets open, most free 450m/32128MB/0gpu, 28 tasks waiting"
    );
}

#[test]
fn a_failed_job_is_explained_by_the_agents_at_which_its_task_failed() {
    let all = lines(&[
        r#"{"time":10.0,"node":"e1","event":"admitted","job":"5c0e7a21d94b36f8"}"#,
        r#"{"time":10.1,"node":"e1","event":"task-ended","job":"5c0e7a21d94b36f8","agent":"a1","end":"Failed"}"#,
        r#"{"time":10.15,"node":"a1","event":"target-left-out","failures":4,"for_ms":1000}"#,
        r#"{"time":10.15,"node":"a9","event":"target-left-out","failures":4,"for_ms":1000}"#,
        r#"{"time":10.2,"node":"e1","event":"task-ended","job":"5c0e7a21d94b36f8","agent":"a2","end":"Failed"}"#,
        r#"{"time":10.2,"node":"e1","event":"answered","job":"5c0e7a21d94b36f8","outcome":"failed","reason":"attempts"}"#,
    ]);
    let history = History::for_job(JOB, all);
    assert_eq!(history.explanation().cause, "a task failed too often: a1, a2");
    assert_eq!(history.context.len(), 1, "only nodes involved in the job count as context");
    assert_eq!(history.merged()[2].event, "target-left-out");
}

#[test]
fn a_job_without_an_answer_is_explained_by_the_end_of_its_entry() {
    let all = lines(&[
        r#"{"time":10.0,"node":"e1","event":"admitted","job":"5c0e7a21d94b36f8"}"#,
        r#"{"time":10.1,"node":"e1","event":"placed","job":"5c0e7a21d94b36f8","agent":"a1"}"#,
        r#"{"time":10.4,"node":"a1","event":"session-lost","why":"closed","runs":1}"#,
        r#"{"time":10.5,"node":"a1","event":"run-ended","job":"5c0e7a21d94b36f8","end":"Stopped"}"#,
    ]);
    let history = History::for_job(JOB, all);
    let explanation = history.explanation();
    assert_eq!(explanation.outcome, "unanswered");
    assert_eq!(explanation.cause, "e1 admitted the job, then stopped without logging an answer");
    assert_eq!(history.context[0].event, "session-lost");
}

#[test]
fn the_last_answer_decides_and_an_unknown_job_has_no_history() {
    let all = lines(&[
        r#"{"time":10.0,"node":"e1","event":"answered","job":"5c0e7a21d94b36f8","outcome":"may-have-run","reason":"agent-lost"}"#,
        r#"{"time":9.9,"node":"e1","event":"agent-lost","agent":"a1","why":"silent"}"#,
        r#"{"time":11.5,"node":"e2","event":"completed","job":"5c0e7a21d94b36f8","outcome":"completed","reason":""}"#,
    ]);
    assert_eq!(History::for_job(JOB, all.clone()).explanation().outcome, "completed");
    let first = History::for_job(JOB, all[..2].to_vec());
    assert_eq!(first.explanation().cause, "the session with a1 was lost (silent)");
    assert!(History::for_job("0000000000000001", all).is_empty());
}
