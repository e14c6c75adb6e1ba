//! Reports of workers: who answers them, and what waits.

use super::shards::HolderRoute;
use super::Node;
use crate::effects::StepTime;
use crate::leader::{HeartbeatPath, LeaderRoute};
use crate::protocol::{Heartbeat, RequestId, Response};
use std::time::Duration;

/// A worker that comes back this long after it was sent to the leader has not
/// reached it; after the longer time it says nothing.
const SENT: Duration = Duration::from_secs(1);
const SENT_LIFE: Duration = Duration::from_secs(15);
const MAX_SENT: usize = 10_000;

/// How long a report waits for a leader that still reads, its worker waiting for 4 s
/// and a sibling that passed it on for 1.5 s; and how many do.
const HOLD: Duration = Duration::from_millis(2500);
const HOLD_RELAYED: Duration = Duration::from_secs(1);
const MAX_HELD: usize = 16_384;

/// A report that waits until a new leader has read what is known.
#[derive(Debug)]
pub(super) struct Held {
    request: RequestId,
    heartbeat: Heartbeat,
    relayed: bool,
    pub until: Duration,
}

impl Node {
    /// Has a report wait for whoever is to answer it here to read; gives it back where that
    /// is not needed.
    pub(super) fn defer_heartbeat(
        &mut self,
        now: Duration,
        request: RequestId,
        heartbeat: Heartbeat,
        relayed: bool,
    ) -> Option<Heartbeat> {
        if self.deferred_heartbeats.len() >= MAX_HELD || !self.must_defer(&heartbeat, now) {
            return Some(heartbeat);
        }
        let until = now + if relayed { HOLD_RELAYED } else { HOLD };
        self.deferred_heartbeats.push(Held { request, heartbeat, relayed, until });
        None
    }
}

impl Node {
    pub(super) fn handle_heartbeat(
        &mut self,
        times: StepTime,
        heartbeat: Heartbeat,
        relayed: bool,
    ) -> Response {
        let now = times.now;
        // A shard's epoch is above its leader's token and says nothing of other shards.
        if self.sharding.is_none() {
            self.token_guard.observe(heartbeat.token);
        }
        self.record_link_evidence(&heartbeat, relayed, now);
        let is_cut_off = !self.election.is_lease_valid(now) && !self.hears_a_peer(now);
        if let Some(leader) = &mut self.leader {
            match leader.route(&heartbeat) {
                LeaderRoute::Own => {
                    return leader.handle_heartbeat(
                        times,
                        heartbeat,
                        HeartbeatPath { relayed, is_cut_off },
                        &self.requests,
                        &mut self.effects,
                    );
                }
                LeaderRoute::Holder { host, epoch } => {
                    return self.redirect(now, heartbeat, (epoch, host), relayed)
                }
                LeaderRoute::HolderUnknown => {
                    return Response::Unavailable { retry_after: Duration::from_secs(1) }
                }
                LeaderRoute::Superseded => {}
            }
            // A worker has seen a later token than ours.
            let verdict = self.election.lease_lost();
            self.apply_leadership(times, verdict);
        }
        match self.holder_route(&heartbeat, now) {
            HolderRoute::Own { shard, epoch } => {
                return self.handle_heartbeat_as_holder(times, &heartbeat, (shard, epoch), relayed);
            }
            HolderRoute::Other { host, epoch } => {
                return self.redirect(now, heartbeat, (epoch, host), relayed)
            }
            HolderRoute::Leader => {}
        }
        let least = heartbeat.token.max(self.highest_token());
        match self.known_leader(now, least) {
            Some(leader) => self.redirect(now, heartbeat, leader, relayed),
            None => Response::Redirect { leader: None },
        }
    }

    /// Sends a worker to the node that acts for it, or passes its report on there.
    fn redirect(
        &mut self,
        now: Duration,
        heartbeat: Heartbeat,
        (token, leader): (u64, String),
        relayed: bool,
    ) -> Response {
        // Who knows that node's token, or was sent there and is back, can't reach it.
        let back = |(to, at): &(u64, Duration)| {
            let since = now.saturating_sub(*at);
            *to == token && since > SENT && since < SENT_LIFE
        };
        let known =
            token == heartbeat.token || self.redirected_workers.get(&heartbeat.machine).is_some_and(back);
        if known && !relayed {
            return Response::Relay { leader };
        }
        if self.redirected_workers.len() >= MAX_SENT {
            self.redirected_workers.retain(|_, (_, at)| now.saturating_sub(*at) < SENT_LIFE);
        }
        if self.redirected_workers.len() < MAX_SENT {
            self.redirected_workers.insert(heartbeat.machine, (token, now));
        }
        Response::Redirect { leader: Some(leader) }
    }

    /// What a report tells of the links to workers.
    fn record_link_evidence(&mut self, heartbeat: &Heartbeat, relayed: bool, now: Duration) {
        let Some(reach) = &mut self.reachability else { return };
        reach.heartbeat_arrived(&heartbeat.machine, relayed, now);
        if let Some(shown) = self.leader.as_ref().and_then(|leader| leader.answer_shown(heartbeat)) {
            reach.answer_confirmed(shown, now);
        }
    }

    /// Answers the reports that waited for the leader to read, once it has or has
    /// failed to.
    pub(super) fn answer_deferred(&mut self, times: StepTime) {
        let (held, due): (Vec<Held>, Vec<Held>) = std::mem::take(&mut self.deferred_heartbeats)
            .into_iter()
            .partition(|held| times.now < held.until && self.must_defer(&held.heartbeat, times.now));
        self.deferred_heartbeats = held;
        for Held { request, heartbeat, relayed, .. } in due {
            let answer = self.handle_heartbeat(times, heartbeat, relayed);
            self.effects.respond(request, answer);
        }
    }
}
