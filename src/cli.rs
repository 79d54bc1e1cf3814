//! Definition of the command line.

use clap::{Arg, ArgAction, Command, ValueHint, value_parser};
use clap_complete::Shell;

/// Builds the command with all its subcommands and arguments.
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
            "Exit codes: 0 success, 1 failure, 2 invalid arguments or input, 3 refused, \
             4 outcome unknown",
        )
        .subcommand(demo())
        .subcommand(submit())
        .subcommand(status())
        .subcommand(load())
        .subcommand(settings())
        .subcommand(service())
        .subcommand(halls())
        .subcommand(decisions())
        .subcommand(explain())
        .subcommand(
            Command::new("completions")
                .about("Print the completion script of a shell")
                .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell))),
        )
}

fn demo() -> Command {
    Command::new("demo")
        .about("Run a cluster in this process and submit a file of jobs to it")
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .value_name("FILE")
                .value_hint(ValueHint::FilePath)
                .help("JSON file of jobs to submit; by default an embedded booking example"),
        )
        .arg(
            Arg::new("tree")
                .long("tree")
                .value_name("FILE")
                .value_hint(ValueHint::FilePath)
                .help("INI file of the settings tree; by default an embedded booking example"),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Show what happened to a request, from the logs of entries and agents")
        .arg(Arg::new("id").value_name("ID").required(true).help("Submission id of the request"))
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .value_hint(ValueHint::FilePath)
                .required(true)
                .num_args(1..)
                .help("Log files of entries and agents, in any order; other lines are skipped"),
        )
}

fn submit() -> Command {
    Command::new("submit")
        .about("Submit the jobs of a file to a running entry and print their outcomes")
        .arg(entry_argument())
        .arg(
            Arg::new("file")
                .required(true)
                .value_name("FILE")
                .value_hint(ValueHint::FilePath)
                .help("JSON file of jobs, in the format of examples/bookings.json"),
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
                .help("HTTP address of an entry; may be repeated"),
        )
        .arg(
            Arg::new("agent")
                .long("agent")
                .value_name("IP:PORT")
                .action(ArgAction::Append)
                .help("Address of an agent; may be repeated"),
        )
}

fn load() -> Command {
    let node = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("IP:PORT")
            .action(ArgAction::Append)
            .num_args(1..)
            .help(help)
    };
    Command::new("load")
        .about("Show who waits, who is refused and how fast the targets are, over the whole fleet")
        .arg(node("entry", "Metrics address of an entry; may be repeated"))
        .arg(node("agent", "Metrics address of an agent; may be repeated"))
        .after_help("Fails with exit code 1 if a node can't be read; the others are still shown.")
}

fn settings() -> Command {
    Command::new("settings")
        .about("Read and change the settings tree")
        .subcommand_required(true)
        .subcommand(
            Command::new("get")
                .about("Show the effective value of a key, or of all keys of a section")
                .arg(keeper_argument())
                .arg(Arg::new("section").required(true))
                .arg(Arg::new("key")),
        )
        .subcommand(
            Command::new("set")
                .about("Set values of a section, as KEY=VALUE; KEY= removes a value")
                .arg(keeper_argument())
                .arg(base_argument())
                .arg(Arg::new("section").required(true))
                .arg(Arg::new("values").required(true).num_args(1..)),
        )
        .subcommand(
            Command::new("remove")
                .about("Remove a section and all sections below it")
                .arg(keeper_argument())
                .arg(base_argument())
                .arg(Arg::new("section").required(true)),
        )
        .subcommand(
            Command::new("export").about("Print the settings tree as INI").arg(keeper_argument()),
        )
        .subcommand(
            Command::new("diff")
                .about("Show the changes that importing an INI file would make")
                .arg(keeper_argument())
                .arg(file_argument()),
        )
        .subcommand(
            Command::new("import")
                .about("Replace the settings tree by an INI file, in one change")
                .arg(keeper_argument())
                .arg(base_argument())
                .arg(file_argument()),
        )
        .subcommand(
            Command::new("history").about("Show the most recent changes").arg(keeper_argument()),
        )
}

fn halls() -> Command {
    let action = |name: &'static str, about: &'static str| {
        let hall = Arg::new("hall").value_name("HALL").help("Name of the data hall");
        keeper_action(name, about).arg(hall.required(true))
    };
    Command::new("halls")
        .about("Empty data halls for maintenance, and refill them")
        .subcommand_required(true)
        .subcommand(action("empty", "Stop placing tasks in a hall; running tasks finish"))
        .subcommand(action("refill", "Place tasks in a hall again"))
        .subcommand(keeper_action("show", "Show the emptied halls"))
}

fn service() -> Command {
    let action = |name: &'static str, about: &'static str| {
        let service = Arg::new("service").help("Service or job kind, as SERVICE or SERVICE/KIND");
        keeper_action(name, about).arg(service.required(true))
    };
    Command::new("service")
        .about("Start and stop services")
        .subcommand_required(true)
        .subcommand(action("start", "Accept new jobs for a service"))
        .subcommand(action("stop", "Refuse new jobs for a service; accepted jobs continue"))
}

/// Builds an action that sends requests to the keepers.
fn keeper_action(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(keeper_argument())
}

fn decisions() -> Command {
    Command::new("decisions")
        .about("Show the lines of a decision log")
        .arg(Arg::new("file").required(true).value_hint(ValueHint::FilePath))
        .arg(
            Arg::new("submission")
                .long("submission")
                .value_name("ID")
                .help("Show only decisions about this submission"),
        )
        .arg(
            Arg::new("refusals")
                .long("refusals")
                .action(ArgAction::SetTrue)
                .help("Show only refusals"),
        )
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
        .help("HTTP address of a keeper; may be repeated")
}

fn base_argument() -> Arg {
    Arg::new("base")
        .long("base")
        .value_name("VERSION")
        .value_parser(value_parser!(u64))
        .help("Refuse the change if a section it edits has changed since this version")
}

fn file_argument() -> Arg {
    Arg::new("file").required(true).value_name("FILE").value_hint(ValueHint::FilePath)
}
