//! Hash of the content of a submission.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// A 128-bit hash of a submission: service, kind, tasks and whether it is repeatable.
///
/// The deadline is excluded, because a client that resubmits may have less time left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    // Two `u64` halves instead of a `u128`, which would align records with a digest to 16 bytes.
    high: u64,
    low: u64,
}

impl Digest {
    /// Computes the digest of a submission.
    pub fn of<'a>(
        service: &str,
        kind: &str,
        repeatable: bool,
        tasks: impl Iterator<Item = &'a str>,
    ) -> Self {
        let mut hasher = Xxh3::new();
        update_with_text(&mut hasher, service);
        update_with_text(&mut hasher, kind);
        hasher.update(&[u8::from(repeatable)]);
        for task in tasks {
            update_with_text(&mut hasher, task);
        }
        let digest = hasher.digest128();
        Self { high: (digest >> 64) as u64, low: digest as u64 }
    }
}

/// Hashes a text prefixed with its length, so that texts split at different positions get different
/// digests.
fn update_with_text(hasher: &mut Xxh3, text: &str) {
    hasher.update(&(text.len() as u64).to_le_bytes());
    hasher.update(text.as_bytes());
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn boundaries_between_tasks_change_the_digest() {
        let split = Digest::of("booking", "holds", false, ["ab", "c"].into_iter());
        let moved = Digest::of("booking", "holds", false, ["a", "bc"].into_iter());
        let joined = Digest::of("booking", "holds", false, ["abc"].into_iter());
        assert_ne!(split, moved);
        assert_ne!(split, joined);
    }
}
