//! TCP proxies on loopback that inject faults, separately for each direction.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const CHUNK_BYTES: usize = 16 * 1024;
/// The number of bytes that a throttled direction passes in each interval.
const THROTTLED_CHUNK_BYTES: usize = 8;

/// A direction of a connection. `Forward` is from the side that opened the connection to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    Forward,
    Backward,
    Both,
}

impl Direction {
    fn includes(self, direction: Direction) -> bool {
        self == Direction::Both || self == direction
    }
}

/// A fault that a proxy injects.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Fault {
    #[default]
    None,
    /// Connections are accepted, but no bytes pass until the fault ends.
    Stall(Direction),
    /// Existing connections are closed, and new ones as soon as they are accepted.
    Refuse,
    /// Existing connections are closed, and new ones after the connection to the target was opened.
    Reset,
    /// Each chunk is forwarded after this delay.
    Delay(Direction, Duration),
    /// A small chunk passes in each interval of this length.
    Throttle(Direction, Duration),
}

/// A proxy that runs until the process ends.
#[derive(Debug)]
pub struct Proxy {
    pub address: SocketAddr,
    fault: Arc<watch::Sender<Fault>>,
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        Self::listen(TcpListener::bind("127.0.0.1:0").await?, target)
    }

    /// Starts a proxy that listens on all local addresses, and forwards a connection to `port` of
    /// the address on which it arrived.
    pub async fn start_on_all_addresses(port: u16) -> std::io::Result<Self> {
        Self::listen(TcpListener::bind("0.0.0.0:0").await?, SocketAddr::from(([0, 0, 0, 0], port)))
    }

    fn listen(listener: TcpListener, target: SocketAddr) -> std::io::Result<Self> {
        let (address, fault) = (listener.local_addr()?, Arc::new(watch::Sender::default()));
        let shared = fault.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                if *shared.borrow() == Fault::Refuse {
                    continue;
                }
                tokio::spawn(forward_connection(client, target, shared.clone()));
            }
        });
        Ok(Self { address, fault })
    }

    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

async fn forward_connection(client: TcpStream, mut target: SocketAddr, fault: Arc<watch::Sender<Fault>>) {
    if target.ip().is_unspecified() {
        let Ok(local) = client.local_addr() else { return };
        target.set_ip(local.ip());
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let mut fault_updates = fault.subscribe();
    tokio::select! {
        () = forward_direction(from_client, to_server, Direction::Forward, &fault) => {}
        () = forward_direction(from_server, to_client, Direction::Backward, &fault) => {}
        _ = fault_updates.wait_for(|fault| matches!(fault, Fault::Refuse | Fault::Reset)) => {}
    }
}

/// Forwards one direction until either end closes the connection.
async fn forward_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    fault: &watch::Sender<Fault>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        if forward_chunk(&chunk[..length], &mut to, direction, fault).await.is_err() {
            return;
        }
    }
}

async fn forward_chunk(
    mut bytes: &[u8],
    to: &mut OwnedWriteHalf,
    direction: Direction,
    fault: &watch::Sender<Fault>,
) -> std::io::Result<()> {
    let mut fault_updates = fault.subscribe();
    while !bytes.is_empty() {
        let current = *fault_updates.borrow_and_update();
        match current {
            Fault::Stall(affected) if affected.includes(direction) => {
                if fault_updates.changed().await.is_err() {
                    return Ok(());
                }
                continue;
            }
            Fault::Delay(affected, time) if affected.includes(direction) => tokio::time::sleep(time).await,
            Fault::Throttle(affected, time) if affected.includes(direction) => {
                let (first, rest) = bytes.split_at(THROTTLED_CHUNK_BYTES.min(bytes.len()));
                to.write_all(first).await?;
                bytes = rest;
                tokio::time::sleep(time).await;
                continue;
            }
            _ => {}
        }
        to.write_all(bytes).await?;
        bytes = &[];
    }
    Ok(())
}
