//! The event loop. It owns the core's state, takes messages from a queue in batches, steps the core
//! and runs the resulting effects.

use super::effects::EffectRunner;
use super::timer_lag::TimerLag;
use super::RunError;
use crate::node_handle::{NodeMessage, NodeStatus};
use plankhead_core::effects::StepTime;
use plankhead_core::node::Node;
use plankhead_core::protocol::Event;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::mpsc;
use tokio::time::sleep_until;

/// The largest number of events in one step.
const MAX_BATCH: usize = 256;
/// The time of the core's clock when the process starts. It is large enough to subtract durations from.
const CLOCK_START: Duration = Duration::from_secs(100 * 86_400);

/// The event loop of a node.
pub struct EventLoop {
    queue: mpsc::Receiver<NodeMessage>,
    node: Node,
    effects: EffectRunner,
    status: Arc<NodeStatus>,
    lag: TimerLag,
    started_at: Instant,
    /// The time at which the timer fires.
    wake_at: Instant,
}

impl EventLoop {
    /// Creates an event loop. Its timer fires at once.
    pub fn new(
        queue: mpsc::Receiver<NodeMessage>,
        node: Node,
        effects: EffectRunner,
        status: Arc<NodeStatus>,
    ) -> Self {
        let started_at = Instant::now();
        Self { queue, node, effects, status, lag: TimerLag::default(), started_at, wake_at: started_at }
    }

    /// Runs until the queue is closed.
    pub async fn run(mut self) -> Result<(), RunError> {
        let timer = sleep_until(self.wake_at.into());
        tokio::pin!(timer);
        loop {
            let first = tokio::select! {
                message = self.queue.recv() => Some(message.ok_or(RunError::QueueClosed)?),
                () = &mut timer => None,
            };
            let now = Instant::now();
            let events = self.take_batch(first, now);
            if let Some(wake_at) = self.step(events, now) {
                timer.as_mut().reset(wake_at.into());
            }
        }
    }

    /// Returns the events of the first message and of the messages queued after it. `first` is `None`
    /// if the timer has fired.
    fn take_batch(&mut self, first: Option<NodeMessage>, now: Instant) -> Vec<Event> {
        let mut events = Vec::new();
        let mut next = first;
        while let Some(message) = next {
            events.push(match message {
                NodeMessage::Event(event) => event,
                NodeMessage::Request(request, sender) => {
                    request.into_event(self.effects.requests.add(now, sender))
                }
            });
            next = if events.len() < MAX_BATCH { self.queue.try_recv().ok() } else { None };
        }
        events
    }

    /// Steps the core. Returns the new time of the timer if it changes.
    fn step(&mut self, events: Vec<Event>, now: Instant) -> Option<Instant> {
        if now >= self.wake_at {
            self.lag.record(self.wake_at, now);
            self.node.set_timer_lag(self.lag.get());
        }
        let times = StepTime { now: CLOCK_START + (now - self.started_at), wall: SystemTime::now() };
        for effect in self.node.step(times, events) {
            self.effects.run(effect);
        }
        self.status.healthy.store(self.node.is_healthy(times.now), Ordering::Relaxed);
        self.status.highest_token.store(self.node.highest_seen_token(), Ordering::Relaxed);
        self.next_wake(times.now, now)
    }

    /// Updates and returns the time at which the timer must fire next. Returns `None` if the timer already
    /// fires early enough: resetting it has a cost.
    fn next_wake(&mut self, core_now: Duration, now: Instant) -> Option<Instant> {
        let node_wake_at = self.started_at + (self.node.next_wake(core_now) - CLOCK_START);
        let deadline = self.effects.requests.expire(now);
        let wake_at = deadline.map_or(node_wake_at, |deadline| node_wake_at.min(deadline));
        if wake_at >= self.wake_at && now < self.wake_at {
            return None;
        }
        self.wake_at = wake_at;
        Some(wake_at)
    }
}
