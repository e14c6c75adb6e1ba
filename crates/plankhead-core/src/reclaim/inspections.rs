//! Inspections: calls that ask a worker directly whether it is alive.
//!
//! A worker that answers is not hung. Without answers from a leader or holder its lease expires, which ends
//! its tasks. Only a machine that does not answer can keep a cancelled task for longer.

use crate::protocol::{CommandReply, MachineName};
use plankhead_fencing::leaderless::{MachineEvidence, MIN_UNANSWERED_INSPECTIONS};
use std::collections::BTreeMap;
use std::time::Duration;

/// The pause after an unanswered inspection before the same worker is inspected again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The pause after an answered inspection.
const INSPECTION_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum number of inspections in flight.
const MAX_IN_FLIGHT: usize = 64;

/// The inspections of one worker.
#[derive(Debug, Clone, Default)]
struct Inspection {
    in_flight: bool,
    next_at: Duration,
    /// The number of consecutive inspections without an answer.
    unanswered: u32,
    /// When the latest inspection was sent that is known to be unanswered.
    unanswered_sent_at: Option<Duration>,
}

/// The inspections of workers, by machine.
#[derive(Debug, Default)]
pub struct Inspections {
    by_machine: BTreeMap<MachineName, Inspection>,
}

impl Inspections {
    /// Returns whether to inspect the worker now, and records that an inspection is sent.
    pub fn begin(&mut self, machine: &MachineName, now: Duration) -> bool {
        let in_flight = self.by_machine.values().filter(|inspection| inspection.in_flight).count();
        let inspection = self.by_machine.entry(machine.clone()).or_default();
        let is_due = !inspection.in_flight && now >= inspection.next_at && in_flight < MAX_IN_FLIGHT;
        inspection.in_flight |= is_due;
        is_due
    }

    /// Records the outcome of an inspection that was sent at `sent`. A call that could not be sent is
    /// unanswered, too.
    pub fn end(&mut self, machine: &MachineName, sent: Duration, reply: &CommandReply, now: Duration) {
        let Some(inspection) = self.by_machine.get_mut(machine) else { return };
        inspection.in_flight = false;
        if matches!(reply, CommandReply::Answered(_)) {
            inspection.next_at = now + INSPECTION_INTERVAL;
            inspection.unanswered = 0;
            inspection.unanswered_sent_at = None;
        } else {
            inspection.next_at = now + RETRY_INTERVAL;
            inspection.unanswered += 1;
            inspection.unanswered_sent_at = Some(sent);
        }
    }

    /// Keeps the inspections of these machines only.
    pub fn retain(&mut self, is_needed: impl Fn(&MachineName) -> bool) {
        self.by_machine.retain(|machine, _| is_needed(machine));
    }

    /// Returns whether the worker has repeatedly not answered.
    pub fn is_unresponsive(&self, machine: &MachineName) -> bool {
        self.by_machine
            .get(machine)
            .is_some_and(|inspection| inspection.unanswered >= MIN_UNANSWERED_INSPECTIONS)
    }

    /// Returns the number of consecutive inspections that the worker did not answer.
    pub fn unanswered(&self, machine: &MachineName) -> u32 {
        self.by_machine.get(machine).map_or(0, |inspection| inspection.unanswered)
    }

    /// Returns the evidence for a reclaim of a machine, on which a task must be gone at `deadline`.
    pub fn evidence(&self, machine: &MachineName, deadline: Duration) -> MachineEvidence {
        let inspection = self.by_machine.get(machine).cloned().unwrap_or_default();
        MachineEvidence {
            deadline,
            unanswered_inspections: inspection.unanswered,
            inspected_at: inspection.unanswered_sent_at,
        }
    }
}
