//! Making decisions durable, within the write budget.

use super::*;

impl Leader {
    /// Sends transactions: finished jobs first, then placements, the more urgent
    /// ones before others, then ends.
    pub(super) fn flush(&mut self, now: Duration, requests: &mut RequestHandler, out: &mut EffectSink) {
        if now < self.hold_until {
            return;
        }
        if self.doubts {
            self.refresh(out);
        }
        self.close(requests);
        let ends = now >= self.ends_due;
        if ends {
            self.ends_due = now + ENDS_LOOK;
        }
        while self.txns < MOST_TXNS {
            let available = self.writes.available(now);
            let most = self.settings.max_txn_changes.min(available);
            if most == 0 {
                return;
            }
            let mut txn = Txn { conditions: vec![self.lead()], ..Txn::default() };
            self.add_finals(most, &mut txn);
            let placing = self.waiting_placements();
            self.add_chunks(placing, most, &mut txn);
            if ends {
                // Ends leave room for the placements that may come next.
                let spare = available.saturating_sub(self.writes.burst() / 2);
                let ending = self.ending(now);
                self.add_chunks(ending, most.min(spare), &mut txn);
            }
            if self.target_dirty && !self.target_writing && txn.changes.is_empty() {
                return self.write_target(now, out);
            }
            if txn.changes.is_empty() || !self.writes.take(now, txn.changes.len()) {
                return;
            }
            self.txns += 1;
            let op = KvRequest::Txn { conditions: txn.conditions, changes: txn.changes };
            self.state(LeaderCall::Commit(txn.batch), op, out);
        }
    }

    fn waiting_placements(&self) -> Vec<(JobId, u32)> {
        let order = |(id, number): &(JobId, u32)| {
            let entry = self.ledger.jobs.get(id)?;
            Some(((std::cmp::Reverse(entry.spec.priority), entry.accepted), (id.clone(), *number)))
        };
        let mut waiting: Vec<_> = self.ledger.placing.iter().filter_map(order).collect();
        waiting.sort();
        waiting.into_iter().map(|(_, key)| key).collect()
    }

    /// Chunks with ends that have waited, the longest first.
    fn ending(&self, now: Duration) -> Vec<(JobId, u32)> {
        let since = |(id, number): &(JobId, u32)| {
            let chunk = self.ledger.jobs.get(id)?.chunks.get(number)?;
            let at = chunk.ends_since?;
            (!chunk.writing && now.saturating_sub(at) >= ENDS_WAIT).then(|| (at, (id.clone(), *number)))
        };
        let mut waiting: Vec<(Duration, (JobId, u32))> = self.ledger.dirty.iter().filter_map(since).collect();
        waiting.sort();
        waiting.into_iter().map(|(_, key)| key).collect()
    }

    fn add_chunks(&mut self, keys: Vec<(JobId, u32)>, most: usize, txn: &mut Txn) {
        for (id, number) in keys {
            if txn.changes.len() >= most || txn.bytes > TXN_BYTES {
                return;
            }
            let Some(entry) = self.ledger.jobs.get(&id) else { continue };
            let Some(chunk) = entry.chunks.get(&number) else { continue };
            let closing = entry.done == entry.spec.tasks;
            if entry.phase != Phase::Active || entry.stale || entry.finishing || closing {
                continue;
            }
            if chunk.writing || chunk.stale {
                continue;
            }
            let Some((value, version)) = self.ledger.encode(&id, number) else { continue };
            if txn.bytes + value.len() > TXN_BYTES && !txn.changes.is_empty() {
                return;
            }
            let key = id.chunk_key(number, entry.laid_anew);
            txn.condition(Condition { key: id.key(), mod_revision: entry.stamp });
            txn.condition(Condition { key: key.clone(), mod_revision: chunk.stamp });
            txn.bytes += value.len() + 400;
            txn.changes.push(KvChange::Put { key, value, lease: None });
            txn.batch.chunks.push((id.clone(), number, version));
            if let Some(chunk) = self.ledger.jobs.get_mut(&id).and_then(|e| e.chunks.get_mut(&number)) {
                chunk.writing = true;
            }
        }
    }

    /// Finished jobs: the final record makes all their ends durable at once.
    fn add_finals(&mut self, most: usize, txn: &mut Txn) {
        for id in self.ledger.closing.clone() {
            if txn.changes.len() >= most || txn.bytes > TXN_BYTES {
                return;
            }
            let Some(entry) = self.ledger.jobs.get_mut(&id) else { continue };
            let writing = entry.chunks.values().any(|c| c.writing);
            if entry.phase != Phase::Active || entry.stale || entry.finishing || writing {
                continue;
            }
            let record = JobRecord::finished(Phase::Done, entry.spec.tasks);
            let Ok(value) = serde_json::to_string(&record) else { continue };
            entry.finishing = true;
            let stamp = entry.stamp;
            txn.condition(Condition { key: id.key(), mod_revision: stamp });
            txn.bytes += value.len() + 200;
            txn.changes.push(KvChange::Put { key: id.key(), value, lease: None });
            txn.batch.finals.push(id.clone());
        }
    }

    /// The key that holds a chunk, as it is laid out now.
    pub(super) fn chunk_key(&self, id: &JobId, number: u32) -> String {
        id.chunk_key(number, self.ledger.jobs.get(id).is_some_and(|e| e.laid_anew))
    }

