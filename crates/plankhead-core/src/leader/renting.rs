//! The fleet's size: rounds, raises, renting and giving back.

use super::*;

impl Leader {
    /// U for a type: set, or learned, or what the guarantees would fill.
    pub(super) fn capacity(&self, rig: &str, now: Duration) -> u32 {
        let cpus = self.fleet.resources(rig).map_or(1.0, |r| r.cpus.max(1.0));
        let guaranteed: f64 = self.settings.teams.values().map(|t| t.cpus).sum();
        let set =
            self.settings.sizing.capacity.unwrap_or((guaranteed / cpus).ceil().clamp(1.0, 10_000.0) as u32);
        self.fleet.learned(rig, now).map_or(set, |learned| learned.min(set)).max(1)
    }

    pub(super) fn size(&mut self, times: Times, out: &mut Out) {
        let now = times.now;
        if self.fleet.rigs.is_empty() {
            return;
        }
        let (teams, index) = self.teams();
        let (_, work) = self.work(now, &teams, &index);
        // Before any machine is up, whichever job came first would size the fleet
        // for a whole interval: rounds follow quickly and only raise.
        let none_up = self.fleet.machines.values().all(|m| m.newest.is_none() && !m.was_up);
        let cold = none_up && !work.is_empty();
        if cold {
            self.round_due = self.round_due.min(now + COLD_ROUND);
        }
        // The first round waits for something to replay.
        if now >= self.round_due && (self.target.round > 0 || !work.is_empty()) {
            let interval = self.settings.sizing.interval;
            self.round_due = now + interval;
            let mut target =
                Target { round: self.target.round + 1, at_ms: times.wall_ms(), ..Target::default() };
            // Nor does the rush of the first seconds tell what comes later.
            let expected = if cold { Vec::new() } else { self.expected(now, &index) };
            for rig in self.fleet.rigs.keys() {
                let mut size = self.trial(now, rig, (&work, &expected), &teams, &index);
                if let Some(before) = self.target.rigs.get(rig).filter(|_| cold) {
                    size.machines = size.machines.max(before.machines);
                    size.ordinary = size.ordinary.max(before.ordinary);
                }
                target.rigs.insert(rig.clone(), size);
            }
            let level = if target.rigs == self.target.rigs { Level::Debug } else { Level::Info };
            out.log(level, format!("round {}: {:?}", target.round, target.rigs));
            self.target = target;
            self.target_dirty = true;
        }
        self.raise(&work);
    }

