//! Preemption: less urgent tasks are stopped to make room for urgent ones that would start too late.

use super::Leader;
use crate::effects::EffectSink;
use crate::jobs::job::{JobId, Priority, Resources};
use crate::placement::backfill::Slot;
use crate::placement::fair_share::{TeamUsage, Work};
use crate::protocol::{MachineName, TaskId};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

/// Once a pass has chosen this many tasks to preempt, it stops making room. The final number can be
/// slightly higher, because room for one task can take several preemptions.
const MAX_PREEMPTIONS_PER_PASS: usize = 64;
/// The highest attempt number that may be preempted, so that no task is restarted again and again.
const MAX_ATTEMPTS_TO_PREEMPT: u64 = 2;

/// The state at the end of a placement pass.
pub(super) struct PassOutcome<'a> {
    pub machines: &'a [MachineName],
    /// The slots of the machines, at the same indices.
    pub slots: &'a [Slot],
    pub work: &'a mut [Work],
    pub teams: &'a mut [TeamUsage],
}

/// The number of tasks of a job that find no room in time, and the zone concerned if the whole job
/// must run in one zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Shortage {
    tasks: u32,
    zone: Option<usize>,
}

impl Shortage {
    /// Computes the shortage of a job. For a gang that must run in one zone, this is the shortage in
    /// the zone where it is smallest.
    fn of(work: &Work, slots: &[Slot], now: Duration) -> Self {
        if !work.gang || !work.single_zone {
            return Self::within(work, slots, None, now);
        }
        let zones: BTreeSet<usize> =
            slots.iter().filter(|slot| work.allows(slot.pool)).map(|slot| slot.zone).collect();
        zones.into_iter().map(|zone| Self::within(work, slots, Some(zone), now)).min().unwrap_or_default()
    }

    /// Computes the shortage within a zone, or over all zones if `zone` is `None`. Only urgent and
    /// critical jobs have one.
    fn within(work: &Work, slots: &[Slot], zone: Option<usize>, now: Duration) -> Self {
        let mut tasks = if work.priority >= Priority::Urgent { work.pending } else { 0 };
        let is_eligible = |slot: &&Slot| work.allows(slot.pool) && zone.is_none_or(|zone| zone == slot.zone);
        for slot in slots.iter().filter(is_eligible) {
            if tasks == 0 {
                break;
            }
            tasks -= slot.fits_by(&work.demand, work.latest_start.max(now), tasks);
        }
        Self { tasks, zone }
    }
}

/// A task that may be preempted.
#[derive(Debug, Clone)]
struct Victim {
    /// The run time lost by stopping the task; for a task of a gang, the run time of all its tasks.
    ran_for: Duration,
    task: TaskId,
    demand: Resources,
    priority: Priority,
    gang: bool,
}

/// The cost of making room for one task on a machine. Lower costs sort first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionCost {
    stops_gang: bool,
    progress_lost: Duration,
    slot_index: usize,
    /// The number of tasks that would be stopped.
    victims: usize,
}

/// The tasks of a machine that may be preempted, the least urgent first, and the resources that are
/// free or being freed on it.
#[derive(Debug, Clone, Default)]
struct PreemptionCandidates {
    room: Resources,
    tasks: Vec<Victim>,
}

impl PreemptionCandidates {
    /// Removes the tasks of a job that is being stopped and counts their resources as free.
    fn remove_job(&mut self, job: &JobId) {
        let room = &mut self.room;
        self.tasks.retain(|victim| {
            let is_stopping = victim.task.job == *job;
            if is_stopping {
                room.add(&victim.demand);
            }
            !is_stopping
        });
    }

    /// Returns the cost of making room for one more task on this machine, or `None` if that is
    /// impossible.
    fn cost(&self, demand: &Resources, priority: Priority, slot_index: usize) -> Option<PreemptionCost> {
        let mut room = self.room;
        let mut cost =
            PreemptionCost { stops_gang: false, progress_lost: Duration::ZERO, slot_index, victims: 0 };
        let mut tasks = self.tasks.iter().take_while(|victim| victim.priority < priority);
        while !demand.fits(&room) {
            let victim = tasks.next()?;
            room.add(&victim.demand);
            cost.stops_gang |= victim.gang;
            cost.progress_lost += victim.ran_for;
            cost.victims += 1;
        }
        Some(cost)
    }
}

/// A task chosen for preemption, and the slot that it runs on.
#[derive(Debug)]
struct ChosenVictim {
    slot_index: usize,
    task: TaskId,
}

/// The search for tasks to preempt, over the slots of one pass.
struct VictimSearch<'a> {
    slots: &'a [Slot],
    teams: &'a mut [TeamUsage],
    /// The candidates on each slot, at the same indices as `slots`.
    candidates: Vec<PreemptionCandidates>,
    /// The number of tasks chosen so far.
    chosen: usize,
}

