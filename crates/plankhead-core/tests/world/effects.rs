//! Carries out the effects of the nodes: calls, responses and messages.

use super::deployment::{ms, secs};
use super::events::SimEvent;
use super::requests::{PendingRequest, Watch};
use super::script::Trigger;
use super::{cuts, fencing, World, SIM_START};
use plankhead_core::protocol::{
    CallError, CallId, CloudRequest, CommandReply, Effect, Event, KvChange, KvReply, KvRequest, MachineName,
    PeerHeartbeat, RequestId, Response, WorkerCommand,
};
use plankhead_core::shards::messages::Delivery;
use std::time::Duration;

pub(super) fn involves_prefix(request: &KvRequest, prefix: &str) -> bool {
    match request {
        KvRequest::List { prefix: p, .. } => p == prefix,
        KvRequest::Txn { changes, .. } => {
            changes.iter().any(|c| matches!(c, KvChange::Put { key, .. } if key.starts_with(prefix)))
        }
        _ => false,
    }
}

impl World {
    /// Handles an effect of a node that is cut off from the network. Calls, commands and messages
    /// about shards arrive when the cut ends, but the node gets no reply. Everything else is lost,
    /// watches included.
    pub(super) fn delay_effect(&mut self, actor: fencing::Actor, effect: Effect, held: Duration) {
        let fencing::Actor { node, boot, .. } = actor;
        let reply = match effect {
            Effect::CallKv { call, request } => {
                if !matches!(request, KvRequest::Watch { .. }) {
                    self.schedule_in(
                        held,
                        SimEvent::KvRequestArrives { node, boot, call, request, answered: false },
                    );
                }
                Event::KvReply { call, reply: Err(CallError::OutcomeUnknown) }
            }
            Effect::CallCloud { call, request } => {
                self.schedule_in(
                    held,
                    SimEvent::CloudRequestArrives { actor, call, request, answered: false },
                );
                Event::CloudReply { call, reply: Err(CallError::OutcomeUnknown) }
            }
            Effect::SendCommands { call, address, token, incarnation, commands } => {
                let machine: MachineName = address.as_ref().trim_start_matches("at-").into();
                let late =
                    SimEvent::CommandsArrive { node, boot: 0, call, machine, token, incarnation, commands };
                self.schedule_in(held, late);
                Event::CommandReply { call, reply: CommandReply::Unanswered }
            }
            Effect::InspectWorker { call, .. } => {
                Event::CommandReply { call, reply: CommandReply::Unanswered }
            }
            Effect::SendShardMessage { call, to, message } => {
                self.deliver_shard_message_late(held, &to, message);
                Event::ShardMessageDelivery { call, delivery: Delivery::NoResponse }
            }
            _ => return,
        };
        self.schedule_in(ms(1200), SimEvent::DeliverToNode { node, boot, event: reply });
    }

    pub(super) fn perform(&mut self, actor: fencing::Actor, effect: Effect) {
        let fencing::Actor { node, boot, .. } = actor;
        let inside = match &effect {
            Effect::Respond { request, .. } => match self.pending_requests.get(&(node, boot, *request)) {
                Some((_, PendingRequest::Heartbeat { machine, .. })) => self.within_cut_zone(node, machine),
                _ => false,
            },
            Effect::SendCommands { address, .. } | Effect::InspectWorker { address, .. } => {
                self.within_cut_zone(node, address.trim_start_matches("at-"))
            }
            Effect::Log(..) => true,
            _ => false,
        };
        if self.now < self.node_cut_until[node] && !inside {
            let held = self.node_cut_until[node] - self.now;
            return self.delay_effect(actor, effect, held);
        }
        if self.stop_call_faults && self.now > self.faults_over_at {
            let t = &mut self.faults;
            (
                t.lost_replies,
                t.slow_kv,
                t.delayed_commands,
                t.duplicate_heartbeats,
                t.duplicates_for_next_leader,
                t.repeated_commands,
                t.repeats_after_changes,
            ) = (0.0, false, 0.0, 0.0, 0.0, 0.0, 0.0);
        }
        let Some(effect) = self.apply_link_cuts(actor, effect) else { return };
        match effect {
            Effect::Respond { request, response } => self.respond(actor, request, response),
            // The previous version does not use the `node/` keys.
            Effect::CallKv { request, .. }
                if self.runs_old_version[node] && involves_prefix(&request, "node/") => {}
            Effect::CallKv { call, request } => self.call_kv(actor, call, request),
            Effect::CallCloud { call, request } => self.call_cloud(actor, call, request),
            effect @ Effect::SendCommands { .. } => self.send_commands(actor, effect),
            Effect::InspectWorker { call, address } => self.inspect_worker(actor, call, &address),
            Effect::SendPeerHeartbeat(peer_heartbeat) => self.send_peer_heartbeat(node, peer_heartbeat),
            Effect::SendCoverage(coverage) => self.send_coverage(node, boot, coverage),
            Effect::SendShardMessage { call, to, message } => {
                self.send_shard_message((node, boot, call), &to, message)
            }
            Effect::Log(_, text) => {
                if self.log {
                    println!("{:.3} plank-{node} {text}", (self.now - SIM_START).as_secs_f64());
                }
            }
        }
    }

