//! The effects that one step of a node collects, the purposes of its calls, and the time of the
//! step.

use crate::calls::CallPurpose;
use crate::protocol::{
    CallId, CloudRequest, Effect, KvRequest, LogLevel, RequestId, Response, WorkerCommand,
};
use crate::shards::messages::ShardMessage;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Collects the effects of a step in the order of the decisions, and keeps the purposes of the
/// calls in flight.
#[derive(Debug, Default)]
pub struct EffectSink {
    /// The effects of the current step so far.
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

    /// Sends commands directly to this incarnation of a worker. `token` is a fencing token or a
    /// shard's epoch.
    pub fn send_commands(
        &mut self,
        purpose: CallPurpose,
        address: Arc<str>,
        token: u64,
        incarnation: u64,
        commands: Vec<WorkerCommand>,
    ) {
        let starts = commands.iter().filter(|command| matches!(command, WorkerCommand::Run { .. })).count();
        if !commands.is_empty() {
            let kills = commands.len() - starts;
            let text =
                format!("commands sent: address={address} token={token} starts={starts} kills={kills}");
            self.log(LogLevel::Debug, text);
        }
        let call = self.call(purpose);
        self.queued.push(Effect::SendCommands { call, address, token, incarnation, commands });
    }

    /// Asks a worker for its heartbeat.
    pub fn inspect_worker(&mut self, purpose: CallPurpose, address: Arc<str>) {
        let call = self.call(purpose);
        self.queued.push(Effect::InspectWorker { call, address });
    }

    /// Sends a message about shards to a peer.
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

/// The time of a step on the monotonic clock and on the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct StepTime {
    /// The time on the monotonic clock, which starts well above zero.
    pub now: Duration,
    /// The time on the wall clock, which may be set to any time.
    pub wall: SystemTime,
}

impl StepTime {
    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        let since = self.wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        since.as_millis() as u64
    }

    /// Converts a wall-clock time, in milliseconds since the Unix epoch, to the monotonic clock. A
    /// time in the future gives `now`.
    pub fn monotonic_of(&self, ms: u64) -> Duration {
        let wall = self.wall_ms();
        if ms >= wall {
            self.now
        } else {
            self.now.saturating_sub(Duration::from_millis(wall - ms))
        }
    }
}
