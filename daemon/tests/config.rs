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

/// The deploy file passes a bound of the platform to keepers in this way.
#[test]
fn an_environment_variable_overrides_a_setting() {
    let variable = |name: &str| match name {
        "DOCKPASS_AGENT_SLOTS" => Some("3".to_owned()),
        "DOCKPASS_AGENT_SERVICE" => Some(String::new()),
        _ => None,
    };
    let config = Config::from_ini_and_environment(AGENT, variable).unwrap();
    let text = config.effective_settings();
    assert!(text.contains("slots = 3\n") && text.contains("service = booking\n"), "{text}");
    let invalid = |name: &str| (name == "DOCKPASS_AGENT_SLOTS").then(|| "many".to_owned());
    let error = Config::from_ini_and_environment(AGENT, invalid).expect_err("it is rejected");
    assert!(error.to_string().starts_with("[agent] slots: 'many'"), "{error}");
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

const ENTRY: &str = "[node]\nname = e1\nroles = entry\nkeepers = 127.0.0.1:7101\n\
                     platform = file:hosts\n[entry]\nlisten = 127.0.0.1:7200\npeer_listen = 127.0.0.1:7201\n";

/// Guards against a penalty that is ignored, or that makes run times shorter.
#[test]
fn the_remote_penalty_is_a_factor_from_1_to_100() {
    let penalty = |line: &str| {
        let config = Config::from_ini(&format!("{ENTRY}{line}")).unwrap();
        config.entry.map(|entry| entry.remote_penalty_milli)
    };
    assert_eq!(penalty(""), Some(1_000), "by default, data is only a preference");
    assert_eq!(penalty("remote_penalty = 2.5\n"), Some(2_500));
    for (value, reason) in [
        ("0.5", "0.5 is out of range 1 to 100"),
        ("101", "101 is out of range 1 to 100"),
        ("twice", "'twice' is not a number"),
    ] {
        let error = error_of(&format!("{ENTRY}remote_penalty = {value}\n"));
        assert_eq!(error, format!("[entry] remote_penalty: {reason}"));
    }
}

/// Fills in a value of a template that has one value for each key; sections without one are left
/// out.
fn render(template: &str, values: &[(&str, &str)]) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("the tag ends");
        let name = text[start + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = text.find(&close).expect("the section ends");
        let value = values.iter().find(|(key, _)| *key == name).map(|(_, value)| *value);
        let body = text[name_end + 2..end].to_owned();
        let body = value.map_or_else(String::new, |value| body.replace("{{.}}", value));
        text.replace_range(start..end + close.len(), &body);
    }
    for (key, value) in values {
        text = text.replace(&format!("{{{{{key}}}}}"), value);
    }
    text
}

/// Guards against a template that doesn't pass on the platform's penalty, or that is invalid where
/// the platform has none.
#[test]
fn the_template_of_an_entry_takes_the_penalty_from_the_platform() {
    let template = Path::new(env!("CARGO_MANIFEST_DIR")).join("../platform/entry.ini");
    let template = std::fs::read_to_string(template).unwrap();
    let common = [
        ("node", "e1"),
        ("zone", "h1"),
        ("seeds", "10.0.0.9:7100 "),
        ("ip", "10.0.0.1"),
        ("internal_port_range.0", "7100"),
        ("internal_port_range.1", "7101"),
        ("listen.front", "10.0.0.1:7200"),
        ("listen.ready", "10.0.0.1:7201"),
    ];
    let penalty = |values: &[(&str, &str)]| {
        let config = Config::from_ini(&render(&template, values)).unwrap();
        config.entry.map(|entry| entry.remote_penalty_milli)
    };
    assert_eq!(penalty(&common), Some(1_000));
    let mut with_bounds = common.to_vec();
    with_bounds.push(("bounds.remote_penalty", "3.0"));
    assert_eq!(penalty(&with_bounds), Some(3_000));
}
