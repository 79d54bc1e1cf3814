//! The error for invalid settings.

use thiserror::Error;

/// An invalid section, key or value in INI text or in an edit.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("[{section}] {key}: {reason}")]
pub struct SettingsError {
    /// The section's path as written, or `-` if there is none.
    pub section: String,
    /// The key, or `-` if the section itself is invalid.
    pub key: String,
    /// The reason as a clause without a final period.
    pub reason: String,
}

impl SettingsError {
    /// Creates an error for one key of a section.
    pub fn key(section: &str, key: &str, reason: impl Into<String>) -> Self {
        Self { section: section.to_owned(), key: key.to_owned(), reason: reason.into() }
    }

    /// Creates an error for a whole section.
    pub fn section(section: &str, reason: impl Into<String>) -> Self {
        Self::key(section, "-", reason)
    }
}
