//! Whether a leader should hand its lease over, and to whom.
//!
//! A hand-over gives the lease up and names the successor; the others hold back for a
//! moment. Who holds the lease is decided by the state service alone, so that there are
//! never two leaders, and if the successor is gone, any other takes the lease.

use crate::mode::Mode;
use crate::settings::Settings;
use std::collections::VecDeque;
use std::time::Duration;

/// How long the others leave the lease to the successor.
pub const SUCCESSOR_HEADSTART: Duration = Duration::from_millis(1500);
/// Hand-overs are remembered for so long.
const MEMORY: Duration = Duration::from_secs(120);
/// The least tenure is doubled this many times at the most.
const MAX_DOUBLINGS: u32 = 4;
/// Another node must hear this many times as many machines, and more.
const BETTER_FACTOR: u64 = 2;
const BETTER_BY: u64 = 2;

/// What the leader sees itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderView {
    pub mode: Mode,
    /// Machines heard without a detour.
    pub heard: u64,
    /// Machines that should be heard.
    pub expected: u64,
    /// Its side of the state service is good, but not trusted since it flaps.
    pub state_suppressed: bool,
}

impl LeaderView {
    /// It hears no machine at all.
    fn is_blind(&self) -> bool {
        self.mode == Mode::StateOnly && self.heard == 0
    }
}

/// Another node that could lead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub host: String,
    pub mode: Mode,
    pub heard: u64,
}

/// The candidate that is clearly better placed, if one is. Nodes that hear different
/// halves are not: each would hand over to the other for ever.
pub fn better_placed<'a>(own: &LeaderView, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
    let whole = candidates.iter().filter(|candidate| candidate.mode == Mode::Whole);
    let best = whole.max_by(|a, b| (a.heard, &b.host).cmp(&(b.heard, &a.host)))?;
    if own.state_suppressed {
        return Some(best);
    }
    let blind = own.is_blind();
    let hears_more = best.heard >= own.heard * BETTER_FACTOR + BETTER_BY;
    let most_elsewhere = own.heard * BETTER_FACTOR < own.expected;
    ((blind && best.heard > 0) || (hears_more && most_elsewhere)).then_some(best)
}

/// Decides over time, for one node.
#[derive(Debug)]
pub struct Handover {
    handover_after: Duration,
    least_tenure: Duration,
    /// Since when which node has been better placed.
    better: Option<(String, Duration)>,
    /// When this node handed over.
    past: VecDeque<Duration>,
}

impl Handover {
    pub fn new(settings: &Settings) -> Self {
        Self {
            handover_after: settings.handover_after,
            least_tenure: settings.least_tenure,
            better: None,
            past: VecDeque::new(),
        }
    }

    /// How long this node leads at the least: longer, the more often it has handed over.
    pub fn tenure(&self, now: Duration) -> Duration {
        let recent = self.past.iter().filter(|at| now.saturating_sub(**at) < MEMORY).count();
        self.least_tenure * 2_u32.pow(u32::try_from(recent).unwrap_or(u32::MAX).min(MAX_DOUBLINGS))
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
            self.better = None;
            return None;
        };
        let since = match &self.better {
            Some((host, since)) if *host == best.host => *since,
            _ => now,
        };
        self.better = Some((best.host.clone(), since));
        // A blind leader has been silent for long enough by then: whoever hears is better.
        let steady = own.is_blind() || now.saturating_sub(since) >= self.handover_after;
        let served = now.saturating_sub(leads_since) >= self.tenure(now);
        if !(steady && served) {
            return None;
        }
        self.better = None;
        self.past.push_back(now);
        while self.past.front().is_some_and(|at| now.saturating_sub(*at) >= MEMORY) {
            self.past.pop_front();
        }
        Some(best.host.clone())
    }

    /// How often this node handed over lately.
    pub fn recent(&self) -> usize {
        self.past.len()
    }
}
