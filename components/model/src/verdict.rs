//! What is known about whether a piece of work ran.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the work of a request ran on a target.
///
/// `NotRun` is a promise and needs proof; lost certainty always turns into `MayHaveRun`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Proven: no part of the work started, and none will on this request's behalf.
    NotRun,
    /// Some part of the work may have started.
    MayHaveRun,
    /// Every part of the work ran to its end.
    Ran,
}

impl Verdict {
    /// The verdict on two pieces of work taken as one.
    pub fn and(self, other: Self) -> Self {
        if self == other { self } else { Self::MayHaveRun }
    }

    /// The value of the `Dockpass-Verdict` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Reads the value of a `Dockpass-Verdict` header.
    pub fn parse(text: &str) -> Option<Self> {
        [Self::NotRun, Self::MayHaveRun, Self::Ran].into_iter().find(|v| v.as_str() == text)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn mixed_verdicts_lose_certainty() {
        assert_eq!(Verdict::NotRun.and(Verdict::NotRun), Verdict::NotRun);
        assert_eq!(Verdict::Ran.and(Verdict::Ran), Verdict::Ran);
        assert_eq!(Verdict::NotRun.and(Verdict::Ran), Verdict::MayHaveRun);
        assert_eq!(Verdict::MayHaveRun.and(Verdict::NotRun), Verdict::MayHaveRun);
    }

    #[test]
    fn header_values_read_back() {
        for verdict in [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran] {
            assert_eq!(Verdict::parse(verdict.as_str()), Some(verdict));
        }
        assert_eq!(Verdict::parse("maybe"), None);
    }
}
