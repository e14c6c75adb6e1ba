//! The state service's client. A reply that is not understood is a failure,
//! never a fact.

use crate::http::Client;
use crate::wire::state_service as wire;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use plankhead_core::protocol::{CallError, KeyValue, KvChange, KvReply, KvRequest};
use serde::de::DeserializeOwned;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_millis(1200);
/// What a watch may take beyond its own time.
const WATCH_EXTRA: Duration = Duration::from_millis(1500);

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|_| CallError::OutcomeUnknown)
}

pub async fn call(client: &Client, op: KvRequest) -> Result<KvReply, CallError> {
    let (method, path, body, within) = match &op {
        KvRequest::Get { key } => (Method::GET, format!("/kv/{key}"), Vec::new(), PATIENCE),
        KvRequest::List { prefix, after } => {
            let after = after.as_ref().map(|a| format!("&after={a}")).unwrap_or_default();
            (Method::GET, format!("/kv?prefix={prefix}{after}&most=1000"), Vec::new(), PATIENCE * 2)
        }
        KvRequest::Txn { conditions, changes } => {
            let body = wire::encode_txn(conditions, changes).ok_or(CallError::Refused)?;
            (Method::POST, "/txn".into(), body, PATIENCE)
        }
        KvRequest::GrantLease { ttl } => {
            (Method::POST, "/grants".into(), wire::encode_lease_request(*ttl), PATIENCE)
        }
        KvRequest::RenewLease { lease: hold } => {
            (Method::POST, format!("/grants/{hold}/touch"), Vec::new(), PATIENCE)
        }
        KvRequest::RevokeLease { lease: hold } => {
            (Method::DELETE, format!("/grants/{hold}"), Vec::new(), PATIENCE)
        }
        KvRequest::Watch { prefix, after, wait } => {
            let path = format!("/follow?prefix={prefix}&after={after}&waitMs={}", wait.as_millis());
            (Method::GET, path, Vec::new(), *wait + WATCH_EXTRA)
        }
    };
    let (status, body) = client.call(method, &path, body, within).await?;
    match status {
        StatusCode::TOO_MANY_REQUESTS => return Err(CallError::RateLimited),
        StatusCode::SERVICE_UNAVAILABLE => return Err(CallError::Refused),
        _ => {}
    }
    understand(&op, status.as_u16(), &body)
}

fn understand(op: &KvRequest, status: u16, body: &Bytes) -> Result<KvReply, CallError> {
    // What is well-formed and still refused so is larger than is allowed by now.
    let no_lease = |changes: &[KvChange], body: &Bytes| {
        let value: serde_json::Value = parse(body)?;
        let known = wire::is_no_such_lease(&value);
        let held = changes.iter().any(|c| matches!(c, KvChange::Put { lease: Some(_), .. }));
        match (known, held) {
            (true, _) => Ok(KvReply::NoSuchLease),
            (false, true) => Err(CallError::OutcomeUnknown),
            (false, false) => Err(CallError::TooLarge),
        }
    };
    match (op, status) {
        (KvRequest::Get { .. }, 200) => {
            Ok(KvReply::Value(Some(KeyValue::from(parse::<wire::KeyValueMessage>(body)?))))
        }
        (KvRequest::Get { .. }, 404) => parse::<wire::RevisionMessage>(body).map(|_| KvReply::Value(None)),
        (KvRequest::List { .. }, 200) => {
            let page: wire::KeyPage = parse(body)?;
            let rows = page.rows.into_iter().map(KeyValue::from).collect();
            Ok(KvReply::Page { rows, truncated: page.truncated, revision: page.revision })
        }
        (KvRequest::Txn { .. }, 200) => {
            parse::<wire::RevisionMessage>(body).map(|e| KvReply::Committed { revision: e.revision })
        }
        (KvRequest::Txn { .. }, 409) => {
            parse::<wire::ConflictMessage>(body).map(|f| KvReply::Conflict { failed: f.failed })
        }
        (KvRequest::Txn { changes, .. }, 400) => no_lease(changes, body),
        (KvRequest::GrantLease { .. }, 200) => {
            parse::<wire::LeaseMessage>(body).map(|h| KvReply::LeaseGranted { lease: h.lease })
        }
        (KvRequest::RenewLease { .. }, 200) => Ok(KvReply::LeaseRenewed),
        (KvRequest::RenewLease { .. }, 404) => Ok(KvReply::NoSuchLease),
        (KvRequest::RevokeLease { .. }, 200 | 204 | 404) => Ok(KvReply::LeaseRenewed),
        (KvRequest::Watch { .. }, 200) => {
            let events: wire::WatchMessage = parse(body)?;
            let epoch = events.revision;
            let events = events.into_events().ok_or(CallError::OutcomeUnknown)?;
            Ok(KvReply::Events { revision: epoch, events })
        }
        (KvRequest::Watch { .. }, 410) => Ok(KvReply::Compacted),
        _ => Err(CallError::OutcomeUnknown),
    }
}
