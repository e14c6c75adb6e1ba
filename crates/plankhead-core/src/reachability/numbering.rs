//! The numbering of machines, which coverage refers to. Every node reads it from the state service; the
//! leader assigns numbers to new machines and frees those of removed ones.

use crate::calls::{CallPurpose, ReachabilityCall};
use crate::effects::EffectSink;
use crate::leadership::election;
use crate::protocol::{CallError, Condition, KeyValue, KvChange, KvReply, KvRequest, LogLevel, MachineName};
use plankhead_reachability::numbering::{MachineNumbering, PREFIX};
use std::collections::BTreeSet;
use std::time::Duration;

/// The time between two reads of the numbering.
const REFRESH_INTERVAL: Duration = Duration::from_secs(15);
/// The time after which a failed read is repeated.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// The time between two checks by the leader for machines without a number.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The numbering as this node knows it, and the state of the calls that read and write it.
#[derive(Debug)]
pub(super) struct NumberingStore {
    numbering: MachineNumbering,
    /// Whether all pages have been read at least once.
    loaded: bool,
    list_in_flight: bool,
    /// The last key of the previous page, while a list has more pages.
    list_after_key: Option<String>,
    next_list_at: Duration,
    write_in_flight: bool,
    next_check_at: Duration,
}

impl NumberingStore {
    pub fn new(now: Duration) -> Self {
        Self {
            numbering: MachineNumbering::default(),
            loaded: false,
            list_in_flight: false,
            list_after_key: None,
            next_list_at: now,
            write_in_flight: false,
            next_check_at: now,
        }
    }

    /// Returns the numbering as last read.
    pub fn current(&self) -> &MachineNumbering {
        &self.numbering
    }

    /// Returns when the numbering is due to be read next, or `None` if a read is in flight.
    pub fn next_due(&self) -> Option<Duration> {
        (!self.list_in_flight).then_some(self.next_list_at)
    }

    /// Schedules a read of the numbering at once, because a peer knows a later one.
    pub fn refresh_soon(&mut self, now: Duration) {
        self.next_list_at = self.next_list_at.min(now);
    }

    /// Reads the numbering if a read is due.
    pub fn tick(&mut self, now: Duration, effects: &mut EffectSink) {
        if !self.list_in_flight && now >= self.next_list_at {
            self.list_in_flight = true;
            self.list_page(effects);
        }
    }

    fn list_page(&self, effects: &mut EffectSink) {
        let request = KvRequest::List { prefix: PREFIX.into(), after: self.list_after_key.clone() };
        effects.call_kv(CallPurpose::Reachability(ReachabilityCall::ListPages), request);
    }

    /// Handles the reply to a read of a page.
    pub fn list_reply(&mut self, reply: Result<KvReply, CallError>, now: Duration, effects: &mut EffectSink) {
        let Ok(KvReply::Page { rows, truncated, .. }) = reply else {
            self.list_in_flight = false;
            self.list_after_key = None;
            self.next_list_at = now + RETRY_INTERVAL;
            return;
        };
        for row in &rows {
            self.apply_page(row, effects);
        }
        self.list_after_key = rows.last().map(|row| row.key.clone()).filter(|_| truncated);
        if truncated {
            return self.list_page(effects);
        }
        self.loaded = true;
        self.list_in_flight = false;
        self.next_list_at = now + REFRESH_INTERVAL;
    }

    fn apply_page(&mut self, row: &KeyValue, effects: &mut EffectSink) {
        if let Err(error) = self.numbering.apply_page(&row.key, &row.value, row.mod_revision) {
            effects.log(LogLevel::Debug, format!("numbering page ignored: reason=\"{error}\""));
        }
    }

    /// Returns whether the leader is due to check for machines without a number. If so, the next check is
    /// scheduled.
    pub fn take_check_due(&mut self, now: Duration) -> bool {
        let due = self.loaded && !self.write_in_flight && now >= self.next_check_at;
        if due {
            self.next_check_at = now + CHECK_INTERVAL;
        }
        due
    }

    /// Writes the next page that must change for exactly these machines to have numbers. The write succeeds
    /// only if the leader with this fencing token still leads and the page has not changed.
    pub fn write_page(
        &mut self,
        machines: &BTreeSet<MachineName>,
        token: u64,
        max_value_bytes: usize,
        effects: &mut EffectSink,
    ) {
        let Some(write) = self.numbering.next_write(machines, max_value_bytes) else { return };
        self.write_in_flight = true;
        let still_leads = Condition { key: election::KEY.into(), mod_revision: token };
        let page_unchanged = Condition { key: write.key.clone(), mod_revision: write.revision };
        let (key, value) = (write.key, write.value);
        let changes = vec![KvChange::Put { key: key.clone(), value: value.clone(), lease: None }];
        let call = ReachabilityCall::WritePage { key, value };
        effects.call_kv(
            CallPurpose::Reachability(call),
            KvRequest::Txn { conditions: vec![still_leads, page_unchanged], changes },
        );
    }

    /// Handles the reply to the write of a page.
    pub fn write_reply(
        &mut self,
        key: String,
        value: String,
        reply: Result<KvReply, CallError>,
        now: Duration,
        effects: &mut EffectSink,
    ) {
        self.write_in_flight = false;
        match reply {
            Ok(KvReply::Committed { revision }) => {
                self.apply_page(&KeyValue { key, value, mod_revision: revision }, effects);
                // More pages may have to be written.
                self.next_check_at = now;
            }
            // The page may differ from the one that was read: read the numbering again.
            _ => self.next_list_at = now,
        }
    }
}
