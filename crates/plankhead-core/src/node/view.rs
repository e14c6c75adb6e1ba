//! The operators' view of one node, `GET /view`.

use super::Node;
use crate::effects::StepTime;

impl Node {
    /// Returns the view as a JSON document. The subcommands of other versions read `leader`,
    /// `sharding` and `reachability`: these keys and those inside them must not be renamed.
    pub(super) fn view(&self, times: StepTime) -> serde_json::Value {
        serde_json::json!({
            "host": self.settings.host,
            "kvAvailable": self.kv_health.is_available(),
            "allNodesUpgraded": self.version_barrier.is_open(),
            "leader": self.leader.as_ref().map(|leader| leader.view(times)),
            "leaderHost": self.known_leader(times.now, 0).map(|leader| leader.host),
            "tokens": {"highest": self.token_guard.highest(), "refused": self.token_guard.refused()},
            "peers": self.peers.view(times.now),
            "reclaim": self.reclaimer.view(times.now),
            "sharding": self.sharding_view(times.now),
            "reachability": self.reachability.as_ref().map(|reachability| reachability.view(times.now)),
        })
    }
}
