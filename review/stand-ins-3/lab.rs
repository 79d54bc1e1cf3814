//! Stand-ins for executors, clients, the operator and the platform, and the scripts of the cases.
//! Starts the project's own programs with the settings that the templates in `platform/` give.

mod cases;
mod executor;
mod fleet;
mod http;
mod observe;

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes `record.txt`: what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let ms = at.saturating_duration_since(self.started).as_secs_f64() * 1e3;
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{ms:10.1} {text}");
    }
}

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run.
    NotRun(String),
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("lab CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(Path::new(&folder)) else {
        eprintln!("no record can be written in {folder}");
        std::process::exit(2);
    };
    record.line(&format!("case {case}, trouble {trouble}"));
    let (text, code) = match cases::run(&case, trouble, &record) {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    std::process::exit(code);
}
