//! `dockpass service`: starts and stops services and their job kinds.

use std::process::ExitCode;

use clap::ArgMatches;
use settings::{Edit, SectionPath};

use super::CommandError;
use super::settings::submit_change;

/// Sets the `state` of a service or job kind in the settings tree.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let (state, matches) = match matches.subcommand() {
        Some(("start", matches)) => ("started", matches),
        Some(("stop", matches)) => ("stopped", matches),
        _ => return Err(CommandError::BadInput("no action given".to_owned())),
    };
    let name = matches.get_one::<String>("service").map_or("", String::as_str);
    let section: SectionPath =
        name.parse().map_err(|error| CommandError::BadInput(format!("{error}")))?;
    submit_change(matches, |tree| {
        if !tree.paths().any(|path| *path == section) {
            return Err(CommandError::BadInput(format!(
                "the settings tree has no service or job kind '{section}'"
            )));
        }
        let (section, key) = (section.clone(), "state".to_owned());
        Ok(vec![Edit::Set { section, key, value: state.to_owned() }])
    })
}
