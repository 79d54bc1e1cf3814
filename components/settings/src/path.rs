//! Paths of sections in the settings tree.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{FLEET_KEYS, Key, SERVICE_KEYS, SettingsError, TEAM_KEYS};

/// The section from which every service inherits.
const ROOT: &str = "/";
/// The section of fleet-wide settings.
const FLEET: &str = "fleet";
/// The first part of the path of a team's section.
const TEAMS: &str = "teams";
/// Maximum length of a path, in bytes.
const PATH_BYTES_MAX: usize = 128;

/// The subject of a section, which determines its allowed keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The root, a service, or a kind of a service.
    Service,
    /// Fleet-wide settings.
    Fleet,
    /// One team.
    Team,
}

impl Scope {
    /// The allowed keys of sections with this scope.
    pub fn keys(self) -> &'static [Key] {
        match self {
            Self::Service => SERVICE_KEYS,
            Self::Fleet => FLEET_KEYS,
            Self::Team => TEAM_KEYS,
        }
    }
}

/// The path of a section: `/`, `booking`, `booking/holds`, `fleet`, `teams/kyushu`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SectionPath(String);

impl SectionPath {
    /// The section from which every service inherits, `/`.
    pub fn root() -> Self {
        Self(ROOT.to_owned())
    }

    /// The section of fleet-wide settings, `fleet`.
    pub fn fleet() -> Self {
        Self(FLEET.to_owned())
    }

    /// The path as written in INI text, without brackets.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The scope, which determines the allowed keys.
    pub fn scope(&self) -> Scope {
        if self.0 == FLEET {
            Scope::Fleet
        } else if self.0.split('/').next() == Some(TEAMS) {
            Scope::Team
        } else {
            Scope::Service
        }
    }

    /// The section that this one inherits from; `None` for the root, the fleet and teams.
    pub fn parent(&self) -> Option<Self> {
        if self.0 == ROOT || self.scope() != Scope::Service {
            return None;
        }
        match self.0.rsplit_once('/') {
            Some((parent, _)) => Some(Self(parent.to_owned())),
            None => Some(Self::root()),
        }
    }

    /// The service and kind of a kind's section: `booking/holds` is (`booking`, `holds`).
    pub fn service_and_kind(&self) -> Option<(&str, &str)> {
        match self.scope() {
            Scope::Service => self.0.split_once('/').filter(|(service, _)| !service.is_empty()),
            Scope::Fleet | Scope::Team => None,
        }
    }

    /// The team's name if this is a team's section.
    pub fn team(&self) -> Option<&str> {
        match self.scope() {
            Scope::Team => self.0.split_once('/').map(|(_, team)| team),
            Scope::Service | Scope::Fleet => None,
        }
    }
}

impl FromStr for SectionPath {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refuse = |reason: &str| Err(SettingsError::section(text, reason));
        if text == ROOT {
            return Ok(Self::root());
        }
        if text.len() > PATH_BYTES_MAX {
            return refuse("the path is over 128 bytes");
        }
        if !text.split('/').all(is_path_word) {
            return refuse("a path is words of a-z, 0-9 and '-', parted by '/'");
        }
        let parts = text.split('/').count();
        let path = Self(text.to_owned());
        match path.scope() {
            Scope::Team if parts != 2 => refuse("a team's section is [teams/NAME]"),
            _ if text.starts_with("fleet/") => refuse("[fleet] has no children"),
            _ => Ok(path),
        }
    }
}

impl TryFrom<String> for SectionPath {
    type Error = SettingsError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<SectionPath> for String {
    fn from(path: SectionPath) -> Self {
        path.0
    }
}

impl fmt::Display for SectionPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn is_path_word(part: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !part.is_empty() && part.chars().all(allowed)
}
