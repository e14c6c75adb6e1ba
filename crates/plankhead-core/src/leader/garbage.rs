//! Deletion of obsolete keys from the state service, and archiving of ended jobs.

use super::{Leader, TermStatus};
use crate::calls::{FinishedJob, LeaderCall, ObsoleteKey};
use crate::effects::EffectSink;
use crate::jobs::job::{JobId, JobPhase};
use crate::leadership::election;
use crate::protocol::{CallError, Condition, KvChange, KvReply, KvRequest};
use std::collections::VecDeque;
use std::time::Duration;

/// The obsolete keys and ended jobs that wait for write budget.
#[derive(Debug, Default)]
pub(super) struct Garbage {
    /// The keys to be deleted.
    keys: Vec<ObsoleteKey>,
    /// The number of urgent keys, which are at the front.
    urgent: usize,
    /// Records of ended jobs to be moved to the archive, so that later leaders do not load them.
    to_archive: VecDeque<FinishedJob>,
    write_in_flight: bool,
}

impl Garbage {
    /// Adds keys that may be deleted at any time.
    pub(super) fn add(&mut self, keys: impl IntoIterator<Item = ObsoleteKey>) {
        self.keys.extend(keys);
    }

    /// Adds keys that are deleted before others: a new leader that still found them would wait for proof
    /// that the attempts stored under them are over.
    pub(super) fn add_urgent(&mut self, keys: impl IntoIterator<Item = ObsoleteKey>) {
        let before = self.keys.len();
        self.keys.extend(keys);
        let added = self.keys.len() - before;
        self.keys.rotate_right(added);
        self.urgent += added;
    }

    /// Queues the record of an ended job to be moved to the archive.
    pub(super) fn archive(&mut self, job: FinishedJob) {
        self.to_archive.push_back(job);
    }

    /// Discards all queued keys and jobs, because loading starts over.
    pub(super) fn clear(&mut self) {
        self.keys.clear();
        self.to_archive.clear();
        self.urgent = 0;
    }
}

impl Leader {
    /// Deletes obsolete keys or, if there are none, archives ended jobs. Unless urgent keys are queued, this
    /// waits until the write budget has saved 40% of the changes that the state service allows per second.
    pub(super) fn delete_garbage(&mut self, now: Duration, effects: &mut EffectSink) {
        let has_spare = self.persistence.available(now) as f64 >= self.settings.kv_changes_per_s * 0.4;
        let due = has_spare || self.garbage.urgent > 0;
        if self.garbage.write_in_flight || !due || self.persistence.is_paused(now) {
            return;
        }
        if self.garbage.keys.is_empty() {
            return self.archive_finished_jobs(now, effects);
        }
        let count = if has_spare {
            self.garbage.keys.len()
        } else {
            self.garbage.urgent.min(self.garbage.keys.len())
        };
        let count = self.settings.max_txn_changes.min(count).min(self.persistence.available(now));
        let mut keys: Vec<ObsoleteKey> = self.garbage.keys.drain(..count).collect();
        keys.sort_by(|a, b| a.key.cmp(&b.key));
        keys.dedup_by(|a, b| a.key == b.key);
        self.garbage.urgent = self.garbage.urgent.saturating_sub(keys.len());
        if self.intents.is_fenced() {
            keys = self.with_known_revision(keys, effects);
        }
        if keys.is_empty() || !self.persistence.take(now, keys.len()) {
            return self.garbage.keys.extend(keys);
        }
        self.garbage.write_in_flight = true;
        let mut conditions = vec![self.leader_condition()];
        if self.intents.is_fenced() {
            let revision =
                |k: &ObsoleteKey| Some(Condition { key: k.key.clone(), mod_revision: k.revision? });
            conditions.extend(keys.iter().filter_map(revision));
        }
        let changes = keys.iter().map(|k| KvChange::Delete { key: k.key.clone() }).collect();
        self.call_kv(LeaderCall::DeleteGarbage(keys), KvRequest::Txn { conditions, changes }, effects);
    }

