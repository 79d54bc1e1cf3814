//! The command line's arguments.

use clap::{Arg, ArgAction, Command, ValueHint, value_parser};
use clap_complete::Shell;

/// Declares every subcommand with its arguments.
pub fn command() -> Command {
    Command::new("dockpass")
        .about("Operates a dockpass dispatcher")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print JSON for scripts"),
        )
        .after_help(
            "Exit codes: 0 done, 1 failed, 2 bad arguments or input, 3 refused, 4 outcome unknown",
        )
        .subcommand(demo())
        .subcommand(submit())
        .subcommand(status())
        .subcommand(settings())
        .subcommand(service())
        .subcommand(halls())
        .subcommand(decisions())
        .subcommand(explain())
        .subcommand(
            Command::new("completions")
                .about("Print a shell's completions")
                .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell))),
        )
}

fn demo() -> Command {
    Command::new("demo")
        .about("Run a whole dispatcher in this process and submit a file of jobs")
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .value_name("FILE")
                .value_hint(ValueHint::FilePath)
                .help("Jobs to submit; an embedded file of bookings by default"),
        )
        .arg(
            Arg::new("tree")
                .long("tree")
                .value_name("FILE")
                .value_hint(ValueHint::FilePath)
                .help("Settings tree; an embedded one for bookings by default"),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Follow one request through the logs of entries and agents")
        .arg(Arg::new("id").value_name("ID").required(true).help("The request's id"))
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .value_hint(ValueHint::FilePath)
                .required(true)
                .num_args(1..)
                .help("Logs of any processes, in any order; other lines are left out"),
        )
}

fn submit() -> Command {
    Command::new("submit")
        .about("Submit jobs of a file to a running entry, for trying a service")
        .arg(entry_argument())
        .arg(
            Arg::new("file")
                .required(true)
                .value_name("FILE")
                .value_hint(ValueHint::FilePath)
                .help("JSON file of jobs, as examples/bookings.json"),
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Show the counters of entries and agents")
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("IP:PORT")
                .action(ArgAction::Append)
                .help("HTTP address of an entry; may be given several times"),
        )
        .arg(
            Arg::new("agent")
                .long("agent")
                .value_name("IP:PORT")
                .action(ArgAction::Append)
                .help("Address of an agent; may be given several times"),
        )
}

fn settings() -> Command {
    Command::new("settings")
        .about("Read and change the settings tree")
        .subcommand_required(true)
        .subcommand(
            Command::new("get")
                .about("Show a value in force, or a section's")
                .arg(keeper_argument())
                .arg(Arg::new("section").required(true))
                .arg(Arg::new("key")),
        )
        .subcommand(
            Command::new("set")
                .about("Write values of a section, as KEY=VALUE; KEY= takes one away")
                .arg(keeper_argument())
                .arg(base_argument())
                .arg(Arg::new("section").required(true))
                .arg(Arg::new("values").required(true).num_args(1..)),
        )
        .subcommand(
            Command::new("remove")
                .about("Take a section away with all below it")
                .arg(keeper_argument())
                .arg(base_argument())
                .arg(Arg::new("section").required(true)),
        )
        .subcommand(Command::new("export").about("Print the tree as INI").arg(keeper_argument()))
        .subcommand(
            Command::new("diff")
                .about("Show what an import of an INI file would change")
                .arg(keeper_argument())
                .arg(file_argument()),
        )
        .subcommand(
            Command::new("import")
                .about("Make the tree equal to an INI file, in one change")
                .arg(keeper_argument())
                .arg(base_argument())
                .arg(file_argument()),
        )
        .subcommand(Command::new("history").about("Show the last changes").arg(keeper_argument()))
}

fn halls() -> Command {
    let action = |name: &'static str, about: &'static str| {
        let hall = Arg::new("hall").value_name("HALL").help("The data hall's name");
        keeper_action(name, about).arg(hall.required(true))
    };
    Command::new("halls")
        .about("Empty data halls for work on them, and refill them")
        .subcommand_required(true)
        .subcommand(action("empty", "Start nothing more in a hall; what runs there ends by itself"))
        .subcommand(action("refill", "Let a hall's targets take work again"))
        .subcommand(keeper_action("show", "Show which are emptied"))
}

fn service() -> Command {
    let action = |name: &'static str, about: &'static str| {
        let service = Arg::new("service").help("A service, or a kind of it");
        keeper_action(name, about).arg(service.required(true))
    };
    Command::new("service")
        .about("Start and stop services")
        .subcommand_required(true)
        .subcommand(action("start", "Let a service take work"))
        .subcommand(action("stop", "Let a service take no new work; what runs goes on"))
}

/// An action that asks keepers.
fn keeper_action(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(keeper_argument())
}

fn decisions() -> Command {
    Command::new("decisions")
        .about("Show lines of a decision log")
        .arg(Arg::new("file").required(true).value_hint(ValueHint::FilePath))
        .arg(
            Arg::new("submission")
                .long("submission")
                .value_name("ID")
                .help("Only decisions on this submission"),
        )
        .arg(Arg::new("refusals").long("refusals").action(ArgAction::SetTrue).help("Only refusals"))
}

fn entry_argument() -> Arg {
    Arg::new("entry")
        .long("entry")
        .value_name("IP:PORT")
        .default_value("127.0.0.1:7300")
        .help("HTTP address of the entry")
}

fn keeper_argument() -> Arg {
    Arg::new("keeper")
        .long("keeper")
        .value_name("IP:PORT")
        .default_value("127.0.0.1:7100")
        .action(ArgAction::Append)
        .help("HTTP address of a keeper; may be given several times")
}

fn base_argument() -> Arg {
    Arg::new("base")
        .long("base")
        .value_name("VERSION")
        .value_parser(value_parser!(u64))
        .help("Refuse the change where others changed the same sections since this version")
}

fn file_argument() -> Arg {
    Arg::new("file").required(true).value_name("FILE").value_hint(ValueHint::FilePath)
}
