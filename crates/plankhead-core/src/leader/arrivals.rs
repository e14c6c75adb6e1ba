//! The history of recent job arrivals, from which sizing replays predict future arrivals.

use super::Leader;
use crate::jobs::job::JobSpec;
use crate::sizing::replay::Arrival;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// The maximum number of arrivals kept in the history.
const MAX_ARRIVALS: usize = 1_000;
/// The shortest period over which arrivals are taken to represent a rate.
const MIN_ARRIVAL_WINDOW: Duration = Duration::from_secs(20);
/// Jobs accepted within this time of the service's first job count as its initial backlog.
const INITIAL_BACKLOG_WINDOW: Duration = Duration::from_secs(5);

/// A job in the arrival history.
#[derive(Debug, Clone)]
struct RecentArrival {
    accepted_at: Duration,
    spec: Arc<JobSpec>,
}

/// The most recent job arrivals.
#[derive(Debug, Default)]
pub(super) struct ArrivalHistory {
    recent: VecDeque<RecentArrival>,
    /// When the service's first job was accepted; zero once the service is known not to be new.
    first_job_at: Option<Duration>,
}

impl ArrivalHistory {
    /// Records that the service is not new, so that no later arrival counts as its initial backlog.
    pub(super) fn mark_service_running(&mut self) {
        self.first_job_at = Some(Duration::ZERO);
    }

    /// Records a job that is new to this leader. Jobs of the initial backlog are not recorded,
    /// since they do not represent an arrival rate.
    pub(super) fn record(&mut self, accepted_at: Duration, spec: Option<&JobSpec>) {
        let first_job_at = *self.first_job_at.get_or_insert(accepted_at);
        let is_backlog = accepted_at < first_job_at + INITIAL_BACKLOG_WINDOW;
        if let Some(spec) = spec.filter(|_| !is_backlog) {
            self.recent.push_back(RecentArrival { accepted_at, spec: Arc::new(spec.clone()) });
            if self.recent.len() > MAX_ARRIVALS {
                self.recent.pop_front();
            }
        }
    }

    fn drop_before(&mut self, start: Duration) {
        self.recent.retain(|arrival| arrival.accepted_at >= start);
    }
}

impl Leader {
    /// Predicts the next arrivals by repeating those of the last sizing interval.
    pub(super) fn expected_arrivals(&mut self, now: Duration) -> Vec<Arrival> {
        let interval = self.round_interval();
        let window = interval.min(now.saturating_sub(self.started_at).max(MIN_ARRIVAL_WINDOW));
        self.arrivals.drop_before(now.saturating_sub(window));
        let recent: Vec<RecentArrival> = self.arrivals.recent.iter().cloned().collect();
        // The arrivals go half an interval beyond the next sizing round, so that a replay shows whether
        // the backlog grows. A leader younger than the interval repeats its shorter history until the
        // horizon is filled.
        let horizon = interval + interval / 2;
        let mut expected = Vec::new();
        let mut shift = window;
        while shift < horizon + window {
            for RecentArrival { accepted_at, spec } in &recent {
                let at = *accepted_at + shift;
                if let Some(team) = self.team_index(spec).filter(|_| at < now + horizon) {
                    expected.push(Arrival { arrives_at: at, work: self.whole_job_as_work(spec, team, at) });
                }
            }
            shift += window;
        }
        expected
    }
}
