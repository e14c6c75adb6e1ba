//! Taking over: a new leader reads all that is known.

use super::*;

impl Leader {
    pub fn load(&mut self, now: Duration, out: &mut EffectSink) {
        if self.epoch.is_none() {
            self.fresh = now;
        }
        let after = self.page_after.clone();
        self.state(LeaderCall::ListJobs, KvRequest::List { prefix: "job/".into(), after }, out);
    }

    /// Whether it still reads what is known, and nothing says that it can't.
    pub fn reads(&self) -> bool {
        self.stage == Stage::Loading && !self.load_failed
    }

    pub(super) fn load_failed(&mut self, now: Duration) {
        self.load_due = Some(now + PAUSE);
        self.load_failed = true;
    }

    pub(super) fn list_chunks(&mut self, out: &mut EffectSink) {
        let after = self.page_after.clone();
        self.state(LeaderCall::ListChunks, KvRequest::List { prefix: "run/".into(), after }, out);
    }

    pub(super) fn loaded_jobs(
        &mut self,
        times: StepTime,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
        out: &mut EffectSink,
    ) {
        let Ok(KvReply::Page { rows, truncated, revision: epoch }) = reply else {
            return self.load_failed(times.now);
        };
        self.epoch.get_or_insert(epoch);
        self.page_after = rows.last().map(|r| r.key.clone());
        for row in &rows {
            self.job_row(times, row, requests);
        }
        if truncated {
            return self.load(times.now, out);
        }
        self.page_after = None;
        self.list_chunks(out);
    }

    pub(super) fn loaded_chunks(
        &mut self,
        times: StepTime,
        reply: Result<KvReply, CallError>,
        out: &mut EffectSink,
    ) {
        let Ok(KvReply::Page { rows, truncated, .. }) = reply else {
            return self.load_failed(times.now);
        };
        self.page_after = rows.last().map(|r| r.key.clone());
        for row in rows {
            let mut parts = row.key.splitn(3, '/').skip(1);
            let id = parts.next().and_then(|id| JobId::parse(id).ok());
            let number = parts.next().and_then(|n| match n.strip_prefix('s') {
                Some(small) => Some((true, small.parse::<u32>().ok()?)),
                None => Some((false, n.parse::<u32>().ok()?)),
            });
            match (id, number) {
                (Some(id), Some(_)) if !self.ledger.jobs.contains_key(&id) => {
                    self.garbage.push(StoredKey { key: row.key, revision: Some(row.mod_revision) });
                }
                (Some(id), Some(number)) => self.rows.push((id, number, row.value, row.mod_revision)),
                _ => out.log(LogLevel::Error, format!("strange key {}", row.key)),
            }
        }
        if truncated {
            return self.list_chunks(out);
        }
        self.page_after = None;
        if self.duties.fenced() {
            return self.list_duties(out);
        }
        self.read_target(out);
    }

    pub(super) fn read_target(&self, out: &mut EffectSink) {
        self.state(LeaderCall::ReadTarget, KvRequest::Get { key: TARGET.into() }, out);
    }

