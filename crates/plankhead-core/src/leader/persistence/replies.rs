//! Replies to transactions that write the leader's decisions, and to reads of keys whose revisions are
//! uncertain.

use crate::calls::{FinishedJob, WriteBatch};
use crate::effects::{EffectSink, StepTime};
use crate::jobs::job::{JobId, JobPhase, JobRecord};
use crate::leader::{Leader, TermStatus};
use crate::leadership::election;
use crate::protocol::{CallError, JobStatus, KvReply, LogLevel};
use crate::requests::RequestHandler;
use std::collections::BTreeSet;
use std::time::Duration;

impl Leader {
    /// Handles the reply to a transaction.
    pub(in crate::leader) fn batch_written(
        &mut self,
        now: Duration,
        batch: WriteBatch,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
        effects: &mut EffectSink,
    ) -> TermStatus {
        self.persistence.txns_in_flight -= 1;
        let (mut failed, mut lost) = (Vec::new(), false);
        match reply {
            Ok(KvReply::Committed { revision }) => {
                self.batch_committed(now, &batch, revision, requests, effects);
                return TermStatus::Continues;
            }
            Ok(KvReply::Conflict { failed: keys }) => failed = keys,
            Err(CallError::Refused | CallError::RateLimited | CallError::TooLarge) => {
                self.persistence.pause(now);
            }
            _ => lost = true,
        }
        if failed.iter().any(|key| key == election::KEY) {
            return TermStatus::Over;
        }
        self.batch_failed(&batch, &failed, lost);
        TermStatus::Continues
    }

    fn batch_committed(
        &mut self,
        now: Duration,
        batch: &WriteBatch,
        revision: u64,
        requests: &mut RequestHandler,
        effects: &mut EffectSink,
    ) {
        let mut machines = BTreeSet::new();
        for (id, number, version) in &batch.chunks {
            machines.extend(self.job_table.chunk_committed(id, *number, *version, revision));
        }
        for id in &batch.finals {
            let tasks = self.job_table.jobs.get(id).map_or(0, |e| e.spec.tasks);
            // The chunks are deleted only after the final record is durable. If they were deleted first
            // and the final record were lost, the next leader would start the job again.
            let stored = self.job_table.jobs.get(id).map(|e| e.stored_keys(id)).unwrap_or_default();
            if self.job_table.job_finished(id) {
                self.garbage.add(stored);
                requests.record_ended(id, JobStatus::Done, tasks);
                let record = JobRecord::finished(JobPhase::Done, tasks);
                self.garbage.archive(FinishedJob { id: id.clone(), mod_revision: revision, record });
            }
        }
        for machine in machines {
            self.send_commands(now, &machine, effects);
        }
    }

    /// Handles a transaction that was not committed or whose reply was lost.
    ///
    /// `failed` lists the keys whose revisions differed from the expected ones. A transaction whose reply
    /// was lost may still be applied, so the revisions of its keys are read before they are written
    /// again.
    fn batch_failed(&mut self, batch: &WriteBatch, failed: &[String], lost: bool) {
        self.persistence.has_uncertain_revisions = true;
        for (id, number, _) in &batch.chunks {
            let is_uncertain = lost || failed.contains(&self.chunk_key(id, *number));
            self.job_table.chunk_write_failed(id, *number, is_uncertain);
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
    }

    /// Handles the reply to a read of a chunk whose revision was uncertain.
    pub(in crate::leader) fn chunk_reread(
        &mut self,
        now: Duration,
        id: &JobId,
        number: u32,
        reply: Result<KvReply, CallError>,
    ) {
        let key = self.chunk_key(id, number);
        self.persistence.keys_being_read.remove(&key);
        if let Ok(KvReply::Value(row)) = reply {
            self.job_table.set_chunk_revision(id, number, row.map_or(0, |row| row.mod_revision));
        } else {
            self.persistence.pause(now);
        }
    }

    /// Handles the reply to a read of a job record whose revision was uncertain.
    pub(in crate::leader) fn job_reread(
        &mut self,
        times: StepTime,
        id: &JobId,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
        effects: &mut EffectSink,
    ) {
        self.persistence.keys_being_read.remove(&id.key());
        match reply {
            Ok(KvReply::Value(Some(row))) => self.job_record_changed(times, &row, requests),
            Ok(KvReply::Value(None)) => {
                effects.log(LogLevel::Error, format!("job record missing: job={id}"));
                self.persistence.pause(times.now);
            }
            _ => self.persistence.pause(times.now),
        }
    }
}
