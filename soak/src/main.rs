//! `dockpass-soak`: any number of randomised runs.

// The span of the whole run, which is shown.
#![allow(clippy::disallowed_methods)]

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, Command, value_parser};
use soak::{CapacitySummary, Options, Summary, Violation, run, run_capacity, run_keepers};
use soak::{CapacityTiming, Cut, KeeperSummary, Load, Surge, Workload, run_load};
use subset::Sizes;

/// How often progress is shown, in runs.
const SHOW_EVERY: u64 = 5_000;

fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
    };
    let arguments = Command::new("dockpass-soak")
        .about("Randomised runs of entries and agents under faults, in virtual time")
        .arg(number("seeds", "1000", "How many runs"))
        .arg(number("first", "0", "The first run's seed"))
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
                .help("Run entries and agents whose targets have room"),
        )
        .arg(
            Arg::new("halls")
                .long("halls")
                .action(ArgAction::SetTrue)
                .help("Let operators empty and refill halls in runs of keepers or of room"),
        )
        .arg(
            Arg::new("moves")
                .long("moves")
                .action(ArgAction::SetTrue)
                .help("Let operators move keepers to other hosts for good in runs of keepers"),
        )
        .arg(Arg::new("restless").long("restless").action(ArgAction::SetTrue).help(
            "Let targets keep their ids, change their room and crash under tasks in runs of room",
        ))
        .arg(
            Arg::new("load")
                .long("load")
                .action(ArgAction::SetTrue)
                .help("Play a load instead of faults, and tell what callers get"),
        )
        .arg(
            Arg::new("small-tasks")
                .long("small-tasks")
                .action(ArgAction::SetTrue)
                .help("Let a task of a load take a tenth of a target, not a fifth"),
        )
        .arg(number("entries", "51", "Entries of a load"))
        .arg(number("agents", "240", "Agents of a load"))
        .arg(number("serves", "6", "Entries that an agent serves under a load; 0 for all"))
        .arg(number("least", "28", "Agents that an entry has at least under a load, on the mean"))
        .arg(number("usage", "60", "Percent of all room that a load takes"))
        .arg(number("surge", "100", "Percent of the usual jobs for the middle third of a load"))
        .arg(number("cut", "0", "Percent of the agents cut off for the middle third of a load"))
        .arg(number("unanswered", "0", "Of 1,000 orders, those that targets leave unanswered"))
        .arg(number("seconds", "6", "How long the jobs of a load come"))
        .arg(
            Arg::new("without")
                .long("without")
                .value_name("PART")
                .help("Switch off a part of the entries' policy under a load"),
        )
        .arg(
            Arg::new("trace")
                .long("trace")
                .value_name("TEXT")
                .help("Print everything that has this text in it, such as a submission's id"),
        )
        .get_matches();
    let get = |name: &str| arguments.get_one::<u64>(name).copied().unwrap_or_default();
    let (first, seeds) = (get("first"), get("seeds"));
    let trace = arguments.get_one::<String>("trace").cloned();
    let started = Instant::now();
    if arguments.get_flag("load") {
        let small_tasks = arguments.get_flag("small-tasks");
        let work = if small_tasks { Workload::SMALL_TASKS } else { Workload::LARGE_TASKS };
        let mut load = load(&get, work);
        if let Some(part) = arguments.get_one::<String>("without")
            && !load.timing.policy.disable(part)
        {
            eprintln!("no part of the policy is called {part}");
            return ExitCode::FAILURE;
        }
        let result = run_load(&load);
        println!("{:.1} s: {result:?}", started.elapsed().as_secs_f64());
        return ExitCode::SUCCESS;
    }
    let common = Options {
        halls: arguments.get_flag("halls"),
        moves: arguments.get_flag("moves"),
        unstable_targets: arguments.get_flag("restless"),
        trace,
        ..Options::new(0)
    };
    let (text, failed) = if arguments.get_flag("keepers") {
        let runner = |options| run_keepers(&options);
        let (total, failed) = run_all(first, seeds, &common, runner, KeeperSummary::add);
        (format!("{total:?}"), failed)
    } else if arguments.get_flag("room") {
        let runner = |options| run_capacity(&options);
        let (total, failed) = run_all(first, seeds, &common, runner, CapacitySummary::add);
        (format!("{total:?}"), failed)
    } else {
        let (total, failed) = run_all(first, seeds, &common, run, Summary::add);
        (format!("{total:?}"), failed)
    };
    println!("{seeds} seeds in {:.1} s: {text}; {failed} failed", started.elapsed().as_secs_f64());
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The load that the arguments ask for.
fn load(get: &impl Fn(&str) -> u64, work: Workload) -> Load {
    let duration = Duration::from_secs(get("seconds"));
    let (from, middle) = (duration / 3, duration / 3);
    let share = |name: &str| get(name) as f64 / 100.0;
    let serves = get("serves") as usize;
    Load {
        seed: get("first"),
        entries: get("entries") as usize,
        agents: get("agents") as usize,
        sizes: (serves > 0)
            .then(|| Sizes { entries_of_agent: serves, agents_of_entry: get("least") as usize }),
        work,
        utilization: share("usage"),
        duration,
        surge: Some(Surge { from, duration: middle, factor: share("surge") }),
        cut: Some(Cut { from, duration: middle, share: share("cut") }),
        unanswered: get("unanswered") as f64 / 1e3,
        links: None,
        timing: CapacityTiming::default(),
    }
}

/// Runs every seed, spread over the processors; returns the sum and how many failed.
fn run_all<S: Default + Send + 'static>(
    first: u64,
    seeds: u64,
    common: &Options,
    runner: fn(Options) -> Result<S, Vec<Violation>>,
    add: fn(&mut S, &S),
) -> (S, u64) {
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get() as u64);
    let parts: Vec<_> = (0..threads)
        .map(|part| {
            let common = common.clone();
            std::thread::spawn(move || {
                let numbers = (part..seeds).step_by(threads as usize);
                run_part(first, numbers, &common, runner, add)
            })
        })
        .collect();
    let mut total = S::default();
    let mut failed = 0;
    for part in parts {
        let (summary, failures) = part.join().expect("a part does not panic");
        add(&mut total, &summary);
        failed += failures;
    }
    (total, failed)
}

/// Runs the seeds of a part; prints violations as they are found.
fn run_part<S: Default>(
    first: u64,
    numbers: impl Iterator<Item = u64>,
    common: &Options,
    runner: fn(Options) -> Result<S, Vec<Violation>>,
    add: fn(&mut S, &S),
) -> (S, u64) {
    let mut total = S::default();
    let mut failed = 0;
    for number in numbers {
        let seed = first + number;
        match runner(Options { seed, ..common.clone() }) {
            Ok(summary) => add(&mut total, &summary),
            Err(violations) => {
                failed += 1;
                println!("seed {seed}: {} violations", violations.len());
                violations.iter().take(3).for_each(|violation| println!("  {violation}"));
            }
        }
        if number % SHOW_EVERY == 0 && number > 0 {
            eprintln!("at seed {seed}");
        }
    }
    (total, failed)
}
