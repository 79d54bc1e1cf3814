//! What is wrong with a settings text or edit.

use thiserror::Error;

/// A refused setting: where it stands and why.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("[{section}] {key}: {reason}")]
pub struct SettingsError {
    /// The section.
    pub section: String,
    /// The key, or `-` where the section itself is refused.
    pub key: String,
    /// One clause that says what is wrong.
    pub reason: String,
}

impl SettingsError {
    /// A refusal of one key.
    pub fn key(section: &str, key: &str, reason: impl Into<String>) -> Self {
        Self { section: section.to_owned(), key: key.to_owned(), reason: reason.into() }
    }

    /// A refusal of a whole section.
    pub fn section(section: &str, reason: impl Into<String>) -> Self {
        Self::key(section, "-", reason)
    }
}
