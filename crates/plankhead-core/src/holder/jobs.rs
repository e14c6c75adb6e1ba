//! A holder's own sight of the jobs: which of them were cancelled, and as of when it knows.

use crate::job::{JobId, JobRecord, Phase};
use crate::node::{Out, Purpose};
use crate::protocol::{CallError, KeyEvent, Row, StateOp, StateReply, Status};
use crate::requests::RequestHandler;
use std::collections::BTreeSet;
use std::time::Duration;

const PREFIX: &str = "job/";
/// How long the watch waits; its return proves that no cancellation up to its start is
/// unseen.
const WATCH: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(250);

/// What a call to the state service is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    List { sent: Duration },
    Watch { sent: Duration },
}

/// The jobs that were cancelled and are not yet over for the leader.
#[derive(Debug, Default)]
pub struct JobSight {
    cancelled: BTreeSet<JobId>,
    /// When the latest complete read was asked for.
    pub seen: Option<Duration>,
    /// The revision up to which the jobs are known.
    revision: Option<u64>,
    page_after: Option<String>,
    list_sent: Option<Duration>,
    list_revision: Option<u64>,
    /// Reading failed since it last succeeded.
    failed: bool,
    pending: bool,
    due: Duration,
    news: JobNews,
}

/// What a reply brought.
#[derive(Debug, Default)]
pub struct JobNews {
    /// Jobs were cancelled.
    pub cancelled: bool,
    /// Jobs of which nothing is to be started any more, whatever was ordered.
    pub over: BTreeSet<JobId>,
}

impl JobSight {
    pub fn is_cancelled(&self, job: &JobId) -> bool {
        self.cancelled.contains(job)
    }

    /// Whether the jobs are being read for the first time, and nothing says that they can't.
    pub fn reads(&self) -> bool {
        self.seen.is_none() && !self.failed
    }

    pub fn next_due(&self) -> Option<Duration> {
        (!self.pending).then_some(self.due)
    }

    pub fn tick(&mut self, now: Duration, out: &mut Out) {
        if self.pending || now < self.due {
            return;
        }
        self.pending = true;
        let (step, op) = match self.revision {
            Some(after) => {
                let op = StateOp::Follow { prefix: PREFIX.into(), after, wait: WATCH };
                (Step::Watch { sent: now }, op)
            }
            None => {
                let sent = *self.list_sent.get_or_insert(now);
                let after = self.page_after.clone();
                (Step::List { sent }, StateOp::List { prefix: PREFIX.into(), after })
            }
        };
        out.state(Purpose::Holder(super::HolderCall::Jobs(step)), op);
    }

    /// Handles a reply, and tells what it brought.
    pub fn reply(
        &mut self,
        now: Duration,
        step: Step,
        reply: Result<StateReply, CallError>,
        requests: &mut RequestHandler,
    ) -> JobNews {
        self.pending = false;
        match (step, reply) {
            (Step::List { sent }, Ok(StateReply::Page { rows, truncated, epoch })) => {
                self.page_after = rows.last().map(|row| row.key.clone());
                let revision = *self.list_revision.get_or_insert(epoch);
                rows.iter().for_each(|row| self.row(row, requests));
                if !truncated {
                    self.restart();
                    self.revision = Some(revision);
                    self.saw(sent);
                }
            }
            (Step::Watch { sent }, Ok(StateReply::Events { epoch, events })) => {
                self.revision = self.revision.max(Some(epoch));
                events.into_iter().for_each(|event| self.event(event, requests));
                self.saw(sent);
            }
            (Step::Watch { .. }, Ok(StateReply::Compacted)) => {
                self.revision = None;
                self.restart();
            }
            _ => {
                self.failed = true;
                self.due = now + PAUSE;
                self.restart();
            }
        }
        std::mem::take(&mut self.news)
    }

    fn saw(&mut self, sent: Duration) {
        self.failed = false;
        self.seen = self.seen.max(Some(sent));
    }

    fn restart(&mut self) {
        self.page_after = None;
        self.list_sent = None;
        self.list_revision = None;
    }

    fn event(&mut self, event: KeyEvent, requests: &mut RequestHandler) {
        match event {
            KeyEvent::Written(row) => self.row(&row, requests),
            // Its leader has seen all of it gone.
            KeyEvent::Dropped { key, .. } => {
                if let Some(id) = job_of(&key) {
                    self.cancelled.remove(&id);
                    self.news.over.insert(id);
                }
            }
        }
    }

    fn row(&mut self, row: &Row, requests: &mut RequestHandler) {
        let Some(id) = job_of(&row.key) else { return };
        let Ok(record) = serde_json::from_str::<JobRecord>(&row.value) else { return };
        match record.phase {
            Phase::Live => {}
            Phase::Done => {
                requests.over(&id, Status::Done, record.tasks);
                self.news.over.insert(id);
            }
            Phase::Cancelled => {
                requests.over(&id, Status::Cancelled, 0);
                self.news.cancelled |= self.cancelled.insert(id);
            }
        }
    }
}

fn job_of(key: &str) -> Option<JobId> {
    JobId::parse(key.strip_prefix(PREFIX)?).ok()
}
