//! Changes of the settings and their delivery to the nodes.

use std::sync::Arc;
use std::time::Duration;

use agent::Agent;
use entry::Event;
use settings::{Catalog, Edit, SectionPath};

use crate::simulation::{SimEvent, Simulation};

impl Simulation {
    /// Changes the settings and schedules their delivery to every node.
    pub fn change_settings(&mut self, edits: Vec<Edit>) {
        let Ok(tree) = self.tree.with_edits(&edits) else { return };
        self.tree = tree;
        let version = self.catalogs.len() as u64 + 1;
        self.catalogs.push(Arc::new(Catalog::new(version, &self.tree)));
        for entry in 0..self.entries.len() {
            let wait = self.random_duration(Duration::from_secs(3));
            self.schedule_after(wait, SimEvent::SettingsArrive(true, entry, version));
        }
        for agent in 0..self.agents.len() {
            let wait = self.random_duration(Duration::from_secs(3));
            self.schedule_after(wait, SimEvent::SettingsArrive(false, agent, version));
        }
    }

    /// Returns the section path and the members of the claim view.
    pub fn claim_view(&self) -> (SectionPath, Vec<String>) {
        let newest = &self.catalogs[self.catalogs.len() - 1];
        (SectionPath::fleet(), newest.fleet().claim_view.clone())
    }

    pub fn deliver_settings(&mut self, to_entry: bool, number: usize, version: u64) {
        let catalog = self.catalogs[version as usize - 1].clone();
        if to_entry {
            // Nodes only apply newer versions.
            if self.entries[number].settings_version >= version {
                return;
            }
            self.entries[number].settings_version = version;
            let incarnation = self.entries[number].node.incarnation;
            return self.deliver_to_entry(number, incarnation, Event::Settings { catalog });
        }
        let incarnation = self.agents[number].node.incarnation;
        let known = self.agents[number].node.machine.as_ref().map(Agent::settings_version);
        if known.is_some_and(|known| known < version) {
            let fleet = Arc::new(catalog.fleet().clone());
            self.deliver_to_agent(number, incarnation, agent::Event::Settings { version, fleet });
        }
    }
}