    /// Returns the keys whose revisions are known, and requests the revisions of the others. If intents are
    /// fenced, a key is deleted only at the revision that is known to be obsolete.
    fn with_known_revision(&self, keys: Vec<ObsoleteKey>, effects: &mut EffectSink) -> Vec<ObsoleteKey> {
        let (known, unknown): (Vec<_>, Vec<_>) = keys.into_iter().partition(|k| k.revision.is_some());
        for ObsoleteKey { key, .. } in unknown {
            self.call_kv(LeaderCall::ReadGarbageRevision(key.clone()), KvRequest::Get { key }, effects);
        }
        known
    }

    /// Queues keys again after a deletion that was not carried out because the `failed` ones had other
    /// revisions than expected.
    fn requeue_after_conflict(&mut self, keys: Vec<ObsoleteKey>, failed: &[String]) {
        let without_failed_revision = |mut obsolete: ObsoleteKey| {
            if failed.contains(&obsolete.key) {
                obsolete.revision = None;
            }
            obsolete
        };
        self.garbage.keys.extend(keys.into_iter().map(without_failed_revision));
    }

    /// Handles the reply to a read of a key that is to be deleted. The key is kept if a job with the same id
    /// has been submitted again, as it may belong to that job.
    pub(super) fn garbage_revision_read(&mut self, key: String, reply: Result<KvReply, CallError>) {
        let job = key.split('/').nth(1).and_then(|id| JobId::parse(id).ok());
        let is_in_use =
            job.is_some_and(|id| self.job_table.jobs.get(&id).is_some_and(|e| e.phase == JobPhase::Active));
        match reply {
            _ if is_in_use => {}
            Ok(KvReply::Value(None)) => {}
            Ok(KvReply::Value(Some(row))) => {
                self.garbage.keys.push(ObsoleteKey { key, revision: Some(row.mod_revision) });
            }
            _ => self.garbage.keys.push(ObsoleteKey { key, revision: None }),
        }
    }

    /// Moves records of ended jobs to their archive keys, which new leaders do not load.
    fn archive_finished_jobs(&mut self, now: Duration, effects: &mut EffectSink) {
        let count = (self.settings.max_txn_changes / 2).min(self.garbage.to_archive.len());
        if count == 0 || !self.persistence.take(now, count * 2) {
            return;
        }
        self.garbage.write_in_flight = true;
        let jobs: Vec<FinishedJob> = self.garbage.to_archive.drain(..count).collect();
        let mut conditions = vec![self.leader_condition()];
        let mut changes = Vec::new();
        for job in &jobs {
            let Ok(value) = serde_json::to_string(&job.record) else { continue };
            conditions.push(Condition { key: job.id.key(), mod_revision: job.mod_revision });
            changes.push(KvChange::Put { key: job.id.archive_key(), value, lease: None });
            changes.push(KvChange::Delete { key: job.id.key() });
        }
        self.call_kv(LeaderCall::ArchiveJobs(jobs), KvRequest::Txn { conditions, changes }, effects);
    }

    /// Handles the reply to a deletion of obsolete keys.
    pub(super) fn garbage_deleted(
        &mut self,
        keys: Vec<ObsoleteKey>,
        reply: Result<KvReply, CallError>,
    ) -> TermStatus {
        self.garbage.write_in_flight = false;
        match reply {
            Ok(KvReply::Committed { .. }) => {}
            Ok(KvReply::Conflict { failed }) if failed.iter().any(|k| k == election::KEY) => {
                return TermStatus::Over
            }
            Ok(KvReply::Conflict { failed }) => self.requeue_after_conflict(keys, &failed),
            _ => self.garbage.keys.extend(keys),
        }
        TermStatus::Continues
    }

    /// Handles the reply to a transaction that archives jobs.
    pub(super) fn jobs_archived(
        &mut self,
        jobs: Vec<FinishedJob>,
        reply: Result<KvReply, CallError>,
    ) -> TermStatus {
        self.garbage.write_in_flight = false;
        match reply {
            Ok(KvReply::Committed { .. }) => {}
            Ok(KvReply::Conflict { failed }) if failed.iter().any(|k| k == election::KEY) => {
                return TermStatus::Over
            }
            // The jobs in conflict were already archived by a transaction whose reply was lost.
            Ok(KvReply::Conflict { failed }) => {
                let left = jobs.into_iter().filter(|job| !failed.contains(&job.id.key()));
                self.garbage.to_archive.extend(left);
            }
            _ => self.garbage.to_archive.extend(jobs),
        }
        TermStatus::Continues
    }
}
