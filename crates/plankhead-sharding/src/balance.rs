//! Who should hold what: a controller in the machines' own zone first, then even load.

use crate::shard::ShardId;
use std::collections::BTreeMap;

/// How much more a shard weighs on a controller that is not in its zone.
const OTHER_ZONE: f64 = 2.0;

/// A controller that may hold shards.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    pub host: String,
    pub zone: String,
    /// The load that it takes, 1 for a controller with nothing else to do.
    pub capacity: f64,
}

/// Machines by shard, and who holds each of them.
pub type ShardLoads = BTreeMap<ShardId, ShardLoad>;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardLoad {
    pub machines: u32,
    pub holder: Option<String>,
}

impl ShardLoad {
    /// A shard without machines has a weight, too: those to come.
    fn weight(&self) -> f64 {
        f64::from(self.machines.max(1))
    }
}

/// A move that would even the load out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rebalance {
    pub shard: ShardId,
    pub to: String,
}

fn load(host: &str, holdings: &ShardLoads) -> f64 {
    let held = holdings.values().filter(|holding| holding.holder.as_deref() == Some(host));
    held.map(ShardLoad::weight).sum()
}

fn cost(candidate: &Candidate, zone: &str, load: f64) -> f64 {
    let distance = if candidate.zone == zone { 1.0 } else { OTHER_ZONE };
    load / candidate.capacity.max(0.01) * distance
}

/// The candidate that should take a shard that nobody holds.
pub fn choose<'a>(
    shard: &ShardId,
    candidates: &'a [Candidate],
    holdings: &ShardLoads,
) -> Option<&'a Candidate> {
    let weight = holdings.get(shard).map_or(1.0, ShardLoad::weight);
    let cost = |candidate: &Candidate| cost(candidate, &shard.zone, load(&candidate.host, holdings) + weight);
    candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)).then_with(|| a.host.cmp(&b.host)))
}

/// The move that gains most, if one gains more than `hysteresis` of its holder's load. The
/// reverse of such a move never does.
pub fn improve(candidates: &[Candidate], holdings: &ShardLoads, hysteresis: f64) -> Option<Rebalance> {
    let mut best: Option<(f64, Rebalance)> = None;
    for (shard, holding) in holdings {
        let holder =
            candidates.iter().find(|candidate| Some(candidate.host.as_str()) == holding.holder.as_deref());
        let Some(holder) = holder else { continue };
        let now = cost(holder, &shard.zone, load(&holder.host, holdings));
        for other in candidates.iter().filter(|other| other.host != holder.host) {
            let then = cost(other, &shard.zone, load(&other.host, holdings) + holding.weight());
            let gain = now - then;
            let better = best.as_ref().is_none_or(|(most, _)| gain > *most);
            if gain > now * hysteresis && better {
                best = Some((gain, Rebalance { shard: shard.clone(), to: other.host.clone() }));
            }
        }
    }
    best.map(|(_, best)| best)
}
