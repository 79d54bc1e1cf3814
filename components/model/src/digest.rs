//! A short stand-in for the content of a submission.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// A 128-bit hash of a submission's work: service, kind, tasks and whether it is repeatable.
///
/// Its deadline is left out: a client that asks again may have less time left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    // Two halves, so that records with a digest need no alignment to 16 bytes.
    high: u64,
    low: u64,
}

impl Digest {
    /// The digest of a submission's work.
    pub fn of<'a>(
        service: &str,
        kind: &str,
        repeatable: bool,
        tasks: impl Iterator<Item = &'a str>,
    ) -> Self {
        let mut hasher = Xxh3::new();
        add(&mut hasher, service);
        add(&mut hasher, kind);
        hasher.update(&[u8::from(repeatable)]);
        for task in tasks {
            add(&mut hasher, task);
        }
        let digest = hasher.digest128();
        Self { high: (digest >> 64) as u64, low: digest as u64 }
    }
}

/// Adds a text behind its length, so that moving a boundary changes the digest.
fn add(hasher: &mut Xxh3, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn boundaries_count() {
        let split = Digest::of("booking", "holds", false, ["ab", "c"].into_iter());
        let moved = Digest::of("booking", "holds", false, ["a", "bc"].into_iter());
        let joined = Digest::of("booking", "holds", false, ["abc"].into_iter());
        assert_ne!(split, moved);
        assert_ne!(split, joined);
    }
}
