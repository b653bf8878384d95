//! Client for the changes of routes and upstreams that another process serves.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::client::Client;
use ntex::http::StatusCode;
use plantainquay_core::FleetVersion;
use plantainquay_schema::{Changes, wire};
use prost::Message as _;

/// Largest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// What the other process waits for before it responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Poll {
    /// A change, for up to this time.
    Changes(Duration),
    /// A confirmation that its state matches the store, for a limited time.
    Confirmation,
}

/// Requests the changes that are newer than `since` from the process at `source`.
///
/// # Errors
///
/// Returns a description of the failure if there is no valid response.
pub async fn fetch_changes(
    client: &Client,
    source: SocketAddr,
    since: FleetVersion,
    poll: Poll,
) -> Result<Changes, String> {
    let wait = match poll {
        Poll::Changes(wait) => wait,
        Poll::Confirmation => Duration::ZERO,
    };
    let mut url = format!(
        "http://{source}/v1/changes?generation={}&era={}&revision={}&wait_ms={}",
        since.generation,
        since.revision.era,
        since.revision.number,
        wait.as_millis()
    );
    if let Some(digest) = since.routes_digest {
        // Writing to a string never fails.
        let _infallible = write!(url, "&routes={digest}");
    }
    if let Some(span) = since.history_span {
        let _infallible = write!(url, "&history_ms={}", span.as_millis());
    }
    if poll == Poll::Confirmation {
        url.push_str("&confirm=true");
    }
    let response = client.get(url).send().await;
    let response = response.map_err(|error| error.to_string())?;
    if response.status() != StatusCode::OK {
        return Err(format!("status {}", response.status().as_u16()));
    }
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|error| error.to_string())?;
    let changes = wire::fleet::Changes::decode(body).map_err(|error| error.to_string())?;
    Changes::try_from(changes).map_err(|errors| errors.to_string())
}
