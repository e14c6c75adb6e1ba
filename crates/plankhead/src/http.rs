//! HTTP/1.1 both ways, with every time and size bounded.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use plankhead_core::protocol::CallError;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout, Instant};

/// A connection that takes longer than this is given up, for certain.
const CONNECT: Duration = Duration::from_millis(600);
/// The largest response that is read.
const MAX_RESPONSE: usize = 8 * 1024 * 1024;
/// The largest request body, by the protocol.
pub const MAX_REQUEST: usize = 64 * 1024;
/// A connection that sends no request for this long is closed: workers and users
/// come every few seconds, and those that a cut or a takeover left behind must not
/// use up the sockets.
pub const IDLE: Duration = Duration::from_secs(25);
/// What is read of a connection before it is handled.
const MAX_BUFFER: usize = 16 * 1024;
/// A request's body must be there within this time.
const BODY: Duration = Duration::from_secs(4);
/// Connections kept open for the next call.
const MAX_IDLE: usize = 6;

/// A client of one address, which keeps its connections.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::new(Vec::new()) }
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<SendRequest<Full<Bytes>>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let connecting = async {
            let stream = TcpStream::connect(self.address).await.map_err(|_| CallError::Refused)?;
            stream.set_nodelay(true).map_err(|_| CallError::Refused)?;
            handshake(TokioIo::new(stream)).await.map_err(|_| CallError::Refused)
        };
        let (sender, connection) = timeout(CONNECT, connecting).await.map_err(|_| CallError::Refused)??;
        tokio::spawn(async move {
            // How it ended shows in the calls that used it.
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// One request. `Refused` means that it certainly had no effect.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        within: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        timeout(within, self.exchange(method, path, body)).await.map_err(|_| CallError::OutcomeUnknown)?
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let body = Bytes::from(body);
        let mut sender = loop {
            let kept = self.idle().pop();
            match kept {
                Some(mut sender) => {
                    if sender.ready().await.is_ok() {
                        break sender;
                    }
                }
                None => break self.connect().await?,
            }
        };
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
            // The kept connection was closed before the request left.
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
        if idle.len() < MAX_IDLE && !sender.is_closed() {
            idle.push(sender);
        }
        Ok((status, body))
    }
}

/// What a server answers.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry: Option<Duration>,
}

impl Reply {
    pub fn error(status: u16, reason: &str) -> Self {
        let body = serde_json::json!({"error": reason}).to_string().into_bytes();
        let retry = matches!(status, 429 | 503).then_some(Duration::from_secs(1));
        Self { status, body, retry }
    }
}

fn response(reply: Reply) -> Response<Full<Bytes>> {
    let mut built = Response::new(Full::new(Bytes::from(reply.body)));
    *built.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    built.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    if let Some(retry) = reply.retry {
        let seconds = retry.as_secs_f64().ceil() as u64;
        built.headers_mut().insert(hyper::header::RETRY_AFTER, seconds.into());
    }
    built
}

/// Reads a request's body within the limits.
pub async fn body(request: Request<Incoming>, most: usize) -> Result<Bytes, Reply> {
    let mut collecting = pin!(Limited::new(request.into_body(), most).collect());
    // Mostly it came together with the head, so that no timer is needed.
    let at_once = poll_fn(|context| Poll::Ready(collecting.as_mut().poll(context))).await;
    let collected = match at_once {
        Poll::Ready(collected) => Ok(collected),
        Poll::Pending => timeout(BODY, collecting).await,
    };
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Reply::error(400, "the body is too large"))
        }
        Ok(Err(_)) => Err(Reply::error(400, "the body broke off")),
        Err(_) => Err(Reply::error(408, "the body took too long")),
    }
}

/// When a connection last had a request, in whole seconds since it was opened.
#[derive(Debug)]
struct Activity {
    opened: Instant,
    last: AtomicU64,
}

impl Activity {
    fn new() -> Self {
        Self { opened: Instant::now(), last: AtomicU64::new(0) }
    }

    fn mark(&self) {
        self.last.store(self.opened.elapsed().as_secs(), Ordering::Relaxed);
    }

    /// Returns once there was no request for [`IDLE`]. One timer serves all requests of
    /// the connection: to set one for each costs more than a look now and then.
    async fn ended(&self) {
        loop {
            let end = self.opened + Duration::from_secs(self.last.load(Ordering::Relaxed)) + IDLE;
            if Instant::now() >= end {
                return;
            }
            tokio::time::sleep_until(end).await;
        }
    }
}

/// Serves connections until the process ends; above `most` at a time, further
/// ones are closed at once.
pub async fn serve<F, R>(listener: TcpListener, most: usize, handle: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    serve_each(listener, most, move || handle.clone()).await;
}

/// As [`serve`], with a handler of its own for each connection.
pub async fn serve_each<M, F, R>(listener: TcpListener, most: usize, make: M)
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
                tracing::debug!("accept failed: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= most {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (open, handle) = (open.clone(), make());
        tokio::spawn(async move {
            connection(stream, handle).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn connection<F, R>(stream: TcpStream, handle: F)
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
        () = activity.ended() => {}
    }
}
