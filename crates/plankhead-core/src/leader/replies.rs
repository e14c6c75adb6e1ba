//! Dispatches replies of the state service, the cloud and workers to the modules that made the calls.

use super::Leader;
use crate::calls::LeaderCall;
use crate::effects::{EffectSink, StepTime};
use crate::protocol::{CallError, CloudReply, CommandReply, KvReply};
use crate::requests::RequestHandler;

/// Whether the leader's term continues after a reply.
#[must_use]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TermStatus {
    /// The leader continues to lead.
    Continues,
    /// The leader must resign: another node leads, or its own knowledge of the stored state has gaps.
    Over,
}

impl Leader {
    /// Handles a reply of the state service.
    pub fn handle_kv_reply(
        &mut self,
        times: StepTime,
        leader_call: LeaderCall,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
        effects: &mut EffectSink,
    ) -> TermStatus {
        let now = times.now;
        match leader_call {
            LeaderCall::ListJobs => self.jobs_page_loaded(times, reply, requests, effects),
            LeaderCall::ListChunks => self.chunks_page_loaded(times, reply, effects),
            LeaderCall::ReadTarget => self.target_loaded(times, reply, effects),
            LeaderCall::ListIntents => self.intents_page_loaded(times, reply, effects),
            LeaderCall::WriteIntents { sent } => return self.intents_written(now, sent, reply, effects),
            LeaderCall::WriteShards { writes, sent } => {
                return self.shards_written(now, writes, sent, reply, effects);
            }
            LeaderCall::ReadIntents { page, sent } => self.intents_reread(now, page, sent, reply),
            LeaderCall::WatchJobs { sent } => {
                return self.jobs_watched(times, sent, reply, requests, effects);
            }
            LeaderCall::Commit(batch) => return self.batch_written(now, batch, reply, requests, effects),
            LeaderCall::ReadChunk(id, number) => self.chunk_reread(now, &id, number, reply),
            LeaderCall::ReadJob(id) => self.job_reread(times, &id, reply, requests, effects),
            LeaderCall::DeleteGarbage(keys) => return self.garbage_deleted(keys, reply),
            LeaderCall::ReadGarbageRevision(key) => self.garbage_revision_read(key, reply),
            LeaderCall::ArchiveJobs(jobs) => return self.jobs_archived(jobs, reply),
            LeaderCall::WriteTarget => return self.target_written(reply),
            _ => {}
        }
        TermStatus::Continues
    }

    /// Handles a reply of the cloud.
    pub fn handle_cloud_reply(
        &mut self,
        times: StepTime,
        leader_call: LeaderCall,
        reply: Result<CloudReply, CallError>,
        effects: &mut EffectSink,
    ) {
        let now = times.now;
        if reply.is_ok() {
            self.inventory.cloud_replied(now);
        }
        match leader_call {
            LeaderCall::ListInstances => self.instances_listed(now, reply),
            LeaderCall::Rent(rental) => self.rental_answered(now, rental, reply, effects),
            LeaderCall::Release { machines, intent } => {
                self.release_answered(now, machines, intent, reply, effects);
            }
            _ => {}
        }
    }

    /// Handles a worker's reply to commands that were sent to it directly.
    pub fn handle_command_reply(
        &mut self,
        times: StepTime,
        leader_call: LeaderCall,
        reply: CommandReply,
        effects: &mut EffectSink,
    ) {
        let name = match leader_call {
            LeaderCall::SendCommands { machine } => machine,
            LeaderCall::Inspect { machine, sent } => {
                return self.inspections.end(&machine, sent, &reply, times.now);
            }
            _ => return,
        };
        let Some(machine) = self.fleet.machines.get_mut(&name) else { return };
        machine.end_command(&reply);
        if let CommandReply::Answered(heartbeat) = reply {
            if heartbeat.machine == name {
                self.observe_machine(times, &heartbeat, true, effects);
            }
        }
        self.send_commands(times.now, &name, effects);
    }
}
