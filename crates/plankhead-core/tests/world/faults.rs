//! Randomly planned faults of a history, and its jobs.

use super::deployment::secs;
use super::events::SimEvent;
use super::jobs::Job;
use super::script::InvalidRequest;
use super::World;
use plankhead_core::jobs::job::{JobId, JobSpec, Priority, Resources};
use rand::RngExt;
use std::collections::BTreeSet;
use std::time::Duration;

/// The number or probability of each kind of fault in a history.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// The share of replies of the state service and the cloud that are lost.
    pub lost_replies: f64,
    /// The share of the state service requests with lost replies that arrive seconds late.
    pub late_requests: f64,
    pub node_crashes: u32,
    pub all_nodes_crash: u32,
    pub kv_outages: u32,
    pub kv_refusals: u32,
    pub machine_cuts: u32,
    pub machine_hangs: u32,
    pub machine_deaths: u32,
    /// A node loses its whole network; what it sends arrives when the cut ends.
    pub node_cuts: u32,
    /// Machines whose heartbeats arrive while they receive neither responses nor commands.
    pub dropped_responses: u32,
    /// The share of heartbeats of which a copy arrives late.
    pub duplicate_heartbeats: f64,
    /// A node loses the state service and its peers, but not its workers.
    pub cut_from_kv_and_peers: u32,
    /// A node and half of the machines can't reach each other.
    pub worker_partitions: u32,
    pub task_errors: f64,
    /// The cloud confirms releases of machines, but leaves them running.
    pub unperformed_releases: bool,
    /// Late copies of heartbeats name an incarnation that has not begun.
    pub falsified_duplicates: bool,
    /// Responses to status requests for the first job are ignored.
    pub unanswered_first_job: bool,
    /// Machines that the cloud takes some seconds after a notice.
    pub preemption_notices: u32,
    /// The nodes start with the previous version and are upgraded one after another; later the
    /// state service lowers its limits. Gangs are submitted only after the upgrades.
    pub upgrade: bool,
    /// Machines whose heartbeats reach no node, while direct commands reach them.
    pub dropped_heartbeats: u32,
    /// The share of heartbeats of which a copy reaches every node when the next leader is elected.
    pub duplicates_for_next_leader: f64,
    /// The share of direct commands and of messages about shards that are delayed by seconds.
    pub delayed_commands: f64,
    /// The share of direct commands that arrive at the worker again after it has carried them out and
    /// answered.
    pub repeated_commands: f64,
    /// The share of direct commands, carried out and answered, that arrive again when the next leader is
    /// elected, the next holder of a shard is named or the next node starts.
    pub repeats_after_changes: f64,
    /// The share of jobs that are cancelled within 400 ms after their last task ends.
    pub cancel_at_end: f64,
    /// Users send requests to all nodes within milliseconds after they learn that a job was
    /// accepted or has ended.
    pub immediate_polls: bool,
    /// Requests that are invalid or name an unknown job.
    pub invalid_requests: u32,
    /// Zones that are cut off with their machines and nodes for longer than a worker's lease.
    pub zone_cuts: u32,
    /// Machines boot within two seconds.
    pub quick_boots: bool,
    /// Requests to the state service take up to 900 ms, and their replies up to 600 ms.
    pub slow_kv: bool,
    /// The number of times that running jobs are cancelled while some of their machines hang.
    pub cancel_bursts: u32,
    /// All nodes are stopped for longer than a worker's lease.
    pub all_nodes_stopped: u32,
}

impl Faults {
    /// Returns a mix of faults of machines, nodes, links and the state service.
    pub fn mixed() -> Self {
        Self {
            lost_replies: 0.03,
            late_requests: 0.5,
            node_crashes: 5,
            all_nodes_crash: 1,
            kv_outages: 2,
            kv_refusals: 2,
            machine_cuts: 3,
            machine_hangs: 3,
            machine_deaths: 2,
            node_cuts: 2,
            dropped_responses: 2,
            duplicate_heartbeats: 0.02,
            cut_from_kv_and_peers: 1,
            worker_partitions: 2,
            task_errors: 0.1,
            ..Self::default()
        }
    }
}

