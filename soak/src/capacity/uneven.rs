//! Unequal targets and entries, jobs that name a rack, and refused clients that return.
//!
//! A separate random stream keeps runs with equal targets and entries unchanged.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::load::rack_label;
use super::simulation::{FAULT_PERIOD, START, Simulation};

/// Separates this random stream from the others of the seed.
const RNG_STREAM: u64 = 0x0e0e;
/// The run times of tasks at targets, relative to the usual one, of the deployments in
/// `docs/design/hard-load.md`, and equal ones.
const SPEED_FACTORS: [&[f64]; 3] = [&[1.0], &[0.55, 1.2, 1.2, 1.2], &[0.8, 1.0, 1.25]];
/// Number of racks of a run.
const RACKS: usize = 2;
/// Period in which jobs name a rack.
const DEMAND_PERIOD: Duration = Duration::from_secs(5);
/// How often the first entry is chosen, relative to each other one, in runs with uneven entries.
const ENTRY_SHARE: f64 = 4.0;
/// Share of restarted targets that have another speed than before.
const SPEED_CHANGE_SHARE: f64 = 0.3;
/// How long after its first submission a refused client returns. A job that returns last still ends
/// before the end of the run.
const RETURN_PERIOD: Duration = Duration::from_secs(5);

/// The random stream and the choices of an uneven run.
pub(super) struct Uneven {
    rng: ChaCha8Rng,
    speed_factors: &'static [f64],
    /// Whether the first entry receives more jobs than the others.
    uneven_entries: bool,
}

impl Uneven {
    fn draw_speed_factor(&mut self) -> f64 {
        self.speed_factors[self.rng.random_range(0..self.speed_factors.len())]
    }

    /// Draws the entry of a submission, as the load balancer would choose it.
    pub fn draw_entry(&mut self, entries: usize) -> usize {
        let first = if self.uneven_entries { ENTRY_SHARE } else { 1.0 };
        let drawn = self.rng.random_range(0.0..first + entries as f64 - 1.0);
        if drawn < first { 0 } else { 1 + (drawn - first) as usize }
    }
}

impl Simulation {
    /// Draws the speeds and racks of targets, the jobs that name a rack, the shares of entries, and
    /// whether refused clients return.
    pub(super) fn set_up_uneven(&mut self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(RNG_STREAM);
        let speed_factors = SPEED_FACTORS[rng.random_range(0..SPEED_FACTORS.len())];
        let uneven_entries = rng.random_bool(0.5);
        let mut uneven = Uneven { rng, speed_factors, uneven_entries };
        let agents = self.agents.len();
        for (agent, process) in self.agents.iter_mut().enumerate() {
            process.speed_factor = uneven.draw_speed_factor();
            process.labels = vec![Arc::from(rack_label(agent * RACKS / agents))];
        }
        self.remote_penalty = f64::from(uneven.rng.random_range(1..=3_u32));
        let share = uneven.rng.random_range(0.0..0.7);
        let latest_ms = FAULT_PERIOD.saturating_sub(DEMAND_PERIOD).as_millis() as u64;
        let from = START + Duration::from_millis(uneven.rng.random_range(0..latest_ms));
        for client in self.clients.values_mut().filter(|client| client.request.priority == 0) {
            let named = uneven.rng.random_bool(share);
            let submitted = client.first_submitted;
            if named && submitted >= from && submitted.since(from) < DEMAND_PERIOD {
                client.request.shape.affinity = Some(Arc::from(rack_label(0)));
                self.checks.summary.named_racks += 1;
            }
        }
        self.return_period = uneven.rng.random_bool(0.5).then_some(RETURN_PERIOD);
        self.uneven = Some(uneven);
    }

    /// Draws whether a restarted target has another speed.
    pub(super) fn redraw_speed(&mut self, agent: usize) {
        let Some(uneven) = &mut self.uneven else { return };
        let process = &mut self.agents[agent];
        if process.target_instances > 0 && uneven.rng.random_bool(SPEED_CHANGE_SHARE) {
            process.speed_factor = uneven.draw_speed_factor();
        }
    }
}
