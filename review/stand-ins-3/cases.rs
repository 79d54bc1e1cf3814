//! The scripts of the cases.

mod late_copy;
mod lost_cancel;
mod repeated_submission;
mod wide_jobs;

use crate::{Record, Verdict};

/// Runs a case with or without its disruption.
pub fn run(case: &str, trouble: bool, record: &Record) -> Verdict {
    let result = match case {
        "late-copy" => late_copy::run(trouble, record),
        "lost-cancel" => lost_cancel::run(trouble, record),
        "repeated-submission" => repeated_submission::run(trouble, record),
        "wide-jobs" => wide_jobs::run(trouble, record),
        _ => Err(format!("no case is called {case}")),
    };
    match result {
        Ok(true) => Verdict::Held,
        Ok(false) => Verdict::Broken,
        Err(reason) => Verdict::NotRun(reason),
    }
}
