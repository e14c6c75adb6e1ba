//! Decides whether a leader should hand over its lease, and to which node.
//!
//! In a hand-over, the leader revokes its lease and names a successor. The other nodes wait for
//! [`SUCCESSOR_HEADSTART`] before they try to acquire the lease. Only the state service decides which
//! node holds the lease, so there are never two leaders. If the successor has failed, another node
//! acquires the lease.

use crate::mode::Mode;
use crate::settings::Settings;
use std::collections::VecDeque;
use std::time::Duration;

/// The time for which the other nodes leave the lease to the successor.
pub const SUCCESSOR_HEADSTART: Duration = Duration::from_millis(1500);
/// The time for which a hand-over counts as recent and increases the minimum time as leader.
const RECENT_WINDOW: Duration = Duration::from_secs(120);
/// The maximum number of times that the minimum time as leader is doubled.
const MAX_DOUBLINGS: u32 = 4;
/// A node is better connected than the leader only if it receives the heartbeats of at least this many
/// times as many machines, plus [`BETTER_MARGIN`].
const BETTER_FACTOR: u64 = 2;
/// The number of machines that is added to the multiple given by [`BETTER_FACTOR`].
const BETTER_MARGIN: u64 = 2;

/// The leader's own reachability.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderView {
    /// The leader's mode.
    pub mode: Mode,
    /// The number of machines whose heartbeats the leader receives directly, not through a peer.
    pub reporting: u64,
    /// The number of machines that should send heartbeats to the leader.
    pub expected: u64,
    /// Whether the leader's links to the state service work, but flap damping suppresses that side.
    pub state_suppressed: bool,
}

impl LeaderView {
    /// Returns whether the leader reaches the state service but no workers, and receives no heartbeats.
    fn has_lost_all_workers(&self) -> bool {
        self.mode == Mode::StateOnly && self.reporting == 0
    }
}

/// Another node that could lead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The node's name.
    pub host: String,
    /// The node's mode.
    pub mode: Mode,
    /// The number of machines whose heartbeats the node receives directly, not through a peer.
    pub reporting: u64,
}

/// Returns the candidate that is clearly better connected than the leader, if there is one. Of two nodes
/// that each receive the heartbeats of half of the machines, neither is better connected: otherwise each
/// would hand over to the other again and again.
pub fn better_candidate<'a>(own: &LeaderView, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
    let healthy = candidates.iter().filter(|candidate| candidate.mode == Mode::Whole);
    let best = healthy.max_by(|a, b| (a.reporting, &b.host).cmp(&(b.reporting, &a.host)))?;
    if own.state_suppressed {
        return Some(best);
    }
    let receives_more = best.reporting >= own.reporting * BETTER_FACTOR + BETTER_MARGIN;
    let receives_minority = own.reporting * BETTER_FACTOR < own.expected;
    ((own.has_lost_all_workers() && best.reporting > 0) || (receives_more && receives_minority))
        .then_some(best)
}

/// A node that is better connected than this leader.
#[derive(Debug)]
struct BetterCandidate {
    host: String,
    /// The time from which the node has been the better candidate without interruption.
    since: Duration,
}

/// Decides when this node hands over, from the evidence over time.
#[derive(Debug)]
pub struct Handover {
    handover_after: Duration,
    min_time_as_leader: Duration,
    better_candidate: Option<BetterCandidate>,
    /// The times of recent hand-overs by this node.
    handover_times: VecDeque<Duration>,
}

impl Handover {
    /// Creates the state of a node that has not handed over yet.
    pub fn new(settings: &Settings) -> Self {
        Self {
            handover_after: settings.handover_after,
            min_time_as_leader: settings.min_time_as_leader,
            better_candidate: None,
            handover_times: VecDeque::new(),
        }
    }

    /// Returns the minimum time for which this node must lead before it hands over. Each recent hand-over
    /// doubles it.
    pub fn required_time_as_leader(&self, now: Duration) -> Duration {
        let recent = self.handover_times.iter().filter(|at| now.saturating_sub(**at) < RECENT_WINDOW).count();
        self.min_time_as_leader * 2_u32.pow(u32::try_from(recent).unwrap_or(u32::MAX).min(MAX_DOUBLINGS))
    }

    /// Returns the node to which this leader should hand over now, if there is one, and records the
    /// hand-over. `leading_since` is when this node became the leader.
    pub fn choose_successor(
        &mut self,
        own: &LeaderView,
        candidates: &[Candidate],
        leading_since: Duration,
        now: Duration,
    ) -> Option<String> {
        let Some(best) = better_candidate(own, candidates) else {
            self.better_candidate = None;
            return None;
        };
        let same = self.better_candidate.as_ref().filter(|former| former.host == best.host);
        let since = same.map_or(now, |former| former.since);
        self.better_candidate = Some(BetterCandidate { host: best.host.clone(), since });
        // A leader that has lost all workers does not wait: its mode shows that it has been without them for
        // long enough.
        let is_steady = own.has_lost_all_workers() || now.saturating_sub(since) >= self.handover_after;
        let has_led_long_enough = now.saturating_sub(leading_since) >= self.required_time_as_leader(now);
        if !(is_steady && has_led_long_enough) {
            return None;
        }
        self.better_candidate = None;
        self.handover_times.push_back(now);
        while self.handover_times.front().is_some_and(|at| now.saturating_sub(*at) >= RECENT_WINDOW) {
            self.handover_times.pop_front();
        }
        Some(best.host.clone())
    }

    /// Returns the number of hand-overs by this node within `RECENT_WINDOW` before the latest one, including
    /// the latest.
    pub fn recent_handovers(&self) -> usize {
        self.handover_times.len()
    }
}
