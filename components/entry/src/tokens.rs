//! Sessions with agents and the exchange of slot tokens with them.

use model::{NodeName, Time};
use placement::{TargetId, TargetProfile};
use telemetry::MessageKind;
use wire::{AgentInfo, SyncReply, SyncRequest};

use crate::{Action, Connection, Entry, LogEvent};

/// Placement penalty of a straggling target: used when no other target has an idle token.
const STRAGGLING_PENALTY: u8 = 1;
/// Placement penalty of a target whose host the failure detector suspects.
const SUSPECTED_PENALTY: u8 = 2;

impl Entry {
    /// Registers the session of an agent, adds its target to the pool of its service and settles
    /// its unsettled tasks.
    pub(crate) fn agent_connected(
        &mut self,
        now: Time,
        connection: Connection,
        info: &AgentInfo,
        actions: &mut Vec<Action>,
    ) {
        let known = self.targets.id(&info.agent.name);
        if let Some(target) = known {
            self.remove_from_pool(target);
        }
        let target = self.targets.connect(info, connection, &self.setup.hall, now);
        actions.push(Action::Log(LogEvent::TargetConnected(info.agent.clone())));
        if !self.targets.get(target).leaving {
            self.update_profile(target);
            self.services.entry(info.service.clone()).or_default().slots += info.slots;
        }
        self.send_settles(target, actions);
        self.dispatch(now, &info.service, actions);
    }

    /// Removes the target of a closed connection from its pool and voids its tokens.
    pub(crate) fn agent_disconnected(
        &mut self,
        agent: &NodeName,
        connection: Connection,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.on_connection(agent, connection) else { return };
        self.remove_from_pool(target);
        self.targets.get_mut(target).session = None;
        actions.push(Action::Log(LogEvent::TargetDisconnected(agent.clone())));
    }

    /// Marks a target as leaving and removes it from its pool, so that it gets no new work.
    pub(crate) fn agent_leaving(&mut self, agent: &NodeName, actions: &mut Vec<Action>) {
        let Some(target) = self.targets.id(agent) else { return };
        if self.targets.get(target).leaving {
            return;
        }
        self.remove_from_pool(target);
        self.targets.get_mut(target).leaving = true;
        actions.push(Action::Log(LogEvent::TargetLeaving(agent.clone())));
    }

    /// Removes a target with its tokens and slots from the pool of its service.
    fn remove_from_pool(&mut self, target: TargetId) {
        let state = self.targets.get(target);
        let Some(service) = self.services.get_mut(&state.service) else { return };
        service.set_requested(target, 0);
        if service.pool.contains(target) {
            service.pool.remove(target);
            service.slots -= state.slots;
        }
    }

    /// Adds a usable target to the pool of its service, or updates its rank there.
    pub(crate) fn update_profile(&mut self, target: TargetId) {
        let state = self.targets.get(target);
        let straggling = if state.straggling { STRAGGLING_PENALTY } else { 0 };
        let penalty = if state.suspected { SUSPECTED_PENALTY } else { straggling };
        let profile = TargetProfile { remote: state.remote, rack: state.rack, penalty };
        let usable = state.session.is_some() && !state.leaving;
        if usable {
            self.services.entry(state.service.clone()).or_default().pool.upsert(target, profile);
        }
    }

    /// Applies a change of the failure detector's suspicion to the rank of a target.
    pub(crate) fn suspicion_changed(&mut self, agent: &NodeName, suspected: bool) {
        let Some(target) = self.targets.id(agent) else { return };
        self.targets.get_mut(target).suspected = suspected;
        self.update_profile(target);
    }

    /// Records the time of a message from an agent, which renews the lease of its tokens.
    pub(crate) fn record_contact(&mut self, target: TargetId, now: Time) {
        if let Some(session) = &mut self.targets.get_mut(target).session {
            session.last_contact = now;
        }
    }

    /// Adds tokens that a target granted or returned to the pool.
    pub(crate) fn add_tokens(&mut self, target: TargetId, count: u32) {
        let state = self.targets.get(target);
        if let Some(service) = self.services.get_mut(&state.service) {
            service.pool.add_tokens(target, count);
        }
    }

