//! The settings tree: sections with explicit values, edits, and conversion from and to INI text.

use std::collections::BTreeMap;

use ini::{Ini, ParseOption};
use serde::{Deserialize, Serialize};

use crate::schema::{Key, Value};
use crate::{SectionPath, SettingsError};

/// The explicit values of one section by key, as INI text.
type Section = BTreeMap<String, String>;

/// One step of a change to the tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// Sets a value; creates the section if it does not exist.
    Set {
        /// The path of the section.
        section: SectionPath,
        /// The key.
        key: String,
        /// The value, as in INI text.
        value: String,
    },
    /// Creates a section without explicit values; does nothing if it exists.
    Add {
        /// The path of the section.
        section: SectionPath,
    },
    /// Removes an explicit value, so that the inherited one applies again.
    Unset {
        /// The path of the section.
        section: SectionPath,
        /// The key.
        key: String,
    },
    /// Removes a section and all its descendants.
    Remove {
        /// The path of the section.
        section: SectionPath,
    },
}

impl Edit {
    /// The path of the edited section.
    pub fn section(&self) -> &SectionPath {
        match self {
            Self::Set { section, .. } | Self::Unset { section, .. } => section,
            Self::Add { section } | Self::Remove { section } => section,
        }
    }
}

/// A settings tree whose sections, keys and values are valid.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tree {
    sections: BTreeMap<SectionPath, Section>,
}

impl Tree {
    /// Parses and validates INI text.
    pub fn from_ini(text: &str) -> Result<Self, SettingsError> {
        let mut tree = Self::default();
        for (name, properties) in parse_ini(text)? {
            let path: SectionPath = name.parse()?;
            for (key, value) in &properties {
                validate(&path, key, value)?;
            }
            tree.sections.insert(path, properties);
        }
        tree.check_parents()?;
        Ok(tree)
    }

    /// Formats the tree as INI text, which parses to an equal tree.
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

    /// Returns a copy of the tree with `edits` applied in order, or the first error.
    ///
    /// Parent sections are checked only after the last edit.
    ///
    /// Keeper replicas store the text of the error, so it must not differ between releases.
    pub fn with_edits(&self, edits: &[Edit]) -> Result<Self, SettingsError> {
        let mut updated = self.clone();
        for edit in edits {
            updated.apply(edit)?;
        }
        updated.check_parents()?;
        Ok(updated)
    }

    fn apply(&mut self, edit: &Edit) -> Result<(), SettingsError> {
        match edit {
            Edit::Set { section, key, value } => {
                validate(section, key, value)?;
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
                let prefix = format!("{section}/");
                self.sections
                    .retain(|path, _| path != section && !path.as_str().starts_with(&prefix));
            }
        }
        Ok(())
    }

    fn section_mut(&mut self, path: &SectionPath) -> Result<&mut Section, SettingsError> {
        let not_found = || SettingsError::section(path.as_str(), "no such section");
        self.sections.get_mut(path).ok_or_else(not_found)
    }

    /// Checks that each kind's service has a section, so that a misspelled service name is an
    /// error.
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

    /// The paths of all sections, sorted.
    pub fn paths(&self) -> impl Iterator<Item = &SectionPath> {
        self.sections.keys()
    }

    /// The explicit value in this section, without inheritance.
    pub fn explicit_text(&self, path: &SectionPath, key: &str) -> Option<&str> {
        self.sections.get(path)?.get(key).map(String::as_str)
    }

    /// The edits that turn this tree into `target`.
    pub fn edits_to(&self, target: &Self) -> Vec<Edit> {
        let mut edits = Vec::new();
        for (path, section) in &target.sections {
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
            let Some(target_section) = target.sections.get(path) else {
                edits.push(Edit::Remove { section: path.clone() });
                continue;
            };
            for key in section.keys().filter(|key| !target_section.contains_key(*key)) {
                edits.push(Edit::Unset { section: path.clone(), key: key.clone() });
            }
        }
        edits
    }

    /// The effective value as text, with the section that sets it or `None` for the default.
    pub fn effective_text<'a>(
        &'a self,
        path: &SectionPath,
        key: &Key,
    ) -> (Option<SectionPath>, &'a str) {
        let mut current = Some(path.clone());
        while let Some(section) = current {
            if let Some(text) = self.sections.get(&section).and_then(|s| s.get(key.name)) {
                return (Some(section), text);
            }
            current = section.parent();
        }
        (None, key.default)
    }

    /// The effective value: explicit, inherited or the default.
    pub fn effective(&self, path: &SectionPath, key: &Key) -> Value {
        let (_, text) = self.effective_text(path, key);
        key.parse(text).expect("values are validated when set")
    }
}

/// Validates a key and its value against the schema.
fn validate(path: &SectionPath, name: &str, value: &str) -> Result<(), SettingsError> {
    let refuse = |reason: String| SettingsError::key(path.as_str(), name, reason);
    let Some(key) = Key::find(path.scope().keys(), name) else {
        return Err(refuse("unknown key".to_owned()));
    };
    key.parse(value).map_err(refuse)?;
    Ok(())
}

/// Parses INI text into sections. Duplicate sections, duplicate keys and keys outside sections are
/// errors.
pub fn parse_ini(text: &str) -> Result<BTreeMap<String, Section>, SettingsError> {
    let options = ParseOption { enabled_quote: false, enabled_escape: false, ..Default::default() };
    let ini = Ini::load_from_str_opt(text, options)
        .map_err(|error| SettingsError::section("-", format!("not valid INI: {error}")))?;
    let mut sections = BTreeMap::new();
    for (name, properties) in &ini {
        let Some(name) = name else {
            if let Some((key, _)) = properties.iter().next() {
                return Err(SettingsError::key("-", key, "the key is outside any section"));
            }
            continue;
        };
        let section = to_section(name, properties)?;
        if sections.insert(name.to_owned(), section).is_some() {
            return Err(SettingsError::section(name, "the section occurs twice"));
        }
    }
    Ok(sections)
}

fn to_section(name: &str, properties: &ini::Properties) -> Result<Section, SettingsError> {
    let mut section = Section::new();
    for (key, value) in properties.iter() {
        if section.insert(key.to_owned(), value.to_owned()).is_some() {
            return Err(SettingsError::key(name, key, "the key occurs twice"));
        }
    }
    Ok(section)
}
