//! Tests of inspections of workers over loopback.

use super::standins;
use crate::clients::workers::WorkerClients;
use plankhead_core::protocol::CommandReply;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;

async fn inspect(address: SocketAddr) -> CommandReply {
    let address: Arc<str> = address.to_string().into();
    WorkerClients::new(4).inspect(&address).await
}

/// An inspection is answered with the worker's heartbeat and changes nothing on the worker: not its token,
/// which a later leader's commands need to be above, nor its tasks.
#[tokio::test]
async fn a_worker_answers_an_inspection_with_its_heartbeat() {
    let (state, _, unused_api) = standins::start_servers().await;
    let worker = standins::start_machine(&state, "i-1", unused_api).await;
    let address = state.lock().unwrap().machines[0].1;
    let CommandReply::Answered(heartbeat) = inspect(address).await else { panic!("no answer") };
    assert_eq!((heartbeat.machine.as_ref(), heartbeat.token), ("i-1", 0));
    assert_eq!(worker.lock().unwrap().starts, 0);
}

/// A machine that hangs accepts connections and answers nothing; one that is gone refuses them. Both leave an
/// inspection without an answer, in a time that leaves room for a second one.
#[tokio::test]
async fn a_machine_that_hangs_or_is_gone_answers_no_inspection() {
    let hanging = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let started_at = std::time::Instant::now();
    assert_eq!(inspect(hanging.local_addr().unwrap()).await, CommandReply::Unanswered);
    assert!(started_at.elapsed().as_secs_f64() < 3.0, "{:?}", started_at.elapsed());
    let gone = plankhead_standins::nodes::free_address().unwrap();
    assert_eq!(inspect(gone).await, CommandReply::NotSent);
}
