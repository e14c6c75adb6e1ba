//! The leader's role: it knows every job, places tasks, commands the workers and
//! sizes the fleet. Whatever it writes fails once another node leads.

mod arrivals;
mod commands;
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
use scaling::Scaling;
pub use shards::LeaderRoute;
use shards::LeaderShards;
use sizing_rounds::SizingRounds;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use target::TargetState;
pub use target::{Size, Target};

/// The pause before a call to the state service or the cloud that failed is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The leader in one term. Its parts own their state; what they decide together is in the
/// methods of the folder's modules.
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
    /// Every job with its attempts.
    pub job_table: JobTable,
    /// Every machine that is held or expected.
    pub fleet: Fleet,
    placement: Placement,
    target: TargetState,
    sizing: SizingRounds,
    arrivals: ArrivalHistory,
    cpu_budget: CpuBudget,
    scaling: Scaling,
    inventory: Inventory,
    intents: Intents,
    /// Who holds which machines, where they are divided into shards.
    shards: Option<LeaderShards>,
    /// Every node has this version: what older ones can't read may be stored.
    pub all_nodes_upgraded: bool,
    /// Some job's chunks are still to be rechunked.
    rechunk_pending: bool,
    /// The first start of this term was sent.
    first_start_sent: bool,
    next_maintenance_at: Duration,
    next_lateness_scan_at: Duration,
}

impl Leader {
    /// A leader that has just won the lease; it is to begin loading.
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
            next_maintenance_at: now,
            target: TargetState::default(),
            sizing: SizingRounds::new(now),
            arrivals: ArrivalHistory::default(),
            cpu_budget: CpuBudget::new(settings.cpu_share),
            scaling: Scaling::new(&settings, now),
            inventory: Inventory::new(now),
            intents: Intents::new(&settings, token, now),
            next_lateness_scan_at: now,
            shards: settings.sharding.enabled.then(|| LeaderShards::new(&settings, token, now)),
            settings,
        }
    }

    /// Takes in the machine types that the cloud has.
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

    /// Every node has this version by now: the limits may be lowered at any time, and
    /// what older versions can't read may be stored.
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

    /// The condition under which alone the leader writes.
    fn leader_condition(&self) -> Condition {
        Condition { key: election::KEY.into(), mod_revision: self.token }
    }
}
