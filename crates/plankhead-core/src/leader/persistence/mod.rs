//! Writes the leader's decisions to the state service, within a write budget.
//!
//! Placements and task ends are written in chunks of a job's tasks; the end of a whole job is written
//! as its final record. Both are written in transactions that are conditional on the leader's key and on
//! the revisions of the keys that they change.

mod replies;

use super::{Leader, RETRY_INTERVAL};
use crate::calls::{FinishedJob, LeaderCall, WriteBatch};
use crate::effects::EffectSink;
use crate::jobs::chunk::EncodedChunk;
use crate::jobs::job::{JobId, JobPhase, JobRecord};
use crate::protocol::{Condition, JobStatus, KvChange, KvRequest};
use crate::requests::RequestHandler;
use crate::token_bucket::TokenBucket;
use std::collections::HashSet;
use std::time::Duration;

/// How long ends of tasks are collected before they are written, unless a placement in the same chunk or
/// the job's final record is written earlier.
const END_FLUSH_DELAY: Duration = Duration::from_secs(4);
/// The interval between searches for chunks with task ends to write.
const END_FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of concurrent transactions.
const MAX_TXNS_IN_FLIGHT: usize = 4;
/// The estimated size up to which a transaction is filled.
pub(super) const MAX_TXN_BYTES: usize = 56 * 1024;

/// The state of the leader's writes: their budget, the transactions in flight and the keys whose
/// revisions are uncertain.
#[derive(Debug)]
pub(super) struct Persistence {
    budget: TokenBucket,
    /// The time until which no transaction is sent. Set after a failed call.
    paused_until: Duration,
    txns_in_flight: usize,
    /// The keys that are being read again because their revisions are uncertain.
    keys_being_read: HashSet<String>,
    /// Set if the revision of some key may be uncertain and must be read again.
    has_uncertain_revisions: bool,
    next_end_flush_at: Duration,
}

impl Persistence {
    pub(super) fn new(kv_changes_per_s: f64, now: Duration) -> Self {
        Self {
            budget: write_budget(kv_changes_per_s),
            paused_until: Duration::ZERO,
            txns_in_flight: 0,
            keys_being_read: HashSet::new(),
            has_uncertain_revisions: false,
            next_end_flush_at: now,
        }
    }

    /// Replaces the budget by one for a lower limit, in changes per second.
    pub(super) fn limit_rate(&mut self, kv_changes_per_s: f64) {
        self.budget = write_budget(kv_changes_per_s);
    }

    /// Returns the number of changes that the budget allows now.
    pub(super) fn available(&mut self, now: Duration) -> usize {
        self.budget.available(now)
    }

    /// Takes `changes` from the budget. Returns false, and takes nothing, if fewer are available.
    pub(super) fn take(&mut self, now: Duration, changes: usize) -> bool {
        self.budget.take(now, changes)
    }

    /// Returns whether writes are paused after a failed call.
    pub(super) fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Pauses writes for [`RETRY_INTERVAL`], after the state service refused or failed a call.
    pub(super) fn pause(&mut self, now: Duration) {
        self.paused_until = now + RETRY_INTERVAL;
    }
}

/// Returns the write budget of the leader: 80% of the state service's limit, with bursts of up to 60%
/// of the changes that the limit allows per second.
fn write_budget(kv_changes_per_s: f64) -> TokenBucket {
    TokenBucket::new(kv_changes_per_s * 0.8, kv_changes_per_s * 0.6)
}

/// A transaction that is being assembled.
#[derive(Debug, Default)]
struct Txn {
    conditions: Vec<Condition>,
    changes: Vec<KvChange>,
    batch: WriteBatch,
    /// The estimated size of the request.
    bytes: usize,
}

impl Txn {
    /// Adds a condition unless the transaction already has it.
    fn add_condition(&mut self, condition: Condition) {
        if !self.conditions.contains(&condition) {
            self.bytes += condition.key.len() + 40;
            self.conditions.push(condition);
        }
    }
}

