//! Parsing of client requests and formatting of responses.

use api::{JobBody, Route, outcome_response, parse_job, parse_request, parse_route};
use model::{Code, Failure, SubmissionId, Time, Verdict};
use proptest::prelude::*;

fn id() -> SubmissionId {
    SubmissionId::from_parts(Time::from_millis(1_764_000_000_000), 42)
}

#[test]
fn requests_are_routed_by_method_and_path() {
    let id = id();
    let route = |method, path: String| parse_route(method, &path);
    assert_eq!(route("PUT", format!("/v1/jobs/{id}")), Ok(Route::SubmitJob(id)));
    assert_eq!(route("GET", format!("/v1/jobs/{id}")), Ok(Route::Fetch(id)));
    assert_eq!(route("PUT", format!("/v1/requests/{id}")), Ok(Route::SubmitRequest(id)));
    assert_eq!(route("GET", "/ready".to_owned()), Ok(Route::Ready));
    let code = |method, path: &str| parse_route(method, path).unwrap_err().code;
    assert_eq!(code("DELETE", &format!("/v1/jobs/{id}")), Code::NoSuchPath);
    assert_eq!(code("PUT", "/v1/jobs/7"), Code::BadId);
    assert_eq!(code("PUT", "/v1/jobs/6f1c3f6e-3d2a-4c1b-9a51-0d8f3c2b1a00"), Code::BadId);
}

#[test]
fn invalid_bodies_fail_as_not_run() {
    let many: Vec<&str> = vec!["t"; 691];
    let too_many =
        serde_json::json!({"service": "booking", "kind": "holds", "tasks": many}).to_string();
    let cases = [
        ("", Code::BadBody),
        ("[]", Code::BadBody),
        (r#"{"service":"booking","kind":"holds"}"#, Code::BadBody),
        (r#"{"service":"booking","kind":"holds","tasks":[]}"#, Code::BadBody),
        (r#"{"service":"booking","kind":"holds","tasks":[7]}"#, Code::BadBody),
        (r#"{"service":"booking","kind":"holds","tasks":["a"],"dead":1}"#, Code::BadBody),
        (r#"{"service":"booking","kind":"holds","tasks":["a"],"deadline_ms":0}"#, Code::BadBody),
        (r#"{"service":"booking","kind":"holds","tasks":["a"],"deadline_ms":-1}"#, Code::BadBody),
        (&too_many, Code::TooLarge),
    ];
    for (body, code) in cases {
        let failure = parse_job(body.as_bytes()).unwrap_err();
        assert_eq!((failure.code, failure.verdict), (code, Verdict::NotRun), "{body}");
    }
}

#[test]
fn requests_are_not_repeatable_by_default() {
    let body = r#"{"service":"booking","kind":"settlements","task":"ticket 9"}"#;
    assert!(!parse_request(body.as_bytes()).unwrap().repeatable);
}

#[test]
fn complete_responses_have_answers_and_failed_ones_a_verdict() {
    let answers = [std::sync::Arc::from("seat 4A"), std::sync::Arc::from("seat \"4B\"")];
    let complete = outcome_response(Some(id()), &Ok(answers.into()));
    assert_eq!((complete.status, complete.verdict), (200, None));
    let body: serde_json::Value = serde_json::from_str(&complete.body).unwrap();
    assert_eq!(body["answers"], serde_json::json!(["seat 4A", "seat \"4B\""]));
    let refusal = Failure::new(Code::Overloaded, Verdict::NotRun, "full").retry_after(1_200);
    let refused = outcome_response(Some(id()), &Err(refusal));
    assert_eq!((refused.status, refused.retry_after), (503, Some(2)));
    assert_eq!(refused.verdict, Some(Verdict::NotRun));
}

#[test]
fn a_failure_that_may_have_run_is_not_a_503() {
    let refusal = Failure::new(Code::Overloaded, Verdict::MayHaveRun, "full");
    assert_eq!(outcome_response(None, &Err(refusal)).status, 502);
}

proptest! {
    #[test]
    fn arbitrary_bytes_parse_or_fail_as_not_run(
        body in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        for result in [parse_job(&body), parse_request(&body)] {
            if let Err(failure) = result {
                prop_assert_eq!(failure.verdict, Verdict::NotRun);
            }
        }
    }

    #[test]
    fn generated_jobs_parse_or_fail_and_truncated_ones_fail(
        service in ".{0,12}",
        tasks in proptest::collection::vec(".{0,20}", 0..5),
        deadline in proptest::option::of(any::<u64>()),
        cut in 0..400usize,
    ) {
        let tasks: Vec<std::sync::Arc<str>> = tasks.into_iter().map(Into::into).collect();
        let job = JobBody { service, kind: "holds".into(), tasks, deadline_ms: deadline };
        let text = serde_json::to_vec(&job).unwrap();
        match parse_job(&text) {
            Ok(submission) => prop_assert_eq!(submission.tasks, job.tasks),
            Err(failure) => prop_assert_eq!(failure.verdict, Verdict::NotRun),
        }
        let cut = cut.min(text.len().saturating_sub(1));
        prop_assert!(parse_job(&text[..cut]).is_err());
    }

    #[test]
    fn arbitrary_paths_parse_or_fail_as_not_run(
        method in "[A-Z]{0,7}", path in "/?(v1/)?(jobs/)?.{0,60}",
    ) {
        if let Err(failure) = parse_route(&method, &path) {
            prop_assert_eq!(failure.verdict, Verdict::NotRun);
        }
    }
}
