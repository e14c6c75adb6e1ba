//! TCP proxies on loopback that fail on purpose, each direction by itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const CHUNK: usize = 16 * 1024;
/// What a dripping direction lets through at a time.
const DROP_BYTES: usize = 8;

/// Which way bytes go: with the one that connects as the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    Forward,
    Backward,
    Both,
}

impl Direction {
    fn concerns(self, way: Direction) -> bool {
        self == Direction::Both || self == way
    }
}

/// How a proxy fails.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Fault {
    #[default]
    None,
    /// Connections are accepted, and nothing passes until the fault ends.
    Stall(Direction),
    /// All connections are closed, those that come as well.
    Refuse,
    /// What is under way is closed; new connections pass.
    Reset,
    /// Each chunk is late by this time.
    Delay(Direction, Duration),
    /// A few bytes pass in each of these times.
    Drip(Direction, Duration),
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

    /// One that listens on all loopback addresses, and connects to the same address of
    /// another port.
    pub async fn start_for_all(port: u16) -> std::io::Result<Self> {
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
                tokio::spawn(carry(client, target, shared.clone()));
            }
        });
        Ok(Self { address, fault })
    }

    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

async fn carry(client: TcpStream, mut target: SocketAddr, fault: Arc<watch::Sender<Fault>>) {
    if target.ip().is_unspecified() {
        let Ok(local) = client.local_addr() else { return };
        target.set_ip(local.ip());
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let mut closing = fault.subscribe();
    tokio::select! {
        () = pump(from_client, to_server, Direction::Forward, &fault) => {}
        () = pump(from_server, to_client, Direction::Backward, &fault) => {}
        _ = closing.wait_for(|fault| matches!(fault, Fault::Refuse | Fault::Reset)) => {}
    }
}

/// Carries one direction until either end closes.
async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, way: Direction, fault: &watch::Sender<Fault>) {
    let mut chunk = vec![0; CHUNK];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        if pass(&chunk[..length], &mut to, way, fault).await.is_err() {
            return;
        }
    }
}

async fn pass(
    mut bytes: &[u8],
    to: &mut OwnedWriteHalf,
    way: Direction,
    fault: &watch::Sender<Fault>,
) -> std::io::Result<()> {
    let mut faults = fault.subscribe();
    while !bytes.is_empty() {
        let present = *faults.borrow_and_update();
        match present {
            Fault::Stall(direction) if direction.concerns(way) => {
                if faults.changed().await.is_err() {
                    return Ok(());
                }
                continue;
            }
            Fault::Delay(direction, time) if direction.concerns(way) => tokio::time::sleep(time).await,
            Fault::Drip(direction, time) if direction.concerns(way) => {
                let (first, rest) = bytes.split_at(DROP_BYTES.min(bytes.len()));
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
