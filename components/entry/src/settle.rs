//! Starts whose answer was lost: their fate is asked for, never guessed.

use model::{NodeName, TaskKey, Time};
use placement::TargetId;
use telemetry::MessageKind;
use wire::{SettleReply, SettleRequest};

use crate::{Action, Entry};

impl Entry {
    /// Notes that a task's fate has to be asked for, and asks where the agent can be reached.
    pub(crate) fn fate_open(
        &mut self,
        now: Time,
        target: TargetId,
        key: TaskKey,
        out: &mut Vec<Action>,
    ) {
        if !self.is_open(key) {
            return;
        }
        let at = self.targets.get_mut(target);
        if at.dead {
            return self.task_lost(now, key, "its agent is gone", out);
        }
        at.unsettled.insert(key);
        self.ask_fates(target, out);
    }

    /// Whether a task's present attempt has no fate yet.
    fn is_open(&self, key: TaskKey) -> bool {
        let gather = self.table.get(key.submission).and_then(|job| job.gather());
        gather.is_some_and(|gather| gather.sent(key.index, key.attempt).is_some())
    }

    /// Asks an agent for every open fate, where it can be reached.
    pub(crate) fn ask_fates(&mut self, target: TargetId, out: &mut Vec<Action>) {
        if self.targets.get(target).link.is_none() {
            return;
        }
        let keys = std::mem::take(&mut self.targets.get_mut(target).unsettled);
        let agent = self.targets.get(target).node.name.clone();
        for key in keys {
            let gather = self.table.get(key.submission).and_then(|job| job.gather());
            let Some(sent) = gather.and_then(|gather| gather.sent(key.index, key.attempt)) else {
                continue;
            };
            self.counters.settles += 1;
            self.sent(MessageKind::Settle);
            let owner = self.setup.node.clone();
            let request = SettleRequest { key, owner, agent: sent.agent };
            out.push(Action::Settle { agent: agent.clone(), request });
        }
    }

    /// Takes an agent's word on a task's fate.
    pub(crate) fn settled(
        &mut self,
        now: Time,
        agent: &NodeName,
        key: TaskKey,
        reply: Option<SettleReply>,
        out: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.id(agent) else { return };
        match reply {
            None => self.fate_open(now, target, key, out),
            Some(SettleReply::NotRun) => self.place_again(now, key, out),
            Some(SettleReply::Ended(outcome)) => self.ended(now, key, outcome, out),
            Some(SettleReply::OutcomeDropped) => self.outcome_dropped(key, out),
            Some(SettleReply::Unknown) => {
                self.task_lost(now, key, "its agent restarted since", out);
            }
        }
    }

    /// An agent's process is dead: what it had started may have run, and nobody will tell.
    pub(crate) fn dead(&mut self, now: Time, agent: &NodeName, out: &mut Vec<Action>) {
        let Some(target) = self.targets.id(agent) else { return };
        let at = self.targets.get_mut(target);
        if at.link.is_some() {
            return;
        }
        at.dead = true;
        for key in std::mem::take(&mut at.unsettled) {
            self.task_lost(now, key, "its agent is gone", out);
        }
    }
}
