//! Validation of the daemon's configuration file and its error messages.

use std::path::Path;

use daemon::Config;

const AGENT: &str = "[node]\nname = a1\nroles = agent\nkeepers = 127.0.0.1:7101\n\
                     [agent]\nlisten = 127.0.0.1:7400\ntarget = 127.0.0.1:7500\n\
                     service = booking\n";

fn error_of(text: &str) -> String {
    Config::from_ini(text).expect_err("the configuration is rejected").to_string()
}

#[test]
fn a_loaded_file_shows_its_effective_settings() {
    let config = Config::from_ini(AGENT).unwrap();
    let text = config.effective_settings();
    assert!(text.contains("slots = 8\n") && text.contains("service = booking\n"), "{text}");
    assert!(!text.contains("[entry]") && !text.contains("[keeper]"), "{text}");
    assert_eq!(Config::from_ini(&text).unwrap().effective_settings(), text);
}

#[test]
fn errors_name_section_key_and_reason() {
    let with = |from: &str, to: &str| AGENT.replace(from, to);
    let cases = [
        (with("service", "speed"), "[agent] speed: unknown key"),
        (with("[agent]", "[worker]"), "[worker] -: unknown section"),
        (with("127.0.0.1:7400", "here"), "[agent] listen: 'here' is not IP:PORT"),
        (with("7500", "7400"), "[agent] target: 127.0.0.1:7400 clashes with [agent] listen"),
        (with("roles = agent", "roles = agents"), "[node] roles: 'agents' is none of"),
        (with("keepers = 127.0.0.1:7101\n", ""), "[node] keepers: has to be written"),
        (with("service = booking\n", ""), "[agent] service: has to be written"),
        (format!("{AGENT}slots = 0\n"), "[agent] slots: 0 is out of range"),
        (format!("{AGENT}stuck_ms = 5s\n"), "[agent] stuck_ms: '5s' is not a whole number"),
        (with("name = a1", "name = a1\nplatform = ftp:x"), "[node] platform: 'ftp:x' is neither"),
        (with("name = a1", "name = a1\nlogs = /no/such/folder"), "[node] logs: can't write in"),
    ];
    for (text, expected) in cases {
        let error = error_of(&text);
        assert!(error.starts_with(expected), "{error:?} does not start with {expected:?}");
    }
}

#[test]
fn keeper_peers_are_odd_in_number_and_include_this_node() {
    let keeper = |peers: &str| {
        let data = std::env::temp_dir();
        format!(
            "[node]\nname = k1\nroles = keeper\n[keeper]\nlisten = 127.0.0.1:7100\n\
             node_listen = 127.0.0.1:7101\ndata = {}\npeers = {peers}\n",
            data.display()
        )
    };
    let all = "k1@127.0.0.1:1 k2@127.0.0.1:2 k3@127.0.0.1:3";
    assert!(Config::from_ini(&keeper(all)).is_ok());
    let two = error_of(&keeper("k1@127.0.0.1:1 k2@127.0.0.1:2"));
    assert_eq!(two, "[keeper] peers: 1, 3 or 5 keepers");
    let foreign = error_of(&keeper("k4@127.0.0.1:1 k2@127.0.0.1:2 k3@127.0.0.1:3"));
    assert_eq!(foreign, "[keeper] peers: this node is not among them");
    assert!(error_of(&keeper("k1@here")).contains("'k1@here' is not NAME@IP:PORT"));
}

#[test]
fn an_unreadable_file_is_named_in_the_error() {
    let error =
        Config::load(Path::new("/no/such/file.ini")).expect_err("the configuration is rejected");
    assert!(error.to_string().starts_with("/no/such/file.ini: "), "{error}");
}

#[test]
fn every_example_is_valid() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    for name in ["agent.ini", "entry.ini"] {
        let config = Config::load(&examples.join(name));
        assert!(config.is_ok(), "{name}: {:?}", config.err());
    }
}
