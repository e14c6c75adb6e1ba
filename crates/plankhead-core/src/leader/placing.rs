//! Which task goes where, and who must make room.

use super::*;

impl Leader {
    pub(super) fn estimate(&self, spec: &JobSpec) -> Duration {
        let ratio = self.ratios.get(&spec.class).copied().unwrap_or(1.0);
        Duration::from_secs_f64((spec.estimate * ratio).clamp(0.1, 1e6))
    }

    /// When a job should start at the latest, by its deadline and by what its
    /// class expects.
    pub(super) fn due(&self, spec: &JobSpec, accepted: Duration) -> Duration {
        let estimate = self.estimate(spec);
        let expected = self.settings.expectations.get(&spec.class).copied().unwrap_or_default();
        let done_by = |within: Duration| (accepted + within).saturating_sub(estimate);
        let deadline = spec.due.map(|d| done_by(Duration::from_secs_f64(d.min(1e7))));
        let finished = expected.finished.map(done_by);
        let wait = expected.wait.map(|within| accepted + within);
        let default = accepted + Duration::from_secs(600);
        [deadline, finished, wait].into_iter().flatten().min().unwrap_or(default)
    }

    pub(super) fn teams(&self) -> (Vec<TeamRoom>, HashMap<String, usize>) {
        let mut rooms = Vec::new();
        let mut index = HashMap::new();
        for (name, team) in &self.settings.teams {
            index.insert(name.clone(), rooms.len());
            rooms.push(TeamRoom {
                guarantee: Resources { cpus: team.cpus, gpus: team.gpus, ram: 0.0 },
                cap: Resources { cpus: team.cpus_max, gpus: team.gpus_max, ram: 0.0 },
                used: Resources::default(),
            });
        }
        for entry in self.ledger.jobs.values() {
            if let Some(team) = index.get(entry.spec.team.as_str()) {
                let each = &entry.spec.each;
                let many = f64::from(entry.placed);
                rooms[*team].used.add(&Resources {
                    cpus: each.cpus * many,
                    gpus: each.gpus * many,
                    ram: each.ram * many,
                });
            }
        }
        (rooms, index)
    }

    /// A whole job as work for a pass.
    pub(super) fn all_of(&self, spec: &JobSpec, team: usize, accepted: Duration) -> Work {
        Work {
            team,
            urgency: spec.urgency,
            guaranteed: false,
            accepted,
            due: self.due(spec, accepted),
            each: spec.each,
            image: spec.image.as_str().into(),
            image_gb: spec.image_gb,
            rigs: spec.rigs.clone(),
            zone: spec.zone.as_deref().map(Into::into),
            one_zone: spec.one_zone,
            zone_most: if spec.scatter { spec.tasks.div_ceil(2) } else { u32::MAX },
            spot: spec.spot,
            estimate: self.estimate(spec),
            pending: spec.tasks,
            zones: Vec::new(),
        }
    }

    /// The jobs of the last interval, as if they came again in the next.
    pub(super) fn expected(&mut self, now: Duration, index: &HashMap<String, usize>) -> Vec<Arrival> {
        let interval = self.settings.sizing.interval;
        let window = interval.min(now.saturating_sub(self.began).max(LEAST_WINDOW));
        let from = now.saturating_sub(window);
        self.arrivals.retain(|(at, _)| *at >= from);
        let mut expected = Vec::new();
        let mut shift = window;
        // A leader younger than the interval repeats what it saw.
        while shift < interval + window {
            for (at, spec) in &self.arrivals {
                let at = *at + shift;
                if let Some(team) = index.get(&spec.team).filter(|_| at < now + interval) {
                    expected.push(Arrival { at, work: self.all_of(spec, *team, at) });
                }
            }
            shift += window;
        }
        expected
    }