    /// The climb for one type, over the jobs that can use it.
    pub(super) fn trial(
        &self,
        now: Duration,
        rig: &str,
        (work, expected): (&[Work], &[Arrival]),
        teams: &[TeamRoom],
        index: &HashMap<String, usize>,
    ) -> Size {
        let Some(kind) = self.fleet.rigs.get(rig) else { return Size::default() };
        let suits = |w: &Work| kind.zones.iter().any(|z| w.allows(rig, z, false));
        let all: Vec<Work> = work.iter().filter(|w| suits(w)).cloned().collect();
        let coming: Vec<Arrival> = expected.iter().filter(|a| suits(&a.work)).cloned().collect();
        let strict: Vec<Work> = all.iter().filter(|w| !w.spot).cloned().collect();
        let strict_coming: Vec<Arrival> = coming.iter().filter(|a| !a.work.spot).cloned().collect();
        let most = self.capacity(rig, now);
        let ordinary = self.climb(now, rig, (&strict, &strict_coming), teams, index, most, false);
        let machines = self.climb(now, rig, (&all, &coming), teams, index, most, true).max(ordinary);
        Size { machines, ordinary }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn climb(
        &self,
        now: Duration,
        rig: &str,
        (work, coming): (&[Work], &[Arrival]),
        teams: &[TeamRoom],
        index: &HashMap<String, usize>,
        most: u32,
        spot: bool,
    ) -> u32 {
        let Some(kind) = self.fleet.rigs.get(rig) else { return 0 };
        let mut slots: Vec<Slot> = self
            .fleet
            .machines
            .values()
            .filter(|m| m.pool.rig == rig && (spot || !m.pool.spot))
            .filter_map(|m| self.slot(now, m, index))
            .collect();
        slots.sort_by_key(|s| std::cmp::Reverse(s.running.len()));
        let busy = match spot {
            true => slots.iter().filter(|s| !s.running.is_empty()).count() as u32,
            false => 0,
        };
        let running: BTreeSet<&JobId> = self
            .ledger
            .jobs
            .iter()
            .filter(|(_, e)| spot && e.phase == Phase::Live && e.placed > 0 && e.pending() == 0)
            .map(|(id, _)| id)
            .collect();
        let least = busy.max(u32::from(!work.is_empty()));
        sizing::climb(least, most, self.settings.sizing.threshold, |trial| {
            let mut fleet: Vec<Slot> = slots.iter().take(trial as usize).cloned().collect();
            for slot in &mut fleet {
                slot.ready = now;
            }
            for i in fleet.len()..trial as usize {
                fleet.push(Slot {
                    rig: rig.into(),
                    zone: kind.zones[i % kind.zones.len().max(1)].as_str().into(),
                    spot: false,
                    free: Resources { cpus: kind.cpus, gpus: kind.gpus, ram: kind.ram },
                    ready: now,
                    running: Vec::new(),
                    images: HashSet::new(),
                    fetching: 0,
                    pull_gb_per_s: 0.0,
                });
            }
            replay::slowdown(now, fleet, work.to_vec(), coming.to_vec(), teams.to_vec(), running.len())
        })
    }

    /// A job wider than the fleet raises it at once. An array's width is one
    /// task, so this is a job that no machine we have can hold.
    pub(super) fn raise(&mut self, work: &[Work]) {
        for w in work {
            let served = self.fleet.machines.values().any(|m| {
                m.leaving.is_none() && !m.notice && w.allows(&m.pool.rig, &m.pool.zone, m.pool.spot)
            });
            if served {
                continue;
            }
            let fits = |rig: &&String| {
                self.fleet.resources(rig).is_some_and(|r| w.each.fits(&r))
                    && w.rigs.as_ref().is_none_or(|l| l.contains(rig))
            };
            let price = |rig: &&String| self.fleet.rigs.get(*rig).map_or(f64::MAX, |r| r.price);
            let cheapest = self.fleet.rigs.keys().filter(fits).min_by(|a, b| price(a).total_cmp(&price(b)));
            let Some(rig) = cheapest.cloned() else { continue };
            let count = self.fleet.count(&rig);
            let size = self.target.rigs.entry(rig).or_default();
            if size.machines <= count && self.hiring.is_empty() {
                size.machines = count + 1;
                self.target_dirty = true;
            }
            if !w.spot && size.ordinary == 0 {
                size.ordinary = 1;
                self.target_dirty = true;
            }
        }
    }

    pub(super) fn hire(&mut self, now: Duration, out: &mut Out) {
        let due: Vec<_> = {
            let (ready, later) =
                std::mem::take(&mut self.retry_hires).into_iter().partition(|(at, ..)| *at <= now);
            self.retry_hires = later;
            ready
        };
        for (at, name, pool, count) in due {
            if self.cloud.take(now, 1) {
                self.rent(name, pool, count, out);
            } else {
                self.retry_hires.push((at, name, pool, count));
            }
        }
        for (rig, size) in self.target.rigs.clone() {
            let coming = |spot: Option<bool>| -> u32 {
                let of = |(_, p, n): &(String, Pool, u32)| {
                    if p.rig == rig && spot.is_none_or(|s| s == p.spot) {
                        *n
                    } else {
                        0
                    }
                };
                self.hiring.iter().map(of).sum()
            };
            let ordinary =
                self.fleet.pools(&rig).iter().filter(|p| !p.spot).map(|p| self.fleet.staying(p)).sum::<u32>();
            let strict = size.ordinary.saturating_sub(ordinary + coming(Some(false)));
            let want = size.machines.saturating_sub(self.fleet.count(&rig) + coming(None)).max(strict);
            if want == 0 {
                continue;
            }
            let mut pools: Vec<Pool> = self.fleet.pools(&rig);
            pools.retain(|p| self.fleet.open(p, now) && !self.hiring.iter().any(|(_, q, _)| q == p));
            if strict > 0 {
                pools.retain(|p| !p.spot);
            }
            // Spot first, for its price; ordinary ones once spot is refused.
            let cheap = pools.iter().any(|p| p.spot);
            pools.retain(|p| p.spot == cheap);
            pools.sort_by_key(|p| self.fleet.staying(p));
            let mut left = if strict > 0 { strict } else { want };
            let share = left.div_ceil(pools.len().max(1) as u32);
            for pool in pools {
                let count = share.min(left).min(50);
                if count == 0 || !self.cloud.take(now, 1) {
                    break;
                }
                left -= count;
                self.hires += 1;
                let name = format!("{}-{}-{}", self.settings.host, self.baton, self.hires);
                self.hiring.push((name.clone(), pool.clone(), count));
                self.rent(name, pool, count, out);
            }
        }
    }

    pub(super) fn rent(&self, name: String, pool: Pool, count: u32, out: &mut Out) {
        let op = CloudOp::Hire {
            name: name.clone(),
            rig: pool.rig.clone(),
            zone: pool.zone.clone(),
            spot: pool.spot,
            count,
        };
        out.cloud(Purpose::Leader(self.baton, Deed::Hire { name, pool, count }), op);
    }

    /// Returns machines above the target as they fall idle, and all that must
    /// go for another reason.
    pub(super) fn give_back(&mut self, now: Duration, out: &mut Out) {
        for (rig, size) in self.target.rigs.clone() {
            let mut surplus = self.fleet.count(&rig).saturating_sub(size.machines);
            let mut idle: Vec<(bool, Duration, HostName)> = self
                .fleet
                .machines
                .values()
                .filter(|m| m.pool.rig == rig && m.leaving.is_none() && !m.notice)
                .filter(|m| self.ledger.on_host(&m.name).next().is_none())
                .filter(|m| m.idle_since.is_some_and(|at| now.saturating_sub(at) >= IDLE))
                .map(|m| (m.pool.spot, m.since, m.name.clone()))
                .collect();
            idle.sort();
            let mut ordinary = self
                .fleet
                .machines
                .values()
                .filter(|m| m.pool.rig == rig && !m.pool.spot && m.leaving.is_none())
                .count() as u32;
            for (spot, _, host) in idle {
                if surplus == 0 {
                    break;
                }
                if !spot && ordinary <= size.ordinary {
                    continue;
                }
                if let Some(machine) = self.fleet.machines.get_mut(&host) {
                    machine.leaving = Some(Leaving::Surplus);
                    surplus -= 1;
                    ordinary -= u32::from(!spot);
                }
            }
        }
        for machine in self.fleet.machines.values_mut() {
            let empty = self.ledger.on_host(&machine.name).next().is_none();
            if machine.notice && machine.leaving.is_none() && empty {
                machine.leaving = Some(Leaving::Surplus);
            }
        }
        if now < self.release_due {
            return;
        }
        let leaving: Vec<HostName> = self
            .fleet
            .machines
            .values()
            .filter(|m| m.leaving.is_some() && !self.releasing.contains(&m.name))
            .map(|m| m.name.clone())
            .take(100)
            .collect();
        if !leaving.is_empty() && self.cloud.take(now, 1) {
            self.releasing.extend(leaving.iter().cloned());
            let deed = Deed::Release(leaving.clone());
            out.cloud(Purpose::Leader(self.baton, deed), CloudOp::Release { hosts: leaving });
        }
    }
}
