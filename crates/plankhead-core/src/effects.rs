//! What one step of a node decides to do: effects, and the purposes of the calls among them;
//! and the time of the step.

use crate::calls::CallPurpose;
use crate::protocol::{
    CallId, CloudRequest, Effect, KvRequest, LogLevel, RequestId, Response, WorkerCommand,
};
use crate::shards::messages::ShardMessage;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Collects the effects of a step, in the order in which they were decided on, and remembers
/// what the replies to calls are for.
#[derive(Debug, Default)]
pub struct EffectSink {
    /// The effects of the present step so far.
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

    /// Calls the state service.
    pub fn call_kv(&mut self, purpose: CallPurpose, request: KvRequest) {
        let call = self.call(purpose);
        self.queued.push(Effect::CallKv { call, request });
    }

    /// Calls the cloud.
    pub fn call_cloud(&mut self, purpose: CallPurpose, request: CloudRequest) {
        let call = self.call(purpose);
        self.queued.push(Effect::CallCloud { call, request });
    }

    /// Sends commands directly to a worker, for this incarnation of it, under a fencing token
    /// or a shard's epoch.
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

    /// Sends a peer a message about shards.
    pub fn send_shard_message(&mut self, purpose: CallPurpose, to: String, message: ShardMessage) {
        let call = self.call(purpose);
        self.queued.push(Effect::SendShardMessage { call, to, message });
    }

    /// Answers a request.
    pub fn respond(&mut self, request: RequestId, response: Response) {
        self.queued.push(Effect::Respond { request, response });
    }

    /// Writes a line to the log.
    pub fn log(&mut self, level: LogLevel, text: String) {
        self.queued.push(Effect::Log(level, text));
    }
}

/// The time of a step, on the steady clock and on the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct StepTime {
    /// On the steady clock, which starts well above zero.
    pub now: Duration,
    /// On the wall clock, which may be set to any time.
    pub wall: SystemTime,
}

impl StepTime {
    /// Milliseconds since 1970 on the wall clock.
    pub fn wall_ms(&self) -> u64 {
        let since = self.wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        since.as_millis() as u64
    }

    /// The time on the steady clock of a time on the wall clock, in milliseconds since 1970;
    /// now if that is still to come.
    pub fn monotonic_of(&self, ms: u64) -> Duration {
        let wall = self.wall_ms();
        if ms >= wall {
            self.now
        } else {
            self.now.saturating_sub(Duration::from_millis(wall - ms))
        }
    }
}
