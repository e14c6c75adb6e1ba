//! Link faults: single links of a node that fail while its other links work.

use super::deployment::{ms, secs};
use super::events::SimEvent;
use super::requests::PendingRequest;
use super::{fencing, World};
use plankhead_core::protocol::{CallError, CommandReply, Effect, Event, KvRequest, MachineName, Response};
use plankhead_reachability::coverage::Coverage;
use plankhead_reachability::mode::Mode;
use std::time::Duration;

/// A link of a node, in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    Reads,
    Writes,
    Watch,
    Renewal,
    /// Heartbeats of workers to the node.
    Heartbeats,
    /// The node's responses to heartbeats.
    HeartbeatResponses,
    /// Commands that the node sends to workers directly.
    Commands,
    PeersIn,
    PeersOut,
    Cloud,
}

pub const STATE_LINKS: [Link; 4] = [Link::Reads, Link::Writes, Link::Watch, Link::Renewal];
pub const WORKER_LINKS: [Link; 3] = [Link::Heartbeats, Link::HeartbeatResponses, Link::Commands];
pub const PEER_LINKS: [Link; 2] = [Link::PeersIn, Link::PeersOut];

/// How a link fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutMode {
    /// Connections are refused at once.
    Refuse,
    /// Requests are accepted and never carried out.
    Stall,
    /// Requests are carried out, but their responses are lost.
    LoseResponses,
}

pub const CUT_MODES: [CutMode; 3] = [CutMode::Refuse, CutMode::Stall, CutMode::LoseResponses];

#[derive(Debug, Clone, Copy)]
pub struct LinkCut {
    pub node: usize,
    pub link: Link,
    pub how: CutMode,
    pub until: Duration,
}

// The times after which callers give up calls without a reply.
const KV_CALL_TIMEOUT: Duration = ms(1200);
const CLOUD_CALL_TIMEOUT: Duration = secs(3);
const COMMAND_TIMEOUT: Duration = secs(2);

fn link_of(request: &KvRequest) -> Link {
    match request {
        KvRequest::Get { .. } | KvRequest::List { .. } => Link::Reads,
        KvRequest::Txn { .. } | KvRequest::GrantLease { .. } | KvRequest::RevokeLease { .. } => Link::Writes,
        KvRequest::RenewLease { .. } => Link::Renewal,
        KvRequest::Watch { .. } => Link::Watch,
    }
}

impl World {
    /// Returns how the link fails at present, or `None` if it works.
    pub(super) fn cut_mode_of(&self, node: usize, link: Link) -> Option<CutMode> {
        let here = |cut: &&LinkCut| cut.node == node && cut.link == link && self.now < cut.until;
        self.link_cuts.iter().find(here).map(|cut| cut.how)
    }

    pub(super) fn cut_link(&mut self, cut: LinkCut) {
        let now = self.now;
        self.link_cuts.retain(|other| now < other.until);
        self.link_cuts.push(cut);
    }

    /// Cuts the links periodically within the span, given in seconds: each period starts with the
    /// links down for half of it.
    pub fn flap(&mut self, node: usize, links: &[Link], how: CutMode, period: Duration, span: (u64, u64)) {
        let (mut at, end) = (secs(span.0), secs(span.1));
        while at < end {
            for link in links {
                let until = self.now + at + period / 2;
                self.schedule_in(at, SimEvent::CutLink(LinkCut { node, link: *link, how, until }));
            }
            at += period;
        }
    }

    /// Cuts the links of a node for the span, given in seconds.
    pub fn cut_links(&mut self, node: usize, links: &[Link], how: CutMode, span: (u64, u64)) {
        self.flap(node, links, how, secs(2 * (span.1 - span.0)), span);
    }