impl Leader {
    /// Writes pending changes: final records of jobs first, then placements in the order of their jobs'
    /// priorities, then task ends. The target of the fleet is written once no other change is left.
    pub(super) fn flush(&mut self, now: Duration, requests: &mut RequestHandler, effects: &mut EffectSink) {
        if self.persistence.is_paused(now) {
            return;
        }
        if self.persistence.has_uncertain_revisions {
            self.reread_uncertain(effects);
        }
        self.close_ended_jobs(requests);
        let flush_ends = now >= self.persistence.next_end_flush_at;
        if flush_ends {
            self.persistence.next_end_flush_at = now + END_FLUSH_INTERVAL;
        }
        while self.persistence.txns_in_flight < MAX_TXNS_IN_FLIGHT {
            let available = self.persistence.budget.available(now);
            let max_changes = self.settings.max_txn_changes.min(available);
            if max_changes == 0 {
                return;
            }
            let mut txn = Txn { conditions: vec![self.leader_condition()], ..Txn::default() };
            self.add_final_records(max_changes, &mut txn);
            let placements = self.placements_to_write();
            self.add_chunks(placements, max_changes, &mut txn);
            if flush_ends {
                // Task ends never use the last half of the burst, so that later placements can be written
                // at once.
                let spare = available.saturating_sub(self.persistence.budget.burst() / 2);
                let ends = self.ends_to_write(now);
                self.add_chunks(ends, max_changes.min(spare), &mut txn);
            }
            if self.target.may_write() && txn.changes.is_empty() {
                return self.write_target(now, effects);
            }
            if txn.changes.is_empty() || !self.persistence.budget.take(now, txn.changes.len()) {
                return;
            }
            self.persistence.txns_in_flight += 1;
            let op = KvRequest::Txn { conditions: txn.conditions, changes: txn.changes };
            self.call_kv(LeaderCall::Commit(txn.batch), op, effects);
        }
    }

