//! Reading the records of shards: a list once, and a watch from then on.

use crate::node::{Out, Purpose};
use crate::protocol::{CallError, KeyEvent, Level, Row, StateOp, StateReply};
use plankhead_sharding::shard::PREFIX;
use plankhead_sharding::table::ShardTable;
use std::time::Duration;

/// How long a watch waits before it is opened anew. Its return shows that nothing up to its
/// start is unseen, so that the sight of the records is up to twice as old.
const WATCH: Duration = Duration::from_millis(1500);
/// The pause after a failure.
const PAUSE: Duration = Duration::from_millis(250);

/// What a call to the state service is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    List { sent: Duration },
    Watch { sent: Duration },
}

/// The records as this node knows them.
#[derive(Debug, Default)]
pub struct RecordWatch {
    pub table: ShardTable,
    /// When the latest complete read was asked for.
    pub seen: Option<Duration>,
    /// The revision up to which the records are known.
    revision: Option<u64>,
    /// Rows of a list that has more pages.
    rows: Vec<Row>,
    list_sent: Option<Duration>,
    list_revision: Option<u64>,
    pending: bool,
    due: Duration,
}

impl RecordWatch {
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
                let after = self.rows.last().map(|row| row.key.clone());
                let sent = *self.list_sent.get_or_insert(now);
                (Step::List { sent }, StateOp::List { prefix: PREFIX.into(), after })
            }
        };
        out.state(Purpose::Records(step), op);
    }

    /// Handles a reply; true if the records may have changed.
    pub fn reply(
        &mut self,
        now: Duration,
        step: Step,
        reply: Result<StateReply, CallError>,
        out: &mut Out,
    ) -> bool {
        self.pending = false;
        match (step, reply) {
            (Step::List { sent }, Ok(StateReply::Page { rows, truncated, epoch })) => {
                self.listed(sent, rows, truncated, epoch, out)
            }
            (Step::Watch { sent }, Ok(StateReply::Events { epoch, events })) => {
                self.seen = self.seen.max(Some(sent));
                self.revision = self.revision.max(Some(epoch));
                let news = !events.is_empty();
                events.into_iter().for_each(|event| self.event(event, out));
                news
            }
            (Step::Watch { .. }, Ok(StateReply::Compacted)) => {
                self.revision = None;
                self.restart();
                false
            }
            _ => {
                self.due = now + PAUSE;
                self.restart();
                false
            }
        }
    }

    fn restart(&mut self) {
        self.rows.clear();
        self.list_sent = None;
        self.list_revision = None;
    }

    fn listed(
        &mut self,
        sent: Duration,
        rows: Vec<Row>,
        truncated: bool,
        revision: u64,
        out: &mut Out,
    ) -> bool {
        self.rows.extend(rows);
        let revision = *self.list_revision.get_or_insert(revision);
        if truncated {
            return false;
        }
        let rows = std::mem::take(&mut self.rows);
        let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        self.table.retain_keys(&keys);
        rows.iter().for_each(|row| self.write(row, out));
        self.restart();
        self.revision = Some(revision);
        self.seen = self.seen.max(Some(sent));
        true
    }

    fn event(&mut self, event: KeyEvent, out: &mut Out) {
        match event {
            KeyEvent::Written(row) => self.write(&row, out),
            KeyEvent::Dropped { key, stamp } => self.table.remove(&key, stamp),
        }
    }

    fn write(&mut self, row: &Row, out: &mut Out) {
        if let Err(fault) = self.table.write(&row.key, &row.value, row.stamp) {
            out.log(Level::Error, format!("the record {} is left alone: {fault}", row.key));
        }
    }
}
