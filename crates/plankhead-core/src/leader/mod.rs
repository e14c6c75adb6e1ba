//! The leader's role: it knows every job, places tasks, minds the workers and
//! sizes the fleet. Whatever it writes fails once somebody else leads.

mod evidence;
mod garbage;
mod intents;
mod job_watch;
mod loading;
mod maintenance;
mod permissions;
mod persistence;
mod placement;
mod replies;
mod scaling;
mod shards;
mod sizing_rounds;
mod view;
mod workers;

use crate::calls::{CallPurpose, LeaderCall, PendingRental};
use crate::effects::EffectSink;
use crate::fleet::Fleet;
use crate::jobs::job::JobSpec;
use crate::jobs::job_table::JobTable;
use crate::leadership::election;
use crate::protocol::{Condition, Instance, KvRequest, MachineName, MachineType};
use crate::settings::Settings;
use crate::sizing::cpu_budget::CpuBudget;
use crate::token_bucket::TokenBucket;
pub use evidence::LeaderEvidence;
use serde::{Deserialize, Serialize};
pub use shards::LeaderRoute;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

const TARGET: &str = "target";
const PAUSE: Duration = Duration::from_millis(250);
/// Jobs that one pass looks at.
const MAX_WORK: usize = 400;
/// Orders in one answer to a worker: its lines must stay below 64 KiB.
const MAX_ORDERS: usize = 300;
/// Time a saving task is given at the most.
const MAX_LEEWAY: Duration = Duration::from_secs(10);
/// What answers of a leader without sight end sooner than leases and cancellations
/// ask for: for the drift of clocks and for what is under way.
const BLIND_MARGIN: Duration = Duration::from_secs(2);
/// No starts once the jobs were not seen afresh for this long.
const STALE: Duration = Duration::from_secs(4);
/// A worker that refused a task for room is left alone this long.
const FULL_PAUSE: Duration = Duration::from_secs(2);
const LATE_SCAN: Duration = Duration::from_secs(5);
/// A job is stuck when nothing of it has started for this long.
const STUCK: Duration = Duration::from_secs(120);
/// A machine without work goes back after this time at the earliest.
const IDLE: Duration = Duration::from_secs(3);
/// How long a stopped task takes to be gone, usually.
const STOPPING: Duration = Duration::from_millis(300);
/// Tasks stopped for others in one pass at most.
const MAX_STOPS: usize = 64;
/// How often machines are judged, rented and given back.
const MIND: Duration = Duration::from_millis(200);
/// A task that needed more attempts than this is not stopped again.
const MAX_PREEMPTED: u64 = 2;
/// Time between rounds while no machine is up yet.
const COLD_ROUND: Duration = Duration::from_secs(5);
/// Arrivals remembered for the replay, and the shortest time that they are
/// taken to tell a rate.
const MAX_ARRIVALS: usize = 1_000;
const MIN_WINDOW: Duration = Duration::from_secs(20);
const RUSH: Duration = Duration::from_secs(5);

/// A round's decision, as the state service keeps it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Target {
    pub round: u64,
    pub at_ms: u64,
    #[serde(rename = "rigs")]
    pub sizes: BTreeMap<String, Size>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Size {
    /// Machines of the type.
    pub machines: u32,
    /// How many of them must not be spot.
    pub ordinary: u32,
}

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
    cloud_budget: TokenBucket,
    /// It has sent its first starts.
    first_start_sent: bool,
    /// When what time alone brings about is looked at again.
    next_maintenance_at: Duration,
    pub target: Target,
    next_round_at: Duration,
    round: Option<sizing_rounds::Round>,
    /// When the round may go on.
    next_replay_slice_at: Duration,
    cpu_budget: CpuBudget,
    target_dirty: bool,
    target_write_in_flight: bool,
    rental_counter: u64,
    /// Rentals without an answer.
    rentals_in_flight: Vec<PendingRental>,
    rental_retries: Vec<scaling::RentalRetry>,
    releasing: BTreeSet<MachineName>,
    intents: intents::Intents,
    next_release_at: Duration,
    next_inventory_at: Duration,
    inventory_in_flight: bool,
    inventory_pages: Vec<Instance>,
    /// The whole machine list was read once: what is held is known.
    inventory_complete: bool,
    /// Where a gang that waits for machines will have most of its room.
    wanted_zone: Option<String>,
    next_lateness_scan_at: Duration,
    /// When the cloud last answered.
    cloud_replied_at: Option<Duration>,
    /// The jobs of the last interval: when each came, and what it was.
    recent_arrivals: VecDeque<(Duration, Arc<JobSpec>)>,
    /// When the service's first job came; zero if that was before this leader.
    first_job_at: Option<Duration>,
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
            cloud_budget: TokenBucket::new(
                settings.cloud_requests_per_s * 0.8,
                settings.cloud_requests_per_s,
            ),
            first_start_sent: false,
            next_maintenance_at: now,
            target: Target::default(),
            next_round_at: now,
            round: None,
            next_replay_slice_at: now,
            cpu_budget: CpuBudget::new(settings.cpu_share),
            target_dirty: false,
            target_write_in_flight: false,
            rental_counter: 0,
            rentals_in_flight: Vec::new(),
            rental_retries: Vec::new(),
            releasing: BTreeSet::new(),
            intents: intents::Intents::new(&settings, token, now),
            next_release_at: now,
            next_inventory_at: now,
            inventory_in_flight: false,
            inventory_pages: Vec::new(),
            inventory_complete: false,
            wanted_zone: None,
            next_lateness_scan_at: now,
            cloud_replied_at: None,
            recent_arrivals: VecDeque::new(),
            first_job_at: None,
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
