//! The holder role in the operators' view of a node. Subcommands of other versions read these keys,
//! so they must not be renamed.

use super::Holder;
use std::time::Duration;

impl Holder {
    /// Returns the JSON object under `sharding.holder`.
    pub fn view(&self, now: Duration) -> serde_json::Value {
        let shards: Vec<serde_json::Value> = self
            .shards
            .iter()
            .map(|(shard, held)| {
                let machines = self.shard_of.values().filter(|of| *of == shard).count();
                serde_json::json!({"shard": shard.to_string(), "epoch": held.epoch, "term": held.term,
                    "releasing": held.releasing, "machines": machines,
                    "acts": self.epoch(shard, now).is_some()})
            })
            .collect();
        serde_json::json!({"shards": shards, "refused": self.refused,
            "acknowledgementsWaiting": self.fleet.acknowledgements_view(),
            "jobsSeenS": self.jobs.synced_at().map(|at| now.saturating_sub(at).as_secs_f64())})
    }
}