impl World {
    /// Plans jobs and faults at random times within the span.
    pub fn plan(&mut self, jobs: usize, span: Duration) {
        let span = span.as_millis() as u64;
        for n in 0..jobs {
            self.plan_job(n, span);
        }
        self.plan_faults(jobs, span);
        // The longest fault takes 60 s, and a process needs up to 6 s to restart.
        self.faults_over_at = self.now + Duration::from_millis(span) + secs(60 + 6);
    }

    /// Plans the n-th job. Its kind follows from its number, its size and times from the seed.
    fn plan_job(&mut self, n: usize, span: u64) {
        let gang = n % 4 == 2;
        // Some gangs have more tasks than a chunk of placements holds.
        let wide = n % 12 == 2;
        let max_tasks = if n.is_multiple_of(9) && !gang { 120 } else { 6 };
        let max_tasks = if wide { 22 } else { max_tasks };
        let tasks = self.rng.random_range(1..=max_tasks);
        let spec = JobSpec {
            class: format!("c{}", n % 3),
            team: if n.is_multiple_of(2) { "a".into() } else { "b".into() },
            priority: if n.is_multiple_of(3) { Priority::Urgent } else { Priority::Standard },
            tasks,
            demand: Resources {
                cpus: if wide { 1.0 } else { [1.0, 2.0, 4.0][n % 3] },
                gpus: 0.0,
                ram_gb: 4.0,
            },
            image: format!("img-{}", n % 4),
            image_gb: 1.0,
            machine_types: None,
            zone: if n % 7 == 3 { Some("y".into()) } else { None },
            single_zone: n % 5 == 1,
            spread: n % 5 == 2 && !gang,
            allows_spot: n % 4 != 3,
            estimated_runtime_s: 5.0,
            checkpoint_interval_s: if gang { 2.0 } else { 0.0 },
            checkpoint_duration_s: if gang { 1.0 } else { 0.0 },
            deadline_s: None,
            gang,
        };
        let id = JobId::parse(&format!("job-{n:06}")).unwrap();
        self.by_id.insert(id.clone(), n);
        let runs = self.rng.random_range(1.0..8.0);
        let job = Job {
            id,
            spec,
            accepted: false,
            submitted: false,
            cancelling: false,
            cancelled_at: None,
            last_status: None,
            ended_reported_at: Duration::ZERO,
            done: BTreeSet::new(),
            runtime_s: runs,
            runtime_spread_s: 0.0,
            ran_when_cancelled: false,
            progress: 0.0,
            run: None,
            latest_started_attempt: 0,
            last_answered_at: Duration::ZERO,
            accepted_at: None,
            started_at: None,
            waiting_since: None,
            urgent_waiting_since: None,
        };
        self.jobs.push(job);
        let at = self.random_ms(500, span);
        let at = if gang && self.faults.upgrade { at.max(secs(45)) } else { at };
        self.schedule_in(at, SimEvent::Submit { job: n });
        if n % 4 == 1 || n % 24 == 2 {
            let later = at + self.random_ms(0, 15_000);
            self.schedule_in(later, SimEvent::Cancel { job: n });
        }
    }