    /// Requests the missing tokens of a service from its targets, round-robin.
    pub(crate) fn request_tokens(&mut self, now: Time, name: &str, actions: &mut Vec<Action>) {
        let Some(service) = self.services.get_mut(name) else { return };
        let needed = service.tokens_needed();
        if needed == 0 {
            return;
        }
        let target_count = service.pool.len().max(1) as u32;
        let waiting = u32::try_from(service.queue.waiting_tasks()).unwrap_or(u32::MAX);
        let per_target = needed.div_ceil(target_count).max(waiting.div_ceil(target_count));
        let mut targets = service.next_request_targets(per_target);
        targets.truncate(needed.div_ceil(per_target.max(1)) as usize);
        for target in targets {
            let Some(service) = self.services.get_mut(name) else { return };
            service.last_requested = target;
            service.set_requested(target, per_target);
            self.send_sync(now, target, 0, actions);
        }
    }

    /// Sends a token exchange to a target.
    fn send_sync(&mut self, now: Time, target: TargetId, returned: u32, actions: &mut Vec<Action>) {
        let state = self.targets.get_mut(target);
        let agent = state.node.name.clone();
        let service = self.services.get_mut(&state.service);
        let wanted = service.map_or(0, |service| service.update_wanted(target));
        let Some(session) = &mut state.session else { return };
        session.pending_syncs += 1;
        session.last_contact = now.max(session.last_contact);
        let request = SyncRequest { wanted, returned };
        let connection = session.connection;
        self.count_sent(MessageKind::Sync);
        actions.push(Action::Sync { agent, connection, request });
    }

    /// Applies an agent's reply to a token exchange: grants, recalls, voided tokens.
    pub(crate) fn sync_replied(
        &mut self,
        now: Time,
        agent: &NodeName,
        connection: Connection,
        reply: Option<SyncReply>,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.on_connection(agent, connection) else { return };
        let Some(reply) = reply else { return };
        self.record_contact(target, now);
        if let Some(session) = &mut self.targets.get_mut(target).session {
            session.pending_syncs = session.pending_syncs.saturating_sub(1);
        }
        if reply.leaving {
            return self.agent_leaving(agent, actions);
        }
        let service = self.targets.get(target).service.clone();
        if let Some(service) = self.services.get_mut(&service) {
            let requested = service.requested_from(target).saturating_sub(reply.granted);
            service.set_requested(target, if reply.void { 0 } else { requested });
            if reply.void {
                service.pool.take_tokens(target, u32::MAX);
            }
            service.pool.add_tokens(target, reply.granted);
        }
        self.dispatch(now, &service, actions);
        self.return_recalled(now, target, reply.recalled, actions);
    }

    /// Keeps an exchange open with a target that lends tokens, so that it can recall them.
    pub(crate) fn keep_sync_open(
        &mut self,
        now: Time,
        target: TargetId,
        actions: &mut Vec<Action>,
    ) {
        self.return_recalled(now, target, 0, actions);
    }

    /// Returns recalled tokens and keeps an exchange open while tokens are held or requested.
    fn return_recalled(
        &mut self,
        now: Time,
        target: TargetId,
        recalled: u32,
        actions: &mut Vec<Action>,
    ) {
        let state = self.targets.get(target);
        let Some(session) = state.session else { return };
        let Some(service) = self.services.get_mut(&state.service) else { return };
        let returned = service.pool.take_tokens(target, recalled);
        let holds = service.pool.idle_tokens_of(target) > 0 || service.requested_from(target) > 0;
        if recalled > 0 && returned == 0 {
            // The recall and this reply move no token.
            self.counters.messages.wasted(MessageKind::Sync, 2);
        }
        if recalled > 0 || (holds && session.pending_syncs == 0) {
            self.send_sync(now, target, returned, actions);
        }
    }

    /// Drops the idle tokens of agents whose token lease has expired.
    pub(crate) fn expire_leases(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(lease) = self.catalog.as_ref().map(|catalog| catalog.fleet().token_lease) else {
            return;
        };
        for target in self.targets.ids() {
            let state = self.targets.get(target);
            if state.session.is_none_or(|session| now.since(session.last_contact) <= lease) {
                continue;
            }
            let name = state.node.name.clone();
            let Some(service) = self.services.get_mut(&state.service) else { continue };
            let idle = service.pool.take_tokens(target, u32::MAX);
            if idle > 0 {
                actions.push(Action::Log(LogEvent::LeaseEnded(name, idle)));
            }
            service.set_requested(target, 0);
        }
    }
}
