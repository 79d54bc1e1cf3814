//! Settles tasks whose start reply was lost by asking the agent whether they ran.

use model::{NodeName, TaskKey, Time};
use placement::TargetId;
use telemetry::MessageKind;
use wire::{SettleReply, SettleRequest};

use crate::{Action, Entry};

impl Entry {
    /// Adds a task to those that must be settled and settles them if the agent is connected. Tasks
    /// of a dead agent process are given up.
    pub(crate) fn add_unsettled(
        &mut self,
        now: Time,
        target: TargetId,
        key: TaskKey,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_unresolved(key) {
            return;
        }
        let state = self.targets.get_mut(target);
        if state.dead {
            return self.task_lost(now, key, "its agent is gone", actions);
        }
        state.unsettled.insert(key);
        self.send_settles(target, actions);
    }

    /// Whether the outcome of this attempt is still unknown.
    fn is_unresolved(&self, key: TaskKey) -> bool {
        let gather = self.table.get(key.submission).and_then(|job| job.gather());
        gather.is_some_and(|gather| gather.recipient(key.index, key.attempt).is_some())
    }

    /// Sends settle requests for all unsettled tasks of a connected agent.
    pub(crate) fn send_settles(&mut self, target: TargetId, actions: &mut Vec<Action>) {
        if self.targets.get(target).session.is_none() {
            return;
        }
        let keys = std::mem::take(&mut self.targets.get_mut(target).unsettled);
        let agent = self.targets.get(target).node.name.clone();
        for key in keys {
            let gather = self.table.get(key.submission).and_then(|job| job.gather());
            let Some(recipient) =
                gather.and_then(|gather| gather.recipient(key.index, key.attempt))
            else {
                continue;
            };
            self.counters.settles += 1;
            self.count_sent(MessageKind::Settle);
            let owner = self.setup.node.clone();
            let request = SettleRequest { key, owner, agent: recipient.agent };
            actions.push(Action::Settle { agent: agent.clone(), request });
        }
    }

    /// Applies an agent's reply to a settle request.
    pub(crate) fn settle_replied(
        &mut self,
        now: Time,
        agent: &NodeName,
        key: TaskKey,
        reply: Option<SettleReply>,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.id(agent) else { return };
        match reply {
            None => self.add_unsettled(now, target, key, actions),
            Some(SettleReply::NotRun) => self.place_again(now, key, actions),
            Some(SettleReply::Ended(outcome)) => self.task_ended(now, key, outcome, actions),
            Some(SettleReply::OutcomeDropped) => self.outcome_dropped(key, actions),
            Some(SettleReply::Unknown) => {
                self.task_lost(now, key, "its agent restarted since", actions);
            }
        }
    }

    /// Gives up the unsettled tasks of a dead agent process; they may have run.
    pub(crate) fn agent_dead(&mut self, now: Time, agent: &NodeName, actions: &mut Vec<Action>) {
        let Some(target) = self.targets.id(agent) else { return };
        let state = self.targets.get_mut(target);
        if state.session.is_some() {
            return;
        }
        state.dead = true;
        for key in std::mem::take(&mut state.unsettled) {
            self.task_lost(now, key, "its agent is gone", actions);
        }
    }
}
