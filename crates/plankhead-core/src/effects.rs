//! What one step of a node decides to do: effects, and the purposes of the calls among them.

use crate::calls::CallPurpose;
use crate::protocol::{
    CallId, CloudRequest, Effect, KvRequest, LogLevel, RequestId, Response, WorkerCommand,
};
use crate::shards::messages::ShardMessage;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Collects effects and remembers what replies are for.
#[derive(Debug, Default)]
pub struct EffectSink {
    pub queued: Vec<Effect>,
    pub(crate) calls_in_flight: HashMap<CallId, CallPurpose>,
    last_call: CallId,
}

impl EffectSink {
    fn call(&mut self, purpose: CallPurpose) -> CallId {
        self.last_call += 1;
        self.calls_in_flight.insert(self.last_call, purpose);
        self.last_call
    }

    pub fn call_kv(&mut self, purpose: CallPurpose, op: KvRequest) {
        let call = self.call(purpose);
        self.queued.push(Effect::CallKv { call, request: op });
    }

    pub fn call_cloud(&mut self, purpose: CallPurpose, op: CloudRequest) {
        let call = self.call(purpose);
        self.queued.push(Effect::CallCloud { call, request: op });
    }

    pub fn send_commands(
        &mut self,
        purpose: CallPurpose,
        address: Arc<str>,
        token: u64,
        incarnation: u64,
        commands: Vec<WorkerCommand>,
    ) {
        let call = self.call(purpose);
        self.queued.push(Effect::SendCommands { call, address, token, incarnation, commands });
    }

    pub fn send_shard_message(&mut self, purpose: CallPurpose, to: String, message: ShardMessage) {
        let call = self.call(purpose);
        self.queued.push(Effect::SendShardMessage { call, to, message });
    }

    pub fn respond(&mut self, request: RequestId, answer: Response) {
        self.queued.push(Effect::Respond { request, response: answer });
    }

    pub fn log(&mut self, level: LogLevel, text: String) {
        self.queued.push(Effect::Log(level, text));
    }
}

/// The times at which a batch is handled: the steady clock and the time of day.
#[derive(Debug, Clone, Copy)]
pub struct StepTime {
    /// On a clock that starts well above zero.
    pub now: Duration,
    pub wall: SystemTime,
}

impl StepTime {
    pub fn wall_ms(&self) -> u64 {
        let since = self.wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        since.as_millis() as u64
    }

    /// When that time of day was, on the steady clock.
    pub fn monotonic_of(&self, ms: u64) -> Duration {
        let wall = self.wall_ms();
        if ms >= wall {
            self.now
        } else {
            self.now.saturating_sub(Duration::from_millis(wall - ms))
        }
    }
}
