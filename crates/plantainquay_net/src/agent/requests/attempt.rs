//! One attempt to send a request to the upstream.

use std::time::Duration;

use ntex::client::Client;
use ntex::client::error::ClientError;
use ntex::http::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName};
use ntex::http::{Method, StatusCode};
use ntex::time::Millis;
use ntex::util::Bytes;
use plantainquay_core::requests::{NotRunReason, Outcome, UnknownReason};

use super::RoutedRequest;

/// Largest accepted response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Response header of an upstream that refused a request without running it.
const NOT_RUN_HEADER: &str = "plantainquay-not-run";

/// A caller's request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) method: Method,
    /// Path and query.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// A complete response of an upstream.
#[derive(Debug)]
pub(super) struct UpstreamResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// Sends the request to the upstream and waits for the complete response.
pub(super) async fn send_to_upstream(
    client: &Client,
    routed: &RoutedRequest,
    request: &Request,
    remaining: Duration,
) -> Result<UpstreamResponse, Outcome> {
    let url = format!("http://{}{}", routed.endpoint, request.path);
    let timeout = Millis(
        u32::try_from(remaining.as_millis())
            .unwrap_or(u32::MAX)
            .max(1),
    );
    let mut outgoing = client.request(request.method.clone(), url).timeout(timeout);
    for (name, value) in request
        .headers
        .iter()
        .filter(|(name, _)| is_forwarded(name))
    {
        outgoing.headers_mut().append(name.clone(), value.clone());
    }
    let response = outgoing.send_body(request.body.clone()).await;
    let response = response.map_err(|error| failure_outcome(&error))?;
    if response.headers().contains_key(NOT_RUN_HEADER) {
        return Err(Outcome::NotRun(NotRunReason::UpstreamRefused));
    }
    let body = response
        .body()
        .limit(MAX_RESPONSE_BYTES)
        .timeout(timeout)
        .await;
    let body = body.map_err(|_e| Outcome::Unknown(UnknownReason::ConnectionLost))?;
    Ok(UpstreamResponse {
        status: response.status(),
        headers: response.headers().clone(),
        body,
    })
}

/// Returns true if a header is forwarded: neither hop-by-hop nor set by the HTTP library.
pub(super) fn is_forwarded(name: &HeaderName) -> bool {
    const HOP_BY_HOP: [&str; 4] = ["keep-alive", "transfer-encoding", "upgrade", "te"];
    let set_by_library = [HOST, CONNECTION, CONTENT_LENGTH];
    !set_by_library.contains(name) && !HOP_BY_HOP.contains(&name.as_str())
}

/// Maps a client error to an outcome; only a failure to connect proves that the request never ran.
fn failure_outcome(error: &ClientError) -> Outcome {
    match error {
        ClientError::Connect(_) | ClientError::Url(_) => {
            Outcome::NotRun(NotRunReason::NoConnection)
        }
        ClientError::Timeout => Outcome::Unknown(UnknownReason::Timeout),
        _ => Outcome::Unknown(UnknownReason::ConnectionLost),
    }
}
