//! Machines, their workers, the cloud that rents them, and users, as the model
//! has them; and the rules.

use super::*;
use plankhead_fencing::action::{CloudAction, Rental};

/// How long a machine that ended is listed as running.
const LISTED_RUNNING: Duration = secs(30);

#[derive(Debug, Clone)]
pub struct Worker {
    pub name: MachineName,
    pub zone: String,
    pub spot: bool,
    pub up_at: Duration,
    pub dead: bool,
    /// Since when it is dead.
    pub ended: Option<Duration>,
    pub cut: Duration,
    pub hung: Duration,
    pub deaf: Duration,
    /// Until when it can't open connections to any node.
    pub mute: Duration,
    /// When the cloud takes it away.
    pub taken: Option<Duration>,
    pub shift: u64,
    pub tick: u64,
    pub token: u64,
    /// When the last answered report was sent; the lease ends so long after.
    pub leased: Duration,
    lease: Duration,
    pub tasks: BTreeMap<(TaskId, u64), TaskStatus>,
    pub node: usize,
    /// The tick of the report that waits for its answer.
    pub waiting: Option<u64>,
    /// Fails every task.
    pub faulty: bool,
    hired: Duration,
}

impl Worker {
    pub fn up(&self, now: Duration) -> bool {
        !self.dead && now >= self.up_at
    }

    pub fn runs(&self) -> impl Iterator<Item = &(TaskId, u64)> {
        let on = |s: &TaskStatus| {
            matches!(s, TaskStatus::WaitingForGang | TaskStatus::Running | TaskStatus::Checkpointing)
        };
        self.tasks.iter().filter(move |(_, s)| on(s)).map(|(k, _)| k)
    }

    /// A hanging worker notices only when it goes on.
    pub fn expire(&mut self, now: Duration) {
        if self.dead || now < self.hung || now < self.up_at || now <= self.leased + self.lease {
            return;
        }
        self.tasks.clear();
        self.shift += 1;
        self.leased = now;
    }

    fn report(&mut self, now: Duration) -> Heartbeat {
        self.tick += 1;
        Heartbeat {
            machine: self.name.clone(),
            address: format!("at-{}", self.name).into(),
            machine_type: "r".into(),
            zone: self.zone.as_str().into(),
            spot: self.spot,
            incarnation: self.shift,
            sequence: self.tick,
            token: self.token,
            preemption_notice: self.taken.map(|at| at.saturating_sub(now)),
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), seen)| ReportedTask {
                    task: task.clone(),
                    attempt: *attempt,
                    status: *seen,
                })
                .collect(),
        }
    }
}

impl World {
    // ----- the cloud -----

    pub(super) fn cloud(&mut self, op: CloudRequest) -> Result<CloudReply, CallError> {
        Ok(match op {
            CloudRequest::ListMachineTypes => CloudReply::MachineTypes(vec![MachineType {
                name: "r".into(),
                cpus: 8.0,
                gpus: 0.0,
                ram: 64.0,
                image_cache_gb: 10.0,
                image_fetch_gb_per_s: 1.0,
                price: 1.0,
                spot_price: 0.4,
                boot_time: secs(5),
                zones: vec!["x".into(), "y".into()],
            }]),
            CloudRequest::ListInstances { after } => {
                // The list is three seconds old.
                let lag = secs(3);
                let now = self.now;
                let from = |w: &&Worker| after.as_ref().is_none_or(|a| w.name > *a);
                // Machines that were taken are listed no more; others that ended stay listed.
                let there = |w: &&Worker| w.taken.is_none() || w.ended.is_none_or(|at| now < at + lag);
                let known = self.workers.values().filter(|w| w.hired + lag <= now).filter(there);
                let seen = known.filter(from);
                let mut hosts: Vec<Instance> = seen
                    .map(|w| Instance {
                        name: w.name.clone(),
                        address: format!("at-{}", w.name).into(),
                        machine_type: "r".into(),
                        zone: w.zone.clone(),
                        spot: w.spot,
                        status: match w.ended {
                            Some(at) if now >= at + LISTED_RUNNING => InstanceStatus::Failed,
                            _ if now >= w.up_at + lag => InstanceStatus::Running,
                            _ => InstanceStatus::Booting,
                        },
                        age: now - w.hired,
                    })
                    .collect();
                let truncated = hosts.len() > self.kind.page;
                hosts.truncate(self.kind.page);
                CloudReply::Instances { instances: hosts, truncated }
            }
            CloudRequest::Execute(permitted) => return self.act(permitted.action().clone()),
        })
    }

