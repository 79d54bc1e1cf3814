//! `dockpass-soak`: runs many seeds and prints the violations and the sum of the counters.

// `Instant::now` measures the real duration of all runs, which is printed.
#![allow(clippy::disallowed_methods)]

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use soak::{CapacitySummary, Options, Summary, Violation, run, run_capacity, run_keepers};
use soak::{Cut, DataDemand, KeeperSummary, Load, Surge, Workload, run_load};
use subset::SubsetSizes;

/// Number of runs between two progress messages.
const PROGRESS_INTERVAL: u64 = 5_000;
/// Number of targets per rack in loads with racks.
const TARGETS_PER_RACK: usize = 9;

fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
    };
    let factors = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_delimiter(',').value_parser(value_parser!(f64)).help(help)
    };
    let arguments = Command::new("dockpass-soak")
        .about("Randomised runs of entries and agents with fault injection, in virtual time")
        .arg(number("seeds", "1000", "Number of runs"))
        .arg(number("first", "0", "Seed of the first run"))
        .arg(
            Arg::new("keepers")
                .long("keepers")
                .action(ArgAction::SetTrue)
                .help("Run keepers, operators and nodes instead of entries and agents"),
        )
        .arg(
            Arg::new("room")
                .long("room")
                .action(ArgAction::SetTrue)
                .help("Run entries and agents with scheduling by reported capacity"),
        )
        .arg(
            Arg::new("halls")
                .long("halls")
                .action(ArgAction::SetTrue)
                .help("Let operators empty and refill halls; needs --keepers or --room"),
        )
        .arg(
            Arg::new("moves")
                .long("moves")
                .action(ArgAction::SetTrue)
                .help("Let operators replace keepers by new ones on other hosts; needs --keepers"),
        )
        .arg(Arg::new("restless").long("restless").action(ArgAction::SetTrue).help(
            "Let targets keep their ids, change their capacity and crash under tasks; needs --room",
        ))
        .arg(Arg::new("uneven").long("uneven").action(ArgAction::SetTrue).help(
            "Let targets differ in speed, entries in their share of the jobs, jobs name a rack and refused clients return; needs --room",
        ))
        .arg(Arg::new("leaves").long("leaves").action(ArgAction::SetTrue).help(
            "Let targets deregister while tasks run on them, and end some time later; needs --room",
        ))
        .arg(
            Arg::new("load")
                .long("load")
                .action(ArgAction::SetTrue)
                .help("Simulate a load without random faults and print its results"),
        )
        .arg(
            Arg::new("small-tasks")
                .long("small-tasks")
                .action(ArgAction::SetTrue)
                .help("Use tasks that take a tenth of a target in a load, not a fifth"),
        )
        .arg(Arg::new("hard").long("hard").value_name("P|Q").value_parser(["P", "Q"]).help(
            "Use the entries, targets and jobs of a deployment in docs/design/hard-load.md in a load",
        ))
        .arg(
            factors("speeds", "Run time of tasks at targets relative to the usual one, in turn, such as 0.55,1.2"),
        )
        .arg(factors("entry-shares", "Shares of the jobs that entries receive, in turn, such as 4,1"))
        .arg(number(
            "rack-share",
            "0",
            "Percentage of the jobs of the first queue that name one rack in the middle third of a load",
        ))
        .arg(number(
            "remote-penalty",
            "1",
            "Factor on the run time of tasks outside the rack that their job names in a load",
        ))
        .arg(
            Arg::new("surge-queue")
                .long("surge-queue")
                .value_parser(value_parser!(u64).range(0..3))
                .help("The only queue, by priority, whose jobs increase in the surge of a load"),
        )
        .arg(number(
            "returns",
            "0",
            "Seconds after its first submission for which a client returns after Retry-After in a load",
        ))
        .arg(number("entries", "51", "Number of entries in a load"))
        .arg(number("agents", "240", "Number of agents in a load"))
        .arg(number("serves", "6", "Entries that an agent serves in a load; 0 for all"))
        .arg(number("least", "28", "Minimum of the mean number of agents per entry in a load"))
        .arg(number("usage", "60", "Percentage of the total capacity that a load takes"))
        .arg(number(
            "surge",
            "100",
            "Rate of jobs in the middle third of a load, in percent of the usual one",
        ))
        .arg(number(
            "cut",
            "0",
            "Percentage of the agents that are disconnected in the middle third of a load",
        ))
        .arg(number(
            "unanswered",
            "0",
            "Commands out of 1,000 that targets leave unanswered in a load",
        ))
        .arg(number("seconds", "6", "Seconds in which the jobs of a load are submitted"))
        .arg(
            Arg::new("without")
                .long("without")
                .value_name("PART")
                .help("Disable a part of the scheduling policy of entries in a load"),
        )
        .arg(
            Arg::new("trace")
                .long("trace")
                .value_name("TEXT")
                .help("Print all events that contain this text, such as the id of a submission"),
        )
        .get_matches();
    let get = |name: &str| arguments.get_one::<u64>(name).copied().unwrap_or_default();
    let (first, seeds) = (get("first"), get("seeds"));
    let trace = arguments.get_one::<String>("trace").cloned();
    let started = Instant::now();
    if arguments.get_flag("load") {
        let small_tasks = arguments.get_flag("small-tasks");
        let workload = if small_tasks { Workload::SMALL_TASKS } else { Workload::LARGE_TASKS };
        let mut load = load(&get, workload);
        set_unevenness(&mut load, &arguments);
        if let Some(part) = arguments.get_one::<String>("without")
            && !load.timing.policy.disable(part)
        {
            eprintln!("unknown part of the scheduling policy: {part}");
            return ExitCode::FAILURE;
        }
        let result = run_load(&load);
        println!("{:.1} s: {result:?}", started.elapsed().as_secs_f64());
        return ExitCode::SUCCESS;
    }
    let options = Options {
        halls: arguments.get_flag("halls"),
        moves: arguments.get_flag("moves"),
        unstable_targets: arguments.get_flag("restless"),
        uneven: arguments.get_flag("uneven"),
        leaves: arguments.get_flag("leaves"),
        trace,
        ..Options::new(0)
    };
    let (text, failed) = if arguments.get_flag("keepers") {
        let runner = |options| run_keepers(&options);
        let (total, failed) = run_all(first, seeds, &options, runner, KeeperSummary::add);
        (format!("{total:?}"), failed)
    } else if arguments.get_flag("room") {
        let runner = |options| run_capacity(&options);
        let (total, failed) = run_all(first, seeds, &options, runner, CapacitySummary::add);
        (format!("{total:?}"), failed)
    } else {
        let (total, failed) = run_all(first, seeds, &options, run, Summary::add);
        (format!("{total:?}"), failed)
    };
    println!("{seeds} seeds in {:.1} s: {text}; {failed} failed", started.elapsed().as_secs_f64());
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Creates the load that the arguments describe.
fn load(get: &impl Fn(&str) -> u64, workload: Workload) -> Load {
    let duration = Duration::from_secs(get("seconds"));
    let (start, middle) = (duration / 3, duration / 3);
    let share = |name: &str| get(name) as f64 / 100.0;
    let serves = get("serves") as usize;
    Load {
        seed: get("first"),
        entries: get("entries") as usize,
        agents: get("agents") as usize,
        sizes: (serves > 0).then(|| SubsetSizes {
            entries_of_agent: serves,
            agents_of_entry: get("least") as usize,
        }),
        workload,
        utilization: share("usage"),
        duration,
        surge: Some(Surge { start, duration: middle, factor: share("surge") }),
        cut: Some(Cut { start, duration: middle, share: share("cut") }),
        unanswered: get("unanswered") as f64 / 1e3,
        ..Load::default()
    }
}

