//! Reading all keys with a prefix: a list once, and a watch from then on.

use crate::protocol::{CallError, KeyValue, KvReply, KvRequest, WatchEvent};
use std::time::Duration;

/// The pause after a failure.
const PAUSE: Duration = Duration::from_millis(250);

/// What a call to the state service is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    List { sent: Duration },
    Watch { sent: Duration },
}

/// What a reply brought.
#[derive(Debug, PartialEq)]
pub enum Read {
    /// A part of the list; `complete`: the last one.
    Page {
        rows: Vec<KeyValue>,
        complete: bool,
    },
    Events(Vec<WatchEvent>),
    /// Nothing: a list that was begun begins anew.
    Failed,
}

/// A reader of the keys with one prefix.
#[derive(Debug)]
pub struct KeyWatch {
    prefix: &'static str,
    /// How long a watch waits before it is opened anew. Its return shows that nothing up to
    /// its start is unseen.
    wait: Duration,
    /// When the latest complete read was asked for.
    pub seen: Option<Duration>,
    /// The revision up to which the keys are known.
    revision: Option<u64>,
    page_after: Option<String>,
    list_sent: Option<Duration>,
    list_revision: Option<u64>,
    /// Reading failed since it last succeeded.
    failed: bool,
    pending: bool,
    due: Duration,
}

impl KeyWatch {
    pub fn new(prefix: &'static str, wait: Duration) -> Self {
        Self {
            prefix,
            wait,
            seen: None,
            revision: None,
            page_after: None,
            list_sent: None,
            list_revision: None,
            failed: false,
            pending: false,
            due: Duration::ZERO,
        }
    }

    /// Whether the keys are being read for the first time, and nothing says that they can't.
    pub fn reads(&self) -> bool {
        self.seen.is_none() && !self.failed
    }

    pub fn next_due(&self) -> Option<Duration> {
        (!self.pending).then_some(self.due)
    }

    /// The next call, if one is due.
    pub fn tick(&mut self, now: Duration) -> Option<(Step, KvRequest)> {
        if self.pending || now < self.due {
            return None;
        }
        self.pending = true;
        let prefix = self.prefix.into();
        if let Some(after) = self.revision {
            return Some((Step::Watch { sent: now }, KvRequest::Watch { prefix, after, wait: self.wait }));
        }
        let sent = *self.list_sent.get_or_insert(now);
        let after = self.page_after.clone();
        Some((Step::List { sent }, KvRequest::List { prefix, after }))
    }

    pub fn reply(&mut self, now: Duration, step: Step, reply: Result<KvReply, CallError>) -> Read {
        self.pending = false;
        match (step, reply) {
            (Step::List { sent }, Ok(KvReply::Page { rows, truncated, revision: epoch })) => {
                self.page_after = rows.last().map(|row| row.key.clone());
                let revision = *self.list_revision.get_or_insert(epoch);
                if !truncated {
                    self.restart();
                    self.revision = Some(revision);
                    self.saw(sent);
                }
                Read::Page { rows, complete: !truncated }
            }
            (Step::Watch { sent }, Ok(KvReply::Events { revision: epoch, events })) => {
                self.revision = self.revision.max(Some(epoch));
                self.saw(sent);
                Read::Events(events)
            }
            (Step::Watch { .. }, Ok(KvReply::Compacted)) => {
                self.revision = None;
                self.restart();
                Read::Failed
            }
            _ => {
                self.failed = true;
                self.due = now + PAUSE;
                self.restart();
                Read::Failed
            }
        }
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
}