    /// Returns the chunks with unwritten placements, ordered by the priority and the age of their jobs.
    fn placements_to_write(&self) -> Vec<(JobId, u32)> {
        let order = |(id, number): &(JobId, u32)| {
            let entry = self.job_table.jobs.get(id)?;
            Some(((std::cmp::Reverse(entry.spec.priority), entry.accepted_at), (id.clone(), *number)))
        };
        let mut waiting: Vec<_> = self.job_table.dirty_placements.iter().filter_map(order).collect();
        waiting.sort();
        waiting.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns the chunks whose task ends have waited for [`END_FLUSH_DELAY`], the longest-waiting first.
    fn ends_to_write(&self, now: Duration) -> Vec<(JobId, u32)> {
        let since = |(id, number): &(JobId, u32)| {
            let chunk = self.job_table.jobs.get(id)?.chunks.get(number)?;
            let at = chunk.ends_pending_since?;
            (!chunk.write_in_flight && now.saturating_sub(at) >= END_FLUSH_DELAY)
                .then(|| (at, (id.clone(), *number)))
        };
        let mut waiting: Vec<(Duration, (JobId, u32))> =
            self.job_table.dirty_chunks.iter().filter_map(since).collect();
        waiting.sort();
        waiting.into_iter().map(|(_, key)| key).collect()
    }

    /// Adds chunks to a transaction until it is full. Skips chunks that can't be written now: those with
    /// a write in flight or an uncertain revision, and those of jobs that are over or about to be.
    fn add_chunks(&mut self, keys: Vec<(JobId, u32)>, max_changes: usize, txn: &mut Txn) {
        for (id, number) in keys {
            if txn.changes.len() >= max_changes || txn.bytes > MAX_TXN_BYTES {
                return;
            }
            let Some(entry) = self.job_table.jobs.get(&id) else { continue };
            let Some(chunk) = entry.chunks.get(&number) else { continue };
            let is_closing = entry.done == entry.spec.tasks;
            if entry.phase != JobPhase::Active
                || entry.revision_uncertain
                || entry.final_write_in_flight
                || is_closing
            {
                continue;
            }
            if chunk.write_in_flight || chunk.revision_uncertain {
                continue;
            }
            let Some(EncodedChunk { value, version }) = self.job_table.encode_chunk(&id, number) else {
                continue;
            };
            if txn.bytes + value.len() > MAX_TXN_BYTES && !txn.changes.is_empty() {
                return;
            }
            let key = id.chunk_key(number, entry.rechunked);
            txn.add_condition(Condition { key: id.key(), mod_revision: entry.mod_revision });
            txn.add_condition(Condition { key: key.clone(), mod_revision: chunk.mod_revision });
            txn.bytes += value.len() + 400;
            txn.changes.push(KvChange::Put { key, value, lease: None });
            txn.batch.chunks.push((id.clone(), number, version));
            if let Some(chunk) = self.job_table.jobs.get_mut(&id).and_then(|e| e.chunks.get_mut(&number)) {
                chunk.write_in_flight = true;
            }
        }
    }

    /// Adds the final records of finished jobs. A final record makes all task ends of its job durable at
    /// once.
    fn add_final_records(&mut self, max_changes: usize, txn: &mut Txn) {
        for id in self.job_table.ended_jobs.clone() {
            if txn.changes.len() >= max_changes || txn.bytes > MAX_TXN_BYTES {
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
            txn.add_condition(Condition { key: id.key(), mod_revision });
            txn.bytes += value.len() + 200;
            txn.changes.push(KvChange::Put { key: id.key(), value, lease: None });
            txn.batch.finals.push(id.clone());
        }
    }

    /// Returns the key of a chunk. If the job was rechunked, which replaces its chunks by smaller ones, its
    /// chunks are stored under other keys.
    pub(super) fn chunk_key(&self, id: &JobId, number: u32) -> String {
        id.chunk_key(number, self.job_table.jobs.get(id).is_some_and(|e| e.rechunked))
    }

    /// Removes jobs whose end is already durable and that have no attempts left on any machine: cancelled
    /// jobs, whose stored keys become garbage, and gangs that were done before all of their tasks had
    /// reported their ends.
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
                // These keys are deleted before other garbage, because a new leader that reads them waits
                // for proof that the attempts stored under them are over.
                self.garbage.add_urgent(entry.stored_keys(&id));
                let record = JobRecord::finished(JobPhase::Cancelled, 0);
                self.garbage.archive(FinishedJob { id, mod_revision: entry.mod_revision, record });
            }
        }
    }

    /// Reads the keys of chunks and jobs whose revisions are uncertain.
    fn reread_uncertain(&mut self, effects: &mut EffectSink) {
        let mut calls = Vec::new();
        self.persistence.has_uncertain_revisions = false;
        for (id, number) in &self.job_table.dirty_chunks {
            let is_uncertain = self
                .job_table
                .jobs
                .get(id)
                .and_then(|e| e.chunks.get(number))
                .is_some_and(|c| c.revision_uncertain);
            self.persistence.has_uncertain_revisions |= is_uncertain;
            let key = self.chunk_key(id, *number);
            if is_uncertain && self.persistence.keys_being_read.insert(key.clone()) {
                calls.push((LeaderCall::ReadChunk(id.clone(), *number), key));
            }
        }
        for (id, entry) in &self.job_table.jobs {
            self.persistence.has_uncertain_revisions |= entry.revision_uncertain;
            if entry.revision_uncertain && self.persistence.keys_being_read.insert(id.key()) {
                calls.push((LeaderCall::ReadJob(id.clone()), id.key()));
            }
        }
        for (leader_call, key) in calls {
            self.call_kv(leader_call, KvRequest::Get { key }, effects);
        }
    }
}
