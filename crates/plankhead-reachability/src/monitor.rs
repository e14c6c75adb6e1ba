//! All links of one node, and the mode that follows from them.

use crate::link::{ArrivalMonitor, Link, LinkCondition, LinkCounts, LinkId};
use crate::mode::Mode;
use crate::settings::Settings;
use crate::side::SideStatus;
use std::collections::BTreeMap;
use std::time::Duration;

/// A process that was not asked to judge for so long did not run: whatever it missed
/// tells nothing of its links.
const FROZEN: Duration = Duration::from_millis(2500);
/// Links are judged this often at the most: every report brings a step.
const JUDGE_PAUSE: Duration = Duration::from_millis(50);
/// How soon links that fail are judged again.
const CLOSE_LOOK: Duration = Duration::from_millis(250);
/// Silence of peers: their heartbeats come every second.
const MIN_PEER_SILENCE: Duration = Duration::from_millis(2500);
const MAX_PEER_SILENCE: Duration = Duration::from_secs(4);
/// Silence of all workers, at the least.
const MIN_WORKER_SILENCE: Duration = Duration::from_millis(1500);
/// Fewer machines can fall silent together by themselves.
const MIN_MACHINES: usize = 2;
/// With fewer, one that takes no answers is not told from a link that carries none.
const MIN_ANSWERED: usize = 3;

const STATE_LINKS: [LinkId; 3] = [LinkId::KvReads, LinkId::KvWrites, LinkId::KvLeaseRenewal];
const CALL_LINKS: [LinkId; 7] = [
    LinkId::KvReads,
    LinkId::KvWrites,
    LinkId::KvWatch,
    LinkId::KvLeaseRenewal,
    LinkId::HeartbeatReplies,
    LinkId::Commands,
    LinkId::Cloud,
];

/// A change of mode, with what brought it about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModeChange {
    pub from: Mode,
    pub to: Mode,
    /// How long the mode before lasted.
    pub lasted: Duration,
    pub causes: Vec<&'static str>,
}

/// A link as operators see it.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkView {
    pub link: LinkId,
    pub condition: LinkCondition,
    pub since: Duration,
    pub counts: LinkCounts,
    /// The 99th percentile of round trips.
    pub high_round_trip: Option<Duration>,
}

#[derive(Debug)]
pub struct Monitor {
    links: BTreeMap<LinkId, Link>,
    reports: ArrivalMonitor,
    peers: Vec<ArrivalMonitor>,
    state: SideStatus,
    workers: SideStatus,
    mode: Mode,
    mode_since: Duration,
    judged: Duration,
    changes: u64,
    freezes: u64,
}

impl Monitor {
    /// `most_silence`: after which no worker of several can still be heard in time.
    pub fn new(settings: &Settings, peers: usize, most_silence: Duration, now: Duration) -> Self {
        let link = || Link::new(settings.down_after, now);
        let out = (0..peers).map(LinkId::PeerOut);
        let peer = |_| {
            let mut arrivals = ArrivalMonitor::new(MIN_PEER_SILENCE, MAX_PEER_SILENCE, now);
            arrivals.expect(true, now);
            arrivals
        };
        Self {
            links: CALL_LINKS.into_iter().chain(out).map(|id| (id, link())).collect(),
            reports: ArrivalMonitor::new(MIN_WORKER_SILENCE.min(most_silence), most_silence, now),
            peers: (0..peers).map(peer).collect(),
            state: SideStatus::new(settings, now),
            workers: SideStatus::new(settings, now),
            mode: Mode::Whole,
            mode_since: now,
            judged: now,
            changes: 0,
            freezes: 0,
        }
    }

    fn link(&mut self, id: LinkId) -> Option<&mut Link> {
        self.links.get_mut(&id)
    }

    /// A call went out over a link.
    pub fn sent(&mut self, id: LinkId, call: u64, now: Duration) {
        if let Some(link) = self.link(id) {
            link.sent(call, now);
        }
    }

    pub fn answered(&mut self, id: LinkId, call: u64, now: Duration) {
        if let Some(link) = self.link(id) {
            link.answered(call, now);
        }
    }

    pub fn unanswered(&mut self, id: LinkId, call: u64, now: Duration) {
        if let Some(link) = self.link(id) {
            link.unanswered(call, now);
        }
    }

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

    pub fn failed(&mut self, id: LinkId, now: Duration) {
        if let Some(link) = self.link(id) {
            link.failed(now);
        }
    }

    /// Nothing tells of this link any more.
    pub fn forget_link(&mut self, id: LinkId) {
        if let Some(link) = self.link(id) {
            link.forget();
        }
    }

    /// A worker's report reached this node, itself or through a peer.
    pub fn report_arrived(&mut self, now: Duration) {
        self.reports.arrived(now);
    }

