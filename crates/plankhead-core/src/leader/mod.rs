//! The leader's role: it keeps track of every job, places tasks, commands the workers and
//! sizes the fleet. All of its writes are conditional on its leadership and fail once another
//! node leads.

mod arrivals;
mod commands;
mod ended_attempts;
mod evidence;
mod garbage;
mod heartbeats;
mod intents;
mod inventory;
mod job_watch;
mod job_work;
mod loading;
mod machine_checks;
mod maintenance;
mod permissions;
mod persistence;
mod placement;
mod preemption;
mod replies;
mod scaling;
mod shards;
mod sizing_rounds;
mod slots;
mod target;
mod view;
mod wide_jobs;

use crate::calls::{CallPurpose, LeaderCall};
use crate::effects::EffectSink;
use crate::fleet::Fleet;
use crate::jobs::job_table::JobTable;
use crate::leadership::election;
use crate::protocol::{Condition, KvRequest, MachineType};
use crate::reclaim::inspections::Inspections;
use crate::settings::Settings;
use crate::sizing::cpu_budget::CpuBudget;
use arrivals::ArrivalHistory;
use evidence::Evidence;
pub use evidence::LeaderEvidence;
use garbage::Garbage;
use intents::Intents;
use inventory::Inventory;
use job_watch::JobWatch;
use loading::JobLoading;
use persistence::Persistence;
use placement::Placement;
pub use replies::TermStatus;
use scaling::Scaling;
pub use shards::LeaderRoute;
use shards::LeaderShards;
use sizing_rounds::SizingRounds;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use target::TargetState;
pub use target::{Size, Target};

/// The delay before a failed call to the state service or the cloud is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The leader during one term.
///
/// Each component owns its state. Decisions that need several components are methods of
/// `Leader`, spread over the submodules of this module.
#[derive(Debug)]
pub struct Leader {
    settings: Arc<Settings>,
    /// The fencing token of the term.
    pub token: u64,
    started_at: Duration,
    loading: JobLoading,
    job_watch: JobWatch,
    evidence: Evidence,
    persistence: Persistence,
    garbage: Garbage,
    /// The unfinished jobs with their attempts. A finished job stays until its end is stored and none of
    /// its attempts is left.
    pub job_table: JobTable,
    /// All known machines, until the cloud shows that they are no longer rented.
    pub fleet: Fleet,
    placement: Placement,
    target: TargetState,
    sizing: SizingRounds,
    arrivals: ArrivalHistory,
    cpu_budget: CpuBudget,
    scaling: Scaling,
    inventory: Inventory,
    intents: Intents,
    /// Inspections of workers that may run tasks of cancelled jobs and were not heard from in this term.
    inspections: Inspections,
    /// The holders of the shards, if sharding is enabled.
    shards: Option<LeaderShards>,
    /// Whether every node runs this version, so that data that older versions cannot read may be
    /// stored.
    pub all_nodes_upgraded: bool,
    /// Whether some jobs still have chunks that must be split into smaller ones.
    rechunk_pending: bool,
    /// Whether any start command has been sent in this term.
    first_start_sent: bool,
    /// The number of attempts that workers began to list again in this term after their ends had become
    /// durable.
    ended_attempts_restarted: u64,
    next_maintenance_at: Duration,
    next_lateness_scan_at: Duration,
}

impl Leader {
    /// Creates the leader for a node that has just won the lease. The caller must then call
    /// [`Leader::begin_loading`].
    pub fn new(settings: Arc<Settings>, token: u64, now: Duration) -> Self {
        Self {
            token,
            started_at: now,
            loading: JobLoading::default(),
            job_watch: JobWatch::new(now),
            evidence: Evidence::new(now),
            placement: Placement::new(&settings, now),
            persistence: Persistence::new(settings.kv_changes_per_s, now),
            garbage: Garbage::default(),
            job_table: JobTable::default(),
            fleet: Fleet::default(),
            all_nodes_upgraded: false,
            rechunk_pending: false,
            first_start_sent: false,
            ended_attempts_restarted: 0,
            next_maintenance_at: now,
            target: TargetState::default(),
            sizing: SizingRounds::new(now),
            arrivals: ArrivalHistory::default(),
            cpu_budget: CpuBudget::new(settings.cpu_share),
            scaling: Scaling::new(&settings, now),
            inventory: Inventory::new(now),
            intents: Intents::new(&settings, token, now),
            inspections: Inspections::default(),
            next_lateness_scan_at: now,
            shards: settings.sharding.enabled.then(|| LeaderShards::new(&settings, token, now)),
            settings,
        }
    }

    /// Replaces the machine types that the cloud offers.
    pub fn set_machine_types(&mut self, machine_types: BTreeMap<String, MachineType>) {
        self.fleet.machine_types = machine_types;
        for machine_type in self.fleet.machine_types.keys() {
            for pool in self.fleet.pools(machine_type) {
                self.placement.index.pool_index(&pool);
                self.placement.index.zone_index(&pool.zone);
            }
        }
        for machine in self.fleet.machines.values_mut() {
            machine.cached_slot = None;
        }
        self.placement.request_pass();
    }

    /// Records that every node runs this version: the platform may lower its limits at any time
    /// from now on, and data that older versions cannot read may be stored.
    pub fn set_all_nodes_upgraded(&mut self) {
        if !std::mem::replace(&mut self.all_nodes_upgraded, true) {
            let next_limit = self.settings.next_kv_changes_per_s;
            if next_limit < self.settings.kv_changes_per_s {
                self.persistence.limit_rate(next_limit);
            }
            self.rechunk_pending = true;
        }
    }

    fn call_kv(&self, leader_call: LeaderCall, op: KvRequest, effects: &mut EffectSink) {
        effects.call_kv(CallPurpose::Leader(self.token, leader_call), op);
    }

    /// Returns the condition on every write of the leader: the election key is unchanged since
    /// this term began.
    fn leader_condition(&self) -> Condition {
        Condition { key: election::KEY.into(), mod_revision: self.token }
    }
}
