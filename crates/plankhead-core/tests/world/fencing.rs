//! Process pauses, clock drift, and counts of what the cloud did for which process.
//!
//! The check is independent of the code under test: it reads the stored records as plain JSON, and
//! takes the holder of the lease from the state service of the model.

use super::events::SimEvent;
use super::{World, SIM_START};
use plankhead_core::effects::StepTime;
use plankhead_core::protocol::{CloudRequest, KvChange, KvReply, KvRequest, TaskId};
use plankhead_fencing::action::CloudAction;
use plankhead_fencing::gate::Basis;
use serde_json::Value;
use std::time::{Duration, SystemTime};

/// The process that decided on a call, and its lease at that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Actor {
    pub node: usize,
    pub boot: u64,
    /// The revision of the lease, or 0 if the process did not hold it.
    pub term: u64,
}

/// Counts of what the cloud did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CloudEffects {
    /// The number of rentals and machine returns that reached the cloud, without repeated ones.
    pub all: u32,
    /// Those whose actor no longer held the lease.
    pub by_former_leaders: u32,
    /// Those by former leaders that no open intent in the state service covered, without forced
    /// returns.
    pub stale: u32,
    /// Forced returns that were allowed without a stored intent.
    pub compelled: u32,
    /// Forced returns by former leaders that no open intent covered.
    pub compelled_stale: u32,
    /// Returns by nodes that did not hold the lease when they decided, under the rule for nodes that do
    /// not lead.
    pub leaderless: u32,
    /// Those that took away a machine that had worked for some time and had no task of a cancelled job.
    pub leaderless_needless: u32,
    /// The attempts of jobs that were not cancelled, on machines that had worked for some time and that
    /// such returns took away.
    pub leaderless_lost_attempts: u32,
}

/// How a node's clocks run.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// The seconds that its monotonic clock advances in a second.
    pub rate: f64,
    /// The largest random offset of its wall clock.
    pub jumps: Duration,
}

/// The time that a node may need to notice that a machine works again.
const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(4);

pub const TRUE_CLOCK: Clock = Clock { rate: 1.0, jumps: Duration::ZERO };

impl World {
    /// Pauses a process. With `holds_effects`, effects that it decides at this very time are sent
    /// only when it resumes.
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

    /// Returns the times that a node's clocks show.
    pub(super) fn clock_times(&mut self, node: usize) -> StepTime {
        let Clock { rate, jumps } = self.clocks[node];
        let now = SIM_START + (self.now - SIM_START).mul_f64(rate);
        let jumps = jumps.as_millis() as u64;
        let jump = if jumps > 0 { self.random_ms(0, jumps) } else { Duration::ZERO };
        StepTime { now, wall: SystemTime::UNIX_EPOCH + self.now + jump }
    }

    /// Converts a time on a node's clock to the time of the simulation.
    pub(super) fn true_time(&self, node: usize, at: Duration) -> Duration {
        SIM_START + at.saturating_sub(SIM_START).div_f64(self.clocks[node].rate)
    }

    /// Returns the actor for a call that the node decides on now.
    pub(super) fn actor(&self, node: usize, boot: u64) -> Actor {
        let holds = self.kv.value("lead").and_then(|text| serde_json::from_str::<Value>(text).ok());
        let holds = holds
            .is_some_and(|lease| lease["host"] == format!("plank-{node}").as_str() && lease["boot"] == boot);
        let term = if holds { self.kv.mod_revision("lead").unwrap_or(0) } else { 0 };
        Actor { node, boot, term }
    }

    /// Counts the effects that a request is about to have in the cloud.
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
        if permitted.basis() == Basis::Leaderless {
            return self.count_leaderless(permitted.action(), &subjects);
        }
        let compelled = permitted.basis() == Basis::Compelled;
        let covered: Vec<bool> =
            subjects.iter().map(|(subject, rental)| self.has_open_intent(subject, *rental)).collect();
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

    /// Counts the returns that the cloud carries out for a node that does not lead, and checks that
    /// nothing is rented in this way. What they take away besides tasks of cancelled jobs is counted.
    fn count_leaderless(&mut self, action: &CloudAction, subjects: &[(&str, bool)]) {
        assert!(matches!(action, CloudAction::Return(_)), "{action:?} was requested without leading");
        let mut counts = self.cloud_effects;
        for (machine, _) in subjects {
            let Some(worker) = self.workers.get(*machine) else { continue };
            let works_since = worker.hung_until.max(worker.cut_until) + MAX_EVIDENCE_AGE;
            let works = worker.is_up(self.now) && self.now >= works_since;
            let of_cancelled = |task: &TaskId| self.jobs[self.by_id[&task.job]].cancelled_at.is_some();
            let running: Vec<&TaskId> = worker.running_tasks().map(|(task, _)| task).collect();
            let others = running.iter().filter(|task| !of_cancelled(task)).count();
            counts.all += 1;
            counts.leaderless += 1;
            counts.leaderless_needless += u32::from(works && others == running.len());
            counts.leaderless_lost_attempts += if works { others as u32 } else { 0 };
        }
        self.cloud_effects = counts;
    }

    /// Returns whether an open intent in the state service names the rental or the machine.
    fn has_open_intent(&self, subject: &str, rental: bool) -> bool {
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

    /// Removes all cancellations. Clocks far beyond their bounds can't keep the time limit of a
    /// cancellation.
    pub fn drop_cancellations(&mut self) {
        self.scheduled_events.retain(|_, event| !matches!(event, SimEvent::Cancel { .. }));
    }

    /// Writes a key into the state service.
    pub fn write_key(&mut self, key: &str, value: &str) {
        let changes = vec![KvChange::Put { key: key.into(), value: value.into(), lease: None }];
        let reply = self.kv.apply(self.now, KvRequest::Txn { conditions: Vec::new(), changes });
        assert!(matches!(reply, Ok(KvReply::Committed { .. })));
    }

    /// Returns the number of open intents in the state service.
    pub fn open_intents(&self) -> usize {
        let pages = self.kv.values("duty/").filter_map(|text| serde_json::from_str::<Value>(text).ok());
        pages.map(|page| page["duties"].as_array().map_or(0, Vec::len)).sum()
    }
}
