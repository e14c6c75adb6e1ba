//! Reading all keys with a prefix: a list once, and a watch from then on.

use crate::calls::KeyWatchCall;
use crate::protocol::{CallError, KeyValue, KvReply, KvRequest, WatchEvent};
use std::time::Duration;

/// The pause after a failure.
const PAUSE: Duration = Duration::from_millis(250);

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
    pub synced_at: Option<Duration>,
    /// The revision up to which the keys are known.
    revision: Option<u64>,
    after_key: Option<String>,
    list_sent: Option<Duration>,
    list_revision: Option<u64>,
    /// Reading failed since it last succeeded.
    last_read_failed: bool,
    call_in_flight: bool,
    next_call_at: Duration,
}

impl KeyWatch {
    pub fn new(prefix: &'static str, wait: Duration) -> Self {
        Self {
            prefix,
            wait,
            synced_at: None,
            revision: None,
            after_key: None,
            list_sent: None,
            list_revision: None,
            last_read_failed: false,
            call_in_flight: false,
            next_call_at: Duration::ZERO,
        }
    }

    /// Whether the keys are being read for the first time, and nothing says that they can't.
    pub fn is_loading(&self) -> bool {
        self.synced_at.is_none() && !self.last_read_failed
    }

    pub fn next_due(&self) -> Option<Duration> {
        (!self.call_in_flight).then_some(self.next_call_at)
    }

    /// The next call, if one is due.
    pub fn tick(&mut self, now: Duration) -> Option<(KeyWatchCall, KvRequest)> {
        if self.call_in_flight || now < self.next_call_at {
            return None;
        }
        self.call_in_flight = true;
        let prefix = self.prefix.into();
        if let Some(after) = self.revision {
            return Some((
                KeyWatchCall::Watch { sent: now },
                KvRequest::Watch { prefix, after, wait: self.wait },
            ));
        }
        let sent = *self.list_sent.get_or_insert(now);
        let after = self.after_key.clone();
        Some((KeyWatchCall::List { sent }, KvRequest::List { prefix, after }))
    }

    pub fn reply(&mut self, now: Duration, step: KeyWatchCall, reply: Result<KvReply, CallError>) -> Read {
        self.call_in_flight = false;
        match (step, reply) {
            (KeyWatchCall::List { sent }, Ok(KvReply::Page { rows, truncated, revision: epoch })) => {
                self.after_key = rows.last().map(|row| row.key.clone());
                let revision = *self.list_revision.get_or_insert(epoch);
                if !truncated {
                    self.restart();
                    self.revision = Some(revision);
                    self.mark_synced(sent);
                }
                Read::Page { rows, complete: !truncated }
            }
            (KeyWatchCall::Watch { sent }, Ok(KvReply::Events { revision: epoch, events })) => {
                self.revision = self.revision.max(Some(epoch));
                self.mark_synced(sent);
                Read::Events(events)
            }
            (KeyWatchCall::Watch { .. }, Ok(KvReply::Compacted)) => {
                self.revision = None;
                self.restart();
                Read::Failed
            }
            _ => {
                self.last_read_failed = true;
                self.next_call_at = now + PAUSE;
                self.restart();
                Read::Failed
            }
        }
    }

    fn mark_synced(&mut self, sent: Duration) {
        self.last_read_failed = false;
        self.synced_at = self.synced_at.max(Some(sent));
    }

    fn restart(&mut self) {
        self.after_key = None;
        self.list_sent = None;
        self.list_revision = None;
    }
}
