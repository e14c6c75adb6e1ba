//! The HTTP server.

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

/// The largest request body, by the protocol, in bytes.
pub const MAX_REQUEST: usize = 64 * 1024;
/// A connection that sends no request for this long is closed: workers and users come every
/// few seconds, and those that a network cut or a failover left behind must not use up the
/// sockets.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(25);
/// What is read of a connection before it is handled, in bytes.
const MAX_BUFFER: usize = 16 * 1024;
/// A request's body must have come within this time.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);
/// The time that clients are told to wait after a refusal that is not for good.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The pause after a connection that could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What a server answers.
#[derive(Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// JSON, or a message between controllers.
    pub body: Vec<u8>,
    /// After what time the client should try again.
    pub retry: Option<Duration>,
}

impl Reply {
    /// A reply with an error as JSON. Those of which a client should try again say when.
    pub fn error(status: u16, reason: &str) -> Self {
        let body = serde_json::json!({"error": reason}).to_string().into_bytes();
        let retry = matches!(status, 429 | 503).then_some(RETRY_INTERVAL);
        Self { status, body, retry }
    }
}

fn response(reply: Reply) -> Response<Full<Bytes>> {
    let mut built = Response::new(Full::new(Bytes::from(reply.body)));
    *built.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    built.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry) = reply.retry {
        let seconds = retry.as_secs_f64().ceil() as u64;
        built.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    built
}

/// Reads a request's body, of so many bytes at most; on failure, the reply to the request.
pub async fn body(request: Request<Incoming>, max_bytes: usize) -> Result<Bytes, Reply> {
    let mut collecting = pin!(Limited::new(request.into_body(), max_bytes).collect());
    // Mostly it came together with the head, so that no timer is needed.
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

/// When a connection had its last request.
#[derive(Debug)]
struct Activity {
    opened_at: Instant,
    /// In whole seconds since it was opened.
    last_request_s: AtomicU64,
}

impl Activity {
    fn new() -> Self {
        Self { opened_at: Instant::now(), last_request_s: AtomicU64::new(0) }
    }

    fn mark(&self) {
        self.last_request_s.store(self.opened_at.elapsed().as_secs(), Ordering::Relaxed);
    }

    /// Returns once there was no request for [`IDLE_TIMEOUT`]. One timer serves all requests of
    /// the connection: to set one for each costs more than a look now and then.
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

/// Serves connections until the process ends; above `max_connections` at a time, further ones
/// are closed at once.
pub async fn serve<F, R>(listener: TcpListener, max_connections: usize, handle: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    serve_each(listener, max_connections, move || handle.clone()).await;
}

/// As [`serve`], with a handler of its own for each connection.
pub async fn serve_each<M, F, R>(listener: TcpListener, max_connections: usize, make_handler: M)
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
        activity.mark();
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
