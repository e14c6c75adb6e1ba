//! Whose turn it is: urgent work before standard, guarantees before borrowing,
//! then a queue per team, served in turn by shares.

use crate::job::{Resources, Urgency};
use std::sync::Arc;
use std::time::Duration;

/// A team as the queue sees it during one pass.
#[derive(Debug, Clone, Default)]
pub struct TeamRoom {
    pub guarantee: Resources,
    pub cap: Resources,
    pub used: Resources,
}

impl TeamRoom {
    /// How much of its share a team holds; the least comes next.
    fn ratio(&self) -> f64 {
        let of = |used: f64, share: f64| if used <= 0.0 { 0.0 } else { used / share.max(1e-3) };
        of(self.used.cpus, self.guarantee.cpus).max(of(self.used.gpus, self.guarantee.gpus))
    }

    pub fn admits(&self, each: &Resources) -> bool {
        let mut used = self.used;
        used.add(each);
        used.cpus <= self.cap.cpus + 1e-6 && used.gpus <= self.cap.gpus + 1e-6
    }
}

/// One job's pending tasks, as a pass sees them.
#[derive(Debug, Clone)]
pub struct Work {
    pub team: usize,
    pub urgency: Urgency,
    pub guaranteed: bool,
    pub accepted: Duration,
    /// When it should start or be done at the latest.
    pub due: Duration,
    pub each: Resources,
    pub image: Arc<str>,
    pub image_gb: f64,
    pub rigs: Option<Vec<String>>,
    pub zone: Option<Arc<str>>,
    pub one_zone: bool,
    /// Tasks of the job allowed in one zone at a time.
    pub zone_most: u32,
    pub spot: bool,
    pub estimate: Duration,
    pub pending: u32,
    /// Attempts not proven gone, by zone.
    pub zones: Vec<(Arc<str>, u32)>,
}

impl Work {
    pub fn allows(&self, rig: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.rigs.as_ref().is_none_or(|rigs| rigs.iter().any(|r| r == rig))
            && self.zone.as_deref().is_none_or(|z| z == zone)
    }

    /// Whether one more task may join the job's tasks in this zone.
    pub fn zone_admits(&self, zone: &str) -> bool {
        if self.one_zone && self.zones.iter().any(|(z, n)| *n > 0 && **z != *zone) {
            return false;
        }
        let here = self.zones.iter().find(|(z, _)| **z == *zone).map_or(0, |(_, n)| *n);
        here < self.zone_most
    }

    pub fn joined(&mut self, zone: &Arc<str>) {
        match self.zones.iter_mut().find(|(z, _)| z == zone) {
            Some((_, n)) => *n += 1,
            None => self.zones.push((zone.clone(), 1)),
        }
    }
}

/// Marks the work that fits into its team's guarantee together with the team's
/// earlier unfinished jobs. `needs` holds the unfinished amount of each.
pub fn mark_guaranteed(work: &mut [Work], needs: &[Resources], teams: &[TeamRoom]) {
    let mut order: Vec<usize> = (0..work.len()).collect();
    order.sort_by_key(|i| work[*i].accepted);
    let mut sums = vec![Resources::default(); teams.len()];
    for i in order {
        let team = work[i].team;
        sums[team].add(&needs[i]);
        let room = Resources { ram: f64::INFINITY, ..teams[team].guarantee };
        let sum = Resources { ram: 0.0, ..sums[team] };
        work[i].guaranteed = sum.fits(&room);
    }
}

/// The work to serve next, among those that `open` admits.
pub fn next(work: &[Work], teams: &[TeamRoom], open: &[bool]) -> Option<usize> {
    let key = |w: &Work| {
        let tier = (std::cmp::Reverse(w.urgency), !w.guaranteed);
        (tier, teams[w.team].ratio(), w.due, w.accepted)
    };
    let mut best: Option<usize> = None;
    for (i, candidate) in work.iter().enumerate() {
        if !open[i] || candidate.pending == 0 {
            continue;
        }
        let better = best.is_none_or(|b| {
            let (a, b) = (key(candidate), key(&work[b]));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)).then(a.3.cmp(&b.3)).is_lt()
        });
        if better {
            best = Some(i);
        }
    }
    best
}
