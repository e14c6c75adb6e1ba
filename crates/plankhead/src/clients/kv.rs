//! Calls to the state service.

use crate::http::Client;
use crate::wire::state_service::{
    encode_lease_request, encode_txn, is_no_such_lease, ConflictMessage, KeyPage, KeyValueMessage,
    LeaseMessage, RevisionMessage, WatchMessage,
};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use plankhead_core::protocol::{CallError, KeyValue, KvChange, KvReply, KvRequest};
use serde::de::DeserializeOwned;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
const LIST_TIMEOUT: Duration = Duration::from_millis(2400);
/// The time that a watch may take in addition to the time for which it waits for changes.
const WATCH_EXTRA_TIMEOUT: Duration = Duration::from_millis(1500);
/// The largest number of keys in one page of a list, as limited by the published protocol.
const MAX_PAGE: usize = 1000;

/// An HTTP request to the state service and its timeout.
struct HttpCall {
    method: Method,
    path: String,
    body: Vec<u8>,
    timeout: Duration,
}

impl HttpCall {
    fn new(method: Method, path: String) -> Self {
        Self { method, path, body: Vec::new(), timeout: CALL_TIMEOUT }
    }
}

/// Calls the state service.
pub async fn call(client: &Client, request: KvRequest) -> Result<KvReply, CallError> {
    let HttpCall { method, path, body, timeout } = encode_request(&request)?;
    let (status, body) = client.call(method, &path, body, timeout).await?;
    match status {
        StatusCode::TOO_MANY_REQUESTS => Err(CallError::RateLimited),
        StatusCode::SERVICE_UNAVAILABLE => Err(CallError::Refused),
        _ => parse_reply(&request, status.as_u16(), &body),
    }
}

fn encode_request(request: &KvRequest) -> Result<HttpCall, CallError> {
    Ok(match request {
        KvRequest::Get { key } => HttpCall::new(Method::GET, format!("/kv/{key}")),
        KvRequest::List { prefix, after } => {
            let after = after.as_ref().map(|key| format!("&after={key}")).unwrap_or_default();
            let path = format!("/kv?prefix={prefix}{after}&most={MAX_PAGE}");
            HttpCall { timeout: LIST_TIMEOUT, ..HttpCall::new(Method::GET, path) }
        }
        KvRequest::Txn { conditions, changes } => {
            let body = encode_txn(conditions, changes).ok_or(CallError::Refused)?;
            HttpCall { body, ..HttpCall::new(Method::POST, "/txn".into()) }
        }
        KvRequest::GrantLease { ttl } => {
            HttpCall { body: encode_lease_request(*ttl), ..HttpCall::new(Method::POST, "/grants".into()) }
        }
        KvRequest::RenewLease { lease } => HttpCall::new(Method::POST, format!("/grants/{lease}/touch")),
        KvRequest::RevokeLease { lease } => HttpCall::new(Method::DELETE, format!("/grants/{lease}")),
        KvRequest::Watch { prefix, after, wait } => {
            let path = format!("/follow?prefix={prefix}&after={after}&waitMs={}", wait.as_millis());
            HttpCall { timeout: *wait + WATCH_EXTRA_TIMEOUT, ..HttpCall::new(Method::GET, path) }
        }
    })
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|_| CallError::OutcomeUnknown)
}

fn parse_reply(request: &KvRequest, status: u16, body: &Bytes) -> Result<KvReply, CallError> {
    match (request, status) {
        (KvRequest::Get { .. }, 200) => {
            let row: KeyValueMessage = parse(body)?;
            Ok(KvReply::Value(Some(KeyValue::from(row))))
        }
        (KvRequest::Get { .. }, 404) => parse::<RevisionMessage>(body).map(|_| KvReply::Value(None)),
        (KvRequest::List { .. }, 200) => {
            let page: KeyPage = parse(body)?;
            let rows = page.rows.into_iter().map(KeyValue::from).collect();
            Ok(KvReply::Page { rows, truncated: page.truncated, revision: page.revision })
        }
        (KvRequest::Txn { .. }, 200) => {
            let committed: RevisionMessage = parse(body)?;
            Ok(KvReply::Committed { revision: committed.revision })
        }
        (KvRequest::Txn { .. }, 409) => {
            let conflict: ConflictMessage = parse(body)?;
            Ok(KvReply::Conflict { failed: conflict.failed })
        }
        (KvRequest::Txn { changes, .. }, 400) => parse_rejected_txn(changes, body),
        (KvRequest::GrantLease { .. }, 200) => {
            let granted: LeaseMessage = parse(body)?;
            Ok(KvReply::LeaseGranted { lease: granted.lease })
        }
        (KvRequest::RenewLease { .. }, 200) => Ok(KvReply::LeaseRenewed),
        (KvRequest::RenewLease { .. }, 404) => Ok(KvReply::NoSuchLease),
        (KvRequest::RevokeLease { .. }, 200 | 204 | 404) => Ok(KvReply::LeaseRenewed),
        (KvRequest::Watch { .. }, 200) => {
            let watch: WatchMessage = parse(body)?;
            let revision = watch.revision;
            let events = watch.into_events().ok_or(CallError::OutcomeUnknown)?;
            Ok(KvReply::Events { revision, events })
        }
        (KvRequest::Watch { .. }, 410) => Ok(KvReply::Compacted),
        _ => Err(CallError::OutcomeUnknown),
    }
}

/// Determines why a transaction was rejected. The body says whether its lease has expired. Otherwise a
/// transaction without a lease exceeds a size limit that was lowered in the meantime, since it is
/// well-formed. With a lease, the reason remains unknown.
fn parse_rejected_txn(changes: &[KvChange], body: &Bytes) -> Result<KvReply, CallError> {
    let error: serde_json::Value = parse(body)?;
    if is_no_such_lease(&error) {
        return Ok(KvReply::NoSuchLease);
    }
    let has_lease = changes.iter().any(|change| matches!(change, KvChange::Put { lease: Some(_), .. }));
    Err(if has_lease { CallError::OutcomeUnknown } else { CallError::TooLarge })
}
