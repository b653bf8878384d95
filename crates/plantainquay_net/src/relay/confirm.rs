//! Confirms the state of a process while a search for a flow waits for it.
//!
//! Watches and long polls confirm the state about once a second anyway. A search needs a
//! confirmation from after its start, and its caller waits for the result.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use ntex::client::Client;
use ntex::time::{Millis, sleep, timeout};
use plantainquay_core::Fleet;
use plantainquay_schema::{Changes, RelaySettings};

use super::fetch::{Poll, fetch_changes};
use super::source_cache::SourceCache;
use super::{FleetState, StoreError, StoreReader};
use crate::event;

/// Minimum time between two confirmations by the store, which bounds the calls to it.
const MIN_STORE_INTERVAL: Millis = Millis(20);
/// Minimum time between two confirmations by a source, which serves many processes.
const MIN_SOURCE_INTERVAL: Millis = Millis(30);
/// Timeout of a request to a source, which itself waits for the store.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Confirms the state on request until the process ends; must run in an ntex system.
///
/// A process that reads the store asks the store, others ask one of their sources.
pub async fn confirm_on_request(
    settings: RelaySettings,
    state: Arc<FleetState>,
    store: Rc<StoreReader>,
) {
    let client = Client::new().await;
    let mut requests = state.subscribe_confirmation_requests();
    let mut can_confirm = true;
    let mut source_cache = SourceCache::default();
    while requests.changed().await.is_ok() {
        let sources = source_cache.sources(&settings, &state);
        let (result, min_interval) = if sources.is_empty() {
            (ask_store(&state, &store).await, MIN_STORE_INTERVAL)
        } else {
            let result = ask_sources(&state, &client, &sources).await;
            (result, MIN_SOURCE_INTERVAL)
        };
        // Further failures of one outage aren't logged.
        if let Err(reason) = &result
            && can_confirm
        {
            event(Level::Warn, "view_unconfirmed", &[("reason", reason)]);
        }
        can_confirm = result.is_ok();
        sleep(min_interval).await;
    }
}

async fn ask_store(state: &FleetState, store: &StoreReader) -> Result<(), String> {
    let revision = state.with_fleet(Fleet::revision);
    let changes = (store.confirm)(revision).await.map_err(|e| e.to_string())?;
    if changes.revision.era != revision.era {
        return Err(StoreError::HistoryGone.to_string());
    }
    state.apply(changes, "store");
    Ok(())
}

/// Asks one source after another until one confirms its state.
async fn ask_sources(
    state: &FleetState,
    client: &Client,
    sources: &[SocketAddr],
) -> Result<(), String> {
    let mut result = Ok(());
    for source in sources {
        let start = state.now();
        let response = fetch_changes(client, *source, state.version(), Poll::Confirmation);
        let response = timeout(SOURCE_TIMEOUT, response).await;
        match response.unwrap_or_else(|()| Err("timeout".to_owned())) {
            Ok(changes) => {
                // The source has confirmed its state after it received the request.
                let age = Some(state.now().since(start));
                state.apply(Changes { age, ..changes }, "peer");
                return Ok(());
            }
            Err(error) => result = Err(format!("{source}: {error}")),
        }
    }
    result
}
