//! What time alone brings about.

use super::*;

/// What a release takes at the most, usually.
const RELEASE: Duration = Duration::from_secs(3);

impl Leader {
    pub fn tick(
        &mut self,
        times: StepTime,
        sight: Sight,
        requests: &mut RequestHandler,
        out: &mut EffectSink,
    ) {
        let (now, firm) = (times.now, sight.firm);
        self.duties.wall_ms = times.wall_ms();
        self.behind = sight.behind;
        self.mode = sight.mode;
        self.peers_agree = sight.peers_agree;
        if !sight.steady {
            self.shaken = Some(now);
        }
        if std::mem::take(&mut self.reached) || self.stage == Stage::Loading {
            self.contact = now;
        }
        if self.stage == Stage::Loading {
            if self.load_due.is_some_and(|due| now >= due) {
                // Whatever failed, reading starts over: rows are idempotent.
                self.load_due = None;
                self.page_after = None;
                self.rows.clear();
                self.garbage.clear();
                self.archive.clear();
                self.pressing = 0;
                self.load(now, out);
            }
            if now >= self.minded {
                self.minded = now + MIND;
                self.judge_blind(now, sight);
                self.release(now, sight, out);
            }
            self.advance_duties(times, sight, out);
            self.list_hosts(now, out);
            return;
        }
        if let Some(epoch) = self.epoch.filter(|_| !self.following && now >= self.follow_due) {
            self.following = true;
            let op = KvRequest::Watch { prefix: "job/".into(), after: epoch, wait: WATCH };
            self.state(LeaderCall::WatchJobs { sent: now }, op, out);
        }
        let places = firm && self.permits(Action::Place, now);
        let rents = firm && self.surveyed && self.permits(Action::Rent, now);
        // What could not be written yet could not start either: the next pass
        // waits for it and so puts more into one write, but not for long.
        let backlog = self.ledger.placing.len();
        let written = backlog == 0 || backlog <= self.writes.available(now);
        let due = if written { self.pass_due } else { self.pass_due + PASS_PATIENCE };
        if places && self.dirty && now >= due {
            self.dirty = false;
            self.pass_due = now + self.portions.pass_pause();
            self.schedule(now, out);
        }
        // A new leader that had not seen the machines yet took the fleet for none: it
        // hired all anew, and its round gave back what then turned up.
        if rents {
            self.size(times, out);
        }
        // At the first step of a leader that has read all, too: nothing larger than
        // what may be written is ever sent.
        if self.to_lay {
            self.to_lay = self.ledger.lay_anew(tasks_per_chunk(self.settings.max_value_bytes));
        }
        self.advance_duties(times, sight, out);
        self.tick_shards(now, firm, requests, out);
        if firm {
            self.flush(now, requests, out);
        }
        // Every report brings a step: what costs time with every machine or job
        // has a beat of its own.
        if now < self.minded {
            return;
        }
        self.minded = now + MIND;
        self.mind_machines(now, sight, out);
        // A new leader's rentals took the cloud's rate while a cancellation was due.
        if self.fleet.machines.values().any(|m| m.leaving == Some(RemovalReason::CancellationDue)) {
            self.release(now, sight, out);
        }
        if rents {
            self.rent_machines(now, out);
        }
        if firm && self.permits(Action::Return, now) {
            self.give_back(now);
        }
        if firm {
            self.sweep(now, out);
        }
        self.release(now, sight, out);
        self.list_hosts(now, out);
        self.tell_late(now, out);
    }

    /// When [`Leader::tick`] has something to do next, unless an event comes before.
    /// `retry`: when to look again at what waits for a budget or for the state service,
    /// whose time cannot be told.
    pub fn next_due(&self, now: Duration, retry: Duration) -> Duration {
        if self.stage == Stage::Loading {
            return self.load_due.map_or(self.minded, |due| due.min(self.minded));
        }
        let mut due = self.minded;
        if !self.following && self.epoch.is_some() {
            due = due.min(self.follow_due);
        }
        if self.dirty {
            due = due.min(if self.pass_due > now { self.pass_due } else { retry });
        }
        let waits = !self.ledger.placing.is_empty()
            || !self.ledger.closing.is_empty()
            || self.target_dirty
            || self.to_lay
            || self.duties.wait();
        if self.round.is_some() {
            due = due.min(self.portion_due);
        }
        if waits {
            due = due.min(retry);
        }
        due
    }

    pub(super) fn list_hosts(&mut self, now: Duration, out: &mut EffectSink) {
        if !self.listing && now >= self.hosts_due && self.cloud.take(now, 1) {
            self.listing = true;
            self.hosts_due = now + self.settings.inventory_lag.max(Duration::from_secs(3));
            let after = self.list.last().map(|h| h.name.clone());
            out.cloud(
                CallPurpose::Leader(self.token, LeaderCall::ListInstances),
                CloudRequest::ListInstances { after },
            );
        }
    }

    /// Whether some worker was heard lately, or none could be: those of machines that the
    /// cloud lists no more are not there, whatever fails this node.
    pub(super) fn in_contact(&self, now: Duration) -> bool {
        let recent = self.settings.heartbeat_timeout() + Duration::from_secs(1);
        let there = |m: &&Machine| m.up() && !m.is_unlisted();
        let mut up = self.fleet.machines.values().filter(there).peekable();
        up.peek().is_none() || up.any(|m| now.saturating_sub(m.heard) < recent)
    }

