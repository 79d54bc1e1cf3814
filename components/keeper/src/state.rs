//! The replicated state machine: every replica reaches the same state by applying the same commands
//! in log order.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use model::Time;
use serde::{Deserialize, Serialize};
use settings::{Catalog, Edit, SectionPath, Tree};
use wire::{ChangeRequest, ChangeResult, Document, EmptiedHalls, HallCommand, PullReply};

/// Number of changes whose results are kept, to answer repeated requests with the first result.
const RESULTS_KEPT: usize = 10_000;
/// Number of versions whose edits are kept; a node that is further behind receives the whole tree.
const VERSIONS_KEPT: usize = 2_000;

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum LogCommand {
    /// A change of the settings tree.
    Change(SettingsChange),
    /// A replacement of the whole document.
    Replace(Document),
    /// A command to empty or refill a hall.
    Hall(HallCommand),
}

/// A change of the settings tree with the leader's time, so that every replica applies it with the
/// same time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// The change as the operator sent it.
    pub request: ChangeRequest,
    /// When the leader accepted the request.
    #[serde(rename = "taken")]
    pub accepted_at: Time,
}

/// One version of the settings tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeVersion {
    /// The number of the version.
    pub version: u64,
    /// When the leader accepted the change.
    #[serde(rename = "taken")]
    pub accepted_at: Time,
    /// The edits since the previous version.
    pub edits: Vec<Edit>,
}

/// The committed state: the settings tree with its recent history, the document and the emptied
/// halls.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    version: u64,
    tree: Tree,
    #[serde(rename = "recent")]
    recent_versions: VecDeque<TreeVersion>,
    results: HashMap<String, ChangeResult>,
    /// The ids of the changes in `results`, oldest first.
    #[serde(rename = "order")]
    result_ids: VecDeque<String>,
    /// The document with the highest version.
    #[serde(default)]
    document: Option<Document>,
    /// The emptied halls.
    #[serde(default)]
    halls: EmptiedHalls,
}

impl State {
    /// The initial state of a new cluster, with the tree as version 1.
    pub fn new(tree: Tree) -> Self {
        Self { version: 1, tree, ..Self::default() }
    }

    /// The current version of the settings tree.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The current document.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// The version of the current document; 0 if there is none.
    pub fn document_version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// Replaces the document if the new version is higher; returns whether it did.
    pub fn replace_document(&mut self, document: Document) -> bool {
        let higher = document.version > self.document_version();
        if higher {
            self.document = Some(document);
        }
        higher
    }

    /// The emptied halls.
    pub fn halls(&self) -> &EmptiedHalls {
        &self.halls
    }

    /// Applies a hall command; returns whether it changes anything.
    pub fn apply_hall_command(&mut self, command: HallCommand) -> bool {
        self.halls.apply(command)
    }

    /// The current settings tree.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Applies a change. Deterministic: the result depends only on the state and the change.
    pub fn apply_change(&mut self, change: &SettingsChange) -> ChangeResult {
        let request = &change.request;
        if let Some(first) = self.results.get(&request.change) {
            return first.clone();
        }
        let result = self.apply_new_change(change);
        self.results.insert(request.change.clone(), result.clone());
        self.result_ids.push_back(request.change.clone());
        if self.result_ids.len() > RESULTS_KEPT
            && let Some(oldest) = self.result_ids.pop_front()
        {
            self.results.remove(&oldest);
        }
        result
    }

    /// The result of an earlier change with this id, if it is still kept.
    pub fn result(&self, change: &str) -> Option<&ChangeResult> {
        self.results.get(change)
    }

    fn apply_new_change(&mut self, change: &SettingsChange) -> ChangeResult {
        let request = &change.request;
        if let Some(conflict) = self.find_conflict(request) {
            return conflict;
        }
        // Replicas store the reason, so its text must not differ between releases.
        let invalid = |reason: String| ChangeResult::Invalid { reason };
        if request.edits.is_empty() {
            return invalid("no edits".to_owned());
        }
        let edits = match self.edits_with_previous_view(change) {
            Ok(edits) => edits,
            Err(reason) => return invalid(reason),
        };
        match self.tree.with_edits(&edits) {
            Ok(tree) => self.accept_version(tree, edits, change.accepted_at),
            Err(error) => invalid(error.to_string()),
        }
    }