    /// The pending work, with the ids of its jobs.
    pub(super) fn work(
        &self,
        now: Duration,
        teams: &[TeamRoom],
        index: &HashMap<String, usize>,
    ) -> (Vec<JobId>, Vec<Work>) {
        let mut all: Vec<(&JobId, &Entry, Work)> = Vec::new();
        for (id, entry) in &self.ledger.jobs {
            let spec = &entry.spec;
            let Some(team) = index.get(spec.team.as_str()) else { continue };
            if entry.phase != Phase::Live || entry.done == spec.tasks {
                continue;
            }
            let held = entry.stale || entry.not_before > now;
            let mut work = self.all_of(spec, *team, entry.accepted);
            work.pending = if held { 0 } else { entry.pending() };
            work.zones = entry.zones.iter().map(|(z, n)| (z.clone(), *n)).collect();
            all.push((id, entry, work));
        }
        let needs: Vec<Resources> = all
            .iter()
            .map(|(_, entry, _)| {
                let (each, many) = (&entry.spec.each, f64::from(entry.unfinished()));
                Resources { cpus: each.cpus * many, gpus: each.gpus * many, ram: 0.0 }
            })
            .collect();
        let ids: Vec<JobId> = all.iter().map(|(id, ..)| (*id).clone()).collect();
        let mut work: Vec<Work> = all.into_iter().map(|(.., w)| w).collect();
        mark_guaranteed(&mut work, &needs, teams);
        let mut both: Vec<(JobId, Work)> = ids.into_iter().zip(work).filter(|(_, w)| w.pending > 0).collect();
        if both.len() > MOST_WORK {
            both.sort_by_key(|(_, w)| (std::cmp::Reverse(w.urgency), !w.guaranteed, w.due));
            both.truncate(MOST_WORK);
        }
        both.into_iter().unzip()
    }

    /// A machine as the passes see it; None while it takes nothing.
    pub(super) fn slot(
        &self,
        now: Duration,
        machine: &Machine,
        index: &HashMap<String, usize>,
    ) -> Option<Slot> {
        let total = self.fleet.resources(&machine.pool.rig)?;
        let rig = self.fleet.rigs.get(&machine.pool.rig)?;
        if machine.leaving.is_some() || machine.notice {
            return None;
        }
        let mut slot = Slot {
            rig: machine.pool.rig.as_str().into(),
            zone: machine.pool.zone.as_str().into(),
            spot: machine.pool.spot,
            free: total,
            ready: now,
            running: Vec::new(),
            images: machine.images.iter().cloned().collect(),
            fetching: 0,
            pull_gb_per_s: rig.pull_gb_per_s,
        };
        if machine.newest.is_none() {
            slot.ready = (machine.since + rig.boot).max(now + Duration::from_secs(3));
        } else if now.saturating_sub(machine.heard) > self.settings.report * 3 {
            slot.ready = now + self.settings.report;
        } else if machine.full_until > now {
            slot.ready = machine.full_until;
        }
        for task in self.ledger.on_host(&machine.name) {
            let (Some(entry), Some(attempt)) = (self.ledger.jobs.get(&task.job), self.ledger.attempt(task))
            else {
                continue;
            };
            let image: Arc<str> = entry.spec.image.as_str().into();
            let mut begin = attempt.running.unwrap_or(now);
            if !slot.images.contains(&image) {
                slot.fetching += 1;
                slot.images.insert(image);
                if rig.pull_gb_per_s > 0.0 {
                    let fetch =
                        Duration::from_secs_f64((entry.spec.image_gb / rig.pull_gb_per_s).min(3600.0));
                    begin = (attempt.placed + fetch).max(now);
                }
            }
            let estimate = self.estimate(&entry.spec);
            let end = match attempt.stop {
                true => now + STOPPING,
                false => (begin + estimate).max(now + estimate / 5),
            };
            let team = index.get(entry.spec.team.as_str()).copied().unwrap_or(0);
            slot.free.sub(&entry.spec.each);
            slot.running.push(Running { end, each: entry.spec.each, team });
        }
        Some(slot)
    }

    pub(super) fn schedule(&mut self, now: Duration, out: &mut Out) {
        let (mut teams, index) = self.teams();
        let (ids, mut work) = self.work(now, &teams, &index);
        if work.is_empty() {
            return;
        }
        let machines: Vec<(&Machine, Slot)> =
            self.fleet.machines.values().filter_map(|m| self.slot(now, m, &index).map(|s| (m, s))).collect();
        let hosts: Vec<(HostName, Option<u64>)> =
            machines.iter().map(|(m, _)| (m.name.clone(), m.shift())).collect();
        let mut slots: Vec<Slot> = machines.into_iter().map(|(_, s)| s).collect();
        for start in easy::pass(now, &mut slots, &mut work, &mut teams) {
            let (host, shift) = &hosts[start.slot];
            if let Some(shift) = shift {
                self.ledger.place(&ids[start.work], host, *shift, &slots[start.slot].zone, now);
                if let Some(machine) = self.fleet.machines.get_mut(host) {
                    machine.idle_since = None;
                }
            }
        }
        self.preempt(now, &slots, &hosts, &mut work, &mut teams, out);
    }

