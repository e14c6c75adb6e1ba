//! The HTTP client, which keeps connections open between calls.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use plankhead_core::protocol::CallError;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The time limit for opening a connection. A call that fails with it certainly had no effect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// The largest response that is read, in bytes.
const MAX_RESPONSE: usize = 8 * 1024 * 1024;
/// The largest number of connections that are kept open for further calls.
const MAX_IDLE_CONNECTIONS: usize = 6;

type Connection = SendRequest<Full<Bytes>>;

/// A client of one server address, which reuses its connections.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

impl Client {
    /// Creates a client of this address. It connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::new(Vec::new()) }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let connecting = async {
            let stream = TcpStream::connect(self.address).await.map_err(|_| CallError::Refused)?;
            stream.set_nodelay(true).map_err(|_| CallError::Refused)?;
            handshake(TokioIo::new(stream)).await.map_err(|_| CallError::Refused)
        };
        let (sender, connection) =
            timeout(CONNECT_TIMEOUT, connecting).await.map_err(|_| CallError::Refused)??;
        tokio::spawn(async move {
            // The calls on this connection report its errors.
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Returns an idle connection that is still open, or a new one.
    async fn connection(&self) -> Result<Connection, CallError> {
        loop {
            let idle = self.idle().pop();
            let Some(mut connection) = idle else { return self.connect().await };
            if connection.ready().await.is_ok() {
                return Ok(connection);
            }
        }
    }

    /// Sends a request and returns the status and body of its response. The time limit includes
    /// connecting. The error `Refused` means that the request certainly had no effect.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        time_limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        timeout(time_limit, self.exchange(method, path, body)).await.map_err(|_| CallError::OutcomeUnknown)?
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let body = Bytes::from(body);
        let mut sender = self.connection().await?;
        let request = || {
            Request::builder()
                .method(method.clone())
                .uri(path)
                .header(HOST, self.address.to_string())
                .header(CONTENT_TYPE, "application/json")
                .body(Full::new(body.clone()))
                .map_err(|_| CallError::Refused)
        };
        let response = match sender.send_request(request()?).await {
            Ok(response) => response,
            // The idle connection was closed before the request was sent.
            Err(error) if error.is_canceled() => {
                sender = self.connect().await?;
                sender.send_request(request()?).await.map_err(|_| CallError::OutcomeUnknown)?
            }
            Err(_) => return Err(CallError::OutcomeUnknown),
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE).collect().await;
        let body = body.map_err(|_| CallError::OutcomeUnknown)?.to_bytes();
        let mut idle = self.idle();
        if idle.len() < MAX_IDLE_CONNECTIONS && !sender.is_closed() {
            idle.push(sender);
        }
        Ok((status, body))
    }
}
