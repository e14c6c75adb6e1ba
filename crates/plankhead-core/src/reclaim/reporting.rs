//! What the reclaimer tells operators: log lines and its part of `GET /view`.

use super::tasks::CancelledAttempt;
use super::Reclaimer;
use crate::effects::EffectSink;
use crate::protocol::{LogLevel, MachineName};
use plankhead_fencing::leaderless::{LeaderlessReclaim, PeerClaims};
use std::time::Duration;

/// The maximum number of machines that the operators' view lists.
const MAX_MACHINES_SHOWN: usize = 100;

impl Reclaimer {
    /// Logs each machine once, with the attempt that must be gone and the evidence.
    pub(super) fn log_reclaim(
        &mut self,
        now: Duration,
        reclaim: &LeaderlessReclaim,
        peers: PeerClaims,
        effects: &mut EffectSink,
    ) {
        for machine in reclaim.machines() {
            let Some(attempt) = self.tasks.first_attempt(machine) else { continue };
            if !self.logged.insert(machine.clone()) {
                continue;
            }
            let text = format!(
                "machine reclaimed without a leader: machine={machine} reason=cancellation_due {} \
                 unanswered={} peers={peers}",
                self.describe(now, attempt),
                self.inspections.unanswered(machine),
            );
            effects.log(LogLevel::Info, text);
        }
    }

    /// Returns the fields of a log line that identify a cancelled attempt and its deadline.
    pub(super) fn describe(&self, now: Duration, attempt: &CancelledAttempt) -> String {
        let CancelledAttempt { task, number, cancelled_at, .. } = attempt;
        let deadline_in = self.deadline(*cancelled_at).as_secs_f64() - now.as_secs_f64();
        format!("task={}/{} attempt={number} deadline_in_s={deadline_in:.1}", task.job, task.index)
    }

    /// Returns the JSON object under `reclaim` in the operators' view.
    pub fn view(&self, now: Duration) -> serde_json::Value {
        let (jobs, attempts) = self.tasks.counts();
        let machine = |(machine, cancelled_at): (&MachineName, Duration)| {
            let deadline = self.deadline(cancelled_at).as_secs_f64();
            serde_json::json!({"machine": machine.as_ref(), "deadlineInS": deadline - now.as_secs_f64(),
                "unanswered": self.inspections.unanswered(machine)})
        };
        let machines: Vec<_> = self.tasks.machines().take(MAX_MACHINES_SHOWN).map(machine).collect();
        serde_json::json!({"cancelledJobs": jobs, "attempts": attempts, "machines": machines,
            "forbidden": self.forbidden.map(|forbidden| forbidden.to_string()),
            "requests": self.counters.requests, "reclaimed": self.counters.reclaimed})
    }
}