    fn act(&mut self, action: CloudAction) -> Result<CloudReply, CallError> {
        Ok(match action {
            CloudAction::Rent(Rental { name, zone, spot, count, .. }) => {
                if let Some(hosts) = self.hires.get(&name) {
                    return Ok(CloudReply::Rented(hosts.clone()));
                }
                let held = self.workers.values().filter(|w| w.zone == zone && w.spot == spot).count() as u32;
                let given = count.min(self.kind.pool.saturating_sub(held));
                if given == 0 {
                    return Ok(CloudReply::NoCapacity);
                }
                let mut hosts: Vec<MachineName> = Vec::new();
                for _ in 0..given {
                    self.machines += 1;
                    let host: MachineName = format!("i-{:06}", self.machines).into();
                    let slowest = if self.troubles.quick { 2000 } else { 9000 };
                    let boot = if self.chance(0.05) { secs(100_000) } else { self.between(300, slowest) };
                    let up_at = self.now + boot;
                    let worker = Worker {
                        name: host.clone(),
                        zone: zone.clone(),
                        spot,
                        up_at,
                        dead: false,
                        ended: None,
                        cut: Duration::ZERO,
                        hung: Duration::ZERO,
                        deaf: Duration::ZERO,
                        mute: Duration::ZERO,
                        taken: None,
                        shift: 1,
                        tick: 0,
                        token: 0,
                        leased: up_at,
                        lease: self.kind.lease,
                        tasks: BTreeMap::new(),
                        node: self.rng.random_range(0..3),
                        waiting: None,
                        faulty: self.rng.random_range(0.0..1.0) < self.troubles.errors,
                        hired: self.now,
                    };
                    self.workers.insert(host.clone(), worker);
                    self.at(boot, Happening::Beat { host: host.clone() });
                    hosts.push(host);
                }
                self.hires.insert(name, hosts.clone());
                CloudReply::Rented(hosts)
            }
            CloudAction::Return(back) => {
                for host in back.machines.iter().filter(|_| !self.troubles.lying_cloud) {
                    let worker = self.workers.remove(host).filter(|w| w.up(self.now));
                    self.killed_by_release += worker.map_or(0, |w| w.runs().count());
                }
                CloudReply::Released
            }
        })
    }

    // ----- workers -----

