//! Making decisions durable, within the write budget.

use super::{Leader, Txn, ENDS_LOOK, ENDS_WAIT, MAX_TXNS, TARGET, TXN_BYTES};
use crate::calls::{FinishedJob, LeaderCall, StoredKey};
use crate::effects::EffectSink;
use crate::jobs::chunk::EncodedChunk;
use crate::jobs::job::{JobId, JobPhase, JobRecord};
use crate::protocol::{CallError, Condition, JobStatus, KvChange, KvReply, KvRequest, LogLevel};
use crate::requests::RequestHandler;
use std::time::Duration;

impl Leader {
    /// Sends transactions: finished jobs first, then placements, the more urgent
    /// ones before others, then ends.
    pub(super) fn flush(&mut self, now: Duration, requests: &mut RequestHandler, effects: &mut EffectSink) {
        if now < self.writes_paused_until {
            return;
        }
        if self.has_uncertain_revisions {
            self.reread_uncertain(effects);
        }
        self.close_ended_jobs(requests);
        let ends = now >= self.next_end_flush_at;
        if ends {
            self.next_end_flush_at = now + ENDS_LOOK;
        }
        while self.txns_in_flight < MAX_TXNS {
            let available = self.write_budget.available(now);
            let most = self.settings.max_txn_changes.min(available);
            if most == 0 {
                return;
            }
            let mut txn = Txn { conditions: vec![self.leader_condition()], ..Txn::default() };
            self.add_final_records(most, &mut txn);
            let placing = self.placements_to_write();
            self.add_chunks(placing, most, &mut txn);
            if ends {
                // Ends leave room for the placements that may come next.
                let spare = available.saturating_sub(self.write_budget.burst() / 2);
                let ending = self.ends_to_write(now);
                self.add_chunks(ending, most.min(spare), &mut txn);
            }
            if self.target_dirty && !self.target_write_in_flight && txn.changes.is_empty() {
                return self.write_target(now, effects);
            }
            if txn.changes.is_empty() || !self.write_budget.take(now, txn.changes.len()) {
                return;
            }
            self.txns_in_flight += 1;
            let op = KvRequest::Txn { conditions: txn.conditions, changes: txn.changes };
            self.call_kv(LeaderCall::Commit(txn.batch), op, effects);
        }
    }

    fn placements_to_write(&self) -> Vec<(JobId, u32)> {
        let order = |(id, number): &(JobId, u32)| {
            let entry = self.job_table.jobs.get(id)?;
            Some(((std::cmp::Reverse(entry.spec.priority), entry.accepted_at), (id.clone(), *number)))
        };
        let mut waiting: Vec<_> = self.job_table.dirty_placements.iter().filter_map(order).collect();
        waiting.sort();
        waiting.into_iter().map(|(_, key)| key).collect()
    }

    /// Chunks with ends that have waited, the longest first.
    fn ends_to_write(&self, now: Duration) -> Vec<(JobId, u32)> {
        let since = |(id, number): &(JobId, u32)| {
            let chunk = self.job_table.jobs.get(id)?.chunks.get(number)?;
            let at = chunk.ends_pending_since?;
            (!chunk.write_in_flight && now.saturating_sub(at) >= ENDS_WAIT)
                .then(|| (at, (id.clone(), *number)))
        };
        let mut waiting: Vec<(Duration, (JobId, u32))> =
            self.job_table.dirty_chunks.iter().filter_map(since).collect();
        waiting.sort();
        waiting.into_iter().map(|(_, key)| key).collect()
    }

    fn add_chunks(&mut self, keys: Vec<(JobId, u32)>, most: usize, txn: &mut Txn) {
        for (id, number) in keys {
            if txn.changes.len() >= most || txn.bytes > TXN_BYTES {
                return;
            }
            let Some(entry) = self.job_table.jobs.get(&id) else { continue };
            let Some(chunk) = entry.chunks.get(&number) else { continue };
            let closing = entry.done == entry.spec.tasks;
            if entry.phase != JobPhase::Active
                || entry.revision_uncertain
                || entry.final_write_in_flight
                || closing
            {
                continue;
            }
            if chunk.write_in_flight || chunk.revision_uncertain {
                continue;
            }
            let Some(EncodedChunk { value, version }) = self.job_table.encode_chunk(&id, number) else {
                continue;
            };
            if txn.bytes + value.len() > TXN_BYTES && !txn.changes.is_empty() {
                return;
            }
            let key = id.chunk_key(number, entry.rechunked);
            txn.condition(Condition { key: id.key(), mod_revision: entry.mod_revision });
            txn.condition(Condition { key: key.clone(), mod_revision: chunk.mod_revision });
            txn.bytes += value.len() + 400;
            txn.changes.push(KvChange::Put { key, value, lease: None });
            txn.batch.chunks.push((id.clone(), number, version));
            if let Some(chunk) = self.job_table.jobs.get_mut(&id).and_then(|e| e.chunks.get_mut(&number)) {
                chunk.write_in_flight = true;
            }
        }
    }