    pub fn peer_heard(&mut self, peer: usize, now: Duration) {
        if let Some(arrivals) = self.peers.get_mut(peer) {
            arrivals.arrived(now);
        }
    }

    /// Whether it is time to judge.
    pub fn due(&self, now: Duration) -> bool {
        now.saturating_sub(self.judged) >= JUDGE_PAUSE
    }

    /// Judges all links; `machines`: how many should report to this node.
    pub fn judge(&mut self, now: Duration, machines: usize) -> Option<ModeChange> {
        if now.saturating_sub(self.judged) > FROZEN {
            self.forget(now);
        }
        self.judged = now;
        self.reports.expect(machines >= MIN_MACHINES, now);
        self.reports.judge(now);
        for arrivals in &mut self.peers {
            arrivals.judge(now);
        }
        for link in self.links.values_mut() {
            link.judge(now);
        }
        let state = STATE_LINKS.iter().all(|id| !self.is_down(*id));
        let answers = machines < MIN_ANSWERED || !self.is_down(LinkId::HeartbeatReplies);
        let workers = answers && self.reports.condition() != LinkCondition::Down;
        self.state.judge(state, now);
        self.workers.judge(workers, now);
        self.change(now)
    }

    fn is_down(&self, id: LinkId) -> bool {
        self.links.get(&id).is_some_and(|link| link.condition() == LinkCondition::Down)
    }

    fn change(&mut self, now: Duration) -> Option<ModeChange> {
        let to = Mode::of(self.state.up(), self.workers.up());
        if to == self.mode {
            return None;
        }
        let from = std::mem::replace(&mut self.mode, to);
        let lasted = now.saturating_sub(std::mem::replace(&mut self.mode_since, now));
        self.changes += 1;
        Some(ModeChange { from, to, lasted, causes: self.down_links() })
    }

    fn down_links(&self) -> Vec<&'static str> {
        let calls = STATE_LINKS.into_iter().chain([LinkId::HeartbeatReplies]).filter(|id| self.is_down(*id));
        let reports = (self.reports.condition() == LinkCondition::Down).then_some(LinkId::HeartbeatsIn);
        calls.chain(reports).map(LinkId::name).collect()
    }

    /// The process did not run: links are unknown, and the sides stay what they were.
    fn forget(&mut self, now: Duration) {
        self.freezes += 1;
        for link in self.links.values_mut() {
            link.forget();
        }
        self.reports.forget(now);
        for arrivals in &mut self.peers {
            arrivals.forget(now);
        }
    }

    pub fn mode(&self) -> Mode {
        self.mode
    }

    pub fn mode_since(&self) -> Duration {
        self.mode_since
    }

    /// Changes of mode since the start.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// How often the process was found not to have run.
    pub fn freezes(&self) -> u64 {
        self.freezes
    }

    /// Whether a peer's heartbeats arrive.
    pub fn hears_peer(&self, peer: usize) -> bool {
        let condition = self.peers.get(peer).map(ArrivalMonitor::condition);
        matches!(condition, Some(LinkCondition::Up | LinkCondition::Suspect))
    }

    /// Whether the state service answers, and is not trusted yet since it kept failing.
    pub fn state_suppressed(&mut self, now: Duration) -> bool {
        self.state.good() && !self.state.up() && self.state.suppressed(now)
    }

    /// Whether a call to the state service shows by itself at the moment that it is there.
    pub fn state_good(&self) -> bool {
        self.state.good()
    }

    /// Links that fail, with nothing under way that would show that they are back.
    pub fn wants_probe(&self, id: LinkId, now: Duration) -> bool {
        self.links.get(&id).is_some_and(|link| link.wants_probe(now))
    }

    /// When to judge next unless something comes before.
    pub fn next_due(&self, now: Duration) -> Option<Duration> {
        let sound = self.mode == Mode::Whole
            && self.reports.condition() != LinkCondition::Suspect
            && STATE_LINKS.iter().all(|id| self.links[id].condition() != LinkCondition::Suspect);
        (!sound).then_some(now + CLOSE_LOOK)
    }

    pub fn links(&self) -> Vec<LinkView> {
        let calls = self.links.iter().map(|(id, link)| LinkView {
            link: *id,
            condition: link.condition(),
            since: link.since(),
            counts: link.counts(),
            high_round_trip: link.high_round_trip(),
        });
        let peers = (0..).zip(&self.peers).map(|(peer, arrivals)| (LinkId::PeerIn(peer), arrivals));
        let arrivals = peers.chain([(LinkId::HeartbeatsIn, &self.reports)]).map(|(id, arrivals)| LinkView {
            link: id,
            condition: arrivals.condition(),
            since: arrivals.since(),
            counts: arrivals.counts(),
            high_round_trip: None,
        });
        calls.chain(arrivals).collect()
    }
}