impl VictimSearch<'_> {
    /// Chooses tasks to stop so that `missing` tasks of a job find room, or as many as possible. For
    /// a gang, it makes room for all of them or chooses nothing.
    fn make_room(&mut self, work: &mut Work, mut missing: u32) -> Vec<ChosenVictim> {
        let mut chosen = Vec::new();
        let before = work.gang.then(|| self.candidates.clone());
        while missing > 0
            && self.teams[work.team].admits(&work.demand)
            && self.chosen + chosen.len() < MAX_PREEMPTIONS_PER_PASS
        {
            let Some(cost) = self.cheapest(work) else { break };
            self.take_victims(cost, &mut chosen);
            self.candidates[cost.slot_index].room.sub(&work.demand);
            self.teams[work.team].used.add(&work.demand);
            work.add_to_zone(self.slots[cost.slot_index].zone);
            missing -= 1;
        }
        // A gang needs room for all its tasks, so a partial result is discarded.
        if let Some(before) = before.filter(|_| missing > 0) {
            self.candidates = before;
            return Vec::new();
        }
        self.chosen += chosen.len();
        chosen
    }

    /// Returns the lowest cost of making room for one more task of the job on any slot.
    fn cheapest(&self, work: &Work) -> Option<PreemptionCost> {
        let cost = |(slot_index, slot): (usize, &Slot)| {
            let is_eligible = work.allows(slot.pool) && work.admits_zone(slot.zone);
            is_eligible
                .then(|| self.candidates[slot_index].cost(&work.demand, work.priority, slot_index))
                .flatten()
        };
        self.slots.iter().enumerate().filter_map(cost).min()
    }

    /// Moves the victims counted in `cost` from the candidates of its slot to `chosen`, and counts their
    /// resources as free.
    fn take_victims(&mut self, cost: PreemptionCost, chosen: &mut Vec<ChosenVictim>) {
        let slot_index = cost.slot_index;
        let victims: Vec<Victim> = self.candidates[slot_index].tasks.drain(..cost.victims).collect();
        for victim in victims {
            self.candidates[slot_index].room.add(&victim.demand);
            if victim.gang {
                // The gang's other tasks end as well and free resources on their machines.
                self.candidates.iter_mut().for_each(|other| other.remove_job(&victim.task.job));
            }
            chosen.push(ChosenVictim { slot_index, task: victim.task });
        }
    }
}

impl Leader {
    /// Stops less urgent tasks to make room for urgent tasks that would otherwise start too late.
    /// Prefers machines where this stops no gang and loses the least progress. Stopped tasks return to
    /// the queue.
    pub(super) fn preempt(&mut self, now: Duration, pass: PassOutcome<'_>, effects: &mut EffectSink) {
        let PassOutcome { machines, slots, work, teams } = pass;
        let shortages: Vec<Shortage> = work.iter().map(|work| Shortage::of(work, slots, now)).collect();
        let mut order: Vec<usize> = (0..work.len()).filter(|i| shortages[*i].tasks > 0).collect();
        if order.is_empty() {
            return;
        }
        // Limits a gang that must run in one zone to the zone of its shortage.
        for (work, shortage) in work.iter_mut().zip(&shortages) {
            if let Some(zone) = shortage.zone {
                work.add_to_zone(zone);
            }
        }
        order.sort_by_key(|i| (Reverse(work[*i].priority), !work[*i].guaranteed, work[*i].latest_start));
        let candidates = machines
            .iter()
            .zip(slots)
            .map(|(machine, slot)| match slot.ready_at <= now {
                true => self.preemption_candidates(now, machine, slot.free),
                false => PreemptionCandidates::default(),
            })
            .collect();
        let mut search = VictimSearch { slots, teams, candidates, chosen: 0 };
        let mut victims = Vec::new();
        for i in order {
            victims.extend(search.make_room(&mut work[i], shortages[i].tasks));
        }
        self.stop_victims(now, &victims, machines, effects);
    }

    /// Requests the stop of the chosen tasks and sends the commands to their machines.
    fn stop_victims(
        &mut self,
        now: Duration,
        victims: &[ChosenVictim],
        machines: &[MachineName],
        effects: &mut EffectSink,
    ) {
        let mut to_command: BTreeSet<MachineName> = BTreeSet::new();
        for victim in victims {
            self.job_table.stop(&victim.task);
            to_command.insert(machines[victim.slot_index].clone());
        }
        to_command.append(&mut self.job_table.machines_to_stop);
        for machine in to_command {
            self.send_commands(now, &machine, effects);
        }
    }

    /// Returns the tasks on a machine that may be preempted, the least urgent first. Within a priority,
    /// tasks of gangs come last, and those with less progress first.
    ///
    /// A task may be preempted if the worker has reported it, its priority is below the highest, it has
    /// run for less than half of its estimated time, and it was not restarted too often.
    fn preemption_candidates(
        &self,
        now: Duration,
        machine: &MachineName,
        free: Resources,
    ) -> PreemptionCandidates {
        let mut found = PreemptionCandidates { room: free, tasks: Vec::new() };
        for task in self.job_table.by_machine(machine) {
            let (Some(entry), Some(attempt)) =
                (self.job_table.jobs.get(&task.job), self.job_table.attempt(task))
            else {
                continue;
            };
            let (demand, priority) = (entry.spec.demand, entry.spec.priority);
            if attempt.stop_requested {
                found.room.add(&demand);
                continue;
            }
            let ran_for = attempt.running_since.map_or(Duration::ZERO, |at| now.saturating_sub(at));
            let is_early = ran_for < self.estimated_runtime(&entry.spec) / 2;
            let often_restarted = attempt.number > MAX_ATTEMPTS_TO_PREEMPT;
            // Stopping one task of a gang stops the whole gang, and all its tasks lose their progress or
            // take time to write checkpoints. Gangs therefore come last within a priority.
            let gang = entry.gang.is_some();
            let ran_for = if gang { ran_for * entry.spec.tasks } else { ran_for };
            let reported = attempt.reported_status.is_some();
            if reported && is_early && !often_restarted && priority < Priority::Critical {
                found.tasks.push(Victim { ran_for, task: task.clone(), demand, priority, gang });
            }
        }
        found.tasks.sort_by_key(|victim| (victim.priority, victim.gang, victim.ran_for));
        found
    }
}