    /// Stops lesser work for urgent tasks that would start too late otherwise,
    /// the least progressed first. What is stopped comes back to the queue.
    pub(super) fn preempt(
        &mut self,
        now: Duration,
        slots: &[Slot],
        hosts: &[(HostName, Option<u64>)],
        work: &mut [Work],
        teams: &mut [TeamRoom],
        out: &mut Out,
    ) {
        let mut order: Vec<usize> =
            (0..work.len()).filter(|i| work[*i].pending > 0 && work[*i].urgency >= Urgency::Urgent).collect();
        if order.is_empty() {
            return;
        }
        order.sort_by_key(|i| (std::cmp::Reverse(work[*i].urgency), !work[*i].guaranteed, work[*i].due));
        let mut room: Vec<Resources> = slots.iter().map(|s| s.free).collect();
        for (place, (host, _)) in hosts.iter().enumerate() {
            for task in self.ledger.on_host(host) {
                let stopping = self.ledger.attempt(task).is_some_and(|a| a.stop);
                if let Some(entry) = self.ledger.jobs.get(&task.job).filter(|_| stopping) {
                    room[place].add(&entry.spec.each);
                }
            }
        }
        let mut told: BTreeSet<HostName> = BTreeSet::new();
        let mut stops = 0;
        for i in order {
            let (each, due, urgency) = (work[i].each, work[i].due, work[i].urgency);
            let opens = slots
                .iter()
                .filter(|s| work[i].allows(&s.rig, &s.zone, s.spot))
                .filter_map(|s| s.opens(&each, now))
                .min();
            if opens.is_some_and(|at| at <= due) {
                continue;
            }
            while work[i].pending > 0 && teams[work[i].team].admits(&each) && stops < MOST_STOPS {
                let mut best: Option<(Duration, usize, Vec<TaskId>)> = None;
                for (place, (host, shift)) in hosts.iter().enumerate() {
                    let slot = &slots[place];
                    let fit =
                        work[i].allows(&slot.rig, &slot.zone, slot.spot) && work[i].zone_admits(&slot.zone);
                    if !fit || shift.is_none() || slot.ready > now {
                        continue;
                    }
                    let Some((loss, victims)) = self.victims(now, host, room[place], &each, urgency) else {
                        continue;
                    };
                    if best.as_ref().is_none_or(|(least, ..)| loss < *least) {
                        best = Some((loss, place, victims));
                    }
                }
                let Some((_, place, victims)) = best else { break };
                for victim in victims {
                    if let Some(entry) = self.ledger.jobs.get(&victim.job) {
                        room[place].add(&entry.spec.each);
                    }
                    self.ledger.stop(&victim);
                    told.insert(hosts[place].0.clone());
                    stops += 1;
                }
                room[place].sub(&each);
                teams[work[i].team].used.add(&each);
                let zone = slots[place].zone.clone();
                work[i].joined(&zone);
                work[i].pending -= 1;
            }
        }
        for host in told {
            self.tell(now, &host, out);
        }
    }

    /// The least progressed tasks of lesser urgency on a machine that would
    /// have to stop for one more task, and the progress lost.
    pub(super) fn victims(
        &self,
        now: Duration,
        host: &HostName,
        mut room: Resources,
        each: &Resources,
        urgency: Urgency,
    ) -> Option<(Duration, Vec<TaskId>)> {
        let mut loss = Duration::ZERO;
        let mut victims = Vec::new();
        if each.fits(&room) {
            return Some((loss, victims));
        }
        let mut lesser: Vec<(Duration, &TaskId, Resources)> = Vec::new();
        for task in self.ledger.on_host(host) {
            let (Some(entry), Some(attempt)) = (self.ledger.jobs.get(&task.job), self.ledger.attempt(task))
            else {
                continue;
            };
            let ran = attempt.running.map_or(Duration::ZERO, |at| now.saturating_sub(at));
            let young = ran < self.estimate(&entry.spec) / 4;
            let often = attempt.number > MOST_PREEMPTED;
            if entry.spec.urgency < urgency && attempt.seen.is_some() && !attempt.stop && young && !often {
                lesser.push((ran, task, entry.spec.each));
            }
        }
        lesser.sort_by_key(|(ran, ..)| *ran);
        for (ran, task, held) in lesser {
            room.add(&held);
            loss += ran;
            victims.push(task.clone());
            if each.fits(&room) {
                return Some((loss, victims));
            }
        }
        None
    }
}
