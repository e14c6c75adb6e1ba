//! Whether a leader should hand over its lease, and to which node.
//!
//! In a hand-over the leader gives up its lease and names a successor; the other nodes wait for
//! a moment before they try to take the lease. The state service alone decides which node holds
//! it, so that there are never two leaders, and if the successor is gone, any other node takes it.

use crate::mode::Mode;
use crate::settings::Settings;
use std::collections::VecDeque;
use std::time::Duration;

/// How long the other nodes leave the lease to the successor.
pub const SUCCESSOR_HEADSTART: Duration = Duration::from_millis(1500);
/// How long a hand-over makes the minimum time as leader longer.
const RECENT_WINDOW: Duration = Duration::from_secs(120);
/// How often the minimum time as leader is doubled at the most.
const MAX_DOUBLINGS: u32 = 4;
/// A better placed node hears this many times as many machines as the leader, and ...
const BETTER_FACTOR: u64 = 2;
/// ... at least so many more.
const BETTER_MARGIN: u64 = 2;

/// The leader's own reachability.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderView {
    /// The leader's mode.
    pub mode: Mode,
    /// How many machines it hears directly.
    pub reporting: u64,
    /// How many machines it should hear.
    pub expected: u64,
    /// Its links to the state service work, but flap damping keeps that side from being up.
    pub state_suppressed: bool,
}

impl LeaderView {
    /// Whether the leader reaches the state service, but no machine reports to it.
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
    /// How many machines it hears directly.
    pub reporting: u64,
}

/// The candidate that is clearly better placed than the leader, if one is. Of two nodes that
/// hear different halves neither is: each would hand over to the other again and again.
pub fn better_placed<'a>(own: &LeaderView, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
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

/// A node that is better placed, without interruption since then.
#[derive(Debug)]
struct BetterPlaced {
    host: String,
    since: Duration,
}

/// Decides over time when this node hands over.
#[derive(Debug)]
pub struct Handover {
    handover_after: Duration,
    min_time_as_leader: Duration,
    better_placed: Option<BetterPlaced>,
    /// When this node handed over recently.
    past: VecDeque<Duration>,
}

impl Handover {
    /// No hand-over yet.
    pub fn new(settings: &Settings) -> Self {
        Self {
            handover_after: settings.handover_after,
            min_time_as_leader: settings.min_time_as_leader,
            better_placed: None,
            past: VecDeque::new(),
        }
    }

    /// The least time for which this node leads: doubled by each recent hand-over.
    pub fn required_time_as_leader(&self, now: Duration) -> Duration {
        let recent = self.past.iter().filter(|at| now.saturating_sub(**at) < RECENT_WINDOW).count();
        self.min_time_as_leader * 2_u32.pow(u32::try_from(recent).unwrap_or(u32::MAX).min(MAX_DOUBLINGS))
    }

    /// The node to hand over to now.
    pub fn decide(
        &mut self,
        own: &LeaderView,
        candidates: &[Candidate],
        leads_since: Duration,
        now: Duration,
    ) -> Option<String> {
        let Some(best) = better_placed(own, candidates) else {
            self.better_placed = None;
            return None;
        };
        let same = self.better_placed.as_ref().filter(|former| former.host == best.host);
        let since = same.map_or(now, |former| former.since);
        self.better_placed = Some(BetterPlaced { host: best.host.clone(), since });
        // A leader that hears no machine was without any for long enough already.
        let is_steady = own.has_lost_all_workers() || now.saturating_sub(since) >= self.handover_after;
        let has_led_long_enough = now.saturating_sub(leads_since) >= self.required_time_as_leader(now);
        if !(is_steady && has_led_long_enough) {
            return None;
        }
        self.better_placed = None;
        self.past.push_back(now);
        while self.past.front().is_some_and(|at| now.saturating_sub(*at) >= RECENT_WINDOW) {
            self.past.pop_front();
        }
        Some(best.host.clone())
    }

    /// How often this node handed over recently.
    pub fn recent(&self) -> usize {
        self.past.len()
    }
}
