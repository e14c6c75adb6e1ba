//! The leader's role: it knows every job, places tasks, minds the workers and
//! sizes the fleet. Whatever it writes fails once somebody else leads.

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
pub use evidence::LeaderEvidence;
pub use shards::LeaderRoute;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
pub use target::{Size, Target};

const PAUSE: Duration = Duration::from_millis(250);
/// What answers of a leader without sight end sooner than leases and cancellations
/// ask for: for the drift of clocks and for what is under way.
const BLIND_MARGIN: Duration = Duration::from_secs(2);
/// No starts once the jobs were not seen afresh for this long.
const STALE: Duration = Duration::from_secs(4);
const LATE_SCAN: Duration = Duration::from_secs(5);
/// A job is stuck when nothing of it has started for this long.
const STUCK: Duration = Duration::from_secs(120);

#[derive(Debug)]
pub struct Leader {
    settings: Arc<Settings>,
    pub token: u64,
    started_at: Duration,
    loading: loading::JobLoading,
    job_watch: job_watch::JobWatch,
    evidence: evidence::Evidence,
    placement: placement::Placement,
    persistence: persistence::Persistence,
    garbage: garbage::Garbage,
    pub job_table: JobTable,
    pub fleet: Fleet,
    /// Every node has this version: what older ones can't read may be stored.
    pub all_nodes_upgraded: bool,
    /// Some job's chunks are still to be laid anew.
    rechunk_pending: bool,
    /// It has sent its first starts.
    first_start_sent: bool,
    /// When what time alone brings about is looked at again.
    next_maintenance_at: Duration,
    target: target::TargetState,
    sizing: sizing_rounds::SizingRounds,
    arrivals: arrivals::ArrivalHistory,
    cpu_budget: CpuBudget,
    scaling: scaling::Scaling,
    inventory: inventory::Inventory,
    intents: intents::Intents,
    next_lateness_scan_at: Duration,
    /// Who holds which machines, where they are divided.
    shards: Option<shards::LeaderShards>,
}

impl Leader {
    pub fn new(settings: Arc<Settings>, token: u64, now: Duration) -> Self {
        Self {
            token,
            started_at: now,
            loading: loading::JobLoading::default(),
            job_watch: job_watch::JobWatch::new(now),
            evidence: evidence::Evidence::new(now),
            placement: placement::Placement::new(&settings, now),
            persistence: persistence::Persistence::new(settings.kv_changes_per_s, now),
            garbage: garbage::Garbage::default(),
            job_table: JobTable::default(),
            fleet: Fleet::default(),
            all_nodes_upgraded: false,
            rechunk_pending: false,
            first_start_sent: false,
            next_maintenance_at: now,
            target: target::TargetState::default(),
            sizing: sizing_rounds::SizingRounds::new(now),
            arrivals: arrivals::ArrivalHistory::default(),
            cpu_budget: CpuBudget::new(settings.cpu_share),
            scaling: scaling::Scaling::new(&settings, now),
            inventory: inventory::Inventory::new(now),
            intents: intents::Intents::new(&settings, token, now),
            next_lateness_scan_at: now,
            shards: settings.sharding.enabled.then(|| shards::LeaderShards::new(&settings, token, now)),
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
            let (now, next) = (self.settings.kv_changes_per_s, self.settings.next_kv_changes_per_s);
            if next < now {
                self.persistence.limit_rate(next);
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
