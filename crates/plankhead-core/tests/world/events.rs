//! The events of a simulation and their handling.

use super::deployment::{ms, secs, settings, zone_of};
use super::requests::PendingRequest;
use super::script::{Fault, InvalidRequest, Trigger};
use super::worker::Worker;
use super::{cuts, fencing, shards, World, SIM_START};
use plankhead_core::node::Node;
use plankhead_core::protocol::{
    CallError, CallId, CloudRequest, Effect, Event, Heartbeat, KvRequest, MachineName, RequestId, Response,
    TaskId, WorkerCommand,
};
use rand::RngExt;
use std::time::Duration;

#[derive(Debug, Clone)]
pub enum SimEvent {
    CutNode {
        node: usize,
        until: Duration,
    },
    CutLink(cuts::LinkCut),
    /// Handles the event `again` if the request has not been answered by then.
    RetryUnanswered {
        node: usize,
        boot: u64,
        request: RequestId,
        again: Box<SimEvent>,
    },
    Tick {
        node: usize,
        boot: u64,
    },
    DeliverToNode {
        node: usize,
        boot: u64,
        event: Event,
    },
    KvRequestArrives {
        node: usize,
        boot: u64,
        call: CallId,
        request: KvRequest,
        answered: bool,
    },
    /// Restarts a node with fencing on or off.
    RestartWithFencing {
        node: usize,
        fenced: bool,
    },
    /// Pauses a process for the duration.
    PauseProcess {
        node: usize,
        duration: Duration,
    },
    ResumeProcess {
        node: usize,
        boot: u64,
    },
    /// Performs an effect that was decided before the process was paused.
    Perform {
        actor: fencing::Actor,
        effect: Box<Effect>,
    },
    WatchEnds {
        watch: u64,
    },
    CloudRequestArrives {
        actor: fencing::Actor,
        call: CallId,
        request: CloudRequest,
        answered: bool,
    },
    CommandsArrive {
        node: usize,
        boot: u64,
        call: CallId,
        machine: MachineName,
        token: u64,
        incarnation: u64,
        commands: Vec<WorkerCommand>,
    },
    Heartbeat {
        machine: MachineName,
    },
    HeartbeatAnswered {
        machine: MachineName,
        sent: Duration,
        incarnation: u64,
        sequence: u64,
        response: Response,
    },
    HeartbeatTimedOut {
        machine: MachineName,
        sequence: u64,
    },
    TaskEnds {
        machine: MachineName,
        task: TaskId,
        attempt: u64,
        incarnation: u64,
    },
    ImageFetched {
        machine: MachineName,
        task: TaskId,
        attempt: u64,
        incarnation: u64,
    },
    /// Gives machines notice that the cloud will take them after this time.
    PreemptionNotice {
        notice: Duration,
    },
    CheckGang {
        job: usize,
        attempt: u64,
    },
    GangTimedOut {
        machine: MachineName,
        task: TaskId,
        attempt: u64,
        incarnation: u64,
    },
    /// Upgrades a node of the previous version by a restart.
    Upgrade {
        node: usize,
    },
    /// Lowers the limits of the state service to those in the settings of the current version.
    LowerLimits,
    Submit {
        job: usize,
    },
    Poll {
        job: usize,
    },
    Cancel {
        job: usize,
    },
    Crash {
        node: usize,
    },
    Start {
        node: usize,
    },
    Outage {
        until: Duration,
    },
    RefuseNode {
        node: usize,
        until: Duration,
    },
    CutMachine {
        until: Duration,
    },
    HangMachine {
        until: Duration,
    },
    KillMachine,
    DropResponses {
        until: Duration,
    },
    CutFromKvAndPeers {
        node: usize,
        until: Duration,
    },
    PartitionWorkers {
        node: usize,
        until: Duration,
    },
    /// Delivers a late copy of a heartbeat to a random node.
    DuplicateHeartbeat {
        heartbeat: Heartbeat,
    },
    DuplicateHeartbeatTo {
        node: usize,
        heartbeat: Heartbeat,
    },
    /// Applies a fault to the current leader.
    FaultLeader(Fault),
    /// Applies a fault to the nth node after the current leader or, if there is none, after the first node.
    FaultNode(usize, Fault),
    /// Lets all machines that hang go on.
    ResumeMachines,
    /// Applies a fault to a node that takes part in the latest shard move.
    FaultMoveParty(shards::ShardParty, Fault),
    /// Stops all nodes for the duration.
    StopAllNodes {
        duration: Duration,
    },
    CancelRunningJobs {
        count: usize,
        hang: Duration,
    },
    CutZone {
        zone: &'static str,
        until: Duration,
    },
    DropHeartbeats {
        until: Duration,
    },
    /// The state service refuses to list keys until this time.
    RefuseLists {
        until: Duration,
    },
    SendInvalidRequest {
        invalid: InvalidRequest,
        known: Option<usize>,
    },
    PollAt {
        job: usize,
        node: usize,
    },
    SubmitAt {
        job: usize,
        node: usize,
    },
}

