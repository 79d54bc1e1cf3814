//! The tree compiled for use: what a request of a kind may do, in typed fields.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use model::Time;

use crate::schema::{Key, Value};
use crate::{SectionPath, Tree};

/// Whether a service takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceState {
    /// It takes work.
    Started,
    /// It takes no new work.
    Stopped,
}

/// The settings in force for one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// The service.
    pub service: String,
    /// The kind below it.
    pub kind: String,
    /// Whether new work is taken.
    pub state: ServiceState,
    /// The team that the work counts for.
    pub team: String,
    /// Time from arrival to answer where the request names none.
    pub deadline: Duration,
    /// How long a task is taken to last until measured.
    pub expected_duration: Duration,
    /// Most tasks in one job.
    pub tasks_max: usize,
    /// Longest text of one task, in bytes.
    pub task_bytes_max: usize,
    /// Budget for repeating without proof, as a share of requests, 0 to 1.
    pub retry_share: f64,
}

/// The settings in force for one team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamSettings {
    /// Its part of the slots when teams compete.
    pub weight: u32,
}

/// The settings in force for the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// Agents that hold claims, as `NAME@RACK`.
    pub claim_view: Vec<String>,
    /// The view before.
    pub previous_claim_view: Vec<String>,
    /// Until when the view before must agree as well.
    pub previous_claim_view_until: Time,
    /// How long claims, start tables and answers are kept after an id was made.
    pub retention: Duration,
    /// Bound on the difference between two hosts' clocks.
    pub clock_skew: Duration,
    /// How long tokens are lent to a silent entry.
    pub token_lease: Duration,
    /// How old an entry's confirmation of its settings may be when it takes new work.
    pub settings_age_max: Duration,
    /// Memory for kept answers at an entry, in bytes.
    pub answer_bytes_max: usize,
}

/// A version of the tree, compiled.
#[derive(Clone, Debug)]
pub struct Catalog {
    version: u64,
    fleet: FleetSettings,
    kinds: HashMap<String, HashMap<String, Arc<KindSettings>>>,
    teams: HashMap<String, TeamSettings>,
}

impl Catalog {
    /// Compiles a version of the tree.
    pub fn new(version: u64, tree: &Tree) -> Self {
        let mut kinds: HashMap<String, HashMap<_, _>> = HashMap::new();
        let mut teams = HashMap::new();
        for path in tree.paths() {
            if let Some(team) = path.team() {
                teams.insert(team.to_owned(), compile_team(tree, path));
            } else if let Some((service, kind)) = path.service_and_kind() {
                let compiled = Arc::new(compile_kind(tree, path, service, kind));
                kinds.entry(service.to_owned()).or_default().insert(kind.to_owned(), compiled);
            } else if path.scope() == crate::Scope::Service && *path != SectionPath::root() {
                kinds.entry(path.as_str().to_owned()).or_default();
            }
        }
        Self { version, fleet: compile_fleet(tree), kinds, teams }
    }

    /// The version of the tree that this was compiled from.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The settings of the whole fleet.
    pub fn fleet(&self) -> &FleetSettings {
        &self.fleet
    }

    /// Whether the tree has a service of this name.
    pub fn has_service(&self, service: &str) -> bool {
        self.kinds.contains_key(service)
    }

    /// The settings of a kind of a service.
    pub fn kind(&self, service: &str, kind: &str) -> Option<&Arc<KindSettings>> {
        self.kinds.get(service)?.get(kind)
    }

    /// The settings of a team; defaults for one that has no section.
    pub fn team(&self, team: &str) -> TeamSettings {
        self.teams.get(team).copied().unwrap_or(TeamSettings { weight: 1 })
    }
}

fn value(tree: &Tree, path: &SectionPath, name: &str) -> Value {
    let key = Key::find(path.scope().keys(), name).expect("a key of the schema");
    tree.effective(path, key)
}

fn millis(tree: &Tree, path: &SectionPath, name: &str) -> Duration {
    Duration::from_millis(value(tree, path, name).integer())
}

fn size(tree: &Tree, path: &SectionPath, name: &str) -> usize {
    usize::try_from(value(tree, path, name).integer()).unwrap_or(usize::MAX)
}

fn compile_kind(tree: &Tree, path: &SectionPath, service: &str, kind: &str) -> KindSettings {
    let state = match value(tree, path, "state").text() {
        "stopped" => ServiceState::Stopped,
        _ => ServiceState::Started,
    };
    KindSettings {
        service: service.to_owned(),
        kind: kind.to_owned(),
        state,
        team: value(tree, path, "team").text().to_owned(),
        deadline: millis(tree, path, "deadline_ms"),
        expected_duration: millis(tree, path, "expected_ms"),
        tasks_max: size(tree, path, "tasks_max"),
        task_bytes_max: size(tree, path, "task_bytes_max"),
        retry_share: value(tree, path, "retry_percent").integer() as f64 / 100.0,
    }
}

fn compile_team(tree: &Tree, path: &SectionPath) -> TeamSettings {
    let weight = value(tree, path, "weight").integer();
    TeamSettings { weight: u32::try_from(weight).unwrap_or(u32::MAX) }
}

fn compile_fleet(tree: &Tree) -> FleetSettings {
    let path = SectionPath::fleet();
    FleetSettings {
        claim_view: value(tree, &path, "claim_view").list().to_vec(),
        previous_claim_view: value(tree, &path, "previous_claim_view").list().to_vec(),
        previous_claim_view_until: Time::from_millis(
            value(tree, &path, "previous_claim_view_until_ms").integer(),
        ),
        retention: millis(tree, &path, "retention_ms"),
        clock_skew: millis(tree, &path, "clock_skew_ms"),
        token_lease: millis(tree, &path, "token_lease_ms"),
        settings_age_max: millis(tree, &path, "settings_age_max_ms"),
        answer_bytes_max: size(tree, &path, "answer_bytes_max"),
    }
}
