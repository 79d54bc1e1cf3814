//! Switches for parts of the scheduling policy. All are on except in experiments that measure the
//! effect of one of them.

/// The parts of the scheduling policy that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Tasks of started jobs are placed before jobs that have not started.
    pub started_first: bool,
    /// Targets that are slower than the median get a lower score.
    pub slowdown_score: bool,
    /// A target that a task fills is preferred over emptier ones.
    pub fill_targets: bool,
    /// Jobs that find no capacity early are refused while they could still finish elsewhere in
    /// time.
    pub early_refusal: bool,
    /// Less urgent jobs leave capacity free for more urgent ones.
    pub urgent_reserve: bool,
    /// A task that was lost with its agent is started again after the agent's lease has ended.
    pub rerun_lost: bool,
    /// Estimates are corrected by what tasks of the queue have taken, and targets by their speed.
    pub run_times: bool,
    /// Targets are chosen by when a task would end there, where they differ in speed.
    pub predicted_end: bool,
    /// Targets near data that other tasks wait for are left to those tasks.
    pub data_demand: bool,
    /// Agents are told what waits for capacity, so that they share scarce capacity by it.
    pub report_demand: bool,
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
            run_times: true,
            predicted_end: true,
            data_demand: true,
            report_demand: true,
        }
    }
}

impl Policy {
    /// Disables a part by its name in the settings. Returns `false` if there is no such part.
    pub fn disable(&mut self, part: &str) -> bool {
        let flag = match part {
            "begun-first" => &mut self.started_first,
            "slowdown-score" => &mut self.slowdown_score,
            "fill-targets" => &mut self.fill_targets,
            "early-refusal" => &mut self.early_refusal,
            "urgent-reserve" => &mut self.urgent_reserve,
            "lost-again" => &mut self.rerun_lost,
            "run-times" => &mut self.run_times,
            "predicted-end" => &mut self.predicted_end,
            "data-demand" => &mut self.data_demand,
            "report-demand" => &mut self.report_demand,
            _ => return false,
        };
        *flag = false;
        true
    }
}
