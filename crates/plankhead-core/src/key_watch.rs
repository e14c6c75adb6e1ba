//! Reading all keys with a prefix: a list once, and a watch from then on.

use crate::calls::KeyWatchCall;
use crate::protocol::{CallError, KeyValue, KvReply, KvRequest, WatchEvent};
use std::time::Duration;

/// The pause after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// What a reply brought.
#[derive(Debug, PartialEq)]
pub enum KeyUpdate {
    /// A page of the list; `complete`: the last one.
    Page { rows: Vec<KeyValue>, complete: bool },
    /// Changes since the list, or since the watch before.
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
    watch_timeout: Duration,
    /// When the latest complete read was asked for.
    pub synced_at: Option<Duration>,
    /// The revision up to which the keys are known; until it is, they are listed.
    revision: Option<u64>,
    list: ListProgress,
    /// Reading failed since it last succeeded.
    last_read_failed: bool,
    call_in_flight: bool,
    next_call_at: Duration,
}

/// How far the list has come.
#[derive(Debug, Default)]
struct ListProgress {
    /// The last key of the page before.
    after_key: Option<String>,
    /// When its first page was asked for.
    started_at: Option<Duration>,
    /// The store's revision at its first page: what changed since is for the watch.
    revision: Option<u64>,
}

impl KeyWatch {
    /// A reader that has read nothing yet; `watch_timeout`: how long each watch waits.
    pub fn new(prefix: &'static str, watch_timeout: Duration) -> Self {
        Self {
            prefix,
            watch_timeout,
            synced_at: None,
            revision: None,
            list: ListProgress::default(),
            last_read_failed: false,
            call_in_flight: false,
            next_call_at: Duration::ZERO,
        }
    }

    /// Whether the keys are being read for the first time, and no read has failed so far.
    pub fn is_loading(&self) -> bool {
        self.synced_at.is_none() && !self.last_read_failed
    }

    /// When [`KeyWatch::tick`] has a call next, unless a reply comes before.
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
            let request = KvRequest::Watch { prefix, after, wait: self.watch_timeout };
            return Some((KeyWatchCall::Watch { sent: now }, request));
        }
        let sent = *self.list.started_at.get_or_insert(now);
        let after = self.list.after_key.clone();
        Some((KeyWatchCall::List { sent }, KvRequest::List { prefix, after }))
    }

    /// Handles a reply, and returns what it brought.
    pub fn reply(
        &mut self,
        now: Duration,
        call: KeyWatchCall,
        reply: Result<KvReply, CallError>,
    ) -> KeyUpdate {
        self.call_in_flight = false;
        match (call, reply) {
            (KeyWatchCall::List { sent }, Ok(KvReply::Page { rows, truncated, revision })) => {
                self.list.after_key = rows.last().map(|row| row.key.clone());
                let list_revision = *self.list.revision.get_or_insert(revision);
                if !truncated {
                    self.list = ListProgress::default();
                    self.revision = Some(list_revision);
                    self.mark_synced(sent);
                }
                KeyUpdate::Page { rows, complete: !truncated }
            }
            (KeyWatchCall::Watch { sent }, Ok(KvReply::Events { revision, events })) => {
                self.revision = self.revision.max(Some(revision));
                self.mark_synced(sent);
                KeyUpdate::Events(events)
            }
            (KeyWatchCall::Watch { .. }, Ok(KvReply::Compacted)) => {
                self.revision = None;
                self.list = ListProgress::default();
                KeyUpdate::Failed
            }
            _ => {
                self.last_read_failed = true;
                self.next_call_at = now + RETRY_INTERVAL;
                self.list = ListProgress::default();
                KeyUpdate::Failed
            }
        }
    }

    fn mark_synced(&mut self, sent: Duration) {
        self.last_read_failed = false;
        self.synced_at = self.synced_at.max(Some(sent));
    }
}
