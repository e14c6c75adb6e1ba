//! All links of one node, and the reachability mode that follows from them.

use crate::link::{ArrivalLink, CallLink, LinkCondition, LinkCounts, LinkId, LinkStatus};
use crate::mode::Mode;
use crate::settings::Settings;
use crate::side::SideStatus;
use std::collections::BTreeMap;
use std::time::Duration;

/// A process that has not judged its links for so long did not run: what it missed shows
/// nothing about its links.
const PAUSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The least time between two judgements: every heartbeat leads to a step of the node.
const MIN_EVALUATION_INTERVAL: Duration = Duration::from_millis(50);
/// How soon links are judged again while some fail.
const FAILURE_EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// The bounds of the silence of a peer that shows a failure: its heartbeats come every second.
const MIN_PEER_SILENCE: Duration = Duration::from_millis(2500);
const MAX_PEER_SILENCE: Duration = Duration::from_secs(4);
/// The least silence of all workers that shows a failure.
const MIN_WORKER_SILENCE: Duration = Duration::from_millis(1500);
/// With fewer machines, a silence of all of them may be their own.
const MIN_MACHINES_FOR_SILENCE: usize = 2;
/// With fewer machines, one that accepts no replies can't be told from a failed link.
const MIN_MACHINES_FOR_REPLIES: usize = 3;

/// The links by which the state service's side is judged.
const KV_LINKS: [LinkId; 3] = [LinkId::KvReads, LinkId::KvWrites, LinkId::KvLeaseRenewal];
/// All links that carry calls, but those to peers.
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
    /// The mode before.
    pub from: Mode,
    /// The mode after.
    pub to: Mode,
    /// How long the mode before lasted.
    pub lasted: Duration,
    /// The names of the links that are down.
    pub causes: Vec<&'static str>,
}

/// A link as the operators' view shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkView {
    /// Which link.
    pub link: LinkId,
    /// Its condition.
    pub condition: LinkCondition,
    /// Since when it is in that condition.
    pub since: Duration,
    /// How often it was confirmed and failed.
    pub counts: LinkCounts,
    /// The 99th percentile of round trips.
    pub high_round_trip: Option<Duration>,
}

impl LinkView {
    fn new(link: LinkId, status: LinkStatus, high_round_trip: Option<Duration>) -> Self {
        let LinkStatus { condition, since, counts } = status;
        Self { link, condition, since, counts, high_round_trip }
    }
}