    /// Cancelled jobs with nothing left on any machine need only a sweep, and gangs
    /// that were done before all their tasks had said so need nothing.
    fn close(&mut self, requests: &mut RequestHandler) {
        for id in self.ledger.closing.clone() {
            let Some(entry) = self.ledger.jobs.get(&id) else { continue };
            let writing = entry.chunks.values().any(|c| c.writing);
            if entry.phase == Phase::Active || entry.placed > 0 || writing {
                continue;
            }
            if entry.phase == Phase::Done {
                self.ledger.remove(&id);
                continue;
            }
            requests.over(&id, Status::Cancelled, 0);
            if let Some(entry) = self.ledger.remove(&id) {
                // The next leader would wait for proof of all that is left here.
                let before = self.garbage.len();
                self.discard(&id, &entry);
                self.archive.push_back((id, entry.stamp, JobRecord::finished(Phase::Cancelled, 0)));
                let added = self.garbage.len() - before;
                self.garbage.rotate_right(added);
                self.pressing += added;
            }
        }
    }

    /// Reads again what is in doubt.
    fn refresh(&mut self, out: &mut EffectSink) {
        let mut calls = Vec::new();
        self.doubts = false;
        for (id, number) in &self.ledger.dirty {
            let stale = self.ledger.jobs.get(id).and_then(|e| e.chunks.get(number)).is_some_and(|c| c.stale);
            self.doubts |= stale;
            let key = self.chunk_key(id, *number);
            if stale && self.reading.insert(key.clone()) {
                calls.push((LeaderCall::ReadChunk(id.clone(), *number), key));
            }
        }
        for (id, entry) in &self.ledger.jobs {
            self.doubts |= entry.stale;
            if entry.stale && self.reading.insert(id.key()) {
                calls.push((LeaderCall::ReadJob(id.clone()), id.key()));
            }
        }
        for (leader_call, key) in calls {
            self.state(leader_call, KvRequest::Get { key }, out);
        }
    }

    fn write_target(&mut self, now: Duration, out: &mut EffectSink) {
        let Ok(value) = serde_json::to_string(&self.target) else { return };
        if value.len() > self.settings.max_value_bytes {
            self.target_dirty = false;
            return out.log(LogLevel::Error, "the target is too large to be stored".into());
        }
        if !self.writes.take(now, 1) {
            return;
        }
        self.target_dirty = false;
        self.target_writing = true;
        let changes = vec![KvChange::Put { key: TARGET.into(), value, lease: None }];
        self.state(LeaderCall::WriteTarget, KvRequest::Txn { conditions: vec![self.lead()], changes }, out);
    }

    /// Drops chunks that nobody needs, when there is room to write.
    pub(super) fn sweep(&mut self, now: Duration, out: &mut EffectSink) {
        let spare = self.writes.available(now) as f64 >= self.settings.kv_changes_per_s * 0.4;
        let due = spare || self.pressing > 0;
        if self.sweeping || !due || now < self.hold_until {
            return;
        }
        if self.garbage.is_empty() {
            return self.put_away(now, out);
        }
        let most = if spare { self.garbage.len() } else { self.pressing.min(self.garbage.len()) };
        let most = self.settings.max_txn_changes.min(most).min(self.writes.available(now));
        let mut keys: Vec<StoredKey> = self.garbage.drain(..most).collect();
        keys.sort_by(|a, b| a.key.cmp(&b.key));
        keys.dedup_by(|a, b| a.key == b.key);
        self.pressing = self.pressing.saturating_sub(keys.len());
        if self.duties.fenced() {
            keys = self.of_known_revision(keys, out);
        }
        if keys.is_empty() || !self.writes.take(now, keys.len()) {
            return self.garbage.extend(keys);
        }
        self.sweeping = true;
        let mut conditions = vec![self.lead()];
        if self.duties.fenced() {
            let revision = |k: &StoredKey| Some(Condition { key: k.key.clone(), mod_revision: k.revision? });
            conditions.extend(keys.iter().filter_map(revision));
        }
        let changes = keys.iter().map(|k| KvChange::Delete { key: k.key.clone() }).collect();
        self.state(LeaderCall::DeleteGarbage(keys), KvRequest::Txn { conditions, changes }, out);
    }

    /// Where duties are fenced, a key goes only at the revision that is known to be over:
    /// where that is in doubt it is read first.
    fn of_known_revision(&self, keys: Vec<StoredKey>, out: &mut EffectSink) -> Vec<StoredKey> {
        let (known, unknown): (Vec<_>, Vec<_>) = keys.into_iter().partition(|k| k.revision.is_some());
        for StoredKey { key, .. } in unknown {
            self.state(LeaderCall::ReadGarbageRevision(key.clone()), KvRequest::Get { key }, out);
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
            job.is_some_and(|id| self.ledger.jobs.get(&id).is_some_and(|e| e.phase == Phase::Active));
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
    fn put_away(&mut self, now: Duration, out: &mut EffectSink) {
        let most = (self.settings.max_txn_changes / 2).min(self.archive.len());
        if most == 0 || !self.writes.take(now, most * 2) {
            return;
        }
        self.sweeping = true;
        let finals: Vec<FinishedJob> = self.archive.drain(..most).collect();
        let mut conditions = vec![self.lead()];
        let mut changes = Vec::new();
        for (id, stamp, record) in &finals {
            let Ok(value) = serde_json::to_string(record) else { continue };
            conditions.push(Condition { key: id.key(), mod_revision: *stamp });
            changes.push(KvChange::Put { key: id.archive_key(), value, lease: None });
            changes.push(KvChange::Delete { key: id.key() });
        }
        self.state(LeaderCall::ArchiveJobs(finals), KvRequest::Txn { conditions, changes }, out);
    }
}