/// Applies the options for unequal targets and entries.
fn set_unevenness(load: &mut Load, arguments: &ArgMatches) {
    if let Some(name) = arguments.get_one::<String>("hard") {
        let hard = if name == "P" { Load::deployment_p() } else { Load::deployment_q() };
        load.entries = hard.entries;
        load.agents = hard.agents;
        load.sizes = hard.sizes;
        load.workload = hard.workload;
        load.speed_factors = hard.speed_factors;
        load.entry_shares = hard.entry_shares;
    }
    let factors = |name: &str| arguments.get_many::<f64>(name).map(|all| all.copied().collect());
    if let Some(speed_factors) = factors("speeds") {
        load.speed_factors = speed_factors;
    }
    if let Some(entry_shares) = factors("entry-shares") {
        load.entry_shares = entry_shares;
    }
    let get = |name: &str| arguments.get_one::<u64>(name).copied();
    load.surge_queue = get("surge-queue").map(|queue| queue as usize);
    load.return_period = get("returns").filter(|period| *period > 0).map(Duration::from_secs);
    if let Some(share) = get("rack-share").filter(|share| *share > 0) {
        load.data = Some(DataDemand {
            targets_per_rack: TARGETS_PER_RACK,
            share: share.min(100) as f64 / 100.0,
            start: load.duration / 3,
            duration: load.duration / 3,
            remote_penalty: get("remote-penalty").unwrap_or(1) as f64,
        });
    }
}

/// Runs all seeds on one thread per processor; returns the summed counters and the number of failed
/// seeds.
fn run_all<S: Default + Send + 'static>(
    first: u64,
    seeds: u64,
    options: &Options,
    runner: fn(Options) -> Result<S, Vec<Violation>>,
    add: fn(&mut S, &S),
) -> (S, u64) {
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get() as u64);
    let parts: Vec<_> = (0..threads)
        .map(|part| {
            let options = options.clone();
            std::thread::spawn(move || {
                let numbers = (part..seeds).step_by(threads as usize);
                run_seeds(first, numbers, &options, runner, add)
            })
        })
        .collect();
    let mut total = S::default();
    let mut failed = 0;
    for part in parts {
        let (summary, failures) = part.join().expect("worker threads do not panic");
        add(&mut total, &summary);
        failed += failures;
    }
    (total, failed)
}

/// Runs the seeds of one thread; prints violations as they are found.
fn run_seeds<S: Default>(
    first: u64,
    numbers: impl Iterator<Item = u64>,
    options: &Options,
    runner: fn(Options) -> Result<S, Vec<Violation>>,
    add: fn(&mut S, &S),
) -> (S, u64) {
    let mut total = S::default();
    let mut failed = 0;
    for number in numbers {
        let seed = first + number;
        match runner(Options { seed, ..options.clone() }) {
            Ok(summary) => add(&mut total, &summary),
            Err(violations) => {
                failed += 1;
                println!("seed {seed}: {} violations", violations.len());
                violations.iter().take(3).for_each(|violation| println!("  {violation}"));
            }
        }
        if number % PROGRESS_INTERVAL == 0 && number > 0 {
            eprintln!("reached seed {seed}");
        }
    }
    (total, failed)
}