    /// Delivers a response to a user, worker or peer.
    fn respond(&mut self, actor: fencing::Actor, request: RequestId, response: Response) {
        let fencing::Actor { node, boot, .. } = actor;
        if let Response::Commands { token, commands } = &response {
            if let Some((_, PendingRequest::Heartbeat { machine, .. })) =
                self.pending_requests.get(&(node, boot, request))
            {
                let machine = machine.clone();
                self.last_heartbeat_response_at = self.now;
                self.check_command_source(actor, machine, *token);
            }
            self.check_commands(*token, commands);
        }
        if let Some((since, pending_request)) = self.pending_requests.remove(&(node, boot, request)) {
            self.answered_request_sent_at = since;
            self.handle_response(pending_request, response);
        }
    }

    /// Sends a request to the state service, which may be refused, lost, late or slow.
    fn call_kv(&mut self, actor: fencing::Actor, call: CallId, request: KvRequest) {
        let fencing::Actor { node, boot, .. } = actor;
        self.trigger_on_intent_write(&request);
        let list_refused = matches!(request, KvRequest::List { .. }) && self.now < self.lists_refused_until;
        let refused = self.now < self.outage_until || self.now < self.refused_until[node] || list_refused;
        if refused && !matches!(request, KvRequest::Watch { .. }) {
            return self.reply_kv(node, boot, call, Err(CallError::Refused));
        }
        let lost = self.chance(self.faults.lost_replies);
        let late = lost && self.chance(self.faults.late_requests);
        let slowest = if self.faults.slow_kv { 900 } else { 15 };
        let delay = if late { self.random_ms(2000, 20_000) } else { self.random_ms(2, slowest) };
        if lost {
            self.schedule_in(
                ms(1200),
                SimEvent::DeliverToNode {
                    node,
                    boot,
                    event: Event::KvReply { call, reply: Err(CallError::OutcomeUnknown) },
                },
            );
            if self.chance(0.3) {
                return;
            }
        }
        self.schedule_in(delay, SimEvent::KvRequestArrives { node, boot, call, request, answered: !lost });
    }

    /// Sends a request to the cloud, which may be lost or late.
    fn call_cloud(&mut self, actor: fencing::Actor, call: CallId, request: CloudRequest) {
        let node = actor.node;
        if matches!(request, CloudRequest::Execute(_)) {
            self.trigger(Trigger::CloudActionSent);
        }
        if self.holds_effects[node] && self.now < self.paused_until[node] {
            let effect = Box::new(Effect::CallCloud { call, request });
            return self.schedule_in(self.paused_until[node] - self.now, SimEvent::Perform { actor, effect });
        }
        let answered = !self.chance(self.faults.lost_replies);
        let delay = if answered { ms(100) } else { self.random_ms(100, 20_000) };
        self.schedule_in(delay, SimEvent::CloudRequestArrives { actor, call, request, answered });
    }

    /// Sends commands directly to a worker; they may be delayed.
    fn send_commands(&mut self, actor: fencing::Actor, effect: Effect) {
        let fencing::Actor { node, boot, .. } = actor;
        let Effect::SendCommands { call, address, token, incarnation, commands } = effect else {
            return;
        };
        let starts = commands.iter().any(|o| matches!(o, WorkerCommand::Run { .. }));
        assert!(
            !starts || self.timer_lag.is_zero(),
            "a start command was sent directly while the timers lag"
        );
        self.check_commands(token, &commands);
        let machine: MachineName = address.as_ref().trim_start_matches("at-").into();
        self.check_command_source(actor, machine.clone(), token);
        let held = self.faults.delayed_commands > 0.0 && self.chance(self.faults.delayed_commands);
        let delay = if held { self.random_ms(1000, 9000) } else { self.random_ms(1, 5) };
        if delay > secs(2) {
            // The sender gives up, but the commands are executed nevertheless.
            let event = Event::CommandReply { call, reply: CommandReply::Unanswered };
            self.schedule_in(secs(2), SimEvent::DeliverToNode { node, boot, event });
            let boot = 0;
            let late = SimEvent::CommandsArrive { node, boot, call, machine, token, incarnation, commands };
            return self.schedule_in(delay, late);
        }
        self.schedule_in(
            delay,
            SimEvent::CommandsArrive { node, boot, call, machine, token, incarnation, commands },
        );
    }

