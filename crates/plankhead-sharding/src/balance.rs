//! Which node should hold which shard: one in the machines' own zone first, then even load.

use crate::shard::ShardId;
use std::collections::BTreeMap;

/// The factor by which a shard costs more on a node outside its zone.
const OTHER_ZONE_FACTOR: f64 = 2.0;

/// A node that may hold shards.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The node's name.
    pub host: String,
    /// The node's zone.
    pub zone: String,
    /// The share of its capacity that is free for shards: 1 for a node with no other duty.
    pub capacity: f64,
}

/// The load of each shard.
pub type ShardLoads = BTreeMap<ShardId, ShardLoad>;

/// The load that a shard is, and which node bears it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardLoad {
    /// The number of its machines.
    pub machines: u32,
    /// The node that holds it.
    pub holder: Option<String>,
}

impl ShardLoad {
    /// A shard without machines has a weight, too: for the machines to come.
    fn weight(&self) -> f64 {
        f64::from(self.machines.max(1))
    }
}

/// A move that would even out the load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rebalance {
    /// The shard to move.
    pub shard: ShardId,
    /// The node to move it to.
    pub to: String,
}

fn load_of(host: &str, loads: &ShardLoads) -> f64 {
    let held = loads.values().filter(|load| load.holder.as_deref() == Some(host));
    held.map(ShardLoad::weight).sum()
}

fn cost(candidate: &Candidate, zone: &str, load: f64) -> f64 {
    let distance = if candidate.zone == zone { 1.0 } else { OTHER_ZONE_FACTOR };
    load / candidate.capacity.max(0.01) * distance
}

/// The candidate that should take a shard: the one on which it costs least, by name if equal.
pub fn choose_holder<'a>(
    shard: &ShardId,
    candidates: &'a [Candidate],
    loads: &ShardLoads,
) -> Option<&'a Candidate> {
    let weight = loads.get(shard).map_or(1.0, ShardLoad::weight);
    let cost = |candidate: &Candidate| cost(candidate, &shard.zone, load_of(&candidate.host, loads) + weight);
    candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)).then_with(|| a.host.cmp(&b.host)))
}

/// The move that gains most, if one gains more than `hysteresis` (a fraction) of its holder's
/// cost. The reverse of such a move never does, so that shards don't move back and forth.
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