    /// Whether no worker at all has reached this node for so long that another
    /// should try to lead.
    pub fn isolated(&self, now: Duration) -> bool {
        let patience = self.settings.heartbeat_timeout() + Duration::from_secs(3);
        self.stage == Stage::Ready
            && now.saturating_sub(self.contact) > patience
            && self.fleet.machines.values().filter(|m| m.up()).count() > 1
    }

    /// Whether the cloud has answered lately, so that what it is asked takes effect now
    /// and not when some cut ends.
    pub(super) fn cloud_near(&self, now: Duration) -> bool {
        let lately = self.settings.inventory_lag.max(Duration::from_secs(3)) * 2 + Duration::from_secs(1);
        self.cloud_heard.is_some_and(|at| now.saturating_sub(at) < lately)
    }

    /// Without the state service nobody knows what was cancelled last. A machine that
    /// hangs keeps such a task beyond its lease, for as long as it hangs. It goes when
    /// a cancellation that this leader did not see would be due, if its lease has run
    /// out: where every sibling is heard and none leads, nobody else has renewed it, so
    /// that whatever was on it is lost anyway.
    ///
    /// A leader that has not read yet does not know how old its ignorance is, and
    /// doesn't wait; but it takes the silence of many for its own fault.
    fn judge_blind(&mut self, now: Duration, sight: Sight) {
        let reading = self.stage == Stage::Loading;
        let due = reading || now.saturating_sub(self.fresh) >= self.cancel_grace();
        if due && sight.among_all && self.cloud_near(now) {
            let silence = self.settings.worker_lease + Duration::from_secs(1);
            self.fleet.judge_blind(now, silence, reading);
        }
    }

    /// How long after a cancellation a machine goes back that may still have a task.
    fn cancel_grace(&self) -> Duration {
        self.cancel_due().saturating_sub(Duration::from_secs(7))
    }

    /// When a cancellation is due, for certain, on whatever clock it was told.
    fn cancel_due(&self) -> Duration {
        self.settings.cancel_within.saturating_sub(self.settings.clock_error * 2)
    }

    fn mind_machines(&mut self, now: Duration, sight: Sight, out: &mut EffectSink) {
        let contact = self.in_contact(now);
        // Where no node hears any worker, the silence is theirs.
        let silence_tells = contact || self.mode == Mode::StateOnly;
        if sight.firm && silence_tells && self.permits(Action::JudgeSilent, now) {
            if !std::mem::replace(&mut self.sound, true) {
                self.fleet.forgive(now);
            }
            self.dirty |= self.fleet.judge(now, &self.settings) > 0;
            if !self.behind {
                self.inquire(now, out);
            }
        } else {
            // A leader that is cut off hears nobody, and its requests to the
            // cloud may be carried out when the cut ends: it would give back
            // a whole healthy fleet. While it hears workers, the others' silence is
            // theirs: forgiven after every lost renewal, machines that were gone kept
            // their tasks for ever under a lossy state service.
            self.sound &= contact;
            self.judge_blind(now, sight);
        }
        // A cancelled task that is not proven gone takes its machine along, whoever
        // else is silent: in an outage, or where all machines hang, too.
        let (due, grace) = (self.cancel_due(), self.cancel_grace());
        let heard = now.saturating_sub(self.began) > self.settings.failover_heartbeat_timeout();
        let overdue: Vec<MachineName> = self
            .ledger
            .jobs
            .values()
            .filter(|e| e.placed > 0 && e.cancelled.is_some_and(|at| now.saturating_sub(at) >= grace))
            .flat_map(|e| self.ledger.placements(e).map(|a| (e.cancelled.unwrap_or_default(), a)))
            // What an earlier leader placed may have ended under it, which the
            // first reports to us show, if the time left allows to wait for them.
            // A leader that comes when hardly any is left does not wait: it waited for
            // silence then, and a hung machine kept its task beyond the time.
            .filter(|(at, a)| {
                let last = *at + due.saturating_sub(RELEASE);
                a.seen.is_some() || a.offered.is_some() || heard || (self.began < *at + due && now >= last)
            })
            .map(|(_, a)| a.host.clone())
            .collect();
        let reclaims = self.permits(Action::ReclaimOverdue, now);
        for host in overdue.into_iter().filter(|_| reclaims) {
            self.fleet.expect(&host, now);
            if let Some(machine) = self.fleet.machines.get_mut(&host) {
                machine.leaving.get_or_insert(RemovalReason::CancellationDue);
            }
        }
    }

    /// Asks machines whose reports are late directly whether they are there.
    fn inquire(&mut self, now: Duration, out: &mut EffectSink) {
        for host in
            self.fleet.to_inquire(now, self.settings.heartbeat_timeout(), |machine| self.commands(machine))
        {
            let token = self.token_for(&host);
            let Some(machine) = self.fleet.machines.get_mut(&host) else { continue };
            let Some(shift) = machine.shift() else { continue };
            let address = machine.begin_command(&[]);
            let call =
                CallPurpose::Leader(self.token, LeaderCall::SendCommands { host, shift, runs: Vec::new() });
            out.orders(call, address, token, shift, Vec::new());
        }
    }
}