    /// Asks a worker for its heartbeat. This is like a command that the worker refuses, since no worker has
    /// the incarnation 0.
    fn inspect_worker(&mut self, actor: fencing::Actor, call: CallId, address: &str) {
        let fencing::Actor { node, boot, .. } = actor;
        let machine: MachineName = address.trim_start_matches("at-").into();
        let delay = self.random_ms(1, 5);
        let commands = Vec::new();
        self.schedule_in(
            delay,
            SimEvent::CommandsArrive { node, boot, call, machine, token: 0, incarnation: 0, commands },
        );
    }

    /// Sends a heartbeat to the peers that the node reaches.
    fn send_peer_heartbeat(&mut self, node: usize, peer_heartbeat: PeerHeartbeat) {
        for other in (0..3).filter(|n| *n != node) {
            let peers_cut_until = self.peers_cut_until[node].max(self.peers_cut_until[other]);
            let open = self.now >= self.node_cut_until[other].max(peers_cut_until);
            let reached = open && self.peer_reachable(node, other);
            if let Some((boot, _)) = self.nodes[other].as_ref().filter(|_| reached) {
                let (boot, event) = (*boot, Event::PeerHeartbeat(peer_heartbeat.clone()));
                self.schedule_in(ms(2), SimEvent::DeliverToNode { node: other, boot, event });
            }
        }
    }

    pub(super) fn reply_kv(
        &mut self,
        node: usize,
        boot: u64,
        call: CallId,
        reply: Result<KvReply, CallError>,
    ) {
        // If the service is slow, replies are delayed as well and may contain outdated values.
        let delay = if self.faults.slow_kv { self.random_ms(2, 600) } else { ms(2) };
        self.schedule_in(
            delay,
            SimEvent::DeliverToNode { node, boot, event: Event::KvReply { call, reply } },
        );
    }

    pub(super) fn handle_kv_request(
        &mut self,
        node: usize,
        boot: u64,
        call: CallId,
        request: KvRequest,
        answered: bool,
    ) {
        if self.now < self.outage_until && !matches!(request, KvRequest::Watch { .. }) {
            if answered {
                self.reply_kv(node, boot, call, Err(CallError::Refused));
            }
            return;
        }
        if let KvRequest::Watch { prefix, after, wait } = request {
            if answered && self.is_running(node, boot) {
                self.sequence += 1;
                let id = self.sequence;
                self.watches.push(Watch { id, node, boot, call, prefix, after });
                self.schedule_in(wait, SimEvent::WatchEnds { watch: id });
                self.answer_watches();
            }
            return;
        }
        let changes = match &request {
            KvRequest::Txn { changes, .. } => changes.clone(),
            _ => Vec::new(),
        };
        let reply = self.kv.apply(self.now, request);
        if matches!(reply, Ok(KvReply::Committed { .. })) {
            self.on_committed(&changes);
        }
        if answered {
            self.reply_kv(node, boot, call, reply);
        }
        self.answer_watches();
    }

    pub(super) fn answer_watches(&mut self) {
        if self.now < self.outage_until {
            return;
        }
        let (now, refused, kv) = (self.now, self.refused_until.clone(), &self.kv);
        let cut = self.node_cut_until.clone();
        let watch_cut: Vec<bool> =
            (0..3).map(|node| self.cut_mode_of(node, cuts::Link::Watch).is_some()).collect();
        let open = |node: usize| now >= refused[node].max(cut[node]) && !watch_cut[node];
        let changed = |w: &Watch| open(w.node) && kv.has_changes(&w.prefix, w.after);
        let (ready, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.watches).into_iter().partition(changed);
        self.watches = waiting;
        for watch in ready {
            let reply = Ok(self.kv.changes(&watch.prefix, watch.after));
            self.reply_kv(watch.node, watch.boot, watch.call, reply);
        }
    }

    /// Applies the effects of time alone: leases of keys and workers expire, and preempted machines
    /// end.
    pub(super) fn expire_leases(&mut self) {
        if self.now < self.outage_until {
            self.kv.extend_leases(self.now);
        } else if self.kv.expire_leases(self.now) {
            self.answer_watches();
        }
        for worker in self.workers.values_mut() {
            worker.dead |= worker.preempted_at.is_some_and(|at| self.now >= at);
            if worker.dead {
                worker.died_at.get_or_insert(self.now);
            }
            worker.expire_lease(self.now);
        }
    }
}