    pub(super) fn loaded_target(
        &mut self,
        times: StepTime,
        reply: Result<KvReply, CallError>,
        out: &mut EffectSink,
    ) {
        let Ok(KvReply::Value(row)) = reply else {
            return self.load_failed(times.now);
        };
        let now = times.now;
        let rows = std::mem::take(&mut self.rows);
        // Smaller chunks exist only where no version is left that doesn't know them.
        let (small, rows): (Vec<_>, Vec<_>) = rows.into_iter().partition(|(_, (small, _), ..)| *small);
        self.all_new |= !small.is_empty();
        self.load_chunks(rows, now, out);
        if self.all_new {
            self.ledger.lay_anew(tasks_per_chunk(self.settings.max_value_bytes));
        }
        self.load_chunks(small, now, out);
        self.ledger.loaded();
        self.tell_urgent(now, out);
        // Not a new service: the jobs that are there came one after the other.
        if row.is_some() {
            self.opened = Some(Duration::ZERO);
        }
        if let Some(target) = row.and_then(|r| serde_json::from_str::<Target>(&r.value).ok()) {
            let at = times.at_wall(target.at_ms);
            self.round_due = (at + self.interval()).min(now + self.interval());
            self.target = target;
        }
        for machine in self.fleet.machines.values_mut() {
            machine.heard = machine.heard.max(now);
            machine.direct = machine.heard;
        }
        for host in self.ledger_hosts() {
            // Given back while this leader could not read: nobody would ever prove it
            // gone again.
            if self.fleet.is_gone(&host) {
                self.ledger.host_gone(&host, now);
            } else {
                self.fleet.expect(&host, now);
            }
        }
        self.adopt_duties(now, out);
        self.stage = Stage::Ready;
        let reports: Vec<Heartbeat> = self.fleet.machines.values().filter_map(|m| m.report.clone()).collect();
        for report in reports {
            self.observe(times, &report, HeartbeatNews::Changed, out);
        }
        out.log(
            LogLevel::Info,
            format!(
                "took over {} jobs and {} machines in {} ms",
                self.ledger.jobs.len(),
                self.fleet.machines.len(),
                now.saturating_sub(self.began).as_millis()
            ),
        );
        self.dirty = true;
    }

    fn load_chunks(&mut self, rows: Vec<ChunkRow>, now: Duration, out: &mut EffectSink) {
        for (id, (_, number), value, stamp) in rows {
            if let Err(error) = self.ledger.load_chunk(&id, number, &value, stamp, now) {
                // Nothing may be started for a job whose attempts are unknown.
                out.log(LogLevel::Error, format!("placements of {id} can't be read: {error}"));
                self.ledger.remove(&id);
            }
        }
    }

    pub(super) fn ledger_hosts(&self) -> Vec<MachineName> {
        self.ledger.hosts().cloned().collect()
    }

    /// Takes in a job's row from the state service.
    pub fn job_row(&mut self, times: StepTime, row: &KeyValue, requests: &mut RequestHandler) {
        let Some(id) = row.key.strip_prefix("job/").and_then(|id| JobId::parse(id).ok()) else { return };
        let Ok(record) = serde_json::from_str::<JobRecord>(&row.value) else { return };
        match record.phase {
            Phase::Done => {
                requests.over(&id, Status::Done, record.tasks);
                let stored = self.ledger.jobs.get(&id).map(|e| e.stored(&id)).unwrap_or_default();
                let news = self.ledger.finished(&id);
                if self.stage == Stage::Loading || news {
                    self.archive.push_back((id.clone(), row.mod_revision, record));
                }
                if news {
                    self.garbage.extend(stored);
                }
                return;
            }
            Phase::Cancelled => requests.over(&id, Status::Cancelled, 0),
            // An old event of a job that is over by now. While reading, it is taken in
            // all the same: a row that is older than a cancellation which this node
            // has confirmed would leave the job's placements without an owner, so
            // that neither its tasks were ended nor their room counted. Its end
            // comes with the first events.
            Phase::Active if self.stage == Stage::Ready && requests.is_over(&id) => return,
            Phase::Active => {}
        }
        let accepted = times.at_wall(record.accepted_ms);
        let cancelled = record.cancelled_ms.map(|ms| times.at_wall(ms));
        let per_chunk = record.per_chunk.max(1);
        if record.phase == Phase::Active && !self.ledger.jobs.contains_key(&id) {
            // What waits when a service opens is a backlog and tells no rate.
            let opened = *self.opened.get_or_insert(accepted);
            let rush = accepted < opened + RUSH;
            if let Some(spec) = record.spec.as_ref().filter(|_| !rush) {
                self.arrivals.push_back((accepted, Arc::new(spec.clone())));
                if self.arrivals.len() > MOST_ARRIVALS {
                    self.arrivals.pop_front();
                }
            }
        }
        self.ledger.upsert(&id, record, row.mod_revision, accepted, cancelled, per_chunk);
        self.dirty = true;
    }

    pub(super) fn discard(&mut self, id: &JobId, entry: &JobEntry) {
        self.garbage.extend(entry.stored(id));
    }
}
