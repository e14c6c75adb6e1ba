//! Evidence of which links work, from the outcomes of calls, heartbeats and messages.

use super::Reachability;
use crate::protocol::{CallError, CallId, CommandReply, Effect, KvReply, KvRequest, MachineName};
use plankhead_reachability::link::LinkId;
use std::time::Duration;

/// Returns the link that a request to the state service uses.
fn kv_link(request: &KvRequest) -> LinkId {
    match request {
        KvRequest::Get { .. } | KvRequest::List { .. } => LinkId::KvReads,
        KvRequest::Txn { .. } | KvRequest::GrantLease { .. } | KvRequest::RevokeLease { .. } => {
            LinkId::KvWrites
        }
        KvRequest::RenewLease { .. } => LinkId::KvLeaseRenewal,
        KvRequest::Watch { .. } => LinkId::KvWatch,
    }
}

impl Reachability {
    /// Records the calls among the effects of a step.
    pub fn calls_sent(&mut self, effects: &[Effect], now: Duration) {
        for effect in effects {
            let (call, link) = match effect {
                Effect::CallKv { call, request } => (*call, kv_link(request)),
                Effect::CallCloud { call, .. } => (*call, LinkId::Cloud),
                Effect::SendCommands { call, .. } => (*call, LinkId::Commands),
                _ => continue,
            };
            self.link_by_call.insert(call, link);
            // A watch waits for changes, and an overdue reply to commands may be the fault of a machine
            // that hangs: neither shows that a link is slow.
            if !matches!(link, LinkId::KvWatch | LinkId::Commands) {
                self.monitor.call_sent(link, call, now);
            }
        }
    }

    /// Records the outcome of a call to the state service.
    pub fn record_kv_reply(&mut self, call: CallId, reply: &Result<KvReply, CallError>, now: Duration) {
        let Some(link) = self.link_by_call.remove(&call) else { return };
        match reply {
            Ok(_) | Err(CallError::TooLarge) => self.monitor.call_answered(link, call, now),
            // The service was reached, but refused the call because of its rate limit: this counts neither
            // as an answer nor as a failure.
            Err(CallError::RateLimited) => self.monitor.call_dropped(link, call),
            Err(CallError::Refused | CallError::OutcomeUnknown) => self.monitor.call_failed(link, call, now),
        }
    }

    /// Records the outcome of a call to the cloud.
    pub fn record_cloud_reply<T>(&mut self, call: CallId, reply: &Result<T, CallError>, now: Duration) {
        let Some(link) = self.link_by_call.remove(&call) else { return };
        match reply {
            Err(CallError::OutcomeUnknown) => self.monitor.call_failed(link, call, now),
            _ => self.monitor.call_answered(link, call, now),
        }
    }

    /// Records the outcome of commands sent directly to a worker.
    pub fn record_command_reply(&mut self, call: CallId, reply: &CommandReply, now: Duration) {
        let Some(link) = self.link_by_call.remove(&call) else { return };
        match reply {
            CommandReply::Answered(_) => self.monitor.record_confirmation(link, now),
            CommandReply::NotSent | CommandReply::Unanswered => self.monitor.record_failure(link, now),
        }
    }

    /// Records a worker's heartbeat. `relayed` says whether a peer has passed it on.
    pub fn heartbeat_arrived(&mut self, machine: &MachineName, relayed: bool, now: Duration) {
        self.monitor.heartbeat_arrived(now);
        if relayed {
            return;
        }
        if self.reporting_machines.is_empty() {
            // Workers have begun to send heartbeats to this node, perhaps because they can't reach the
            // leader: tell the peers at once.
            self.next_coverage_at = now;
        }
        self.reporting_machines.record(machine, now);
    }

    /// Records what the heartbeat that follows a reply to a worker shows. `confirmed` says whether the worker
    /// has received the reply.
    pub fn answer_confirmed(&mut self, confirmed: bool, now: Duration) {
        match confirmed {
            true => self.monitor.record_confirmation(LinkId::HeartbeatReplies, now),
            false => self.monitor.record_failure(LinkId::HeartbeatReplies, now),
        }
    }

    fn peer_index(&self, host: &str) -> Option<usize> {
        self.settings.peers.iter().position(|peer| peer == host)
    }

    /// Records a heartbeat of a peer.
    pub fn peer_heartbeat_received(&mut self, host: &str, now: Duration) {
        if let Some(peer) = self.peer_index(host) {
            self.monitor.peer_heartbeat_received(peer, now);
        }
    }

    /// Records whether a peer answered a message.
    pub fn peer_delivery(&mut self, host: &str, confirmed: bool, now: Duration) {
        let Some(peer) = self.peer_index(host) else { return };
        match confirmed {
            true => self.monitor.record_confirmation(LinkId::PeerOut(peer), now),
            false => self.monitor.record_failure(LinkId::PeerOut(peer), now),
        }
    }

    /// Resets the state of the links that only a leader uses, after this node has lost the leadership.
    pub fn leadership_lost(&mut self) {
        self.monitor.reset_link(LinkId::KvLeaseRenewal);
        self.monitor.reset_link(LinkId::HeartbeatReplies);
    }
}
