//! What a step decides to do, and what the replies to its calls are for.

use crate::holder::HolderCall;
use crate::leader::LeaderCall;
use crate::protocol::{Answer, Ask, Call, CloudOp, Effect, Level, Order, StateOp};
use crate::reach::ReachCall;
use crate::requests::PendingRequest;
use crate::shard_messages::ShardMessage;
use crate::{election, key_watch, version_barrier};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// What a call was for.
#[derive(Debug, Clone, PartialEq)]
pub enum Purpose {
    Election(election::Step),
    VersionBarrier(version_barrier::Step),
    UserRequest(PendingRequest),
    /// Under a token, so that replies to an earlier term are ignored.
    Leader(u64, LeaderCall),
    Reachability(ReachCall),
    /// The records of shards.
    ShardRecords(key_watch::Step),
    Holder(HolderCall),
    MachineTypes,
}

/// Collects effects and remembers what replies are for.
#[derive(Debug, Default)]
pub struct Out {
    pub effects: Vec<Effect>,
    pub(super) calls: HashMap<Call, Purpose>,
    last: Call,
}

impl Out {
    fn call(&mut self, purpose: Purpose) -> Call {
        self.last += 1;
        self.calls.insert(self.last, purpose);
        self.last
    }

    pub fn state(&mut self, purpose: Purpose, op: StateOp) {
        let call = self.call(purpose);
        self.effects.push(Effect::CallKv { call, op });
    }

    pub fn cloud(&mut self, purpose: Purpose, op: CloudOp) {
        let call = self.call(purpose);
        self.effects.push(Effect::CallCloud { call, op });
    }

    pub fn orders(
        &mut self,
        purpose: Purpose,
        address: Arc<str>,
        token: u64,
        shift: u64,
        orders: Vec<Order>,
    ) {
        let call = self.call(purpose);
        self.effects.push(Effect::SendCommands { call, address, token, shift, orders });
    }

    pub fn shard_message(&mut self, purpose: Purpose, to: String, message: ShardMessage) {
        let call = self.call(purpose);
        self.effects.push(Effect::SendShardMessage { call, to, message });
    }

    pub fn answer(&mut self, ask: Ask, answer: Answer) {
        self.effects.push(Effect::Respond { ask, answer });
    }

    pub fn log(&mut self, level: Level, text: String) {
        self.effects.push(Effect::Log(level, text));
    }
}

/// The times at which a batch is handled: the steady clock and the time of day.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// On a clock that starts well above zero.
    pub now: Duration,
    pub wall: SystemTime,
}

impl Times {
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
