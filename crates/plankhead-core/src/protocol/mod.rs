//! The messages that the core exchanges, one module per counterpart. The adapters convert between these
//! types and the published protocol.

mod cloud;
mod events;
mod kv;
mod peers;
mod users;
mod worker;

pub use cloud::{CloudReply, CloudRequest, Instance, InstanceStatus, MachineType, Pool};
pub use events::{CallId, Effect, Event, LogLevel, RequestId};
pub use kv::{CallError, Condition, KeyValue, KvChange, KvReply, KvRequest, WatchEvent};
pub use peers::{JobProgress, PeerHeartbeat};
pub use users::{JobStatus, Response, SpecRejection, UnsatisfiableSpec};
pub use worker::{
    CommandReply, EffectKind, ExitReason, ExpectedEffect, Heartbeat, HeartbeatPath, MachineName,
    ReportedTask, TaskId, TaskStatus, WorkerCommand,
};
