//! The jobs that came lately, from which the replay expects those to come.

use super::Leader;
use crate::jobs::job::JobSpec;
use crate::sizing::replay::Arrival;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Arrivals that are remembered.
const MAX_ARRIVALS: usize = 1_000;
/// The shortest time whose arrivals are taken to tell a rate.
const MIN_ARRIVAL_WINDOW: Duration = Duration::from_secs(20);
/// Jobs that come within this time of a service's first are its backlog.
const INITIAL_BACKLOG_WINDOW: Duration = Duration::from_secs(5);

/// A job that came lately.
#[derive(Debug, Clone)]
struct RecentArrival {
    accepted_at: Duration,
    spec: Arc<JobSpec>,
}

/// The jobs of the last interval.
#[derive(Debug, Default)]
pub(super) struct ArrivalHistory {
    recent: VecDeque<RecentArrival>,
    /// When the service's first job came; zero if that was before this leader.
    first_job_at: Option<Duration>,
}

impl ArrivalHistory {
    /// The service is not new: the jobs that are there came one after the other.
    pub(super) fn service_is_running(&mut self) {
        self.first_job_at = Some(Duration::ZERO);
    }

    /// Takes in a job that is new to this leader. What waits when a service opens is a
    /// backlog and tells no rate.
    pub(super) fn record(&mut self, accepted_at: Duration, spec: Option<&JobSpec>) {
        let opened_at = *self.first_job_at.get_or_insert(accepted_at);
        let is_backlog = accepted_at < opened_at + INITIAL_BACKLOG_WINDOW;
        if let Some(spec) = spec.filter(|_| !is_backlog) {
            self.recent.push_back(RecentArrival { accepted_at, spec: Arc::new(spec.clone()) });
            if self.recent.len() > MAX_ARRIVALS {
                self.recent.pop_front();
            }
        }
    }

    fn forget_before(&mut self, from: Duration) {
        self.recent.retain(|arrival| arrival.accepted_at >= from);
    }
}

impl Leader {
    /// The jobs of the last interval, as if they came again in the next and on.
    pub(super) fn expected_arrivals(&mut self, now: Duration) -> Vec<Arrival> {
        let interval = self.round_interval();
        let window = interval.min(now.saturating_sub(self.started_at).max(MIN_ARRIVAL_WINDOW));
        self.arrivals.forget_before(now.saturating_sub(window));
        let recent: Vec<RecentArrival> = self.arrivals.recent.iter().cloned().collect();
        // Half an interval more shows whether a backlog grows. A leader younger than
        // the interval repeats what it saw.
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
