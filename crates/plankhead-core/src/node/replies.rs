//! Dispatch of replies to the parts of the node that made the calls.

use super::Node;
use crate::calls::{CallPurpose, HolderCall, LeaderCall, UserRequestCall};
use crate::effects::StepTime;
use crate::jobs::job::JobId;
use crate::leader::{Leader, TermStatus};
use crate::protocol::{CallError, CallId, CloudReply, CommandReply, KvReply, LogLevel};
use crate::shards::messages::Delivery;
use std::time::Duration;

/// Outages of the state service that last longer than this are logged when they end.
const MIN_LOGGED_OUTAGE: Duration = Duration::from_secs(2);

/// Returns the leader if it still leads under `token`, the token of the term in which the call was made.
fn leader_of_term(leader: &mut Option<Leader>, token: u64) -> Option<&mut Leader> {
    leader.as_mut().filter(|leader| leader.token == token)
}

impl Node {
    pub(super) fn handle_kv_reply(
        &mut self,
        times: StepTime,
        call: CallId,
        reply: Result<KvReply, CallError>,
    ) {
        let now = times.now;
        if let Some(reachability) = &mut self.reachability {
            reachability.record_kv_reply(call, &reply, now);
        }
        self.record_kv_health(now, &reply);
        match self.effects.calls_in_flight.remove(&call) {
            Some(CallPurpose::Election(call)) => {
                let change = self.election.handle_reply(now, call, reply, &mut self.effects);
                self.record_observed_term();
                self.apply_leadership(times, change);
            }
            Some(CallPurpose::VersionBarrier(call)) => {
                let opened = self.version_barrier.handle_reply(call, reply, &mut self.effects);
                self.apply_version_barrier(opened);
            }
            Some(CallPurpose::Reachability(call)) => {
                if let Some(reachability) = &mut self.reachability {
                    reachability.handle_reply(call, reply, now, &mut self.effects);
                }
            }
            Some(CallPurpose::UserRequest(request)) => self.handle_user_request_reply(times, request, reply),
            Some(CallPurpose::VerifyTerm { token }) => self.handle_term_reply(times, token, reply),
            Some(CallPurpose::ShardRecords(call)) => self.handle_shard_records_reply(now, call, reply),
            Some(CallPurpose::Holder(call)) => self.handle_holder_kv_reply(times, call, reply),
            Some(CallPurpose::Reclaim(call)) => self.handle_reclaim_kv_reply(times, call, reply),
            Some(CallPurpose::Leader(token, call)) => self.handle_leader_kv_reply(times, token, call, reply),
            Some(CallPurpose::MachineTypes) | None => {}
        }
    }

    fn record_kv_health(&mut self, now: Duration, reply: &Result<KvReply, CallError>) {
        match reply {
            Ok(_) => {
                let outage = self.kv_health.record_success(now);
                if let Some(outage) = outage.filter(|outage| *outage > MIN_LOGGED_OUTAGE) {
                    let text = format!("state service recovered: after_s={}", outage.as_secs());
                    self.effects.log(LogLevel::Info, text);
                }
            }
            Err(CallError::RateLimited) => {}
            Err(CallError::TooLarge) => {
                // The state service lowers its limits only after all nodes are upgraded, so a write that
                // exceeds a limit shows that the barrier may be opened.
                let text = "state service write rejected: reason=too_large";
                self.effects.log(LogLevel::Error, text.into());
                let opened = self.version_barrier.open(&mut self.effects);
                self.apply_version_barrier(opened);
            }
            Err(CallError::Refused | CallError::OutcomeUnknown) => self.kv_health.record_failure(now),
        }
    }

    fn handle_leader_kv_reply(
        &mut self,
        times: StepTime,
        token: u64,
        call: LeaderCall,
        reply: Result<KvReply, CallError>,
    ) {
        // Every transaction of a leader is conditional on its key.
        if let Ok(KvReply::Committed { revision }) = &reply {
            self.record_term(token, *revision);
        }
        let Some(leader) = leader_of_term(&mut self.leader, token) else { return };
        let status = leader.handle_kv_reply(times, call, reply, &mut self.requests, &mut self.effects);
        if status == TermStatus::Over {
            let change = self.election.release_lease(&mut self.effects);
            self.apply_leadership(times, change);
        }
    }

