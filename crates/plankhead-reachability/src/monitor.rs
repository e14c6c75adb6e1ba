//! All links of one node, and the reachability mode that results from them.

use crate::link::{ArrivalLink, CallLink, LinkCondition, LinkCounts, LinkId, LinkStatus};
use crate::mode::Mode;
use crate::settings::Settings;
use crate::side::SideStatus;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time without an evaluation after which the process is considered to have been paused. Messages and
/// answers that it missed during the pause are no evidence about its links.
const PAUSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The minimum time between two evaluations. Every heartbeat causes a step of the node, which would
/// otherwise evaluate the links too often.
const MIN_EVALUATION_INTERVAL: Duration = Duration::from_millis(50);
/// The time until the next evaluation while links are failing.
const FAILURE_EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// The minimum time without heartbeats of a peer that shows a failure. A peer sends one every second.
const MIN_PEER_SILENCE: Duration = Duration::from_millis(2500);
/// The maximum time without heartbeats of a peer before it shows a failure.
const MAX_PEER_SILENCE: Duration = Duration::from_secs(4);
/// The minimum time without heartbeats of any worker that shows a failure.
const MIN_WORKER_SILENCE: Duration = Duration::from_millis(1500);
/// The minimum number of machines for which missing heartbeats count as a failure of the link. If there are
/// fewer, the machines themselves may have failed.
const MIN_MACHINES_FOR_SILENCE: usize = 2;
/// The minimum number of machines for which unconfirmed replies to heartbeats count as a failure of the
/// link. If there are fewer, a machine that accepts no replies can't be distinguished from a failed link.
const MIN_MACHINES_FOR_REPLIES: usize = 3;

/// The links that determine whether the state service is reached.
const KV_LINKS: [LinkId; 3] = [LinkId::KvReads, LinkId::KvWrites, LinkId::KvLeaseRenewal];
/// All links that carry calls, except those to peers.
const CALL_LINKS: [LinkId; 7] = [
    LinkId::KvReads,
    LinkId::KvWrites,
    LinkId::KvWatch,
    LinkId::KvLeaseRenewal,
    LinkId::HeartbeatReplies,
    LinkId::Commands,
    LinkId::Cloud,
];

/// A change of mode, with its causes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModeChange {
    /// The previous mode.
    pub from: Mode,
    /// The new mode.
    pub to: Mode,
    /// The time for which the previous mode lasted.
    pub lasted: Duration,
    /// The names of the links that are down, among those that determine the mode.
    pub causes: Vec<&'static str>,
}

/// The status of a link, for the operators' view.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkView {
    /// The link.
    pub link: LinkId,
    /// The link's condition.
    pub condition: LinkCondition,
    /// The time at which the link entered this condition.
    pub since: Duration,
    /// The numbers of confirmations and failures.
    pub counts: LinkCounts,
    /// The 99th percentile of recent round-trip times, if enough are known.
    pub p99_round_trip: Option<Duration>,
}

impl LinkView {
    fn new(link: LinkId, status: LinkStatus, p99_round_trip: Option<Duration>) -> Self {
        let LinkStatus { condition, since, counts } = status;
        Self { link, condition, since, counts, p99_round_trip }
    }
}

/// The links of a node and its mode.
#[derive(Debug)]
pub struct Monitor {
    call_links: BTreeMap<LinkId, CallLink>,
    heartbeats: ArrivalLink,
    /// The heartbeats of each peer, by the peer's number.
    peers: Vec<ArrivalLink>,
    kv_side: SideStatus,
    worker_side: SideStatus,
    mode: Mode,
    mode_since: Duration,
    evaluated_at: Duration,
    mode_changes: u64,
    pauses: u64,
}