/// The links of a node and its mode.
#[derive(Debug)]
pub struct Monitor {
    call_links: BTreeMap<LinkId, CallLink>,
    heartbeats: ArrivalLink,
    /// Heartbeats of each peer, by its number.
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
    /// The monitor of a node with so many peers; `max_silence`: the silence after which no
    /// worker of several can still be heard in time.
    pub fn new(settings: &Settings, peers: usize, max_silence: Duration, now: Duration) -> Self {
        let call_link = || CallLink::new(settings.down_after, now);
        let to_peers = (0..peers).map(LinkId::PeerOut);
        let peer = |_| {
            let mut arrivals = ArrivalLink::new(MIN_PEER_SILENCE, MAX_PEER_SILENCE, now);
            arrivals.expect(true, now);
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

    /// A call was sent over a link.
    pub fn sent(&mut self, id: LinkId, call: u64, now: Duration) {
        if let Some(link) = self.link(id) {
            link.sent(call, now);
        }
    }

    /// A call was answered.
    pub fn answered(&mut self, id: LinkId, call: u64, now: Duration) {
        if let Some(link) = self.link(id) {
            link.answered(call, now);
        }
    }

    /// A call was refused, or got no answer.
    pub fn unanswered(&mut self, id: LinkId, call: u64, now: Duration) {
        if let Some(link) = self.link(id) {
            link.unanswered(call, now);
        }
    }

    /// A call ended without showing anything about its link.
    pub fn dropped(&mut self, id: LinkId, call: u64) {
        if let Some(link) = self.link(id) {
            link.dropped(call);
        }
    }

    /// Something confirmed the link without a call of its own.
    pub fn confirmed(&mut self, id: LinkId, now: Duration) {
        if let Some(link) = self.link(id) {
            link.confirmed(now);
        }
    }

    /// The link failed without a call of its own.
    pub fn failed(&mut self, id: LinkId, now: Duration) {
        if let Some(link) = self.link(id) {
            link.failed(now);
        }
    }

    /// Forgets what is known of a link that is not used any more.
    pub fn reset_link(&mut self, id: LinkId) {
        if let Some(link) = self.link(id) {
            link.reset();
        }
    }

    /// A worker's heartbeat reached this node, directly or relayed by a peer.
    pub fn report_arrived(&mut self, now: Duration) {
        self.heartbeats.arrived(now);
    }

    /// A peer's heartbeat arrived.
    pub fn peer_heartbeat_received(&mut self, peer: usize, now: Duration) {
        if let Some(link) = self.peers.get_mut(peer) {
            link.arrived(now);
        }
    }

    /// Whether the links may be judged again already.
    pub fn due(&self, now: Duration) -> bool {
        now.saturating_sub(self.evaluated_at) >= MIN_EVALUATION_INTERVAL
    }

    /// Judges all links; `machines`: how many should send heartbeats to this node.
    pub fn evaluate(&mut self, now: Duration, machines: usize) -> Option<ModeChange> {
        if now.saturating_sub(self.evaluated_at) > PAUSE_TIMEOUT {
            self.reset_after_pause(now);
        }
        self.evaluated_at = now;
        self.heartbeats.expect(machines >= MIN_MACHINES_FOR_SILENCE, now);
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

    /// The process did not run: links become unknown, and the sides stay what they were.
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

    /// The present mode.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Since when the present mode lasts.
    pub fn mode_since(&self) -> Duration {
        self.mode_since
    }

    /// The number of changes of mode since the start.
    pub fn changes(&self) -> u64 {
        self.mode_changes
    }

    /// The number of pauses in which the process did not run.
    pub fn freezes(&self) -> u64 {
        self.pauses
    }

    /// Whether a peer's heartbeats arrive.
    pub fn receives_from_peer(&self, peer: usize) -> bool {
        let condition = self.peers.get(peer).map(|link| link.status().condition);
        matches!(condition, Some(LinkCondition::Up | LinkCondition::Suspect))
    }

    /// Whether the state service answers, and does not count as up yet since it kept failing.
    pub fn state_suppressed(&mut self, now: Duration) -> bool {
        self.kv_side.is_good() && !self.kv_side.is_up() && self.kv_side.is_suppressed(now)
    }

    /// Whether no link to the state service is down at the moment.
    pub fn state_good(&self) -> bool {
        self.kv_side.is_good()
    }

    /// Whether a link may have failed and has nothing under way that would show its recovery.
    pub fn wants_probe(&self, id: LinkId, now: Duration) -> bool {
        self.call_links.get(&id).is_some_and(|link| link.wants_probe(now))
    }

    /// When to judge next unless an event comes before; `None`: on the next event.
    pub fn next_due(&self, now: Duration) -> Option<Duration> {
        let is_healthy = self.mode == Mode::Whole
            && self.heartbeats.status().condition != LinkCondition::Suspect
            && KV_LINKS.iter().all(|id| self.call_links[id].status().condition != LinkCondition::Suspect);
        (!is_healthy).then_some(now + FAILURE_EVALUATION_INTERVAL)
    }

    /// All links, for the operators' view.
    pub fn links(&self) -> Vec<LinkView> {
        let calls = self
            .call_links
            .iter()
            .map(|(id, link)| LinkView::new(*id, link.status(), link.high_round_trip()));
        let peers = (0..).zip(&self.peers).map(|(peer, link)| (LinkId::PeerIn(peer), link));
        let arrivals = peers.chain([(LinkId::HeartbeatsIn, &self.heartbeats)]);
        calls.chain(arrivals.map(|(id, link)| LinkView::new(id, link.status(), None))).collect()
    }
}
