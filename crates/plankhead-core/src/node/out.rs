//! What a step decides to do, and what the replies to its calls are for.

use crate::holder::HolderCall;
use crate::leader::LeaderCall;
use crate::protocol::{
    CallId, CloudRequest, Effect, KvRequest, LogLevel, RequestId, Response, WorkerCommand,
};
use crate::reach::ReachabilityCall;
use crate::requests::PendingRequest;
use crate::shard_messages::ShardMessage;
use crate::{election, key_watch, version_barrier};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// What a call was for.
#[derive(Debug, Clone, PartialEq)]
pub enum CallPurpose {
    Election(election::Step),
    VersionBarrier(version_barrier::Step),
    UserRequest(PendingRequest),
    /// Under a token, so that replies to an earlier term are ignored.
    Leader(u64, LeaderCall),
    Reachability(ReachabilityCall),
    /// The records of shards.
    ShardRecords(key_watch::Step),
    Holder(HolderCall),
    MachineTypes,
}

/// Collects effects and remembers what replies are for.
#[derive(Debug, Default)]
pub struct EffectSink {
    pub effects: Vec<Effect>,
    pub(super) calls: HashMap<CallId, CallPurpose>,
    last: CallId,
}

impl EffectSink {
    fn call(&mut self, purpose: CallPurpose) -> CallId {
        self.last += 1;
        self.calls.insert(self.last, purpose);
        self.last
    }

    pub fn state(&mut self, purpose: CallPurpose, op: KvRequest) {
        let call = self.call(purpose);
        self.effects.push(Effect::CallKv { call, request: op });
    }

    pub fn cloud(&mut self, purpose: CallPurpose, op: CloudRequest) {
        let call = self.call(purpose);
        self.effects.push(Effect::CallCloud { call, request: op });
    }

    pub fn orders(
        &mut self,
        purpose: CallPurpose,
        address: Arc<str>,
        token: u64,
        shift: u64,
        orders: Vec<WorkerCommand>,
    ) {
        let call = self.call(purpose);
        self.effects.push(Effect::SendCommands {
            call,
            address,
            token,
            incarnation: shift,
            commands: orders,
        });
    }

    pub fn shard_message(&mut self, purpose: CallPurpose, to: String, message: ShardMessage) {
        let call = self.call(purpose);
        self.effects.push(Effect::SendShardMessage { call, to, message });
    }

    pub fn answer(&mut self, ask: RequestId, answer: Response) {
        self.effects.push(Effect::Respond { request: ask, response: answer });
    }

    pub fn log(&mut self, level: LogLevel, text: String) {
        self.effects.push(Effect::Log(level, text));
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
    pub fn at_wall(&self, ms: u64) -> Duration {
        let wall = self.wall_ms();
        if ms >= wall {
            self.now
        } else {
            self.now.saturating_sub(Duration::from_millis(wall - ms))
        }
    }
}
