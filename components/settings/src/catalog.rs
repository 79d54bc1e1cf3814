//! Compiles a settings tree into typed settings with inheritance and defaults resolved.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use model::Time;

use crate::schema::{Key, Value};
use crate::{SectionPath, Tree};

/// Whether a service accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceState {
    /// New work is accepted.
    Started,
    /// New work is refused; running tasks continue.
    Stopped,
}

/// The effective settings of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// The service's name.
    pub service: String,
    /// The kind's name.
    pub kind: String,
    /// Whether new work is accepted.
    pub state: ServiceState,
    /// The team whose share of the slots the work uses.
    pub team: String,
    /// Default time from a request's arrival to its answer, used if the request specifies none.
    pub deadline: Duration,
    /// Assumed duration of a task until enough tasks were measured.
    pub expected_duration: Duration,
    /// Maximum number of tasks in a job.
    pub tasks_max: usize,
    /// Maximum size of a task's text, in bytes.
    pub task_bytes_max: usize,
    /// Retry budget for repeatable requests that may have run, as a fraction of requests (0 to 1).
    pub retry_share: f64,
}

/// The effective settings of one team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamSettings {
    /// The team's relative share of the slots when teams compete.
    pub weight: u32,
}

/// The effective fleet-wide settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// Agents that hold claims, each as `NAME@RACK`.
    pub claim_view: Vec<String>,
    /// The claim view before the last change of `claim_view`.
    pub previous_claim_view: Vec<String>,
    /// Until this time, claims also need the agreement of the previous view.
    pub previous_claim_view_until: Time,
    /// How long claims, task records and answers are kept, from the creation of the submission id.
    pub retention: Duration,
    /// Upper bound on the difference between two hosts' clocks.
    pub clock_skew: Duration,
    /// How long an agent lends slot tokens to an entry that sends nothing.
    pub token_lease: Duration,
    /// Maximum age of an entry's last confirmed settings for it to accept new work.
    pub settings_age_max: Duration,
    /// Maximum memory for stored answers at an entry, in bytes.
    pub answer_bytes_max: usize,
}

/// The effective settings of one version of the tree.
#[derive(Clone, Debug)]
pub struct Catalog {
    version: u64,
    fleet: FleetSettings,
    kinds: HashMap<String, HashMap<String, Arc<KindSettings>>>,
    teams: HashMap<String, TeamSettings>,
}

impl Catalog {
    /// Compiles one version of the tree.
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

    /// The version of the tree that the catalog was compiled from.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The fleet-wide settings.
    pub fn fleet(&self) -> &FleetSettings {
        &self.fleet
    }

    /// Whether a service of this name exists.
    pub fn has_service(&self, service: &str) -> bool {
        self.kinds.contains_key(service)
    }

    /// The settings of a kind, or `None` if the service or the kind does not exist.
    pub fn kind(&self, service: &str, kind: &str) -> Option<&Arc<KindSettings>> {
        self.kinds.get(service)?.get(kind)
    }

    /// The settings of a team; defaults if it has no section.
    pub fn team(&self, team: &str) -> TeamSettings {
        self.teams.get(team).copied().unwrap_or(TeamSettings { weight: 1 })
    }
}

fn effective_value(tree: &Tree, path: &SectionPath, name: &str) -> Value {
    let key = Key::find(path.scope().keys(), name).expect("the key is in the schema");
    tree.effective(path, key)
}

fn effective_millis(tree: &Tree, path: &SectionPath, name: &str) -> Duration {
    Duration::from_millis(effective_value(tree, path, name).integer())
}

fn effective_size(tree: &Tree, path: &SectionPath, name: &str) -> usize {
    usize::try_from(effective_value(tree, path, name).integer()).unwrap_or(usize::MAX)
}

fn compile_kind(tree: &Tree, path: &SectionPath, service: &str, kind: &str) -> KindSettings {
    let state = match effective_value(tree, path, "state").text() {
        "stopped" => ServiceState::Stopped,
        _ => ServiceState::Started,
    };
    KindSettings {
        service: service.to_owned(),
        kind: kind.to_owned(),
        state,
        team: effective_value(tree, path, "team").text().to_owned(),
        deadline: effective_millis(tree, path, "deadline_ms"),
        expected_duration: effective_millis(tree, path, "expected_ms"),
        tasks_max: effective_size(tree, path, "tasks_max"),
        task_bytes_max: effective_size(tree, path, "task_bytes_max"),
        retry_share: effective_value(tree, path, "retry_percent").integer() as f64 / 100.0,
    }
}

fn compile_team(tree: &Tree, path: &SectionPath) -> TeamSettings {
    let weight = effective_value(tree, path, "weight").integer();
    TeamSettings { weight: u32::try_from(weight).unwrap_or(u32::MAX) }
}

fn compile_fleet(tree: &Tree) -> FleetSettings {
    let path = SectionPath::fleet();
    FleetSettings {
        claim_view: effective_value(tree, &path, "claim_view").list().to_vec(),
        previous_claim_view: effective_value(tree, &path, "previous_claim_view").list().to_vec(),
        previous_claim_view_until: Time::from_millis(
            effective_value(tree, &path, "previous_claim_view_until_ms").integer(),
        ),
        retention: effective_millis(tree, &path, "retention_ms"),
        clock_skew: effective_millis(tree, &path, "clock_skew_ms"),
        token_lease: effective_millis(tree, &path, "token_lease_ms"),
        settings_age_max: effective_millis(tree, &path, "settings_age_max_ms"),
        answer_bytes_max: effective_size(tree, &path, "answer_bytes_max"),
    }
}
