//! The distribution of shards among nodes. It evens out the load and prefers nodes in the zone of
//! the shard's machines.

use crate::shard::ShardId;
use std::collections::BTreeMap;

/// The factor by which the cost of a shard is higher on a node outside its zone.
const OTHER_ZONE_FACTOR: f64 = 2.0;

/// A node that may hold shards.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The node's name.
    pub host: String,
    /// The node's zone.
    pub zone: String,
    /// The share of the node's capacity that is free for shards, which is 1 for a node without other
    /// work.
    pub capacity: f64,
}

/// The loads of the shards.
pub type ShardLoads = BTreeMap<ShardId, ShardLoad>;

/// The load of a shard and the node that carries it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardLoad {
    /// The number of machines in the shard.
    pub machines: u32,
    /// The node that holds the shard.
    pub holder: Option<String>,
}

impl ShardLoad {
    /// Returns the weight of the shard, its number of machines. A shard without machines counts as
    /// one machine, because machines may still join it.
    fn weight(&self) -> f64 {
        f64::from(self.machines.max(1))
    }
}

/// A move of a shard that evens out the load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rebalance {
    /// The shard to move.
    pub shard: ShardId,
    /// The node to move it to.
    pub to: String,
}

/// Returns the total weight of the shards that a node holds.
fn load_of(host: &str, loads: &ShardLoads) -> f64 {
    let held = loads.values().filter(|load| load.holder.as_deref() == Some(host));
    held.map(ShardLoad::weight).sum()
}

/// Returns the cost of holding a shard of `zone` on a node with the total `load`.
fn cost(candidate: &Candidate, zone: &str, load: f64) -> f64 {
    let distance = if candidate.zone == zone { 1.0 } else { OTHER_ZONE_FACTOR };
    load / candidate.capacity.max(0.01) * distance
}

/// Returns the candidate on which the shard costs least. Equal costs are resolved by name.
pub fn choose_holder<'a>(
    shard: &ShardId,
    candidates: &'a [Candidate],
    loads: &ShardLoads,
) -> Option<&'a Candidate> {
    let weight = loads.get(shard).map_or(1.0, ShardLoad::weight);
    let cost = |candidate: &Candidate| cost(candidate, &shard.zone, load_of(&candidate.host, loads) + weight);
    candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)).then_with(|| a.host.cmp(&b.host)))
}

/// Returns the move that reduces the cost of its shard most, if there is one that reduces it by more
/// than the fraction `hysteresis`. The reverse of such a move never qualifies, so shards do not move
/// back and forth.
pub fn find_rebalance(candidates: &[Candidate], loads: &ShardLoads, hysteresis: f64) -> Option<Rebalance> {
    let mut best: Option<(f64, Rebalance)> = None;
    for (shard, load) in loads {
        let holder =
            candidates.iter().find(|candidate| Some(candidate.host.as_str()) == load.holder.as_deref());
        let Some(holder) = holder else { continue };
        let current_cost = cost(holder, &shard.zone, load_of(&holder.host, loads));
        for other in candidates.iter().filter(|other| other.host != holder.host) {
            let cost_after = cost(other, &shard.zone, load_of(&other.host, loads) + load.weight());
            let gain = current_cost - cost_after;
            let is_best = best.as_ref().is_none_or(|(best_gain, _)| gain > *best_gain);
            if gain > current_cost * hysteresis && is_best {
                best = Some((gain, Rebalance { shard: shard.clone(), to: other.host.clone() }));
            }
        }
    }
    best.map(|(_, rebalance)| rebalance)
}
