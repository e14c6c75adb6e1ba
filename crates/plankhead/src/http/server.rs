//! The HTTP server, and the replies that its handlers return.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout, Instant};

/// The largest request body that the published protocol allows, in bytes.
pub const MAX_REQUEST: usize = 64 * 1024;
/// A connection without a request for this time is closed. Workers and users send requests every few
/// seconds. Connections abandoned after a network failure or a failover must not use up the sockets.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(25);
/// The largest size of a connection's read buffer, in bytes.
const MAX_BUFFER: usize = 16 * 1024;
/// The time within which a request's body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);
/// The time after which clients are told to repeat a request that was refused temporarily.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The pause after an error in accepting a connection.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The reply to a request.
#[derive(Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// JSON, or an encoded message between controllers.
    pub body: Vec<u8>,
    /// The time after which the client should repeat the request (`Retry-After`).
    pub retry_after: Option<Duration>,
}

impl Reply {
    /// Creates a reply with a JSON error message. With status 429 or 503 it tells the client when to repeat
    /// the request.
    pub fn error(status: u16, reason: &str) -> Self {
        let body = serde_json::json!({"error": reason}).to_string().into_bytes();
        let retry_after = matches!(status, 429 | 503).then_some(RETRY_INTERVAL);
        Self { status, body, retry_after }
    }
}

fn response(reply: Reply) -> Response<Full<Bytes>> {
    let mut built = Response::new(Full::new(Bytes::from(reply.body)));
    *built.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    built.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(delay) = reply.retry_after {
        let seconds = delay.as_secs_f64().ceil() as u64;
        built.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    built
}

/// Reads a request's body of at most `max_bytes`. On failure, returns the error reply to the request.
pub async fn read_body(request: Request<Incoming>, max_bytes: usize) -> Result<Bytes, Reply> {
    let mut collecting = pin!(Limited::new(request.into_body(), max_bytes).collect());
    // Usually the body has arrived together with the header, so no timer is needed.
    let immediate = poll_fn(|context| Poll::Ready(collecting.as_mut().poll(context))).await;
    let collected = match immediate {
        Poll::Ready(collected) => Ok(collected),
        Poll::Pending => timeout(BODY_TIMEOUT, collecting).await,
    };
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reply::error(400, "the body is too large")),
        Ok(Err(_)) => Err(Reply::error(400, "the body broke off")),
        Err(_) => Err(Reply::error(408, "the body took too long")),
    }
}

/// The time of a connection's last request.
#[derive(Debug)]
struct Activity {
    opened_at: Instant,
    /// The time of the last request, in whole seconds since the connection was opened.
    last_request_s: AtomicU64,
}

impl Activity {
    fn new() -> Self {
        Self { opened_at: Instant::now(), last_request_s: AtomicU64::new(0) }
    }

    fn record_request(&self) {
        self.last_request_s.store(self.opened_at.elapsed().as_secs(), Ordering::Relaxed);
    }

    /// Returns once there has been no request for [`IDLE_TIMEOUT`]. One timer, which checks the time of
    /// the last request, costs less than a new timer for each request.
    async fn idle_timeout(&self) {
        loop {
            let end = self.opened_at
                + Duration::from_secs(self.last_request_s.load(Ordering::Relaxed))
                + IDLE_TIMEOUT;
            if Instant::now() >= end {
                return;
            }
            tokio::time::sleep_until(end).await;
        }
    }
}

/// Serves connections until the process ends. While `max_connections` are open, further connections are
/// closed at once.
pub async fn serve<F, R>(listener: TcpListener, max_connections: usize, handle: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    serve_per_connection(listener, max_connections, move || handle.clone()).await;
}

/// Serves connections as [`serve`] does, with a separate handler for each connection.
pub async fn serve_per_connection<M, F, R>(listener: TcpListener, max_connections: usize, make_handler: M)
where
    M: Fn() -> F,
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::debug!("connection not accepted: reason={error}");
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= max_connections {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (open, handle) = (open.clone(), make_handler());
        tokio::spawn(async move {
            serve_connection(stream, handle).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_connection<F, R>(stream: TcpStream, handle: F)
where
    F: Fn(Request<Incoming>) -> R,
    R: Future<Output = Reply>,
{
    let _ = stream.set_nodelay(true);
    let activity = Activity::new();
    let service = service_fn(|request| {
        activity.record_request();
        let reply = handle(request);
        async move { Ok::<_, Infallible>(response(reply.await)) }
    });
    let serving = hyper::server::conn::http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(MAX_BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        _ = serving => {}
        () = activity.idle_timeout() => {}
    }
}
