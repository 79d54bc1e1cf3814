//! `dockpass settings`: reads and changes the tree.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::ArgMatches;
use client::{ChangeOutcome, OperatorClient, TreeVersion};
use settings::{Edit, SectionPath, Tree};
use wire::ChangeResult;

use super::{CommandError, REFUSED, UNKNOWN, addresses};

/// Runs the action that the arguments name.
pub fn run(arguments: &ArgMatches) -> Result<ExitCode, CommandError> {
    match arguments.subcommand() {
        Some(("get", own)) => get(own),
        Some(("set", own)) => set(own),
        Some(("remove", own)) => {
            let section = section(own)?;
            apply(own, |_| Ok(vec![Edit::Remove { section: section.clone() }]))
        }
        Some(("export", own)) => {
            say!("{}", read(&addresses(own, "keeper")?)?.tree.to_ini().trim_end());
            Ok(ExitCode::SUCCESS)
        }
        Some(("diff", own)) => diff(own),
        Some(("import", own)) => {
            let wanted = file(own)?;
            apply(own, |tree| Ok(tree.edits_to(&wanted)))
        }
        Some(("history", own)) => history(own),
        _ => Err(CommandError::BadInput("no action".to_owned())),
    }
}

fn read(keepers: &[SocketAddr]) -> Result<TreeVersion, CommandError> {
    let read =
        net::block_on(
            |tasks| async move { OperatorClient::new(keepers, &tasks).read_settings().await },
        );
    Ok(read?)
}

fn section(arguments: &ArgMatches) -> Result<SectionPath, CommandError> {
    let text = arguments.get_one::<String>("section").map_or("", String::as_str);
    text.parse().map_err(|error| CommandError::BadInput(format!("{error}")))
}

fn file(arguments: &ArgMatches) -> Result<Tree, CommandError> {
    let path = arguments.get_one::<String>("file").map_or("", String::as_str);
    let bad = |error: String| CommandError::BadInput(format!("{path}: {error}"));
    let text = std::fs::read_to_string(path).map_err(|error| bad(error.to_string()))?;
    Tree::from_ini(&text).map_err(|error| bad(error.to_string()))
}

fn get(arguments: &ArgMatches) -> Result<ExitCode, CommandError> {
    let (path, wanted) = (section(arguments)?, arguments.get_one::<String>("key"));
    let TreeVersion { version, tree } = read(&addresses(arguments, "keeper")?)?;
    let keys = path.scope().keys();
    let mut shown = 0;
    for key in keys.iter().filter(|key| wanted.is_none_or(|name| name == key.name)) {
        let (from, value) = tree.effective_text(&path, key);
        shown += 1;
        if arguments.get_flag("json") {
            let from = from.map(|path| path.to_string());
            let line = serde_json::json!({
                "version": version, "key": key.name, "value": value, "from": from,
            });
            say!("{line}");
        } else {
            let from = from.map_or("default".to_owned(), |path| format!("[{path}]"));
            say!("{} = {value}  ({from}, version {version})", key.name);
        }
    }
    if shown == 0 {
        let name = wanted.map_or("", String::as_str);
        return Err(CommandError::BadInput(format!("[{path}] {name}: unknown key")));
    }
    Ok(ExitCode::SUCCESS)
}

fn set(arguments: &ArgMatches) -> Result<ExitCode, CommandError> {
    let section = section(arguments)?;
    let mut edits = Vec::new();
    for pair in arguments.get_many::<String>("values").into_iter().flatten() {
        let Some((key, value)) = pair.split_once('=') else {
            return Err(CommandError::BadInput(format!("'{pair}' is not KEY=VALUE")));
        };
        let (section, key) = (section.clone(), key.trim().to_owned());
        edits.push(match value.trim() {
            "" => Edit::Unset { section, key },
            value => Edit::Set { section, key, value: value.to_owned() },
        });
    }
    apply(arguments, |_| Ok(edits.clone()))
}

fn diff(arguments: &ArgMatches) -> Result<ExitCode, CommandError> {
    let wanted = file(arguments)?;
    let TreeVersion { tree, .. } = read(&addresses(arguments, "keeper")?)?;
    for edit in tree.edits_to(&wanted) {
        say!("{}", edit_line(&edit));
    }
    Ok(ExitCode::SUCCESS)
}

fn edit_line(edit: &Edit) -> String {
    match edit {
        Edit::Set { section, key, value } => format!("+ [{section}] {key} = {value}"),
        Edit::Add { section } => format!("+ [{section}]"),
        Edit::Unset { section, key } => format!("- [{section}] {key}"),
        Edit::Remove { section } => format!("- [{section}]"),
    }
}

/// Sends a change and prints one of: accepted at a version, refused, unknown.
pub fn apply(
    arguments: &ArgMatches,
    edits: impl Fn(&Tree) -> Result<Vec<Edit>, CommandError>,
) -> Result<ExitCode, CommandError> {
    let keepers = addresses(arguments, "keeper")?;
    let TreeVersion { version, tree } = read(&keepers)?;
    let base = arguments.try_get_one::<u64>("base").ok().flatten().copied().unwrap_or(version);
    let edits = edits(&tree)?;
    if edits.is_empty() {
        say!("nothing to change at version {version}");
        return Ok(ExitCode::SUCCESS);
    }
    let outcome = net::block_on(|tasks| async move {
        OperatorClient::new(&keepers, &tasks).submit_edits(base, edits).await
    });
    print_outcome(&outcome, arguments.get_flag("json"));
    Ok(match outcome {
        ChangeOutcome::Known(ChangeResult::Accepted { .. }) => ExitCode::SUCCESS,
        ChangeOutcome::Known(_) => ExitCode::from(REFUSED),
        ChangeOutcome::Unknown => ExitCode::from(UNKNOWN),
    })
}

fn print_outcome(outcome: &ChangeOutcome, json: bool) {
    if json {
        let line = match outcome {
            ChangeOutcome::Known(result) => serde_json::json!(result),
            ChangeOutcome::Unknown => serde_json::json!("unknown"),
        };
        return say!("{line}");
    }
    match outcome {
        ChangeOutcome::Known(ChangeResult::Accepted { version }) => {
            say!("accepted at version {version}");
        }
        ChangeOutcome::Known(ChangeResult::Conflict { version, sections }) => {
            let sections = sections.join(", ");
            say!("refused: version {version} changed {sections} since");
        }
        ChangeOutcome::Known(ChangeResult::Invalid { reason }) => say!("refused: {reason}"),
        ChangeOutcome::Unknown => say!("unknown: no keeper could tell; read the tree again"),
    }
}

/// How long ago a keeper's time, in microseconds since the Unix epoch, is.
fn seconds_ago(taken: &serde_json::Value) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_secs().saturating_sub(taken.as_u64().unwrap_or_default() / 1_000_000)
}

fn history(arguments: &ArgMatches) -> Result<ExitCode, CommandError> {
    let keepers = addresses(arguments, "keeper")?;
    let versions: Vec<serde_json::Value> = net::block_on(|tasks| async move {
        OperatorClient::new(&keepers, &tasks).get_json("/v1/history").await
    })?;
    for version in versions {
        if arguments.get_flag("json") {
            say!("{version}");
            continue;
        }
        say!("version {}, {} s ago", version["version"], seconds_ago(&version["taken"]));
        let edits: Vec<Edit> = serde_json::from_value(version["edits"].clone()).unwrap_or_default();
        edits.iter().for_each(|edit| say!("  {}", edit_line(edit)));
    }
    Ok(ExitCode::SUCCESS)
}
