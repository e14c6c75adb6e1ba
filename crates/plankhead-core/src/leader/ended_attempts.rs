//! Reports attempts that run again although their ends are durable and the worker had forgotten them.

use super::Leader;
use crate::effects::EffectSink;
use crate::protocol::{Heartbeat, LogLevel, ReportedTask, TaskStatus};

impl Leader {
    /// Logs and counts the attempts that a heartbeat lists as alive, whose ends are durable, and that
    /// `previous`, the heartbeat before it, did not list.
    pub(super) fn report_restarted_attempts(
        &mut self,
        previous: &Heartbeat,
        heartbeat: &Heartbeat,
        effects: &mut EffectSink,
    ) {
        if previous.incarnation != heartbeat.incarnation {
            return;
        }
        for reported in heartbeat.tasks.iter() {
            if !self.is_restarted(previous, reported) {
                continue;
            }
            self.ended_attempts_restarted += 1;
            let ReportedTask { task, attempt, .. } = reported;
            let text = format!(
                "ended attempt runs again: machine={} job={} task={} attempt={attempt} token={}",
                heartbeat.machine, task.job, task.index, heartbeat.token
            );
            effects.log(LogLevel::Info, text);
        }
    }

    fn is_restarted(&self, previous: &Heartbeat, reported: &ReportedTask) -> bool {
        let ReportedTask { task, attempt, status } = reported;
        let was_listed = |before: &ReportedTask| before.task == *task && before.attempt == *attempt;
        !matches!(status, TaskStatus::Exited(_))
            && self.job_table.may_acknowledge(task, *attempt)
            && !previous.tasks.iter().any(was_listed)
    }
}