    fn plan_faults(&mut self, jobs: usize, span: u64) {
        let t = self.faults;
        for _ in 0..t.node_crashes {
            let (at, node) = (self.random_ms(1000, span), self.rng.random_range(0..3));
            self.schedule_in(at, SimEvent::Crash { node });
        }
        for _ in 0..t.all_nodes_crash {
            let at = self.random_ms(1000, span);
            for node in 0..3 {
                self.schedule_in(at, SimEvent::Crash { node });
            }
        }
        for _ in 0..t.kv_outages {
            let (at, duration) = (self.random_ms(1000, span), self.random_ms(3000, 25_000));
            let until = self.now + at + duration;
            self.schedule_in(at, SimEvent::Outage { until });
        }
        for _ in 0..t.kv_refusals {
            let (at, duration, node) =
                (self.random_ms(1000, span), self.random_ms(3000, 25_000), self.rng.random_range(0..3));
            let until = self.now + at + duration;
            self.schedule_in(at, SimEvent::RefuseNode { node, until });
        }
        for _ in 0..t.machine_cuts {
            let (at, duration) = (self.random_ms(10_000, span), self.random_ms(3000, 40_000));
            let until = self.now + at + duration;
            self.schedule_in(at, SimEvent::CutMachine { until });
        }
        for _ in 0..t.machine_hangs {
            let (at, duration) = (self.random_ms(10_000, span), self.random_ms(3000, 40_000));
            let until = self.now + at + duration;
            self.schedule_in(at, SimEvent::HangMachine { until });
        }
        for _ in 0..t.node_cuts {
            let (at, duration, node) =
                (self.random_ms(10_000, span), self.random_ms(15_000, 50_000), self.rng.random_range(0..3));
            let until = self.now + at + duration;
            self.schedule_in(at, SimEvent::CutNode { node, until });
        }
        for _ in 0..t.machine_deaths {
            let at = self.random_ms(10_000, span);
            self.schedule_in(at, SimEvent::KillMachine);
        }
        for _ in 0..t.dropped_responses {
            let (at, duration) = (self.random_ms(10_000, span), self.random_ms(5000, 60_000));
            let until = self.now + at + duration;
            self.schedule_in(at, SimEvent::DropResponses { until });
        }
        for _ in 0..t.cut_from_kv_and_peers {
            let (at, duration, node) =
                (self.random_ms(5000, span), self.random_ms(10_000, 50_000), self.rng.random_range(0..3));
            let until = self.now + at + duration;
            self.schedule_in(at, SimEvent::CutFromKvAndPeers { node, until });
        }
        for _ in 0..t.worker_partitions {
            let (at, duration, node) =
                (self.random_ms(5000, span), self.random_ms(10_000, 50_000), self.rng.random_range(0..3));
            let until = self.now + at + duration;
            self.schedule_in(at, SimEvent::PartitionWorkers { node, until });
        }
        for _ in 0..t.preemption_notices {
            let (at, notice) = (self.random_ms(5000, span), self.random_ms(5000, 20_000));
            self.schedule_in(at, SimEvent::PreemptionNotice { notice });
        }
        for _ in 0..t.dropped_heartbeats {
            let (at, duration) = (self.random_ms(5000, span), self.random_ms(5000, 60_000));
            let until = self.now + at + duration;
            self.schedule_in(at, SimEvent::DropHeartbeats { until });
        }
        for n in 0..t.invalid_requests {
            let (at, job) = (self.random_ms(500, span), self.rng.random_range(0..jobs));
            let invalid = [InvalidRequest::Malformed, InvalidRequest::Impossible, InvalidRequest::Unknown]
                [n as usize % 3];
            let known = (n % 2 == 0 && !matches!(invalid, InvalidRequest::Unknown)).then_some(job);
            self.schedule_in(at, SimEvent::SendInvalidRequest { invalid, known });
        }
        for _ in 0..t.zone_cuts {
            let at = self.random_ms(5000, span);
            let until = self.now + at + self.deployment.worker_lease + self.random_ms(1000, 30_000);
            let zone = if self.chance(0.5) { "x" } else { "y" };
            self.schedule_in(at, SimEvent::CutZone { zone, until });
        }
        for _ in 0..t.cancel_bursts {
            let (at, hang) = (self.random_ms(5000, span), self.random_ms(0, 40_000));
            self.schedule_in(at, SimEvent::CancelRunningJobs { count: 4, hang });
        }
        for _ in 0..t.all_nodes_stopped {
            let at = self.random_ms(5000, span);
            let duration = self.deployment.worker_lease + self.random_ms(1000, 10_000);
            self.schedule_in(at, SimEvent::StopAllNodes { duration });
        }
        if t.upgrade {
            for node in 0..3 {
                self.schedule_in(secs(15 + 10 * node as u64), SimEvent::Upgrade { node });
            }
            self.schedule_in(secs(55), SimEvent::LowerLimits);
        }
    }
}