    fn accept_version(&mut self, tree: Tree, edits: Vec<Edit>, accepted_at: Time) -> ChangeResult {
        self.version += 1;
        self.tree = tree;
        self.recent_versions.push_back(TreeVersion { version: self.version, accepted_at, edits });
        if self.recent_versions.len() > VERSIONS_KEPT {
            self.recent_versions.pop_front();
        }
        ChangeResult::Accepted { version: self.version }
    }

    /// Reports a conflict if the base version is unknown, or if a later version changed one of the
    /// same sections.
    fn find_conflict(&self, request: &ChangeRequest) -> Option<ChangeResult> {
        let conflict = |sections| Some(ChangeResult::Conflict { version: self.version, sections });
        if request.base_version > self.version {
            return conflict(Vec::new());
        }
        let behind = self.version - request.base_version;
        let kept = self.recent_versions.len() as u64;
        let changed_sections: BTreeSet<&SectionPath> =
            request.edits.iter().map(Edit::section).collect();
        if behind > kept {
            return conflict(changed_sections.iter().map(|path| path.to_string()).collect());
        }
        let later_versions =
            self.recent_versions.iter().filter(|later| later.version > request.base_version);
        let later_sections: BTreeSet<&SectionPath> =
            later_versions.flat_map(|version| version.edits.iter().map(Edit::section)).collect();
        let conflicting: Vec<String> =
            changed_sections.intersection(&later_sections).map(|path| path.to_string()).collect();
        if conflicting.is_empty() { None } else { conflict(conflicting) }
    }

    /// The edits of a change. If the change replaces the claim view, they also store the previous
    /// view, as both views have to grant a claim until earlier claims have expired. Fails with the
    /// reason if the change is not allowed.
    fn edits_with_previous_view(&self, change: &SettingsChange) -> Result<Vec<Edit>, String> {
        let mut edits = change.request.edits.clone();
        let fleet = SectionPath::fleet();
        let key_of = |edit: &Edit| match edit {
            Edit::Set { section, key, .. } | Edit::Unset { section, key } => {
                (*section == fleet).then(|| key.clone())
            }
            Edit::Remove { section } => (*section == fleet).then(|| "claim_view".to_owned()),
            Edit::Add { .. } => None,
        };
        let keys: Vec<String> = edits.iter().filter_map(key_of).collect();
        if keys.iter().any(|key| key.starts_with("previous_claim_view")) {
            return Err("[fleet] previous_claim_view: written by the keeper only".to_owned());
        }
        let previous = Catalog::new(self.version, &self.tree).fleet().clone();
        if !keys.iter().any(|key| key == "claim_view") || previous.claim_view.is_empty() {
            return Ok(edits);
        }
        if change.accepted_at <= previous.previous_claim_view_until {
            let remaining = previous.previous_claim_view_until.since(change.accepted_at).as_secs();
            return Err(format!("[fleet] claim_view: changed before; again in {remaining} s"));
        }
        let until = change.accepted_at
            + previous.retention
            + previous.settings_age_max
            + previous.clock_skew * 2
            + Duration::from_secs(1);
        let set =
            |key: &str, value| Edit::Set { section: fleet.clone(), key: key.to_owned(), value };
        edits.push(set("previous_claim_view", previous.claim_view.join(" ")));
        let millis = (until.as_micros() / 1_000).to_string();
        edits.push(set("previous_claim_view_until_ms", millis));
        Ok(edits)
    }

    /// The last `count` versions, oldest first.
    pub fn history(&self, count: usize) -> Vec<TreeVersion> {
        let skipped = self.recent_versions.len().saturating_sub(count);
        self.recent_versions.iter().skip(skipped).cloned().collect()
    }

    /// The update for a node that has version `have`, or no version at all.
    pub fn update_since(&self, have: Option<u64>) -> PullReply {
        let snapshot = || PullReply::Snapshot { version: self.version, tree: self.tree.clone() };
        let Some(have) = have else { return snapshot() };
        if have >= self.version {
            return PullReply::Current;
        }
        if self.version - have > self.recent_versions.len() as u64 {
            return snapshot();
        }
        let newer = self.recent_versions.iter().filter(|version| version.version > have);
        let edits: Vec<Vec<Edit>> = newer.map(|version| version.edits.clone()).collect();
        let edit_count: usize = edits.iter().map(Vec::len).sum();
        if edit_count > self.tree.paths().count() * settings::SERVICE_KEYS.len() {
            return snapshot();
        }
        PullReply::Delta { version: self.version, edits }
    }
}
