//! `dockpass settings`: reads and changes the settings tree.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::ArgMatches;
use client::{ChangeOutcome, OperatorClient, TreeVersion};
use settings::{Edit, SectionPath, Tree};
use wire::ChangeResult;

use super::{CommandError, EXIT_REFUSED, EXIT_UNKNOWN, parse_addresses};

/// Runs the parsed action.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    match matches.subcommand() {
        Some(("get", matches)) => get(matches),
        Some(("set", matches)) => set(matches),
        Some(("remove", matches)) => {
            let section = parse_section(matches)?;
            submit_change(matches, |_| Ok(vec![Edit::Remove { section: section.clone() }]))
        }
        Some(("export", matches)) => {
            print_line!(
                "{}",
                read_tree(&parse_addresses(matches, "keeper")?)?.tree.to_ini().trim_end()
            );
            Ok(ExitCode::SUCCESS)
        }
        Some(("diff", matches)) => diff(matches),
        Some(("import", matches)) => {
            let imported = load_tree_file(matches)?;
            submit_change(matches, |tree| Ok(tree.edits_to(&imported)))
        }
        Some(("history", matches)) => history(matches),
        _ => Err(CommandError::BadInput("no action given".to_owned())),
    }
}

fn read_tree(keepers: &[SocketAddr]) -> Result<TreeVersion, CommandError> {
    let tree =
        net::block_on(
            |tasks| async move { OperatorClient::new(keepers, &tasks).read_settings().await },
        );
    Ok(tree?)
}

fn parse_section(matches: &ArgMatches) -> Result<SectionPath, CommandError> {
    let text = matches.get_one::<String>("section").map_or("", String::as_str);
    text.parse().map_err(|error| CommandError::BadInput(format!("{error}")))
}

fn load_tree_file(matches: &ArgMatches) -> Result<Tree, CommandError> {
    let path = matches.get_one::<String>("file").map_or("", String::as_str);
    let invalid = |error: String| CommandError::BadInput(format!("{path}: {error}"));
    let text = std::fs::read_to_string(path).map_err(|error| invalid(error.to_string()))?;
    Tree::from_ini(&text).map_err(|error| invalid(error.to_string()))
}

fn get(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let (path, wanted_key) = (parse_section(matches)?, matches.get_one::<String>("key"));
    let TreeVersion { version, tree } = read_tree(&parse_addresses(matches, "keeper")?)?;
    let keys = path.scope().keys();
    let mut printed = 0;
    for key in keys.iter().filter(|key| wanted_key.is_none_or(|name| name == key.name)) {
        let (source, value) = tree.effective_text(&path, key);
        printed += 1;
        if matches.get_flag("json") {
            let source = source.map(|path| path.to_string());
            let line = serde_json::json!({
                "version": version, "key": key.name, "value": value, "from": source,
            });
            print_line!("{line}");
        } else {
            let source = source.map_or("default".to_owned(), |path| format!("[{path}]"));
            print_line!("{} = {value}  ({source}, version {version})", key.name);
        }
    }
    if printed == 0 {
        let name = wanted_key.map_or("", String::as_str);
        return Err(CommandError::BadInput(format!("section [{path}] has no key '{name}'")));
    }
    Ok(ExitCode::SUCCESS)
}

fn set(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let section = parse_section(matches)?;
    let mut edits = Vec::new();
    for pair in matches.get_many::<String>("values").into_iter().flatten() {
        let Some((key, value)) = pair.split_once('=') else {
            return Err(CommandError::BadInput(format!(
                "invalid assignment '{pair}': expected KEY=VALUE"
            )));
        };
        let (section, key) = (section.clone(), key.trim().to_owned());
        edits.push(match value.trim() {
            "" => Edit::Unset { section, key },
            value => Edit::Set { section, key, value: value.to_owned() },
        });
    }
    submit_change(matches, |_| Ok(edits.clone()))
}

fn diff(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let imported = load_tree_file(matches)?;
    let TreeVersion { tree, .. } = read_tree(&parse_addresses(matches, "keeper")?)?;
    for edit in tree.edits_to(&imported) {
        print_line!("{}", format_edit(&edit));
    }
    Ok(ExitCode::SUCCESS)
}

fn format_edit(edit: &Edit) -> String {
    match edit {
        Edit::Set { section, key, value } => format!("+ [{section}] {key} = {value}"),
        Edit::Add { section } => format!("+ [{section}]"),
        Edit::Unset { section, key } => format!("- [{section}] {key}"),
        Edit::Remove { section } => format!("- [{section}]"),
    }
}

/// Submits the edits that `edits` derives from the current tree, and prints whether the change was
/// accepted, refused, or has an unknown outcome.
///
/// The change is based on the version of `--base`, or else on the version that was read.
pub fn submit_change(
    matches: &ArgMatches,
    edits: impl Fn(&Tree) -> Result<Vec<Edit>, CommandError>,
) -> Result<ExitCode, CommandError> {
    let keepers = parse_addresses(matches, "keeper")?;
    let TreeVersion { version, tree } = read_tree(&keepers)?;
    let base = matches.try_get_one::<u64>("base").ok().flatten().copied().unwrap_or(version);
    let edits = edits(&tree)?;
    if edits.is_empty() {
        print_line!("nothing to change at version {version}");
        return Ok(ExitCode::SUCCESS);
    }
    let outcome = net::block_on(|tasks| async move {
        OperatorClient::new(&keepers, &tasks).submit_edits(base, edits).await
    });
    print_outcome(&outcome, matches.get_flag("json"));
    Ok(match outcome {
        ChangeOutcome::Known(ChangeResult::Accepted { .. }) => ExitCode::SUCCESS,
        ChangeOutcome::Known(_) => ExitCode::from(EXIT_REFUSED),
        ChangeOutcome::Unknown => ExitCode::from(EXIT_UNKNOWN),
    })
}

fn print_outcome(outcome: &ChangeOutcome, json: bool) {
    if json {
        let line = match outcome {
            ChangeOutcome::Known(result) => serde_json::json!(result),
            ChangeOutcome::Unknown => serde_json::json!("unknown"),
        };
        return print_line!("{line}");
    }
    match outcome {
        ChangeOutcome::Known(ChangeResult::Accepted { version }) => {
            print_line!("accepted at version {version}");
        }
        ChangeOutcome::Known(ChangeResult::Conflict { version, sections }) => {
            let sections = sections.join(", ");
            print_line!(
                "refused: {sections} changed since the base version; current version: {version}"
            );
        }
        ChangeOutcome::Known(ChangeResult::Invalid { reason }) => print_line!("refused: {reason}"),
        ChangeOutcome::Unknown => print_line!(
            "outcome unknown: no keeper confirmed the change; check with 'settings export'"
        ),
    }
}

/// Seconds since a time in microseconds after the Unix epoch.
fn seconds_ago(timestamp: &serde_json::Value) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_secs().saturating_sub(timestamp.as_u64().unwrap_or_default() / 1_000_000)
}

fn history(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let keepers = parse_addresses(matches, "keeper")?;
    let versions: Vec<serde_json::Value> = net::block_on(|tasks| async move {
        OperatorClient::new(&keepers, &tasks).get_json("/v1/history").await
    })?;
    for version in versions {
        if matches.get_flag("json") {
            print_line!("{version}");
            continue;
        }
        print_line!("version {}, {} s ago", version["version"], seconds_ago(&version["taken"]));
        let edits: Vec<Edit> = serde_json::from_value(version["edits"].clone()).unwrap_or_default();
        edits.iter().for_each(|edit| print_line!("  {}", format_edit(edit)));
    }
    Ok(ExitCode::SUCCESS)
}
