//! `dockpass service`: starts and stops services.

use std::process::ExitCode;

use clap::ArgMatches;
use settings::{Edit, SectionPath};

use super::CommandError;
use super::settings::apply;

/// Starts or stops a service by its setting.
pub fn run(arguments: &ArgMatches) -> Result<ExitCode, CommandError> {
    let (state, own) = match arguments.subcommand() {
        Some(("start", own)) => ("started", own),
        Some(("stop", own)) => ("stopped", own),
        _ => return Err(CommandError::BadInput("no action".to_owned())),
    };
    let name = own.get_one::<String>("service").map_or("", String::as_str);
    let section: SectionPath =
        name.parse().map_err(|error| CommandError::BadInput(format!("{error}")))?;
    apply(own, |tree| {
        if !tree.paths().any(|path| *path == section) {
            return Err(CommandError::BadInput(format!("no service '{section}'")));
        }
        let (section, key) = (section.clone(), "state".to_owned());
        Ok(vec![Edit::Set { section, key, value: state.to_owned() }])
    })
}
