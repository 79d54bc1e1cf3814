//! What is known about whether the tasks of a request ran.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the tasks of a request ran on a target.
///
/// `NotRun` is a guarantee and requires proof; without proof, the verdict is `MayHaveRun`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No task has started, and none will start for this request.
    NotRun,
    /// Some tasks may have started.
    MayHaveRun,
    /// Every task ran to its end.
    Ran,
}

impl Verdict {
    /// Combines the verdicts on two groups of tasks into one.
    pub fn and(self, other: Self) -> Self {
        if self == other { self } else { Self::MayHaveRun }
    }

    /// The value of the `Dockpass-Verdict` HTTP header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Parses the value of a `Dockpass-Verdict` header; `None` for an unknown one.
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
    fn different_verdicts_combine_to_may_have_run() {
        assert_eq!(Verdict::NotRun.and(Verdict::NotRun), Verdict::NotRun);
        assert_eq!(Verdict::Ran.and(Verdict::Ran), Verdict::Ran);
        assert_eq!(Verdict::NotRun.and(Verdict::Ran), Verdict::MayHaveRun);
        assert_eq!(Verdict::MayHaveRun.and(Verdict::NotRun), Verdict::MayHaveRun);
    }

    #[test]
    fn header_values_round_trip() {
        for verdict in [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran] {
            assert_eq!(Verdict::parse(verdict.as_str()), Some(verdict));
        }
        assert_eq!(Verdict::parse("maybe"), None);
    }
}
