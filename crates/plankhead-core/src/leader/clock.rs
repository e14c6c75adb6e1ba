//! What time alone brings about.

use super::*;

impl Leader {
    pub fn tick(&mut self, times: Times, firm: bool, desk: &mut Desk, out: &mut Out) {
        let now = times.now;
        if self.stage == Stage::Loading {
            if self.load_due.is_some_and(|due| now >= due) {
                // Whatever failed, reading starts over: rows are idempotent.
                self.load_due = None;
                self.page_after = None;
                self.rows.clear();
                self.garbage.clear();
                self.load(now, out);
            }
            self.list_hosts(now, out);
            return;
        }
        if let Some(epoch) = self.epoch.filter(|_| !self.following && now >= self.follow_due) {
            self.following = true;
            let op = StateOp::Follow { prefix: "job/".into(), after: epoch, wait: WATCH };
            self.state(Deed::Follow { sent: now }, op, out);
        }
        self.mind_machines(times, firm, out);
        let sighted = firm && now.saturating_sub(self.fresh) < STALE;
        if sighted && self.dirty {
            self.dirty = false;
            self.schedule(now, out);
        }
        if sighted {
            self.size(times, out);
            self.hire(now, out);
        }
        if firm {
            self.give_back(now, out);
            self.flush(now, desk, out);
            self.sweep(now, out);
        }
        self.list_hosts(now, out);
        self.tell_late(now, out);
    }

    pub(super) fn list_hosts(&mut self, now: Duration, out: &mut Out) {
        if !self.listing && now >= self.hosts_due && self.cloud.take(now, 1) {
            self.listing = true;
            self.hosts_due = now + self.settings.list_lag.max(Duration::from_secs(3));
            let after = self.list.last().map(|h| h.host.clone());
            out.cloud(Purpose::Leader(self.baton, Deed::Hosts), CloudOp::List { after });
        }
    }

    /// Whether some worker was heard lately, or none could be.
    pub(super) fn in_contact(&self, now: Duration) -> bool {
        let recent = self.settings.report * 2 + Duration::from_secs(1);
        let mut up = self.fleet.machines.values().filter(|m| m.up()).peekable();
        up.peek().is_none() || up.any(|m| now.saturating_sub(m.heard) < recent)
    }

    /// Whether no worker at all has been heard for so long that another node
    /// should try to lead.
    pub fn isolated(&self, now: Duration) -> bool {
        let patience = self.settings.report * 3 + Duration::from_secs(2);
        let up = self.fleet.machines.values().filter(|m| m.up());
        let last = up.clone().map(|m| m.heard).max();
        self.stage == Stage::Ready
            && up.count() > 1
            && last.is_some_and(|at| now.saturating_sub(at) > patience)
    }

    pub(super) fn mind_machines(&mut self, times: Times, firm: bool, out: &mut Out) {
        let now = times.now;
        let silent = self.settings.report + SILENT;
        let contact = self.in_contact(now);
        if firm && contact {
            if !std::mem::replace(&mut self.sound, true) {
                self.fleet.forgive(now);
            }
            for (host, why) in self.fleet.judge(now, silent) {
                out.log(Level::Info, format!("gives back {host}: {why:?}"));
                self.dirty = true;
            }
        } else {
            // A leader that is cut off hears nobody, and its requests to the
            // cloud may be carried out when the cut ends: it would give back
            // a whole healthy fleet.
            self.sound = false;
        }
        if !contact {
            return;
        }
        // A cancelled task that is not proven gone takes its machine along.
        let margin = self.settings.clock_off * 2 + Duration::from_secs(7);
        let grace = self.settings.cancel.saturating_sub(margin);
        let overdue: Vec<HostName> = self
            .ledger
            .jobs
            .values()
            .filter(|e| e.placed > 0 && e.cancelled.is_some_and(|at| now.saturating_sub(at) >= grace))
            .flat_map(|e| self.ledger.placements(e))
            .map(|a| a.host.clone())
            .collect();
        for host in overdue {
            self.fleet.expect(&host, now);
            if let Some(machine) = self.fleet.machines.get_mut(&host) {
                if machine.leaving.is_none() {
                    out.log(Level::Info, format!("gives back {host}: a cancelled task is not gone"));
                    machine.leaving = Some(Leaving::CancelDue);
                }
            }
        }
    }
}