    /// Finished jobs: the final record makes all their ends durable at once.
    fn add_final_records(&mut self, most: usize, txn: &mut Txn) {
        for id in self.job_table.ended_jobs.clone() {
            if txn.changes.len() >= most || txn.bytes > TXN_BYTES {
                return;
            }
            let Some(entry) = self.job_table.jobs.get_mut(&id) else { continue };
            let writing = entry.chunks.values().any(|c| c.write_in_flight);
            if entry.phase != JobPhase::Active
                || entry.revision_uncertain
                || entry.final_write_in_flight
                || writing
            {
                continue;
            }
            let record = JobRecord::finished(JobPhase::Done, entry.spec.tasks);
            let Ok(value) = serde_json::to_string(&record) else { continue };
            entry.final_write_in_flight = true;
            let mod_revision = entry.mod_revision;
            txn.condition(Condition { key: id.key(), mod_revision });
            txn.bytes += value.len() + 200;
            txn.changes.push(KvChange::Put { key: id.key(), value, lease: None });
            txn.batch.finals.push(id.clone());
        }
    }

    /// The key that holds a chunk, as it is laid out now.
    pub(super) fn chunk_key(&self, id: &JobId, number: u32) -> String {
        id.chunk_key(number, self.job_table.jobs.get(id).is_some_and(|e| e.rechunked))
    }

    /// Cancelled jobs with nothing left on any machine need only a sweep, and gangs
    /// that were done before all their tasks had said so need nothing.
    fn close_ended_jobs(&mut self, requests: &mut RequestHandler) {
        for id in self.job_table.ended_jobs.clone() {
            let Some(entry) = self.job_table.jobs.get(&id) else { continue };
            let writing = entry.chunks.values().any(|c| c.write_in_flight);
            if entry.phase == JobPhase::Active || entry.placed > 0 || writing {
                continue;
            }
            if entry.phase == JobPhase::Done {
                self.job_table.remove(&id);
                continue;
            }
            requests.record_ended(&id, JobStatus::Cancelled, 0);
            if let Some(entry) = self.job_table.remove(&id) {
                // The next leader would wait for proof of all that is left here.
                let before = self.garbage.len();
                self.delete_chunks_of(&id, &entry);
                let record = JobRecord::finished(JobPhase::Cancelled, 0);
                self.to_archive.push_back(FinishedJob { id, mod_revision: entry.mod_revision, record });
                let added = self.garbage.len() - before;
                self.garbage.rotate_right(added);
                self.urgent_garbage += added;
            }
        }
    }

    /// Reads again what is in doubt.
    fn reread_uncertain(&mut self, effects: &mut EffectSink) {
        let mut calls = Vec::new();
        self.has_uncertain_revisions = false;
        for (id, number) in &self.job_table.dirty_chunks {
            let stale = self
                .job_table
                .jobs
                .get(id)
                .and_then(|e| e.chunks.get(number))
                .is_some_and(|c| c.revision_uncertain);
            self.has_uncertain_revisions |= stale;
            let key = self.chunk_key(id, *number);
            if stale && self.keys_being_read.insert(key.clone()) {
                calls.push((LeaderCall::ReadChunk(id.clone(), *number), key));
            }
        }
        for (id, entry) in &self.job_table.jobs {
            self.has_uncertain_revisions |= entry.revision_uncertain;
            if entry.revision_uncertain && self.keys_being_read.insert(id.key()) {
                calls.push((LeaderCall::ReadJob(id.clone()), id.key()));
            }
        }
        for (leader_call, key) in calls {
            self.call_kv(leader_call, KvRequest::Get { key }, effects);
        }
    }

    fn write_target(&mut self, now: Duration, effects: &mut EffectSink) {
        let Ok(value) = serde_json::to_string(&self.target) else { return };
        if value.len() > self.settings.max_value_bytes {
            self.target_dirty = false;
            return effects.log(LogLevel::Error, "the target is too large to be stored".into());
        }
        if !self.write_budget.take(now, 1) {
            return;
        }
        self.target_dirty = false;
        self.target_write_in_flight = true;
        let changes = vec![KvChange::Put { key: TARGET.into(), value, lease: None }];
        self.call_kv(
            LeaderCall::WriteTarget,
            KvRequest::Txn { conditions: vec![self.leader_condition()], changes },
            effects,
        );
    }

