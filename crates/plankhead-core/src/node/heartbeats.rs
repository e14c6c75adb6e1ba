//! Handling of worker heartbeats: answering, deferring, redirecting and relaying them.

use super::shards::HolderRoute;
use super::Node;
use crate::effects::StepTime;
use crate::holder::ShardEpoch;
use crate::leader::LeaderRoute;
use crate::protocol::{Heartbeat, HeartbeatPath, LogLevel, MachineName, RequestId, Response, WorkerCommand};
use crate::token_range::WorkerTokens;
use std::collections::HashMap;
use std::time::Duration;

/// If a redirected worker sends this node another heartbeat after more than this time, but within
/// `REDIRECT_TIMEOUT`, it is taken not to have reached the node that it was redirected to.
const MIN_REDIRECT_AGE: Duration = Duration::from_secs(1);
/// The age from which a redirect is ignored: a worker that returns this late may have reached the other
/// node in the meantime.
const REDIRECT_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum number of redirected workers that a node keeps track of.
const MAX_REDIRECTED_WORKERS: usize = 10_000;

/// How long a heartbeat is deferred while the leader or holder on this node loads its state. The
/// worker gives up after 4 s.
const DEFERRAL_TIMEOUT: Duration = Duration::from_millis(2500);
/// The same for a relayed heartbeat. The peer that relayed it gives up after 1.5 s.
const RELAYED_DEFERRAL_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of heartbeats that are deferred at the same time.
const MAX_DEFERRED_HEARTBEATS: usize = 16_384;

/// The retry delay for workers that this node can't answer now.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A heartbeat whose answer is deferred until this node has loaded its state or the deadline passes.
#[derive(Debug)]
pub(super) struct DeferredHeartbeat {
    request: RequestId,
    pub heartbeat: Heartbeat,
    relayed: bool,
    pub deadline: Duration,
}

/// The node that a worker is redirected to.
struct RedirectTarget {
    host: String,
    /// The leader's fencing token, or the epoch of the machine's shard.
    token: u64,
}

/// The latest redirect of a worker.
#[derive(Debug)]
struct Redirect {
    /// The token or epoch of the node that the worker was redirected to.
    token: u64,
    redirected_at: Duration,
}

/// Workers that this node has redirected to other nodes.
#[derive(Debug, Default)]
pub(super) struct RedirectedWorkers {
    by_machine: HashMap<MachineName, Redirect>,
}

impl RedirectedWorkers {
    /// Whether the worker was redirected to the node with this token and has returned without
    /// reaching it.
    fn has_returned(&self, machine: &MachineName, token: u64, now: Duration) -> bool {
        self.by_machine.get(machine).is_some_and(|redirect| {
            let age = now.saturating_sub(redirect.redirected_at);
            redirect.token == token && age > MIN_REDIRECT_AGE && age < REDIRECT_TIMEOUT
        })
    }

    /// Records a redirect, unless the table is full of redirects that have not timed out.
    fn record(&mut self, machine: MachineName, token: u64, now: Duration) {
        if self.by_machine.len() >= MAX_REDIRECTED_WORKERS {
            self.by_machine
                .retain(|_, redirect| now.saturating_sub(redirect.redirected_at) < REDIRECT_TIMEOUT);
        }
        if self.by_machine.len() < MAX_REDIRECTED_WORKERS {
            self.by_machine.insert(machine, Redirect { token, redirected_at: now });
        }
    }
}

impl Node {
    /// Answers a heartbeat, or defers it while this node loads the state that the answer needs.
    pub(super) fn receive_heartbeat(
        &mut self,
        times: StepTime,
        request: RequestId,
        heartbeat: Heartbeat,
        relayed: bool,
    ) {
        if self.awaits_term_check(&heartbeat) {
            self.verify_term(times.now);
        }
        if self.deferred_heartbeats.len() < MAX_DEFERRED_HEARTBEATS && self.must_defer(&heartbeat, times.now)
        {
            let timeout = if relayed { RELAYED_DEFERRAL_TIMEOUT } else { DEFERRAL_TIMEOUT };
            let deadline = times.now + timeout;
            self.deferred_heartbeats.push(DeferredHeartbeat { request, heartbeat, relayed, deadline });
            return;
        }
        self.answer_heartbeat(times, request, heartbeat, relayed);
    }

    /// Answers a heartbeat, and logs the ends that the answer acknowledges.
    fn answer_heartbeat(&mut self, times: StepTime, request: RequestId, heartbeat: Heartbeat, relayed: bool) {
        let (machine, seen) = (heartbeat.machine.clone(), heartbeat.token);
        let response = self.handle_heartbeat(times, heartbeat, relayed);
        if let Response::Commands { token, commands } = &response {
            let is_acknowledgement =
                |command: &&WorkerCommand| matches!(command, WorkerCommand::Acknowledge { .. });
            let ends = commands.iter().filter(is_acknowledgement).count();
            if ends > 0 {
                let text =
                    format!("ends acknowledged: machine={machine} ends={ends} token={token} seen={seen}");
                self.effects.log(LogLevel::Debug, text);
            }
        }
        self.effects.respond(request, response);
    }