    /// Handles an effect whose link is cut, and returns `None`. Returns the effect if its link
    /// works.
    pub(super) fn apply_link_cuts(&mut self, actor: fencing::Actor, effect: Effect) -> Option<Effect> {
        let fencing::Actor { node, boot, .. } = actor;
        let link = match &effect {
            Effect::CallKv { request, .. } => link_of(request),
            Effect::CallCloud { .. } => Link::Cloud,
            Effect::SendCommands { .. } | Effect::InspectWorker { .. } => Link::Commands,
            Effect::Respond { request, .. } => match self.pending_requests.get(&(node, boot, *request)) {
                Some((_, PendingRequest::Heartbeat { .. })) => Link::HeartbeatResponses,
                _ => return Some(effect),
            },
            _ => return Some(effect),
        };
        let Some(how) = self.cut_mode_of(node, link) else { return Some(effect) };
        let carried_out = how == CutMode::LoseResponses;
        let (timeout, reply) = match effect {
            Effect::CallKv { call, request } => {
                let is_watch = matches!(request, KvRequest::Watch { .. });
                if carried_out && !is_watch {
                    self.schedule_in(
                        ms(2),
                        SimEvent::KvRequestArrives { node, boot, call, request, answered: false },
                    );
                }
                let error =
                    if how == CutMode::Refuse { CallError::Refused } else { CallError::OutcomeUnknown };
                (KV_CALL_TIMEOUT, Event::KvReply { call, reply: Err(error) })
            }
            Effect::CallCloud { call, request } => {
                if carried_out {
                    self.schedule_in(
                        ms(100),
                        SimEvent::CloudRequestArrives { actor, call, request, answered: false },
                    );
                }
                (CLOUD_CALL_TIMEOUT, Event::CloudReply { call, reply: Err(CallError::OutcomeUnknown) })
            }
            Effect::SendCommands { call, address, token, incarnation, commands } => {
                self.check_commands(token, &commands);
                let machine: MachineName = address.as_ref().trim_start_matches("at-").into();
                if carried_out {
                    let arrives = SimEvent::CommandsArrive {
                        node,
                        boot: 0,
                        call,
                        machine,
                        token,
                        incarnation,
                        commands,
                    };
                    self.schedule_in(ms(2), arrives);
                }
                let reply =
                    if how == CutMode::Refuse { CommandReply::NotSent } else { CommandReply::Unanswered };
                (COMMAND_TIMEOUT, Event::CommandReply { call, reply })
            }
            Effect::InspectWorker { call, .. } => {
                let reply =
                    if how == CutMode::Refuse { CommandReply::NotSent } else { CommandReply::Unanswered };
                (COMMAND_TIMEOUT, Event::CommandReply { call, reply })
            }
            Effect::Respond { request, response } => {
                if let Response::Commands { token, commands } = &response {
                    self.check_commands(*token, commands);
                }
                self.pending_requests.remove(&(node, boot, request));
                return None;
            }
            other => return Some(other),
        };
        let pause = if how == CutMode::Refuse { ms(2) } else { timeout };
        self.schedule_in(pause, SimEvent::DeliverToNode { node, boot, event: reply });
        None
    }

    /// Returns whether messages from one node to another arrive.
    pub(super) fn peer_reachable(&self, from: usize, to: usize) -> bool {
        self.cut_mode_of(from, Link::PeersOut).is_none() && self.cut_mode_of(to, Link::PeersIn).is_none()
    }

    /// Sends a node's coverage report to its peers, and tells the node which of them received it.
    pub(super) fn send_coverage(&mut self, node: usize, boot: u64, coverage: Box<Coverage>) {
        for other in (0..3).filter(|other| *other != node) {
            let peers_cut_until = self.peers_cut_until[node].max(self.peers_cut_until[other]);
            let open = self.now >= self.node_cut_until[other].max(peers_cut_until)
                && self.peer_reachable(node, other);
            let target = self.nodes[other].as_ref().filter(|_| open).map(|(boot, _)| *boot);
            if let Some(boot) = target {
                let event = Event::Coverage(Ok(coverage.clone()));
                self.schedule_in(ms(2), SimEvent::DeliverToNode { node: other, boot, event });
            }
            let event = Event::PeerDelivery { host: format!("plank-{other}"), confirmed: target.is_some() };
            self.schedule_in(ms(4), SimEvent::DeliverToNode { node, boot, event });
        }
    }

    /// Returns the reachability mode of a node.
    pub fn mode_of(&self, node: usize) -> Option<Mode> {
        let (_, core) = self.nodes[node].as_ref()?;
        core.mode()
    }
}
