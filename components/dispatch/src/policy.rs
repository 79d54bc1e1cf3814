//! Which parts of the policy are in force: all are, but in experiments that measure what each of
//! them is worth.

/// The parts that an experiment may switch off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// What is left of begun jobs goes before jobs of which nothing has run.
    pub started_first: bool,
    /// Targets that are slower than others are chosen less.
    pub slowdown_score: bool,
    /// A target that a task fills is chosen before emptier ones.
    pub fill_targets: bool,
    /// Jobs that find no room soon are refused while what is left could still be in time.
    pub early_refusal: bool,
    /// Less urgent jobs leave room free for more urgent ones.
    pub urgent_reserve: bool,
    /// A task that was lost with its agent runs again once its lease has surely ended.
    pub rerun_lost: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            started_first: true,
            slowdown_score: true,
            fill_targets: true,
            early_refusal: true,
            urgent_reserve: true,
            rerun_lost: true,
        }
    }
}

impl Policy {
    /// Switches a part off; tells whether there is such a part.
    pub fn disable(&mut self, part: &str) -> bool {
        let switch = match part {
            "begun-first" => &mut self.started_first,
            "slowdown-score" => &mut self.slowdown_score,
            "fill-targets" => &mut self.fill_targets,
            "early-refusal" => &mut self.early_refusal,
            "urgent-reserve" => &mut self.urgent_reserve,
            "lost-again" => &mut self.rerun_lost,
            _ => return false,
        };
        *switch = false;
        true
    }
}