    fn handle_heartbeat(&mut self, times: StepTime, mut heartbeat: Heartbeat, relayed: bool) -> Response {
        let now = times.now;
        let range = self.token_range(&heartbeat);
        let tokens = WorkerTokens { range, seen_by_worker: heartbeat.token };
        heartbeat.token = range.base_of(heartbeat.token);
        // With sharding, a worker's token applies to one shard, so the guard must not compare it with the
        // tokens of leaders.
        if self.sharding.is_none() {
            self.token_guard.report(heartbeat.token);
        }
        self.record_link_evidence(&heartbeat, relayed, now);
        self.reclaimer.observe_heartbeat(&heartbeat);
        let node_is_disconnected = !self.election.is_lease_valid(now) && !self.peers.any_alive(now);
        if let Some(leader) = &mut self.leader {
            match leader.route(&heartbeat) {
                LeaderRoute::Own => {
                    return leader.handle_heartbeat(
                        times,
                        heartbeat,
                        HeartbeatPath { tokens, relayed, node_is_disconnected },
                        &self.requests,
                        &mut self.effects,
                    );
                }
                LeaderRoute::Holder { host, epoch } => {
                    let holder = RedirectTarget { host, token: epoch };
                    return self.redirect(now, heartbeat, holder, relayed);
                }
                LeaderRoute::HolderUnknown => {
                    return Response::Unavailable { retry_after: RETRY_AFTER };
                }
                LeaderRoute::Superseded => {}
            }
            // The worker has seen a later token than this leader's, so this node steps down.
            let change = self.election.step_down();
            self.apply_leadership(times, change);
        }
        self.handle_heartbeat_as_follower(times, heartbeat, tokens, relayed)
    }

    /// Answers a heartbeat as the holder of the machine's shard, or redirects the worker to the
    /// node that answers it.
    fn handle_heartbeat_as_follower(
        &mut self,
        times: StepTime,
        heartbeat: Heartbeat,
        tokens: WorkerTokens,
        relayed: bool,
    ) -> Response {
        let now = times.now;
        match self.holder_route(&heartbeat, now) {
            HolderRoute::Own(shard_epoch) => {
                return self.handle_heartbeat_as_holder(times, &heartbeat, shard_epoch, tokens, relayed);
            }
            HolderRoute::Other { host, epoch } => {
                let holder = RedirectTarget { host, token: epoch };
                return self.redirect(now, heartbeat, holder, relayed);
            }
            HolderRoute::Leader => {}
        }
        let min_token = self.term_evidence.base_of(heartbeat.token).max(self.highest_seen_token());
        match self.known_leader(now, min_token) {
            Some(leader) => {
                let target = RedirectTarget { host: leader.host, token: leader.token };
                self.redirect(now, heartbeat, target, relayed)
            }
            None => Response::Redirect { host: None },
        }
    }

    /// Redirects a worker to the node that answers it. If the worker can't reach that node, the
    /// heartbeat is relayed there instead, unless a peer has already relayed it to this node.
    fn redirect(
        &mut self,
        now: Duration,
        heartbeat: Heartbeat,
        target: RedirectTarget,
        relayed: bool,
    ) -> Response {
        let RedirectTarget { host, token } = target;
        // A worker that already knows the node's token, or has returned from a redirect to the node,
        // can't reach it.
        let unreachable =
            token == heartbeat.token || self.redirected_workers.has_returned(&heartbeat.machine, token, now);
        if unreachable && !relayed {
            return Response::Relay { host };
        }
        self.redirected_workers.record(heartbeat.machine, token, now);
        Response::Redirect { host: Some(host) }
    }

    /// Answers a heartbeat as the holder of the machine's shard.
    fn handle_heartbeat_as_holder(
        &mut self,
        times: StepTime,
        heartbeat: &Heartbeat,
        shard_epoch: ShardEpoch,
        tokens: WorkerTokens,
        relayed: bool,
    ) -> Response {
        let now = times.now;
        let evidence = self.holder_evidence(now);
        let node_is_disconnected = self.is_holder_disconnected(evidence, now);
        let Some(sharding) = &mut self.sharding else { return Response::Redirect { host: None } };
        let path = HeartbeatPath { tokens, relayed, node_is_disconnected };
        sharding.holder.handle_heartbeat(times, heartbeat, shard_epoch, path, evidence)
    }

    /// Whether a heartbeat must be deferred, because the leader or holder on this node that answers
    /// it is still loading its state, or because the worker's token may belong to a later term.
    fn must_defer(&self, heartbeat: &Heartbeat, now: Duration) -> bool {
        if self.awaits_term_check(heartbeat) {
            return true;
        }
        if let Some(leader) = &self.leader {
            return leader.is_loading() && matches!(leader.route(heartbeat), LeaderRoute::Own);
        }
        let is_loading = self.sharding.as_ref().is_some_and(|sharding| sharding.holder.is_loading());
        is_loading && matches!(self.holder_route(heartbeat, now), HolderRoute::Own(_))
    }

    /// Records what a heartbeat shows about the links between this node and the workers.
    fn record_link_evidence(&mut self, heartbeat: &Heartbeat, relayed: bool, now: Duration) {
        let Some(reachability) = &mut self.reachability else { return };
        reachability.heartbeat_arrived(&heartbeat.machine, relayed, now);
        if let Some(confirmed) = self.leader.as_ref().and_then(|leader| leader.confirms_response(heartbeat)) {
            reachability.answer_confirmed(confirmed, now);
        }
    }

    /// Answers the deferred heartbeats that no longer wait for loading or whose deadline has passed.
    pub(super) fn answer_deferred(&mut self, times: StepTime) {
        let deferred = std::mem::take(&mut self.deferred_heartbeats);
        let (waiting, due): (Vec<DeferredHeartbeat>, Vec<DeferredHeartbeat>) =
            deferred.into_iter().partition(|deferred| {
                times.now < deferred.deadline && self.must_defer(&deferred.heartbeat, times.now)
            });
        if waiting.iter().any(|deferred| self.awaits_term_check(&deferred.heartbeat)) {
            self.verify_term(times.now);
        }
        self.deferred_heartbeats = waiting;
        for DeferredHeartbeat { request, heartbeat, relayed, .. } in due {
            self.answer_heartbeat(times, request, heartbeat, relayed);
        }
    }
}
