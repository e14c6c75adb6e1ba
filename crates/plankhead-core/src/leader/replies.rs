//! What comes back from the state service, the cloud and workers.

use super::scaling::RentalRetry;
use super::{Leader, PAUSE};
use crate::calls::{LeaderCall, PendingRental};
use crate::effects::{EffectSink, StepTime};
use crate::protocol::{CallError, CloudReply, CommandReply, KvReply, LogLevel};
use crate::requests::RequestHandler;
use plankhead_fencing::duty::IdempotencyKey;

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
                return self.jobs_watched(times, sent, reply, requests, effects);
            }
            LeaderCall::Commit(batch) => return self.batch_written(now, batch, reply, requests, effects),
            LeaderCall::ReadChunk(id, number) => {
                self.persistence.key_read(&self.chunk_key(&id, number));
                if let Ok(KvReply::Value(row)) = reply {
                    self.job_table.set_chunk_revision(&id, number, row.map_or(0, |r| r.mod_revision));
                } else {
                    self.persistence.pause(now);
                }
            }
            LeaderCall::ReadJob(id) => {
                self.persistence.key_read(&id.key());
                match reply {
                    Ok(KvReply::Value(Some(row))) => self.job_record_changed(times, &row, requests),
                    Ok(KvReply::Value(None)) => {
                        effects.log(LogLevel::Error, format!("the record of {id} is missing"));
                        self.persistence.pause(now);
                    }
                    _ => self.persistence.pause(now),
                }
            }
            LeaderCall::DeleteGarbage(keys) => return self.garbage_deleted(keys, reply),
            LeaderCall::ReadGarbageRevision(key) => self.garbage_read(key, reply),
            LeaderCall::ArchiveJobs(jobs) => return self.jobs_archived(jobs, reply),
            LeaderCall::WriteTarget => return self.target_written(reply),
            _ => {}
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
                self.placement.request_pass();
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
