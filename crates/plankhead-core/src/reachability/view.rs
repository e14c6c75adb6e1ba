//! The reachability section of the operators' view of a node. Subcommands of other versions read it too,
//! so its keys must not be renamed.

use super::Reachability;
use plankhead_reachability::coverage::Coverage;
use plankhead_reachability::link::LinkId;
use plankhead_reachability::monitor::LinkView;
use std::time::Duration;

fn age_s(at: Duration, now: Duration) -> f64 {
    now.saturating_sub(at).as_secs_f64()
}

impl Reachability {
    /// Returns the JSON object under the key `reachability`.
    pub fn view(&self, now: Duration) -> serde_json::Value {
        let links: Vec<_> = self.monitor.links().into_iter().map(|link| self.link_view(link, now)).collect();
        let peers: Vec<_> = self.coverage_table.fresh(now).map(coverage_view).collect();
        serde_json::json!({
            "enabled": self.is_enabled(),
            "mode": self.mode(),
            "sinceS": age_s(self.monitor.mode_since(), now),
            "changes": self.monitor.mode_changes(),
            "freezes": self.monitor.pauses(),
            "handovers": self.handover.recent_handovers(),
            "links": links,
            "heard": self.reporting_machines.len(),
            "numbered": self.numbering.current().len(),
            "refusedCoverage": self.coverage_table.rejected_count(),
            "peers": peers,
        })
    }

    fn link_view(&self, view: LinkView, now: Duration) -> serde_json::Value {
        let peer = match view.link {
            LinkId::PeerIn(index) | LinkId::PeerOut(index) => self.settings.peers.get(index),
            _ => None,
        };
        serde_json::json!({
            "link": view.link.name(),
            "peer": peer,
            "condition": view.condition.name(),
            "sinceS": age_s(view.since, now),
            "confirmed": view.counts.confirmed,
            "failed": view.counts.failed,
            "highRoundTripS": view.p99_round_trip.map(|time| time.as_secs_f64()),
        })
    }
}

fn coverage_view(coverage: &Coverage) -> serde_json::Value {
    serde_json::json!({
        "host": coverage.host,
        "mode": coverage.mode,
        "heard": coverage.reporting.len(),
        "reached": coverage.reached.len(),
        "expected": coverage.expected,
        "hears": coverage.peers,
        "leads": coverage.token > 0,
    })
}