impl World {
    // One match arm for each event.
    #[allow(clippy::too_many_lines)]
    pub(super) fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Start { node } => {
                self.log_event(&format!("plank-{node} starts"));
                self.start_node(node);
            }
            SimEvent::Crash { node } => {
                self.log_event(&format!("plank-{node} crashes"));
                self.crash_node(node);
            }
            SimEvent::Upgrade { node } => {
                self.runs_old_version[node] = false;
                self.kv.mixed_versions = self.runs_old_version.contains(&true);
                self.handle(SimEvent::Crash { node });
            }
            SimEvent::LowerLimits => self.kv.lower_limits(),
            SimEvent::CheckGang { job, attempt } => self.check_gang(job, attempt),
            SimEvent::GangTimedOut { machine, task, attempt, incarnation } => {
                self.gang_wait_timed_out(machine, task, attempt, incarnation);
            }
            SimEvent::PreemptionNotice { notice } => {
                let at = self.now + notice;
                self.change_some_machines(|w| w.preempted_at = w.preempted_at.or(Some(at)));
            }
            SimEvent::Tick { node, boot } => {
                // Outdated if the node has since asked for an earlier wake-up.
                if self.is_running(node, boot) && self.now == self.next_wakes[node] {
                    self.step(node, Vec::new());
                }
            }
            SimEvent::DeliverToNode { node, boot, event } => {
                if self.is_running(node, boot) {
                    self.step(node, vec![event]);
                }
            }
            SimEvent::KvRequestArrives { node, boot, call, request, answered } => {
                self.handle_kv_request(node, boot, call, request, answered);
            }
            SimEvent::WatchEnds { watch } => self.watch_ends(watch),
            SimEvent::CloudRequestArrives { actor, call, request, answered } => {
                self.cloud_request_arrives(actor, call, request, answered)
            }
            SimEvent::CommandsArrive { node, boot, call, machine, token, incarnation, commands } => {
                self.commands_arrive(node, boot, call, machine, token, incarnation, commands);
            }
            SimEvent::RestartWithFencing { node, fenced } => {
                self.fencing[node] = fenced;
                self.handle(SimEvent::Crash { node });
            }
            SimEvent::PauseProcess { node, duration } => self.pause_process(node, duration, false),
            SimEvent::ResumeProcess { node, boot } => self.resume_process(node, boot),
            SimEvent::Perform { actor, effect } => {
                if self.is_running(actor.node, actor.boot) {
                    self.perform(actor, *effect);
                }
            }
            SimEvent::Heartbeat { machine } => self.send_heartbeat(machine),
            SimEvent::HeartbeatAnswered { machine, sent, incarnation, sequence, response } => {
                self.heartbeat_answered(machine, sent, incarnation, sequence, response);
            }
            SimEvent::HeartbeatTimedOut { machine, sequence } => self.heartbeat_timed_out(machine, sequence),
            SimEvent::ImageFetched { machine, task, attempt, incarnation } => {
                self.image_fetched(machine, task, attempt, incarnation)
            }
            SimEvent::TaskEnds { machine, task, attempt, incarnation } => {
                self.task_ends(machine, task, attempt, incarnation)
            }
            SimEvent::RetryUnanswered { node, boot, request, again } => {
                if self.pending_requests.remove(&(node, boot, request)).is_some() {
                    self.handle(*again);
                }
            }
            SimEvent::Submit { job } => self.submit(job),
            SimEvent::Poll { job } => {
                let id = self.jobs[job].id.clone();
                self.send_request(
                    PendingRequest::Poll(job),
                    |request| Event::Poll { request, id },
                    SimEvent::Poll { job },
                );
            }
            SimEvent::Cancel { job } => self.cancel(job),
            SimEvent::Outage { until } => self.outage_until = self.outage_until.max(until),
            SimEvent::RefuseNode { node, until } => self.refused_until[node] = until,
            SimEvent::FaultLeader(fault) => self.fault_leader(fault),
            SimEvent::FaultMoveParty(party, fault) => self.fault_move_party(party, fault),
            SimEvent::FaultNode(nth, fault) => {
                let node = (self.leader().unwrap_or(0) + nth) % 3;
                self.apply_fault(node, fault);
            }
            SimEvent::ResumeMachines => {
                let now = self.now;
                self.workers.values_mut().for_each(|w| w.hung_until = w.hung_until.min(now));
            }
            SimEvent::StopAllNodes { duration } => {
                self.log_event("all nodes stop");
                self.stop_all_nodes(duration);
            }
            SimEvent::CancelRunningJobs { count, hang } => self.cancel_running_jobs(count, hang),
            SimEvent::CutZone { zone, until } => self.cut_zone(zone, until),
            SimEvent::DropHeartbeats { until } => {
                self.change_some_machines(|w| w.heartbeats_dropped_until = until)
            }
            SimEvent::RefuseLists { until } => self.lists_refused_until = until,
            SimEvent::SendInvalidRequest { invalid, known } => self.send_invalid_request(invalid, known),
            SimEvent::PollAt { job, node } => {
                let id = self.jobs[job].id.clone();
                self.send_request_to(
                    node,
                    PendingRequest::Poll(job),
                    |request| Event::Poll { request, id },
                    None,
                );
            }
            SimEvent::SubmitAt { job, node } => self.submit_at(job, node),
            SimEvent::DuplicateHeartbeatTo { node, heartbeat } => self.deliver_duplicate(node, heartbeat),
            SimEvent::CutMachine { until } => self.change_some_machines(|w| w.cut_until = until),
            SimEvent::CutNode { node, until } => self.node_cut_until[node] = until,
            SimEvent::CutLink(cut) => self.cut_link(cut),
            SimEvent::HangMachine { until } => self.change_some_machines(|w| w.hung_until = until),
            SimEvent::KillMachine => self.change_some_machines(|w| w.dead = true),
            SimEvent::DropResponses { until } => {
                self.change_some_machines(|w| w.responses_dropped_until = until)
            }
            SimEvent::CutFromKvAndPeers { node, until } => {
                self.refused_until[node] = until;
                self.peers_cut_until[node] = until;
            }
            SimEvent::PartitionWorkers { node, until } => self.partitioned_until[node] = until,
            SimEvent::DuplicateHeartbeat { mut heartbeat } => {
                heartbeat.incarnation += u64::from(self.faults.falsified_duplicates);
                let node = self.rng.random_range(0..3);
                self.deliver_duplicate(node, heartbeat);
            }
        }
        self.after_event();
    }

    fn start_node(&mut self, node: usize) {
        self.boots += 1;
        let boot = self.boots;
        let kinds = (self.runs_old_version[node], self.fencing[node]);
        self.nodes[node] = Some((
            boot,
            Node::new(settings(&self.deployment, node, boot, self.capacity, kinds, &self.permissions)),
        ));
        self.next_wakes[node] = self.now + ms(1);
        self.paused_until[node] = Duration::ZERO;
        self.backlog[node].clear();
        self.schedule_in(ms(1), SimEvent::Tick { node, boot });
        self.deliver_kept_commands();
    }

    fn crash_node(&mut self, node: usize) {
        if self.nodes[node].take().is_some() {
            self.watches.retain(|w| w.node != node);
            let pause = if self.chance(0.3) { self.random_ms(20, 300) } else { self.random_ms(3000, 6000) };
            self.schedule_in(pause, SimEvent::Start { node });
        }
    }

    /// Prints an event beside the nodes' log.
    fn log_event(&self, text: &str) {
        if self.log {
            println!("{:.3} -- {text}", (self.now - SIM_START).as_secs_f64());
        }
    }

    fn watch_ends(&mut self, watch: u64) {
        if let Some(at) = self.watches.iter().position(|w| w.id == watch) {
            let watch = self.watches.swap_remove(at);
            let cut = self.node_cut_until[watch.node].max(self.refused_until[watch.node]);
            let watch_cut = self.cut_mode_of(watch.node, cuts::Link::Watch).is_some();
            let down = watch_cut || self.now < self.outage_until.max(cut);
            let reply = match down {
                true => Err(CallError::OutcomeUnknown),
                false => Ok(self.kv.changes(&watch.prefix, watch.after)),
            };
            self.reply_kv(watch.node, watch.boot, watch.call, reply);
        }
    }

    fn cloud_request_arrives(
        &mut self,
        actor: fencing::Actor,
        call: CallId,
        request: CloudRequest,
        answered: bool,
    ) {
        let fencing::Actor { node, boot, .. } = actor;
        self.count_cloud_effects(actor, &request);
        let reply = self.handle_cloud_request(request);
        let event =
            Event::CloudReply { call, reply: if answered { reply } else { Err(CallError::OutcomeUnknown) } };
        let pause = if answered { ms(50) } else { secs(3) };
        self.schedule_in(pause, SimEvent::DeliverToNode { node, boot, event });
    }

    fn heartbeat_timed_out(&mut self, machine: MachineName, sequence: u64) {
        if let Some(w) = self.workers.get_mut(&machine).filter(|w| w.awaited_response == Some(sequence)) {
            w.awaited_response = None;
            w.node = (w.node + 1) % 3;
            self.schedule_in(secs(1), SimEvent::Heartbeat { machine });
        }
    }

    fn submit(&mut self, job: usize) {
        let j = &mut self.jobs[job];
        j.submitted = true;
        let (id, spec) = (j.id.clone(), j.spec.clone());
        self.send_request(
            PendingRequest::Submit(job),
            |request| Event::Submit { request, id, job: Ok(spec) },
            SimEvent::Submit { job },
        );
    }

    fn cancel(&mut self, job: usize) {
        if self.jobs[job].submitted {
            self.jobs[job].cancelling = true;
        }
        let known = self.jobs[job].accepted;
        let id = self.jobs[job].id.clone();
        self.send_request(
            PendingRequest::Cancel { job, known },
            |request| Event::Cancel { request, id },
            SimEvent::Cancel { job },
        );
    }

    fn cut_zone(&mut self, zone: &'static str, until: Duration) {
        self.zone_cut_until.insert(zone, until);
        for node in (0..3).filter(|n| zone_of(*n) == zone) {
            self.node_cut_until[node] = self.node_cut_until[node].max(until);
        }
    }

    fn submit_at(&mut self, job: usize, node: usize) {
        let (id, spec) = (self.jobs[job].id.clone(), self.jobs[job].spec.clone());
        self.send_request_to(
            node,
            PendingRequest::Submit(job),
            |request| Event::Submit { request, id, job: Ok(spec) },
            None,
        );
    }

    /// Applies the effects of time alone, and checks the invariants.
    fn after_event(&mut self) {
        self.expire_leases();
        match self.kv.mod_revision("lead") {
            Some(token) if token > self.latest_leader.0 => {
                self.latest_leader = (token, self.now);
                self.terms += 1;
                self.inherited_intents += self.open_intents();
                self.deliver_kept_heartbeats();
                self.deliver_kept_commands();
                self.trigger(Trigger::LeaderElected);
            }
            _ => {}
        }
        if self.now >= self.last_check_at + self.deployment.check_interval {
            self.last_check_at = self.now;
            self.check_rules();
            self.check_waiting_jobs();
            self.measure_urgent_waits();
        }
    }

    pub(super) fn change_some_machines(&mut self, change: impl Fn(&mut Worker)) {
        for _ in 0..self.deployment.machines_per_fault {
            self.change_one_machine(&change);
        }
    }

    pub(super) fn change_one_machine(&mut self, change: &impl Fn(&mut Worker)) {
        let up: Vec<MachineName> =
            self.workers.values().filter(|w| w.is_up(self.now)).map(|w| w.name.clone()).collect();
        if up.is_empty() {
            return;
        }
        let which = self.rng.random_range(0..up.len());
        if let Some(worker) = self.workers.get_mut(&up[which]) {
            change(worker);
        }
    }
}
