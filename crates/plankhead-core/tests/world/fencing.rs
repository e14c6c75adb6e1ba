//! Processes that are paused, clocks that disagree, and what the cloud did for whom.
//!
//! The check is independent of the code under test: it reads the stored records as plain
//! JSON, and knows from the model itself who held the lease when.

use super::events::SimEvent;
use super::{World, SIM_START};
use plankhead_core::effects::StepTime;
use plankhead_core::protocol::{CloudRequest, KvChange, KvReply, KvRequest};
use plankhead_fencing::action::CloudAction;
use plankhead_fencing::gate::Basis;
use serde_json::Value;
use std::time::{Duration, SystemTime};

/// Who decided on a call: which process, and the lease's revision that it held then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Actor {
    pub node: usize,
    pub boot: u64,
    /// 0: it held no lease.
    pub term: u64,
}

/// What the cloud did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CloudEffects {
    /// Rentals and returns that changed something.
    pub all: u32,
    /// Of these, the ones whose actor held the lease no more.
    pub by_former_leaders: u32,
    /// Of these, the ones that no open record in the state service names: stale ones.
    pub stale: u32,
    /// Effects without a record, since a rule forced them; and the stale ones of them.
    pub compelled: u32,
    pub compelled_stale: u32,
}

/// How a node's clocks run.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Seconds of its steady clock in a second.
    pub rate: f64,
    /// How far its time of day jumps about.
    pub jumps: Duration,
}

pub const TRUE_CLOCK: Clock = Clock { rate: 1.0, jumps: Duration::ZERO };

impl World {
    /// Pauses a process. `holding`: also what it has decided in this very moment leaves
    /// only when it goes on.
    pub(super) fn pause_process(&mut self, node: usize, duration: Duration, holds_effects: bool) {
        let Some((boot, _)) = &self.nodes[node] else { return };
        let boot = *boot;
        self.pauses += 1;
        self.paused_until[node] = self.paused_until[node].max(self.now + duration);
        self.holds_effects[node] = holds_effects;
        self.schedule_in(self.paused_until[node] - self.now, SimEvent::ResumeProcess { node, boot });
    }

    pub(super) fn resume_process(&mut self, node: usize, boot: u64) {
        if self.now < self.paused_until[node] {
            return;
        }
        self.holds_effects[node] = false;
        let batch = std::mem::take(&mut self.backlog[node]);
        if self.is_running(node, boot) {
            self.step(node, batch);
        }
    }

    /// The times that a node's clocks show.
    pub(super) fn clock_times(&mut self, node: usize) -> StepTime {
        let Clock { rate, jumps } = self.clocks[node];
        let now = SIM_START + (self.now - SIM_START).mul_f64(rate);
        let jumps = jumps.as_millis() as u64;
        let jump = if jumps > 0 { self.random_ms(0, jumps) } else { Duration::ZERO };
        StepTime { now, wall: SystemTime::UNIX_EPOCH + self.now + jump }
    }

    /// When a time on a node's clock is.
    pub(super) fn true_time(&self, node: usize, at: Duration) -> Duration {
        SIM_START + at.saturating_sub(SIM_START).div_f64(self.clocks[node].rate)
    }

    /// Who acts, if the node does so now.
    pub(super) fn actor(&self, node: usize, boot: u64) -> Actor {
        let holds = self.kv.value("lead").and_then(|text| serde_json::from_str::<Value>(text).ok());
        let holds = holds
            .is_some_and(|lease| lease["host"] == format!("plank-{node}").as_str() && lease["boot"] == boot);
        let term = if holds { self.kv.mod_revision("lead").unwrap_or(0) } else { 0 };
        Actor { node, boot, term }
    }

    /// Counts what the cloud is about to do for an actor.
    pub(super) fn count_cloud_effects(&mut self, actor: Actor, request: &CloudRequest) {
        let CloudRequest::Execute(permitted) = request else { return };
        let subjects: Vec<(&str, bool)> = match permitted.action() {
            CloudAction::Rent(rental) => {
                let done = self.rentals.contains_key(&rental.name);
                if done {
                    Vec::new()
                } else {
                    vec![(rental.name.as_str(), true)]
                }
            }
            CloudAction::Return(back) => {
                let there = back.machines.iter().filter(|machine| self.workers.contains_key(*machine));
                there.map(|machine| (machine.as_ref(), false)).collect()
            }
        };
        let holder = actor.term > 0 && self.kv.mod_revision("lead") == Some(actor.term);
        let compelled = permitted.basis() == Basis::Compelled;
        let covered: Vec<bool> =
            subjects.iter().map(|(subject, rental)| self.has_open_record(subject, *rental)).collect();
        for covered in covered {
            self.cloud_effects.all += 1;
            self.cloud_effects.compelled += u32::from(compelled);
            if holder {
                continue;
            }
            self.cloud_effects.by_former_leaders += 1;
            match (covered, compelled) {
                (true, _) => {}
                (false, true) => self.cloud_effects.compelled_stale += 1,
                (false, false) => self.cloud_effects.stale += 1,
            }
        }
    }

    /// Whether an open record in the state service names the rental or the machine.
    fn has_open_record(&self, subject: &str, rental: bool) -> bool {
        let pages = self.kv.values("duty/").map(|text| serde_json::from_str::<Value>(text).unwrap());
        let duties = pages.flat_map(|page| page["duties"].as_array().cloned().unwrap_or_default());
        let names = |duty: &Value| match (rental, duty["kind"].as_str()) {
            (true, Some("rent")) => duty["name"] == subject,
            (false, Some("return" | "reclaim")) => {
                duty["hosts"].as_array().is_some_and(|hosts| hosts.iter().any(|machine| machine == subject))
            }
            _ => false,
        };
        duties.into_iter().any(|duty| names(&duty))
    }

    /// Nobody calls a job off: clocks far beyond their bounds can't keep its time.
    pub fn drop_cancellations(&mut self) {
        self.scheduled_events.retain(|_, event| !matches!(event, SimEvent::Cancel { .. }));
    }

    /// Something writes into the state service.
    pub fn write_key(&mut self, key: &str, value: &str) {
        let changes = vec![KvChange::Put { key: key.into(), value: value.into(), lease: None }];
        let reply = self.kv.apply(self.now, KvRequest::Txn { conditions: Vec::new(), changes });
        assert!(matches!(reply, Ok(KvReply::Committed { .. })));
    }

    /// Open records in the state service.
    pub fn open_records(&self) -> usize {
        let pages = self.kv.values("duty/").filter_map(|text| serde_json::from_str::<Value>(text).ok());
        pages.map(|page| page["duties"].as_array().map_or(0, Vec::len)).sum()
    }
}
