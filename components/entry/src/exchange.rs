//! Sessions with agents and the exchange of slot tokens.

use model::{NodeName, Time};
use placement::{Profile, TargetId};
use telemetry::MessageKind;
use wire::{AgentInfo, SyncReply, SyncRequest};

use crate::{Action, Connection, Entry, LogEvent};

/// Penalty of a straggling target: it is used when no other has an idle slot.
const STRAGGLING: u8 = 1;
/// Penalty of a target whose host may be dead.
const SUSPECTED: u8 = 2;

impl Entry {
    /// A session with an agent opened.
    pub(crate) fn up(
        &mut self,
        now: Time,
        connection: Connection,
        info: &AgentInfo,
        out: &mut Vec<Action>,
    ) {
        let known = self.targets.id(&info.agent.name);
        if let Some(target) = known {
            self.leave_pool(target);
        }
        let target = self.targets.up(info, connection, &self.setup.hall, now);
        out.push(Action::Log(LogEvent::TargetConnected(info.agent.clone())));
        if !self.targets.get(target).leaving {
            self.set_profile(target);
            self.services.entry(info.service.clone()).or_default().slots += info.slots;
        }
        self.ask_fates(target, out);
        self.dispatch(now, &info.service, out);
    }

    /// A connection is gone: its tokens are void.
    pub(crate) fn down(&mut self, agent: &NodeName, connection: Connection, out: &mut Vec<Action>) {
        let Some(target) = self.targets.on(agent, connection) else { return };
        self.leave_pool(target);
        self.targets.get_mut(target).link = None;
        out.push(Action::Log(LogEvent::TargetDisconnected(agent.clone())));
    }

    /// The platform says that a host leaves: no new work for its target.
    pub(crate) fn leaving(&mut self, agent: &NodeName, out: &mut Vec<Action>) {
        let Some(target) = self.targets.id(agent) else { return };
        if self.targets.get(target).leaving {
            return;
        }
        self.leave_pool(target);
        self.targets.get_mut(target).leaving = true;
        out.push(Action::Log(LogEvent::TargetLeaving(agent.clone())));
    }

    /// Takes a target out of its service's pool.
    fn leave_pool(&mut self, target: TargetId) {
        let at = self.targets.get(target);
        let Some(service) = self.services.get_mut(&at.service) else { return };
        service.set_asked(target, 0);
        if service.pool.contains(target) {
            service.pool.remove(target);
            service.slots -= at.slots;
        }
    }

    /// Ranks a target by what is known of it.
    pub(crate) fn set_profile(&mut self, target: TargetId) {
        let at = self.targets.get(target);
        let straggling = if at.straggling { STRAGGLING } else { 0 };
        let penalty = if at.suspected { SUSPECTED } else { straggling };
        let profile = Profile { remote: at.remote, rack: at.rack, penalty };
        let usable = at.link.is_some() && !at.leaving;
        if usable {
            self.services.entry(at.service.clone()).or_default().pool.set(target, profile);
        }
    }

    /// The failure detector suspects an agent's host, or no longer does.
    pub(crate) fn suspected(&mut self, agent: &NodeName, suspected: bool) {
        let Some(target) = self.targets.id(agent) else { return };
        self.targets.get_mut(target).suspected = suspected;
        self.set_profile(target);
    }

    /// Notes that an agent was heard of.
    pub(crate) fn hear(&mut self, target: TargetId, now: Time) {
        if let Some(link) = &mut self.targets.get_mut(target).link {
            link.heard = now;
        }
    }

    /// Adds tokens that came from a target.
    pub(crate) fn add_tokens(&mut self, target: TargetId, count: u32) {
        let at = self.targets.get(target);
        if let Some(service) = self.services.get_mut(&at.service) {
            service.pool.add(target, count);
        }
    }