impl Monitor {
    /// Creates the monitor of a node with this many peers. `max_silence` is the maximum time without a
    /// heartbeat of any worker before the link on which heartbeats arrive counts as failed.
    pub fn new(settings: &Settings, peers: usize, max_silence: Duration, now: Duration) -> Self {
        let call_link = || CallLink::new(settings.down_after, now);
        let to_peers = (0..peers).map(LinkId::PeerOut);
        let peer = |_| {
            let mut arrivals = ArrivalLink::new(MIN_PEER_SILENCE, MAX_PEER_SILENCE, now);
            arrivals.set_expected(true, now);
            arrivals
        };
        Self {
            call_links: CALL_LINKS.into_iter().chain(to_peers).map(|id| (id, call_link())).collect(),
            heartbeats: ArrivalLink::new(MIN_WORKER_SILENCE.min(max_silence), max_silence, now),
            peers: (0..peers).map(peer).collect(),
            kv_side: SideStatus::new(settings, now),
            worker_side: SideStatus::new(settings, now),
            mode: Mode::Whole,
            mode_since: now,
            evaluated_at: now,
            mode_changes: 0,
            pauses: 0,
        }
    }

    fn link(&mut self, id: LinkId) -> Option<&mut CallLink> {
        self.call_links.get_mut(&id)
    }

    /// Records that a call was sent over a link.
    pub fn call_sent(&mut self, id: LinkId, call: u64, now: Duration) {
        if let Some(link) = self.link(id) {
            link.call_sent(call, now);
        }
    }

    /// Records that a call was answered.
    pub fn call_answered(&mut self, id: LinkId, call: u64, now: Duration) {
        if let Some(link) = self.link(id) {
            link.call_answered(call, now);
        }
    }

    /// Records that a call was refused or not answered.
    pub fn call_failed(&mut self, id: LinkId, call: u64, now: Duration) {
        if let Some(link) = self.link(id) {
            link.call_failed(call, now);
        }
    }

    /// Records that a call ended without evidence about its link.
    pub fn call_dropped(&mut self, id: LinkId, call: u64) {
        if let Some(link) = self.link(id) {
            link.call_dropped(call);
        }
    }

    /// Records evidence that the link works, other than the answer to a recorded call.
    pub fn record_confirmation(&mut self, id: LinkId, now: Duration) {
        if let Some(link) = self.link(id) {
            link.record_confirmation(now);
        }
    }

    /// Records evidence that the link has failed, other than the failure of a recorded call.
    pub fn record_failure(&mut self, id: LinkId, now: Duration) {
        if let Some(link) = self.link(id) {
            link.record_failure(now);
        }
    }

    /// Discards the evidence about a link that is no longer used: calls in flight, failures and the latest
    /// confirmation.
    pub fn reset_link(&mut self, id: LinkId) {
        if let Some(link) = self.link(id) {
            link.reset();
        }
    }

    /// Records that a worker's heartbeat arrived, directly or relayed by a peer.
    pub fn heartbeat_arrived(&mut self, now: Duration) {
        self.heartbeats.message_arrived(now);
    }

    /// Records that a heartbeat of a peer arrived.
    pub fn peer_heartbeat_received(&mut self, peer: usize, now: Duration) {
        if let Some(link) = self.peers.get_mut(peer) {
            link.message_arrived(now);
        }
    }

    /// Returns whether the links are due to be evaluated again.
    pub fn is_due(&self, now: Duration) -> bool {
        now.saturating_sub(self.evaluated_at) >= MIN_EVALUATION_INTERVAL
    }

    /// Evaluates all links, and returns the change of mode if there is one. `machines` is the number of
    /// machines that should send heartbeats to this node.
    pub fn evaluate(&mut self, now: Duration, machines: usize) -> Option<ModeChange> {
        if now.saturating_sub(self.evaluated_at) > PAUSE_TIMEOUT {
            self.reset_after_pause(now);
        }
        self.evaluated_at = now;
        self.heartbeats.set_expected(machines >= MIN_MACHINES_FOR_SILENCE, now);
        self.heartbeats.evaluate(now);
        for link in &mut self.peers {
            link.evaluate(now);
        }
        for link in self.call_links.values_mut() {
            link.evaluate(now);
        }
        let kv_works = KV_LINKS.iter().all(|id| !self.is_down(*id));
        let replies_work = machines < MIN_MACHINES_FOR_REPLIES || !self.is_down(LinkId::HeartbeatReplies);
        let workers_work = replies_work && self.heartbeats.status().condition != LinkCondition::Down;
        self.kv_side.evaluate(kv_works, now);
        self.worker_side.evaluate(workers_work, now);
        self.update_mode(now)
    }

