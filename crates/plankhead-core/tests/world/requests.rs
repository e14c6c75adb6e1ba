//! Requests of users and workers to nodes, and the steps of the nodes.

use super::deployment::{ms, secs};
use super::events::SimEvent;
use super::script::InvalidRequest;
use super::World;
use plankhead_core::protocol::{CallId, Event, Heartbeat, MachineName, RequestId};
use rand::RngExt;
use std::time::Duration;

/// A request whose sender waits for the response.
#[derive(Debug, Clone)]
pub(super) enum PendingRequest {
    Submit(usize),
    Poll(usize),
    /// `known`: the job had been accepted when the user sent the request.
    Cancel {
        job: usize,
        known: bool,
    },
    SendInvalidRequest {
        invalid: InvalidRequest,
        known: Option<usize>,
    },
    Heartbeat {
        machine: MachineName,
        sent: Duration,
        heartbeat: Box<Heartbeat>,
    },
    /// A message of another node about shards.
    Shard {
        node: usize,
        boot: u64,
        call: CallId,
    },
}

/// A watch that waits for changes after a revision.
#[derive(Debug)]
pub(super) struct Watch {
    pub(super) id: u64,
    pub(super) node: usize,
    pub(super) boot: u64,
    pub(super) call: CallId,
    pub(super) prefix: String,
    pub(super) after: u64,
}

impl World {
    pub(super) fn deliver_duplicate(&mut self, node: usize, heartbeat: Heartbeat) {
        if let Some((boot, _)) = &self.nodes[node] {
            let boot = *boot;
            self.last_request += 1;
            let event = Event::Heartbeat { request: self.last_request, heartbeat, relayed: false };
            self.schedule_in(ms(1), SimEvent::DeliverToNode { node, boot, event });
        }
    }

    pub(super) fn is_running(&self, node: usize, boot: u64) -> bool {
        self.nodes[node].as_ref().is_some_and(|(b, _)| *b == boot)
    }

    /// Sends a request to a random node. `again` is scheduled if that node is down or does not
    /// answer.
    pub(super) fn send_request(
        &mut self,
        pending_request: PendingRequest,
        event: impl FnOnce(RequestId) -> Event,
        again: SimEvent,
    ) {
        let node = self.rng.random_range(0..3);
        self.send_request_to(node, pending_request, event, Some(again));
    }

    /// Sends a request to a certain node. Without `again`, it is not repeated.
    pub(super) fn send_request_to(
        &mut self,
        node: usize,
        pending_request: PendingRequest,
        event: impl FnOnce(RequestId) -> Event,
        again: Option<SimEvent>,
    ) {
        let reached = self.now >= self.node_cut_until[node];
        let Some((boot, _)) = self.nodes[node].as_ref().filter(|_| reached) else {
            if let Some(again) = again {
                self.schedule_in(secs(1), again);
            }
            return;
        };
        let boot = *boot;
        self.last_request += 1;
        let request = self.last_request;
        self.pending_requests.insert((node, boot, request), (self.now, pending_request));
        self.step(node, vec![event(request)]);
        if let Some(again) = again.map(Box::new) {
            self.schedule_in(secs(3), SimEvent::RetryUnanswered { node, boot, request, again });
        }
    }

    pub(super) fn step(&mut self, node: usize, batch: Vec<Event>) {
        let now = self.now;
        if now < self.paused_until[node] {
            return self.backlog[node].extend(batch);
        }
        let times = self.clock_times(node);
        let Some((boot, core)) = &mut self.nodes[node] else { return };
        let boot = *boot;
        core.set_timer_lag(self.timer_lag);
        let effects = core.step(times, batch);
        self.trace.absorb(now, node, &effects);
        let next_wake = core.next_wake(times.now);
        let wake = if self.on_demand { self.true_time(node, next_wake) } else { now + ms(100) };
        let due = self.next_wakes[node] <= now;
        if due || (self.on_demand && wake < self.next_wakes[node]) {
            self.next_wakes[node] = wake;
            self.schedule_in(wake - now, SimEvent::Tick { node, boot });
        }
        let actor = self.actor(node, boot);
        for effect in effects {
            if self.holds_effects[node] && now < self.paused_until[node] {
                let effect = Box::new(effect);
                self.schedule_in(self.paused_until[node] - now, SimEvent::Perform { actor, effect });
            } else {
                self.perform(actor, effect);
            }
        }
    }
}