    /// Asks targets in turn for the tokens that are missing.
    pub(crate) fn ask_for_tokens(&mut self, now: Time, name: &str, out: &mut Vec<Action>) {
        let Some(service) = self.services.get_mut(name) else { return };
        let needed = service.tokens_needed();
        if needed == 0 {
            return;
        }
        let targets = service.pool.len().max(1) as u32;
        let waiting = u32::try_from(service.queue.tasks()).unwrap_or(u32::MAX);
        let each = needed.div_ceil(targets).max(waiting.div_ceil(targets));
        let mut round = service.next_to_ask(each);
        round.truncate(needed.div_ceil(each.max(1)) as usize);
        for target in round {
            let Some(service) = self.services.get_mut(name) else { return };
            service.asked_last = target;
            service.set_asked(target, each);
            self.exchange(now, target, 0, out);
        }
    }

    /// Sends an exchange to a target.
    fn exchange(&mut self, now: Time, target: TargetId, returned: u32, out: &mut Vec<Action>) {
        let at = self.targets.get_mut(target);
        let agent = at.node.name.clone();
        let service = self.services.get_mut(&at.service);
        let wanted = service.map_or(0, |service| service.wanted_now(target));
        let Some(link) = &mut at.link else { return };
        link.exchanges += 1;
        link.heard = now.max(link.heard);
        let request = SyncRequest { wanted, returned };
        let connection = link.connection;
        self.sent(MessageKind::Sync);
        out.push(Action::Sync { agent, connection, request });
    }

    /// Takes an agent's side of an exchange.
    pub(crate) fn synced(
        &mut self,
        now: Time,
        agent: &NodeName,
        connection: Connection,
        reply: Option<SyncReply>,
        out: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.on(agent, connection) else { return };
        let Some(reply) = reply else { return };
        self.hear(target, now);
        if let Some(link) = &mut self.targets.get_mut(target).link {
            link.exchanges = link.exchanges.saturating_sub(1);
        }
        if reply.leaving {
            return self.leaving(agent, out);
        }
        let service = self.targets.get(target).service.clone();
        if let Some(service) = self.services.get_mut(&service) {
            let asked = service.asked_of(target).saturating_sub(reply.granted);
            service.set_asked(target, if reply.void { 0 } else { asked });
            if reply.void {
                service.pool.take(target, u32::MAX);
            }
            service.pool.add(target, reply.granted);
        }
        self.dispatch(now, &service, out);
        self.keep_session(now, target, reply.recalled, out);
    }

    /// Keeps an exchange open with a target that lends tokens, so that they can be asked back.
    pub(crate) fn keep_exchange(&mut self, now: Time, target: TargetId, out: &mut Vec<Action>) {
        self.keep_session(now, target, 0, out);
    }

    /// Gives recalled tokens back, and renews the lease of those that are kept.
    fn keep_session(&mut self, now: Time, target: TargetId, recalled: u32, out: &mut Vec<Action>) {
        let at = self.targets.get(target);
        let Some(link) = at.link else { return };
        let Some(service) = self.services.get_mut(&at.service) else { return };
        let returned = service.pool.take(target, recalled);
        let holds = service.pool.idle_of(target) > 0 || service.asked_of(target) > 0;
        if recalled > 0 && returned == 0 {
            // The agent's asking back and this answer move nothing.
            self.counters.messages.wasted(MessageKind::Sync, 2);
        }
        if recalled > 0 || (holds && link.exchanges == 0) {
            self.exchange(now, target, returned, out);
        }
    }

    /// Gives up the tokens of agents that were silent for a lease.
    pub(crate) fn end_silent_leases(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(lease) = self.catalog.as_ref().map(|catalog| catalog.fleet().token_lease) else {
            return;
        };
        for target in self.targets.ids() {
            let at = self.targets.get(target);
            if at.link.is_none_or(|link| now.since(link.heard) <= lease) {
                continue;
            }
            let name = at.node.name.clone();
            let Some(service) = self.services.get_mut(&at.service) else { continue };
            let idle = service.pool.take(target, u32::MAX);
            if idle > 0 {
                out.push(Action::Log(LogEvent::LeaseEnded(name, idle)));
            }
            service.set_asked(target, 0);
        }
    }
}