    fn is_down(&self, id: LinkId) -> bool {
        self.call_links.get(&id).is_some_and(|link| link.status().condition == LinkCondition::Down)
    }

    fn update_mode(&mut self, now: Duration) -> Option<ModeChange> {
        let to = Mode::of(self.kv_side.is_up(), self.worker_side.is_up());
        if to == self.mode {
            return None;
        }
        let from = std::mem::replace(&mut self.mode, to);
        let lasted = now.saturating_sub(std::mem::replace(&mut self.mode_since, now));
        self.mode_changes += 1;
        Some(ModeChange { from, to, lasted, causes: self.down_links() })
    }

    fn down_links(&self) -> Vec<&'static str> {
        let calls = KV_LINKS.into_iter().chain([LinkId::HeartbeatReplies]).filter(|id| self.is_down(*id));
        let heartbeats =
            (self.heartbeats.status().condition == LinkCondition::Down).then_some(LinkId::HeartbeatsIn);
        calls.chain(heartbeats).map(LinkId::name).collect()
    }

    /// Resets all links after a pause of the process. The state of both sides is kept.
    fn reset_after_pause(&mut self, now: Duration) {
        self.pauses += 1;
        for link in self.call_links.values_mut() {
            link.reset();
        }
        self.heartbeats.reset(now);
        for link in &mut self.peers {
            link.reset(now);
        }
    }

    /// Returns the present mode.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Returns when the present mode began.
    pub fn mode_since(&self) -> Duration {
        self.mode_since
    }

    /// Returns the number of changes of mode since the start.
    pub fn mode_changes(&self) -> u64 {
        self.mode_changes
    }

    /// Returns the number of pauses of the process since the start.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }

    /// Returns whether the heartbeats of a peer arrive.
    pub fn receives_from_peer(&self, peer: usize) -> bool {
        let condition = self.peers.get(peer).map(|link| link.status().condition);
        matches!(condition, Some(LinkCondition::Up | LinkCondition::Suspect))
    }

    /// Returns whether no link to the state service is down, but flap damping suppresses that side because
    /// its links have failed repeatedly.
    pub fn state_suppressed(&mut self, now: Duration) -> bool {
        self.kv_side.links_work() && !self.kv_side.is_up() && self.kv_side.is_suppressed(now)
    }

    /// Returns whether no link to the state service is down at the moment.
    pub fn state_links_work(&self) -> bool {
        self.kv_side.links_work()
    }

    /// Returns whether a link may have failed and has too few calls in flight to show its recovery.
    pub fn needs_probe(&self, id: LinkId, now: Duration) -> bool {
        self.call_links.get(&id).is_some_and(|link| link.needs_probe(now))
    }

    /// Returns when the next evaluation is due if no event occurs before, or `None` if it can wait for the
    /// next event.
    pub fn next_due(&self, now: Duration) -> Option<Duration> {
        let is_healthy = self.mode == Mode::Whole
            && self.heartbeats.status().condition != LinkCondition::Suspect
            && KV_LINKS.iter().all(|id| self.call_links[id].status().condition != LinkCondition::Suspect);
        (!is_healthy).then_some(now + FAILURE_EVALUATION_INTERVAL)
    }

    /// Returns the status of all links, for the operators' view.
    pub fn links(&self) -> Vec<LinkView> {
        let calls =
            self.call_links.iter().map(|(id, link)| LinkView::new(*id, link.status(), link.p99_round_trip()));
        let peers = (0..).zip(&self.peers).map(|(peer, link)| (LinkId::PeerIn(peer), link));
        let arrivals = peers.chain([(LinkId::HeartbeatsIn, &self.heartbeats)]);
        calls.chain(arrivals.map(|(id, link)| LinkView::new(id, link.status(), None))).collect()
    }
}
