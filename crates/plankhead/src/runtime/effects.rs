//! Carries out the effects that the core returns: calls to other processes, responses and log lines.

use super::pending_requests::PendingRequests;
use crate::clients::peers::PeerClients;
use crate::clients::workers::{CommandBatch, WorkerClients};
use crate::clients::{cloud, kv};
use crate::http::Client;
use crate::log;
use crate::node_handle::NodeMessage;
use crate::peer_messages::{coverage, heartbeat, shards};
use plankhead_core::protocol::{CallId, Effect, Event, PeerHeartbeat};
use plankhead_core::shards::messages::{Delivery, ShardMessage};
use plankhead_reachability::coverage::Coverage;
use std::future::Future;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Carries out effects. Calls run in the background, and their replies are queued as events.
#[derive(Debug)]
pub struct EffectRunner {
    pub queue: mpsc::Sender<NodeMessage>,
    pub kv: Arc<Client>,
    pub cloud: Arc<Client>,
    pub workers: Arc<WorkerClients>,
    pub peers: PeerClients,
    pub requests: PendingRequests,
}

impl EffectRunner {
    /// Carries out an effect. A call is only started.
    pub fn run(&mut self, effect: Effect) {
        match effect {
            Effect::Respond { request, response } => self.requests.respond(request, response),
            Effect::CallKv { call, request } => {
                let client = self.kv.clone();
                self.spawn(async move { Event::KvReply { call, reply: kv::call(&client, request).await } });
            }
            Effect::CallCloud { call, request } => {
                let client = self.cloud.clone();
                self.spawn(
                    async move { Event::CloudReply { call, reply: cloud::call(&client, request).await } },
                );
            }
            Effect::SendCommands { call, address, token, incarnation, commands } => {
                let workers = self.workers.clone();
                let batch = CommandBatch { address, token, incarnation, commands };
                self.spawn(async move { Event::CommandReply { call, reply: workers.send(batch).await } });
            }
            Effect::InspectWorker { call, address } => {
                let workers = self.workers.clone();
                self.spawn(
                    async move { Event::CommandReply { call, reply: workers.inspect(&address).await } },
                );
            }
            Effect::SendPeerHeartbeat(heartbeat) => self.send_heartbeat(&heartbeat),
            Effect::SendCoverage(coverage) => self.send_coverage(&coverage),
            Effect::SendShardMessage { call, to, message } => self.send_shard_message(call, &to, &message),
            Effect::Log(level, text) => log::emit(level, &text),
        }
    }

    /// Sends a heartbeat to every peer without waiting for its delivery.
    fn send_heartbeat(&self, heartbeat: &PeerHeartbeat) {
        let Some(bytes) = heartbeat::encode(heartbeat) else { return };
        for peer in self.peers.values() {
            peer.send_heartbeat(bytes.clone());
        }
    }

    /// Sends coverage to every peer. An event reports for each peer whether it has answered.
    fn send_coverage(&self, coverage: &Coverage) {
        let Some(bytes) = coverage::encode(coverage) else { return };
        for (host, peer) in self.peers.iter() {
            let (host, peer, bytes) = (host.clone(), peer.clone(), bytes.clone());
            self.spawn(async move {
                let confirmed = peer.send_coverage(bytes).await;
                Event::PeerDelivery { host, confirmed }
            });
        }
    }

    /// Sends a peer a message about shards. An event reports the delivery.
    fn send_shard_message(&self, call: CallId, to: &str, message: &ShardMessage) {
        let peer = self.peers.get(to).cloned();
        let bytes = shards::encode(message);
        if bytes.is_none() {
            tracing::error!("shard message not sent: peer={to} reason=too_large");
        }
        self.spawn(async move {
            let delivery = match (peer, bytes) {
                (Some(peer), Some(bytes)) => peer.send_shard_message(bytes).await,
                _ => Delivery::NoResponse,
            };
            Event::ShardMessageDelivery { call, delivery }
        });
    }

    /// Runs a call in the background and queues the resulting event, waiting while the queue is full.
    fn spawn(&self, call: impl Future<Output = Event> + Send + 'static) {
        let queue = self.queue.clone();
        tokio::spawn(async move {
            let event = call.await;
            // The queue is only closed when the process ends.
            let _ = queue.send(NodeMessage::Event(event)).await;
        });
    }
}
