//! Replays the scripts in `tests/traces` and checks their expected outcomes.

use std::fs;
use std::path::Path;

use soak::Script;

#[test]
fn scripts_have_their_expected_outcomes() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut paths: Vec<_> =
        fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    let mut failures = Vec::new();
    for path in &paths {
        let text = fs::read_to_string(path).unwrap();
        let replayed = Script::parse(&text).and_then(|script| script.replay());
        if let Err(error) = replayed {
            failures.push(format!("{}: {error}", path.file_stem().unwrap().to_string_lossy()));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    assert!(paths.len() >= 12, "scripts are missing");
}