    /// Drops chunks that nobody needs, when there is room to write.
    pub(super) fn delete_garbage(&mut self, now: Duration, effects: &mut EffectSink) {
        let spare = self.write_budget.available(now) as f64 >= self.settings.kv_changes_per_s * 0.4;
        let due = spare || self.urgent_garbage > 0;
        if self.garbage_write_in_flight || !due || now < self.writes_paused_until {
            return;
        }
        if self.garbage.is_empty() {
            return self.archive_finished_jobs(now, effects);
        }
        let most = if spare { self.garbage.len() } else { self.urgent_garbage.min(self.garbage.len()) };
        let most = self.settings.max_txn_changes.min(most).min(self.write_budget.available(now));
        let mut keys: Vec<StoredKey> = self.garbage.drain(..most).collect();
        keys.sort_by(|a, b| a.key.cmp(&b.key));
        keys.dedup_by(|a, b| a.key == b.key);
        self.urgent_garbage = self.urgent_garbage.saturating_sub(keys.len());
        if self.intents.is_fenced() {
            keys = self.with_known_revision(keys, effects);
        }
        if keys.is_empty() || !self.write_budget.take(now, keys.len()) {
            return self.garbage.extend(keys);
        }
        self.garbage_write_in_flight = true;
        let mut conditions = vec![self.leader_condition()];
        if self.intents.is_fenced() {
            let revision = |k: &StoredKey| Some(Condition { key: k.key.clone(), mod_revision: k.revision? });
            conditions.extend(keys.iter().filter_map(revision));
        }
        let changes = keys.iter().map(|k| KvChange::Delete { key: k.key.clone() }).collect();
        self.call_kv(LeaderCall::DeleteGarbage(keys), KvRequest::Txn { conditions, changes }, effects);
    }

    /// Where duties are fenced, a key goes only at the revision that is known to be over:
    /// where that is in doubt it is read first.
    fn with_known_revision(&self, keys: Vec<StoredKey>, effects: &mut EffectSink) -> Vec<StoredKey> {
        let (known, unknown): (Vec<_>, Vec<_>) = keys.into_iter().partition(|k| k.revision.is_some());
        for StoredKey { key, .. } in unknown {
            self.call_kv(LeaderCall::ReadGarbageRevision(key.clone()), KvRequest::Get { key }, effects);
        }
        known
    }

    /// Some keys had other revisions than were known: nothing went.
    pub(super) fn doubt_garbage(&mut self, keys: Vec<StoredKey>, failed: &[String]) {
        let revised = |mut stored: StoredKey| {
            if failed.contains(&stored.key) {
                stored.revision = None;
            }
            stored
        };
        self.garbage.extend(keys.into_iter().map(revised));
    }

    /// The reply to a question after a key that is to go. A job of that name may be there
    /// again: then its records are its own.
    pub(super) fn garbage_read(&mut self, key: String, reply: Result<KvReply, CallError>) {
        let job = key.split('/').nth(1).and_then(|id| JobId::parse(id).ok());
        let needed =
            job.is_some_and(|id| self.job_table.jobs.get(&id).is_some_and(|e| e.phase == JobPhase::Active));
        match reply {
            _ if needed => {}
            Ok(KvReply::Value(None)) => {}
            Ok(KvReply::Value(Some(row))) => {
                self.garbage.push(StoredKey { key, revision: Some(row.mod_revision) });
            }
            _ => self.garbage.push(StoredKey { key, revision: None }),
        }
    }

    /// Moves records of jobs that are over to where no new leader reads them.
    fn archive_finished_jobs(&mut self, now: Duration, effects: &mut EffectSink) {
        let most = (self.settings.max_txn_changes / 2).min(self.to_archive.len());
        if most == 0 || !self.write_budget.take(now, most * 2) {
            return;
        }
        self.garbage_write_in_flight = true;
        let finals: Vec<FinishedJob> = self.to_archive.drain(..most).collect();
        let mut conditions = vec![self.leader_condition()];
        let mut changes = Vec::new();
        for job in &finals {
            let Ok(value) = serde_json::to_string(&job.record) else { continue };
            conditions.push(Condition { key: job.id.key(), mod_revision: job.mod_revision });
            changes.push(KvChange::Put { key: job.id.archive_key(), value, lease: None });
            changes.push(KvChange::Delete { key: job.id.key() });
        }
        self.call_kv(LeaderCall::ArchiveJobs(finals), KvRequest::Txn { conditions, changes }, effects);
    }
}
