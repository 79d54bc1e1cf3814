//! The daemon's command-line arguments.

use clap::{Arg, ArgAction, Command};

/// Returns the command with its arguments.
pub fn command() -> Command {
    Command::new("dockpassd")
        .about("Runs the entry, agent and keeper roles of a dockpass node")
        .version(clap::crate_version!())
        .arg(Arg::new("config").long("config").value_name("FILE").help("The node's INI file"))
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Validate the file, print the settings in force, and exit"),
        )
        .arg(
            Arg::new("init-keeper").long("init-keeper").action(ArgAction::SetTrue).help(
                "Write this keeper's journal for a new cluster, with the initial tree, and exit",
            ),
        )
        .arg(
            Arg::new("print-reference")
                .long("print-reference")
                .action(ArgAction::SetTrue)
                .help("Print the reference page of every setting, and exit"),
        )
}
