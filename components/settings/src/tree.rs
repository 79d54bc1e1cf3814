//! The tree itself: sections of written values, edits, INI text.

use std::collections::BTreeMap;

use ini::{Ini, ParseOption};
use serde::{Deserialize, Serialize};

use crate::schema::{Key, Value};
use crate::{SectionPath, SettingsError};

/// The written values of one section, by key.
type Section = BTreeMap<String, String>;

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// Writes a value; makes the section where there is none.
    Set {
        /// The section.
        section: SectionPath,
        /// The key.
        key: String,
        /// The value, as in INI.
        value: String,
    },
    /// Makes an empty section, whose values are all inherited.
    Add {
        /// The section.
        section: SectionPath,
    },
    /// Takes a written value away, so that it is inherited again.
    Unset {
        /// The section.
        section: SectionPath,
        /// The key.
        key: String,
    },
    /// Takes a section away with all below it.
    Remove {
        /// The section.
        section: SectionPath,
    },
}

impl Edit {
    /// The section that the edit touches.
    pub fn section(&self) -> &SectionPath {
        match self {
            Self::Set { section, .. } | Self::Unset { section, .. } => section,
            Self::Add { section } | Self::Remove { section } => section,
        }
    }
}

/// A valid settings tree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tree {
    sections: BTreeMap<SectionPath, Section>,
}

impl Tree {
    /// Reads and checks INI text.
    pub fn from_ini(text: &str) -> Result<Self, SettingsError> {
        let mut tree = Self::default();
        for (name, properties) in parse_ini(text)? {
            let path: SectionPath = name.parse()?;
            for (key, value) in &properties {
                check(&path, key, value)?;
            }
            tree.sections.insert(path, properties);
        }
        tree.check_parents()?;
        Ok(tree)
    }

    /// The tree as INI text; reads back to an equal tree.
    pub fn to_ini(&self) -> String {
        let mut text = String::new();
        for (path, section) in &self.sections {
            text.push_str(&format!("[{path}]\n"));
            for (key, value) in section {
                text.push_str(&format!("{key} = {value}\n"));
            }
            text.push('\n');
        }
        text
    }

    /// The tree after some edits, or why they can't be taken. The tree itself is unharmed.
    pub fn with_edits(&self, edits: &[Edit]) -> Result<Self, SettingsError> {
        let mut next = self.clone();
        for edit in edits {
            next.apply(edit)?;
        }
        next.check_parents()?;
        Ok(next)
    }

    fn apply(&mut self, edit: &Edit) -> Result<(), SettingsError> {
        match edit {
            Edit::Set { section, key, value } => {
                check(section, key, value)?;
                let values = self.sections.entry(section.clone()).or_default();
                values.insert(key.clone(), value.clone());
            }
            Edit::Add { section } => {
                self.sections.entry(section.clone()).or_default();
            }
            Edit::Unset { section, key } => {
                let values = self.section_mut(section)?;
                if values.remove(key).is_none() {
                    let reason = "not written here";
                    return Err(SettingsError::key(section.as_str(), key, reason));
                }
            }
            Edit::Remove { section } => {
                self.section_mut(section)?;
                let below = format!("{section}/");
                self.sections
                    .retain(|path, _| path != section && !path.as_str().starts_with(&below));
            }
        }
        Ok(())
    }

    fn section_mut(&mut self, path: &SectionPath) -> Result<&mut Section, SettingsError> {
        let missing = || SettingsError::section(path.as_str(), "no such section");
        self.sections.get_mut(path).ok_or_else(missing)
    }

    /// A kind needs its service, so that a misspelt service does not come to life by a kind.
    fn check_parents(&self) -> Result<(), SettingsError> {
        for path in self.sections.keys() {
            let Some(parent) = path.parent() else { continue };
            if parent != SectionPath::root() && !self.sections.contains_key(&parent) {
                let reason = format!("its parent [{parent}] is missing");
                return Err(SettingsError::section(path.as_str(), reason));
            }
        }
        Ok(())
    }

    /// The paths of all sections, in order.
    pub fn paths(&self) -> impl Iterator<Item = &SectionPath> {
        self.sections.keys()
    }

    /// The value as written in just this section.
    pub fn explicit_text(&self, path: &SectionPath, key: &str) -> Option<&str> {
        self.sections.get(path)?.get(key).map(String::as_str)
    }

    /// The edits that lead from this tree to another.
    pub fn edits_to(&self, wanted: &Self) -> Vec<Edit> {
        let mut edits = Vec::new();
        for (path, section) in &wanted.sections {
            if !self.sections.contains_key(path) {
                edits.push(Edit::Add { section: path.clone() });
            }
            for (key, value) in section {
                if self.explicit_text(path, key) != Some(value) {
                    let (section, key) = (path.clone(), key.clone());
                    edits.push(Edit::Set { section, key, value: value.clone() });
                }
            }
        }
        for (path, section) in self.sections.iter().rev() {
            let Some(kept) = wanted.sections.get(path) else {
                edits.push(Edit::Remove { section: path.clone() });
                continue;
            };
            for key in section.keys().filter(|key| !kept.contains_key(*key)) {
                edits.push(Edit::Unset { section: path.clone(), key: key.clone() });
            }
        }
        edits
    }

    /// The text in force and the section that it is written in; none for the default.
    pub fn effective_text<'a>(
        &'a self,
        path: &SectionPath,
        key: &Key,
    ) -> (Option<SectionPath>, &'a str) {
        let mut at = Some(path.clone());
        while let Some(section) = at {
            if let Some(text) = self.sections.get(&section).and_then(|s| s.get(key.name)) {
                return (Some(section), text);
            }
            at = section.parent();
        }
        (None, key.default)
    }

    /// The value in force: written here, inherited, or the default.
    pub fn effective(&self, path: &SectionPath, key: &Key) -> Value {
        let (_, text) = self.effective_text(path, key);
        key.parse(text).expect("checked when it was written")
    }
}

/// Checks one written value against the schema.
fn check(path: &SectionPath, name: &str, value: &str) -> Result<(), SettingsError> {
    let refuse = |reason: String| SettingsError::key(path.as_str(), name, reason);
    let Some(key) = Key::find(path.scope().keys(), name) else {
        return Err(refuse("unknown key".to_owned()));
    };
    key.parse(value).map_err(refuse)?;
    Ok(())
}

/// Splits INI text into sections, refusing repeated sections, repeated keys and stray keys.
pub fn parse_ini(text: &str) -> Result<BTreeMap<String, Section>, SettingsError> {
    let options = ParseOption { enabled_quote: false, enabled_escape: false, ..Default::default() };
    let ini = Ini::load_from_str_opt(text, options)
        .map_err(|error| SettingsError::section("-", format!("not INI: {error}")))?;
    let mut sections = BTreeMap::new();
    for (name, properties) in &ini {
        let Some(name) = name else {
            if let Some((key, _)) = properties.iter().next() {
                return Err(SettingsError::key("-", key, "stands before any section"));
            }
            continue;
        };
        let section = read_section(name, properties)?;
        if sections.insert(name.to_owned(), section).is_some() {
            return Err(SettingsError::section(name, "written twice"));
        }
    }
    Ok(sections)
}

fn read_section(name: &str, properties: &ini::Properties) -> Result<Section, SettingsError> {
    let mut section = Section::new();
    for (key, value) in properties.iter() {
        if section.insert(key.to_owned(), value.to_owned()).is_some() {
            return Err(SettingsError::key(name, key, "written twice"));
        }
    }
    Ok(section)
}
