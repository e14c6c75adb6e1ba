//! What comes back from the state service, the cloud and workers.

use super::scaling::RentalRetry;
use super::{Leader, PAUSE};
use crate::calls::{FinishedJob, LeaderCall, PendingRental, WriteBatch};
use crate::effects::{EffectSink, StepTime};
use crate::jobs::job::{JobPhase, JobRecord};
use crate::leadership::election;
use crate::protocol::{CallError, CloudReply, CommandReply, JobStatus, KvReply, LogLevel, WatchEvent};
use crate::requests::RequestHandler;
use plankhead_fencing::intent::IdempotencyKey;
use std::collections::BTreeSet;

impl Leader {
    /// Handles a reply of the state service; false: somebody else leads.
    pub fn kv_reply(
        &mut self,
        times: StepTime,
        leader_call: LeaderCall,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
        effects: &mut EffectSink,
    ) -> bool {
        let now = times.now;
        match leader_call {
            LeaderCall::ListJobs => self.jobs_page_loaded(times, reply, requests, effects),
            LeaderCall::ListChunks => self.chunks_page_loaded(times, reply, effects),
            LeaderCall::ReadTarget => self.target_loaded(times, reply, effects),
            LeaderCall::ListIntents => self.intents_page_loaded(times, reply, effects),
            LeaderCall::WriteIntents { sent } => return self.intents_written(now, sent, reply, effects),
            LeaderCall::WriteShards { writes, sent } => {
                return self.shards_written(now, (writes, sent), reply, effects);
            }
            LeaderCall::ReadIntents { page, sent } => self.intents_reread(now, page, sent, reply),
            LeaderCall::WatchJobs { sent } => {
                self.watch_in_flight = false;
                match reply {
                    Ok(KvReply::Events { revision: epoch, events }) => {
                        for event in events {
                            if let WatchEvent::Put(row) = event {
                                self.job_record_changed(times, &row, requests);
                            }
                        }
                        self.jobs_revision = self.jobs_revision.max(Some(epoch));
                        self.jobs_synced_at = self.jobs_synced_at.max(sent);
                        self.kill_cancelled(now, effects);
                    }
                    Ok(KvReply::Compacted) => return false,
                    _ => self.next_watch_at = now + PAUSE,
                }
            }
            LeaderCall::Commit(batch) => return self.batch_written(times, batch, reply, requests, effects),
            LeaderCall::ReadChunk(id, number) => {
                self.keys_being_read.remove(&self.chunk_key(&id, number));
                if let Ok(KvReply::Value(row)) = reply {
                    self.job_table.set_chunk_revision(&id, number, row.map_or(0, |r| r.mod_revision));
                } else {
                    self.writes_paused_until = now + PAUSE;
                }
            }
            LeaderCall::ReadJob(id) => {
                self.keys_being_read.remove(&id.key());
                match reply {
                    Ok(KvReply::Value(Some(row))) => self.job_record_changed(times, &row, requests),
                    Ok(KvReply::Value(None)) => {
                        effects.log(LogLevel::Error, format!("the record of {id} is missing"));
                        self.writes_paused_until = now + PAUSE;
                    }
                    _ => self.writes_paused_until = now + PAUSE,
                }
            }
            LeaderCall::DeleteGarbage(keys) => {
                self.garbage_write_in_flight = false;
                match reply {
                    Ok(KvReply::Committed { .. }) => {}
                    Ok(KvReply::Conflict { failed }) if failed.iter().any(|k| k == election::KEY) => {
                        return false;
                    }
                    Ok(KvReply::Conflict { failed }) => self.doubt_garbage(keys, &failed),
                    _ => self.garbage.extend(keys),
                }
            }
            LeaderCall::ReadGarbageRevision(key) => self.garbage_read(key, reply),
            LeaderCall::ArchiveJobs(finals) => {
                self.garbage_write_in_flight = false;
                match reply {
                    Ok(KvReply::Committed { .. }) => {}
                    Ok(KvReply::Conflict { failed }) if failed.iter().any(|k| k == election::KEY) => {
                        return false;
                    }
                    // Moved already, by a transaction whose reply was lost.
                    Ok(KvReply::Conflict { failed }) => {
                        self.to_archive
                            .extend(finals.into_iter().filter(|job| !failed.contains(&job.id.key())));
                    }
                    _ => self.to_archive.extend(finals),
                }
            }
            LeaderCall::WriteTarget => {
                self.target_write_in_flight = false;
                match reply {
                    Ok(KvReply::Committed { .. }) => {}
                    Ok(KvReply::Conflict { .. }) => return false,
                    _ => self.target_dirty = true,
                }
            }
            _ => {}
        }
        true
    }