    fn handle_user_request_reply(
        &mut self,
        times: StepTime,
        request: UserRequestCall,
        reply: Result<KvReply, CallError>,
    ) {
        let leader = self.leader.as_ref();
        let progress = |id: &JobId| leader?.progress(id);
        let changed_rows = self.requests.handle_reply(times, request, reply, &progress, &mut self.effects);
        self.rows_written(times, &changed_rows);
        if let Some(leader) = &mut self.leader {
            for row in changed_rows {
                leader.job_record_changed(times, &row, &mut self.requests);
            }
        }
    }

    fn apply_version_barrier(&mut self, opened: bool) {
        if opened {
            self.requests.set_all_nodes_upgraded();
            if let Some(leader) = &mut self.leader {
                leader.set_all_nodes_upgraded();
            }
        }
    }

    pub(super) fn handle_cloud_reply(
        &mut self,
        times: StepTime,
        call: CallId,
        reply: Result<CloudReply, CallError>,
    ) {
        if let Some(reachability) = &mut self.reachability {
            reachability.record_cloud_reply(call, &reply, times.now);
        }
        match self.effects.calls_in_flight.remove(&call) {
            Some(CallPurpose::MachineTypes) => self.handle_machine_types_reply(times.now, reply),
            Some(CallPurpose::Leader(token, call)) => {
                if let Some(leader) = leader_of_term(&mut self.leader, token) {
                    leader.handle_cloud_reply(times, call, reply, &mut self.effects);
                }
            }
            Some(CallPurpose::Reclaim(call)) => self.reclaimer.handle_cloud_reply(times.now, call, reply),
            _ => {}
        }
    }

    fn handle_machine_types_reply(&mut self, now: Duration, reply: Result<CloudReply, CallError>) {
        let listed = self.machine_types.handle_reply(now, reply);
        if let Some(leader) = self.leader.as_mut().filter(|_| listed) {
            leader.set_machine_types(self.machine_types.by_name().clone());
        }
    }

    pub(super) fn handle_command_reply(&mut self, times: StepTime, call: CallId, mut reply: CommandReply) {
        if let Some(reachability) = &mut self.reachability {
            reachability.record_command_reply(call, &reply, times.now);
        }
        if let CommandReply::Answered(heartbeat) = &mut reply {
            heartbeat.token = self.token_range(heartbeat).base_of(heartbeat.token);
        }
        match self.effects.calls_in_flight.remove(&call) {
            Some(CallPurpose::Leader(token, call)) => {
                if let Some(leader) = leader_of_term(&mut self.leader, token) {
                    leader.handle_command_reply(times, call, reply, &mut self.effects);
                }
            }
            Some(CallPurpose::Holder(call)) => self.handle_holder_command_reply(times.now, call, reply),
            Some(CallPurpose::Reclaim(call)) => {
                self.reclaimer.handle_inspection(times.now, call, &reply, &mut self.effects);
            }
            _ => {}
        }
    }

    pub(super) fn handle_shard_message_delivery(&mut self, now: Duration, call: CallId, delivery: Delivery) {
        match self.effects.calls_in_flight.remove(&call) {
            Some(CallPurpose::Holder(HolderCall::ReportStatus { leader, machines })) => {
                if let Some(sharding) = &mut self.sharding {
                    sharding.holder.handle_status_delivery(now, leader, machines, delivery);
                }
            }
            Some(CallPurpose::Leader(token, LeaderCall::SendShardCommands { to, sent })) => {
                if let Some(leader) = leader_of_term(&mut self.leader, token) {
                    leader.shard_commands_delivered(now, &to, sent, delivery);
                }
            }
            _ => {}
        }
    }
}