    pub(super) fn beat(&mut self, host: MachineName) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&host) else { return };
        if worker.dead || worker.waiting.is_some() {
            return;
        }
        if now < worker.hung {
            let pause = worker.hung - now;
            return self.at(pause, Happening::Beat { host });
        }
        worker.expire(now);
        let report = worker.report(now);
        let (node, tick, cut) = (worker.node, worker.tick, now < worker.cut);
        worker.waiting = Some(tick);
        if self.chance(self.troubles.copies) {
            let late = self.between(500, 40_000);
            self.at(late, Happening::Copy { report: report.clone() });
        }
        if self.troubles.copies_next > 0.0 && self.chance(self.troubles.copies_next) {
            self.kept.push(report.clone());
        }
        self.at(secs(4), Happening::BeatGivenUp { host: host.clone(), tick });
        let mute = self.workers.get(&host).is_some_and(|w| now < w.mute);
        let mute = mute || self.cut_of(node, cuts::Link::Reports).is_some();
        if mute || now < self.node_cut[node] && !self.inside(node, &host) {
            return;
        }
        let Some((boot, _)) = &self.nodes[node] else { return };
        let boot = *boot;
        self.last_ask += 1;
        let ask = self.last_ask;
        let again = Box::new(report.clone());
        let event = Event::Heartbeat { request: ask, heartbeat: report, relayed: false };
        let held = if cut { self.workers[&host].cut - now } else { Duration::ZERO };
        if !self.reach(node, &host) {
            return;
        }
        self.asks.insert((node, boot, ask), (now, Asked::Beat { host, sent: now, report: again }));
        // A cut holds the report back and delivers it late.
        self.at(held + ms(1), Happening::ToNode { node, boot, event });
    }

    pub(super) fn answered(&mut self, asked: Asked, answer: Response) {
        match asked {
            Asked::Beat { sent, report, .. } if matches!(answer, Response::Relay { .. }) => {
                self.relay(sent, report, answer);
            }
            Asked::Beat { host, sent, report } => {
                let (shift, tick) = (report.incarnation, report.sequence);
                let away = self.workers.get(&host).is_some_and(|w| self.now < w.cut.max(w.deaf));
                if !away {
                    self.at(ms(1), Happening::BeatAnswered { host, sent, shift, tick, answer });
                }
            }
            Asked::Shard { node, boot, call } => self.shard_answered((node, boot, call), answer),
            Asked::Submit(job) => self.submit_answered(job, answer),
            Asked::Odd { odd, known } => self.odd_answered(odd, known, answer),
            Asked::Poll(0) if self.troubles.unheard => self.at(secs(2), Happening::Poll { job: 0 }),
            Asked::Poll(job) => self.poll_answered(job, answer),
            Asked::Abort { job, known } => self.abort_answered(job, known, answer),
        }
    }

    /// One node passes a report on to another, if it can.
    fn relay(&mut self, sent: Duration, report: Box<Heartbeat>, answer: Response) {
        let Response::Relay { leader: foreman } = answer else { return };
        let node: usize = foreman.trim_start_matches("plank-").parse().unwrap();
        let host = report.machine.clone();
        let cut = self.cut_of(node, cuts::Link::PeersIn).is_some();
        let reached = !cut && self.now >= self.node_cut[node].max(self.alone[node]);
        let Some((boot, _)) = self.nodes[node].as_ref().filter(|_| reached) else {
            let nobody = Response::Redirect { leader: None };
            return self.answered(Asked::Beat { host, sent, report }, nobody);
        };
        let boot = *boot;
        self.last_ask += 1;
        let ask = self.last_ask;
        let event = Event::Heartbeat { request: ask, heartbeat: (*report).clone(), relayed: true };
        self.asks.insert((node, boot, ask), (self.now, Asked::Beat { host, sent, report }));
        self.relayed += 1;
        self.at(ms(2), Happening::ToNode { node, boot, event });
    }

    pub(super) fn beat_answered(
        &mut self,
        host: MachineName,
        sent: Duration,
        shift: u64,
        tick: u64,
        answer: Response,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&host) else { return };
        if worker.waiting != Some(tick) || worker.dead || now < worker.hung {
            return;
        }
        worker.waiting = None;
        let pause = match answer {
            Response::Commands { token, commands: orders } => {
                if token < self.led.0 && token >= worker.token {
                    self.held = self.held.max(now.saturating_sub(self.led.1));
                }
                worker.expire(now);
                if worker.shift == shift && token >= worker.token {
                    worker.token = token;
                    self.longest_gap = self.longest_gap.max(sent.saturating_sub(worker.leased));
                    worker.leased = worker.leased.max(sent);
                    for order in orders {
                        self.obey(&host, order);
                    }
                }
                // Give or take a quarter.
                let report = self.kind.report.as_millis() as u64;
                self.between(report * 3 / 4, report * 5 / 4)
            }
            Response::Redirect { leader: Some(name) } => {
                worker.node = name.trim_start_matches("plank-").parse().unwrap();
                ms(200)
            }
            _ => {
                worker.node = (worker.node + 1) % 3;
                secs(1)
            }
        };
        self.at(pause, Happening::Beat { host });
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn orders_arrive(
        &mut self,
        node: usize,
        boot: u64,
        call: CallId,
        host: MachineName,
        token: u64,
        shift: u64,
        orders: Vec<WorkerCommand>,
    ) {
        let now = self.now;
        let unanswered = |world: &mut Self| {
            let event = Event::CommandReply { call, reply: CommandReply::Unanswered };
            world.at(secs(2), Happening::ToNode { node, boot, event });
        };
        let Some(worker) = self.workers.get_mut(&host) else { return unanswered(self) };
        let away = worker.dead || now < worker.deaf;
        if away || !self.reach(node, &host) {
            return unanswered(self);
        }
        let Some(worker) = self.workers.get_mut(&host) else { return };
        let held = worker.cut.max(worker.hung);
        if now < held {
            // Given up by the sender, and carried out when the worker is back.
            unanswered(self);
            let late = Happening::OrdersArrive { node, boot: 0, call, host, token, shift, orders };
            return self.at(held - now, late);
        }
        worker.expire(now);
        if token >= worker.token && shift == worker.shift {
            worker.token = token;
            for order in orders {
                self.obey(&host, order);
            }
        }
        let Some(worker) = self.workers.get_mut(&host) else { return };
        let report = worker.report(now);
        if boot != 0 {
            let event = Event::CommandReply { call, reply: CommandReply::Answered(report) };
            self.at(ms(1), Happening::ToNode { node, boot, event });
        }
    }

    fn obey(&mut self, host: &MachineName, order: WorkerCommand) {
        let Some(worker) = self.workers.get_mut(host) else { return };
        match order {
            WorkerCommand::Run { task, attempt } => {
                let key = (task.clone(), attempt);
                if worker.tasks.contains_key(&key) {
                    return;
                }
                let busy =
                    worker.tasks.iter().any(|((t, _), s)| *t == task && !matches!(s, TaskStatus::Exited(_)));
                let live = worker.tasks.iter().filter(|(_, s)| !matches!(s, TaskStatus::Exited(_)));
                let cpus: f64 = live.map(|((t, _), _)| self.jobs[self.by_id[&t.job]].spec.demand.cpus).sum();
                let need = self.jobs[self.by_id[&task.job]].spec.demand.cpus;
                let seen = match (busy, cpus + need > 8.0) {
                    (true, _) => TaskStatus::Exited(ExitReason::AttemptConflict),
                    (_, true) => TaskStatus::Exited(ExitReason::InsufficientResources),
                    _ => TaskStatus::FetchingImage,
                };
                worker.tasks.insert(key, seen);
                let shift = worker.shift;
                if seen == TaskStatus::FetchingImage {
                    let pull = self.between(0, 1500);
                    self.at(pull, Happening::Pulled { host: host.clone(), task, attempt, shift });
                }
            }
            WorkerCommand::Kill { task, attempt, grace: leeway } => {
                let there = worker.tasks.get(&(task.clone(), attempt));
                if self.jobs[self.by_id[&task.job]].spec.gang && there == Some(&TaskStatus::Running) {
                    let saves = self.gang_told(&task, attempt, leeway);
                    if let Some(worker) = self.workers.get_mut(host).filter(|_| saves) {
                        worker.tasks.insert((task, attempt), TaskStatus::Checkpointing);
                        return;
                    }
                } else if there == Some(&TaskStatus::Checkpointing) && leeway > Duration::ZERO {
                    return;
                }
                let Some(worker) = self.workers.get_mut(host) else { return };
                if let Some(seen) = worker.tasks.get_mut(&(task, attempt)) {
                    if !matches!(seen, TaskStatus::Exited(_)) {
                        *seen = TaskStatus::Exited(ExitReason::Stopped);
                    }
                }
            }
            WorkerCommand::Acknowledge { task, attempt } => {
                let key = (task, attempt);
                if matches!(worker.tasks.get(&key), Some(TaskStatus::Exited(_))) {
                    worker.tasks.remove(&key);
                }
            }
        }
    }

    /// The image is there: the task starts, and the rules apply.
    pub(super) fn pulled(&mut self, host: MachineName, task: TaskId, attempt: u64, shift: u64) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&host).filter(|w| w.shift == shift && !w.dead) else {
            return;
        };
        if now < worker.hung {
            let pause = worker.hung - now;
            return self.at(pause, Happening::Pulled { host, task, attempt, shift });
        }
        worker.expire(now);
        let key = (task.clone(), attempt);
        if worker.shift != shift || worker.tasks.get(&key) != Some(&TaskStatus::FetchingImage) {
            return;
        }
        let gang = self.jobs[self.by_id[&task.job]].spec.gang;
        worker.tasks.insert(
            key,
            if gang && !worker.faulty { TaskStatus::WaitingForGang } else { TaskStatus::Running },
        );
        let (zone, spot, faulty) = (worker.zone.clone(), worker.spot, worker.faulty);
        let job = &self.jobs[self.by_id[&task.job]];
        let copies = self.workers.values().flat_map(|w| w.runs()).filter(|(t, _)| *t == task).count();
        assert!(copies == 1, "ran_twice: {task:?} at {:?}", now - EPOCH);
        assert!(job.spec.zone.as_ref().is_none_or(|z| *z == zone), "wrong_place: zone");
        assert!(job.spec.allows_spot || !spot, "wrong_place: spot");
        let here = |w: &&Worker| w.zone == zone;
        let of_job = |w: &Worker| w.runs().filter(|(t, _)| t.job == task.job).count() as u32;
        let in_zone: u32 = self.workers.values().filter(here).map(of_job).sum();
        let all: u32 = self.workers.values().map(of_job).sum();
        assert!(!job.spec.single_zone || in_zone == all, "wrong_place: samePlace");
        assert!(!job.spec.spread || in_zone <= job.spec.tasks.div_ceil(2), "wrong_place: scatter");
        let late = job.cancelled.is_some_and(|at| now > at + self.kind.cancel);
        assert!(!late, "ran_cancelled: {task:?} starts");
        let last = f64::from(task.index) / f64::from(job.spec.tasks.max(2) - 1);
        let runs = Duration::from_secs_f64(job.runs + job.spread * last);
        self.starts += 1;
        self.start_times.push((now, host.clone()));
        if gang && !faulty {
            return self.gang_waits(host, task, attempt, shift);
        }
        let began = &mut self.jobs[self.by_id[&task.job]].began;
        began.get_or_insert(now);
        let pause = if faulty { ms(500) } else { runs };
        self.at(pause, Happening::Ends { host, task, attempt, shift });
    }

    pub(super) fn task_ends(&mut self, host: MachineName, task: TaskId, attempt: u64, shift: u64) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&host).filter(|w| w.shift == shift && !w.dead) else {
            return;
        };
        if now < worker.hung {
            let pause = worker.hung - now + ms(500);
            return self.at(pause, Happening::Ends { host, task, attempt, shift });
        }
        let faulty = worker.faulty;
        let Some(seen) = worker.tasks.get_mut(&(task.clone(), attempt)) else { return };
        if *seen != TaskStatus::Running {
            return;
        }
        *seen = TaskStatus::Exited(if faulty { ExitReason::Failed } else { ExitReason::Completed });
        if !faulty {
            let job = self.by_id[&task.job];
            self.jobs[job].done.insert(task.index);
            let last = self.jobs[job].done.len() as u32 == self.jobs[job].spec.tasks;
            let share = self.troubles.cancel_at_end;
            if last && share > 0.0 && self.chance(share) {
                let around = self.between(0, 400);
                self.at(around, Happening::Abort { job });
            }
        }
    }

    // ----- users -----

    fn submit_answered(&mut self, job: usize, answer: Response) {
        match answer {
            Response::Job { status, .. } => {
                let first = !self.jobs[job].accepted;
                if first {
                    self.look_closely(job, status);
                    self.moment(Moment::Accepted);
                }
                self.jobs[job].accepted = true;
                self.jobs[job].since.get_or_insert(self.now);
                self.tell(job, status);
                if first {
                    self.at(secs(1), Happening::Poll { job });
                    // Some users are not sure that they were understood.
                    if self.chance(0.2) {
                        let later = self.between(100, 30_000);
                        self.at(later, Happening::Submit { job });
                    }
                }
            }
            Response::Unavailable { retry_after: retry } => self.at(retry, Happening::Submit { job }),
            other => panic!("forgotten: a good submission gets {other:?}"),
        }
    }

    fn poll_answered(&mut self, job: usize, answer: Response) {
        match answer {
            Response::Job { status, .. } => {
                self.tell(job, status);
                if !matches!(status, JobStatus::Done | JobStatus::Cancelled) {
                    self.at(secs(2), Happening::Poll { job });
                } else if self.chance(0.5) {
                    // Users may ask again at any later time.
                    let later = self.between(100, 60_000);
                    self.at(later, Happening::Poll { job });
                }
            }
            Response::Unavailable { .. } => self.at(secs(2), Happening::Poll { job }),
            Response::NotFound => assert!(!self.jobs[job].accepted, "forgotten: {:?}", self.jobs[job].id),
            other => panic!("a poll gets {other:?}"),
        }
    }

    fn abort_answered(&mut self, job: usize, known: bool, answer: Response) {
        match answer {
            Response::Job { status, .. } => {
                assert!(matches!(status, JobStatus::Done | JobStatus::Cancelled), "an abort gets {status:?}");
                self.tell(job, status);
            }
            Response::NotFound => {
                assert!(!known, "forgotten: {:?}", self.jobs[job].id);
                // Not accepted yet: the user tries again once it is.
                self.at(secs(2), Happening::Abort { job });
            }
            _ => self.at(secs(1), Happening::Abort { job }),
        }
    }

    pub(super) fn tell(&mut self, job: usize, status: JobStatus) {
        let now = self.now;
        if matches!(status, JobStatus::Done | JobStatus::Cancelled) && self.jobs[job].told != Some(status) {
            self.look_closely(job, status);
            if status == JobStatus::Cancelled {
                let id = &self.jobs[job].id;
                let here = |w: &Worker| w.runs().any(|(t, _)| t.job == *id);
                self.jobs[job].cut_short = self.workers.values().any(here);
                self.moment(Moment::Cancelled);
            }
        }
        let j = &mut self.jobs[job];
        j.heard = now;
        assert!(j.submitted, "invented: {:?}", j.id);
        if let Some(told @ (JobStatus::Done | JobStatus::Cancelled)) = j.told {
            // What was asked before may have been read before.
            if self.asked_at < j.told_over && !matches!(status, JobStatus::Done | JobStatus::Cancelled) {
                return;
            }
            assert_eq!(told, status, "went_back: {:?}", j.id);
        } else if matches!(status, JobStatus::Done | JobStatus::Cancelled) {
            j.told_over = now;
        }
        match status {
            JobStatus::Done => assert_eq!(j.done.len() as u32, j.spec.tasks, "not_done: {:?}", j.id),
            JobStatus::Cancelled => {
                assert!(j.aborting, "went_back: {:?} was not cancelled by its user", j.id);
                j.cancelled.get_or_insert(now);
            }
            _ => {}
        }
        j.told = Some(status);
    }

    // ----- rules that hold at every moment -----

    pub(super) fn check(&self) {
        let mut cpus: HashMap<&str, f64> = HashMap::new();
        for worker in self.workers.values().filter(|w| !w.dead) {
            for (task, _) in worker.runs() {
                let job = &self.jobs[self.by_id[&task.job]];
                *cpus.entry(&job.spec.team).or_default() += job.spec.demand.cpus;
                let late = job.cancelled.is_some_and(|at| self.now > at + self.kind.cancel);
                if late && std::env::var_os("WORLD_DUMP").is_some() {
                    println!("{:?} cancelled {:?}", self.now - EPOCH, job.cancelled.map(|at| at - EPOCH));
                    self.dump();
                }
                assert!(!late, "ran_cancelled: {task:?} is still on {}", worker.name);
            }
        }
        for job in self.jobs.iter().filter(|j| j.accepted && !j.aborting && !j.done_or_cancelled()) {
            let silent = self.now.saturating_sub(job.heard.max(self.calm));
            assert!(silent <= secs(75), "forgotten: nothing is told of {:?}", job.id);
        }
        for (team, used) in cpus {
            assert!(used <= self.kind.cap + 1e-9, "quota: {team} uses {used}");
        }
    }
}