    pub(super) fn batch_written(
        &mut self,
        times: StepTime,
        batch: WriteBatch,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
        effects: &mut EffectSink,
    ) -> bool {
        let now = times.now;
        self.txns_in_flight -= 1;
        let (mut failed, mut lost) = (Vec::new(), false);
        match reply {
            Ok(KvReply::Committed { revision: epoch }) => {
                let mut hosts = BTreeSet::new();
                for (id, number, version) in &batch.chunks {
                    hosts.extend(self.job_table.chunk_committed(id, *number, *version, epoch));
                }
                for id in &batch.finals {
                    let tasks = self.job_table.jobs.get(id).map_or(0, |e| e.spec.tasks);
                    // Only now: chunks that went before a final record that was lost
                    // would have the next leader begin the job anew.
                    let stored = self.job_table.jobs.get(id).map(|e| e.stored_keys(id)).unwrap_or_default();
                    if self.job_table.job_finished(id) {
                        self.garbage.extend(stored);
                        requests.record_ended(id, JobStatus::Done, tasks);
                        let record = JobRecord::finished(JobPhase::Done, tasks);
                        self.to_archive.push_back(FinishedJob {
                            id: id.clone(),
                            mod_revision: epoch,
                            record,
                        });
                    }
                }
                for host in hosts {
                    self.send_commands(now, &host, effects);
                }
                return true;
            }
            Ok(KvReply::Conflict { failed: keys }) => failed = keys,
            Err(CallError::Refused | CallError::RateLimited | CallError::TooLarge) => {
                self.writes_paused_until = now + PAUSE;
            }
            _ => lost = true,
        }
        if failed.iter().any(|k| k == election::KEY) {
            return false;
        }
        self.has_uncertain_revisions = true;
        // A transaction whose reply was lost may still be applied: before the
        // next write, the stamps are read again.
        for (id, number, _) in &batch.chunks {
            let stale = lost || failed.contains(&self.chunk_key(id, *number));
            self.job_table.chunk_write_failed(id, *number, stale);
        }
        let jobs = batch.chunks.iter().map(|(id, ..)| id).chain(&batch.finals);
        for id in jobs {
            if let Some(entry) = self.job_table.jobs.get_mut(id) {
                entry.revision_uncertain |= failed.contains(&id.key());
                if batch.finals.contains(id) {
                    entry.final_write_in_flight = false;
                    entry.revision_uncertain |= lost;
                }
            }
        }
        true
    }

    pub fn cloud_reply(
        &mut self,
        times: StepTime,
        leader_call: LeaderCall,
        reply: Result<CloudReply, CallError>,
        effects: &mut EffectSink,
    ) {
        let now = times.now;
        if reply.is_ok() {
            self.cloud_replied_at = Some(now);
        }
        match (leader_call, reply) {
            (LeaderCall::ListInstances, Ok(CloudReply::Instances { instances: hosts, truncated })) => {
                self.inventory_in_flight = false;
                self.inventory_pages.extend(hosts);
                if truncated {
                    self.next_inventory_at = now;
                } else {
                    let list = std::mem::take(&mut self.inventory_pages);
                    self.fleet.observe_inventory(&list, now);
                    self.inventory_complete = true;
                }
            }
            (LeaderCall::ListInstances, _) => {
                self.inventory_in_flight = false;
                self.inventory_pages.clear();
            }
            (LeaderCall::Rent(PendingRental { name, pool, count }), Ok(CloudReply::Rented(hosts))) => {
                self.rentals_in_flight.retain(|rental| rental.name != name);
                self.fleet.rented(&hosts, &pool, count, now);
                self.confirm_intent(&IdempotencyKey::new(&name), effects);
            }
            (LeaderCall::Rent(rental), Ok(CloudReply::NoCapacity)) => {
                self.rentals_in_flight.retain(|other| other.name != rental.name);
                let pool = &rental.pool;
                self.fleet.capacity_refused(pool, now);
                effects.log(LogLevel::Debug, format!("no capacity in {} (spot: {})", pool.zone, pool.spot));
                self.rental_refused(now, rental, effects);
            }
            // In doubt, the same name is used again: it rents once at most.
            (LeaderCall::Rent(rental), _) => {
                self.rental_retries.push(RentalRetry { due: now + PAUSE * 4, rental });
            }
            (LeaderCall::Release { machines: hosts, intent }, Ok(CloudReply::Released)) => {
                self.confirm_intent(&intent, effects);
                for host in hosts {
                    self.releasing.remove(&host);
                    self.fleet.instance_released(&host);
                    self.machine_gone(&host);
                    let freed = self.job_table.machine_gone(&host, now);
                    if freed > 0 {
                        effects.log(LogLevel::Debug, format!("{host} is gone with {freed} tasks"));
                    }
                }
                self.stop_broken_gangs(now, effects);
                self.pass_needed = true;
            }
            (LeaderCall::Release { intent, .. }, _) if self.intents.is_fenced() => {
                self.return_failed(now, intent);
            }
            (LeaderCall::Release { machines: hosts, .. }, _) => {
                for host in hosts {
                    self.releasing.remove(&host);
                }
                self.next_release_at = now + PAUSE * 2;
            }
            _ => {}
        }
    }

    pub fn command_reply(
        &mut self,
        times: StepTime,
        leader_call: LeaderCall,
        reply: CommandReply,
        effects: &mut EffectSink,
    ) {
        let LeaderCall::SendCommands { machine: host, incarnation, starts } = leader_call else {
            return;
        };
        let Some(machine) = self.fleet.machines.get_mut(&host) else { return };
        machine.end_command(incarnation, &starts, &reply);
        if let CommandReply::Answered(heartbeat) = reply {
            if heartbeat.machine == host {
                self.observe_machine(times, &heartbeat, true, effects);
            }
        }
        self.send_commands(times.now, &host, effects);
    }
}
