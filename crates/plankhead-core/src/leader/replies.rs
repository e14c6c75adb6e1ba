//! What comes back from the state service, the cloud and workers.

use super::*;

impl Leader {
    /// Handles a reply of the state service; false: somebody else leads.
    pub fn state_reply(
        &mut self,
        times: StepTime,
        leader_call: LeaderCall,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
        out: &mut EffectSink,
    ) -> bool {
        let now = times.now;
        match leader_call {
            LeaderCall::ListJobs => self.loaded_jobs(times, reply, requests, out),
            LeaderCall::ListChunks => self.loaded_chunks(times, reply, out),
            LeaderCall::ReadTarget => self.loaded_target(times, reply, out),
            LeaderCall::ListDuties => self.loaded_duties(times, reply, out),
            LeaderCall::WriteDuties { sent } => return self.duties_written(now, sent, reply, out),
            LeaderCall::WriteShards { writes, sent } => {
                return self.shards_written(now, (writes, sent), reply, out);
            }
            LeaderCall::ReadDuties { page, sent } => self.duties_reread(now, page, sent, reply),
            LeaderCall::WatchJobs { sent } => {
                self.following = false;
                match reply {
                    Ok(KvReply::Events { revision: epoch, events }) => {
                        for event in events {
                            if let WatchEvent::Put(row) = event {
                                self.job_row(times, &row, requests);
                            }
                        }
                        self.epoch = self.epoch.max(Some(epoch));
                        self.fresh = self.fresh.max(sent);
                        self.tell_kills(now, out);
                    }
                    Ok(KvReply::Compacted) => return false,
                    _ => self.follow_due = now + PAUSE,
                }
            }
            LeaderCall::Commit(batch) => return self.written(times, batch, reply, requests, out),
            LeaderCall::ReadChunk(id, number) => {
                self.reading.remove(&self.chunk_key(&id, number));
                if let Ok(KvReply::Value(row)) = reply {
                    self.ledger.restamp(&id, number, row.map_or(0, |r| r.mod_revision));
                } else {
                    self.hold_until = now + PAUSE;
                }
            }
            LeaderCall::ReadJob(id) => {
                self.reading.remove(&id.key());
                match reply {
                    Ok(KvReply::Value(Some(row))) => self.job_row(times, &row, requests),
                    Ok(KvReply::Value(None)) => {
                        out.log(LogLevel::Error, format!("the record of {id} is missing"));
                        self.hold_until = now + PAUSE;
                    }
                    _ => self.hold_until = now + PAUSE,
                }
            }
            LeaderCall::DeleteGarbage(keys) => {
                self.sweeping = false;
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
                self.sweeping = false;
                match reply {
                    Ok(KvReply::Committed { .. }) => {}
                    Ok(KvReply::Conflict { failed }) if failed.iter().any(|k| k == election::KEY) => {
                        return false;
                    }
                    // Moved already, by a transaction whose reply was lost.
                    Ok(KvReply::Conflict { failed }) => {
                        self.archive
                            .extend(finals.into_iter().filter(|(id, ..)| !failed.contains(&id.key())));
                    }
                    _ => self.archive.extend(finals),
                }
            }
            LeaderCall::WriteTarget => {
                self.target_writing = false;
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

    pub(super) fn written(
        &mut self,
        times: StepTime,
        batch: WriteBatch,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
        out: &mut EffectSink,
    ) -> bool {
        let now = times.now;
        self.txns -= 1;
        let (mut failed, mut lost) = (Vec::new(), false);
        match reply {
            Ok(KvReply::Committed { revision: epoch }) => {
                let mut hosts = BTreeSet::new();
                for (id, number, version) in &batch.chunks {
                    hosts.extend(self.ledger.committed(id, *number, *version, epoch));
                }
                for id in &batch.finals {
                    let tasks = self.ledger.jobs.get(id).map_or(0, |e| e.spec.tasks);
                    // Only now: chunks that went before a final record that was lost
                    // would have the next leader begin the job anew.
                    let stored = self.ledger.jobs.get(id).map(|e| e.stored(id)).unwrap_or_default();
                    if self.ledger.finished(id) {
                        self.garbage.extend(stored);
                        requests.over(id, Status::Done, tasks);
                        let record = JobRecord::finished(Phase::Done, tasks);
                        self.archive.push_back((id.clone(), epoch, record));
                    }
                }
                for host in hosts {
                    self.tell(now, &host, out);
                }
                return true;
            }
            Ok(KvReply::Conflict { failed: keys }) => failed = keys,
            Err(CallError::Refused | CallError::RateLimited | CallError::TooLarge) => {
                self.hold_until = now + PAUSE;
            }
            _ => lost = true,
        }
        if failed.iter().any(|k| k == election::KEY) {
            return false;
        }
        self.doubts = true;
        // A transaction whose reply was lost may still be applied: before the
        // next write, the stamps are read again.
        for (id, number, _) in &batch.chunks {
            let stale = lost || failed.contains(&self.chunk_key(id, *number));
            self.ledger.write_failed(id, *number, stale);
        }
        let jobs = batch.chunks.iter().map(|(id, ..)| id).chain(&batch.finals);
        for id in jobs {
            if let Some(entry) = self.ledger.jobs.get_mut(id) {
                entry.stale |= failed.contains(&id.key());
                if batch.finals.contains(id) {
                    entry.finishing = false;
                    entry.stale |= lost;
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
        out: &mut EffectSink,
    ) {
        let now = times.now;
        if reply.is_ok() {
            self.cloud_heard = Some(now);
        }
        match (leader_call, reply) {
            (LeaderCall::ListInstances, Ok(CloudReply::Instances { instances: hosts, truncated })) => {
                self.listing = false;
                self.list.extend(hosts);
                if truncated {
                    self.hosts_due = now;
                } else {
                    let list = std::mem::take(&mut self.list);
                    self.fleet.listed(&list, now);
                    self.surveyed = true;
                }
            }
            (LeaderCall::ListInstances, _) => {
                self.listing = false;
                self.list.clear();
            }
            (LeaderCall::Rent(PendingRental { name, pool, count }), Ok(CloudReply::Rented(hosts))) => {
                self.rentals.retain(|rental| rental.name != name);
                self.fleet.hired(&hosts, &pool, count, now);
                self.confirm_duty(&IdempotencyKey::new(&name), out);
            }
            (LeaderCall::Rent(rental), Ok(CloudReply::NoCapacity)) => {
                self.rentals.retain(|other| other.name != rental.name);
                let pool = &rental.pool;
                self.fleet.refused(pool, now);
                out.log(LogLevel::Debug, format!("no capacity in {} (spot: {})", pool.zone, pool.spot));
                self.rental_refused(now, rental, out);
            }
            // In doubt, the same name is used again: it rents once at most.
            (LeaderCall::Rent(rental), _) => {
                self.rental_retries.push(renting::RentalRetry { due: now + PAUSE * 4, rental });
            }
            (LeaderCall::Release { hosts, duty }, Ok(CloudReply::Released)) => {
                self.confirm_duty(&duty, out);
                for host in hosts {
                    self.releasing.remove(&host);
                    self.fleet.released(&host);
                    self.machine_gone(&host);
                    let freed = self.ledger.host_gone(&host, now);
                    if freed > 0 {
                        out.log(LogLevel::Debug, format!("{host} is gone with {freed} tasks"));
                    }
                }
                self.tell_urgent(now, out);
                self.dirty = true;
            }
            (LeaderCall::Release { duty, .. }, _) if self.duties.fenced() => {
                self.return_failed(now, duty);
            }
            (LeaderCall::Release { hosts, .. }, _) => {
                for host in hosts {
                    self.releasing.remove(&host);
                }
                self.release_due = now + PAUSE * 2;
            }
            _ => {}
        }
    }

    pub fn orders_reply(
        &mut self,
        times: StepTime,
        leader_call: LeaderCall,
        reply: CommandReply,
        out: &mut EffectSink,
    ) {
        let LeaderCall::SendCommands { host, shift, runs } = leader_call else { return };
        let Some(machine) = self.fleet.machines.get_mut(&host) else { return };
        machine.end_command(shift, &runs, &reply);
        if let CommandReply::Answered(report) = reply {
            if report.machine == host {
                self.hear(times, &report, true, out);
            }
        }
        self.tell(times.now, &host, out);
    }
}
