//! Simulated upstream that serves a feed of ticks, bookings and files.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use futures_util::stream::unfold;
use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use parking_lot::Mutex;
use plantainquay_schema::wire::stand_in::{Ledger, UpstreamSettings};

/// Request header with the service that the caller intends to reach.
const SERVICE_HEADER: &str = "meant-for";

#[derive(Debug)]
struct UpstreamState {
    settings: UpstreamSettings,
    counters: Mutex<Counters>,
}

#[derive(Debug, Default)]
struct Counters {
    ledger: Ledger,
    running_bookings: u32,
}

/// Decrements the number of open feeds when the feed's response stream is dropped.
#[derive(Debug)]
struct OpenFeedGuard(Arc<UpstreamState>);

type State = web::types::State<Arc<UpstreamState>>;

/// Runs an upstream until the process exits.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub fn run_upstream(settings: UpstreamSettings) -> Result<()> {
    let bind = settings.bind.clone();
    let state = Arc::new(UpstreamState {
        settings,
        counters: Mutex::default(),
    });
    let system = ntex::rt::System::build()
        .name("upstream")
        .build(ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let server = HttpServer::new(async move || {
            App::new()
                .state(Arc::clone(&state))
                .service((feed, booking, file, ledger))
        });
        server.workers(1).bind(bind)?.run().await?;
        Ok(())
    })
}

/// Returns the content of the file of `size` bytes, identical at every upstream of `service`.
#[must_use]
pub fn file_bytes(service: &str, size: usize) -> Vec<u8> {
    service
        .bytes()
        .cycle()
        .zip(0_u8..=250)
        .map(|(a, b)| a ^ b)
        .cycle()
        .take(size)
        .collect()
}

#[web::get("/feed")]
async fn feed(req: HttpRequest, state: State) -> HttpResponse {
    count_if_misdelivered(&req, &state);
    let state = Arc::clone(&state);
    state.counters.lock().ledger.open_feeds += 1;
    let tick = Duration::from_millis(state.settings.tick_ms);
    let ticks = unfold((OpenFeedGuard(state), 0_u64), move |(feed, n)| async move {
        if n > 0 {
            tokio::time::sleep(tick).await;
        }
        let settings = &feed.0.settings;
        let line = format!("tick {n} {} {}\n", settings.service, settings.number);
        Some((Ok::<_, io::Error>(Bytes::from(line)), (feed, n + 1)))
    });
    HttpResponse::Ok().streaming(Box::pin(ticks))
}

#[web::post("/bookings/{id}")]
async fn booking(req: HttpRequest, id: web::types::Path<String>, state: State) -> HttpResponse {
    count_if_misdelivered(&req, &state);
    state.counters.lock().start_booking(&id);
    tokio::time::sleep(Duration::from_millis(state.settings.booking_ms)).await;
    state.counters.lock().running_bookings -= 1;
    let settings = &state.settings;
    HttpResponse::Ok().body(format!(
        "confirmed {id} {} {}\n",
        settings.service, settings.number
    ))
}

#[web::get("/files/{size}")]
async fn file(req: HttpRequest, size: web::types::Path<usize>, state: State) -> HttpResponse {
    count_if_misdelivered(&req, &state);
    HttpResponse::Ok().body(file_bytes(&state.settings.service, *size))
}

#[web::get("/ledger")]
async fn ledger(state: State) -> HttpResponse {
    let mut ledger = state.counters.lock().ledger.clone();
    ledger.service.clone_from(&state.settings.service);
    ledger.number = state.settings.number;
    HttpResponse::Ok().json(&ledger)
}

fn count_if_misdelivered(req: &HttpRequest, state: &UpstreamState) {
    let requested_service = req.headers().get(SERVICE_HEADER);
    let requested_service = requested_service.and_then(|value| value.to_str().ok());
    if requested_service != Some(state.settings.service.as_str()) {
        state.counters.lock().ledger.misdelivered += 1;
    }
}

impl Counters {
    fn start_booking(&mut self, id: &str) {
        *self.ledger.runs.entry(id.to_owned()).or_default() += 1;
        self.running_bookings += 1;
        self.ledger.most_running = self.ledger.most_running.max(self.running_bookings);
    }
}

impl Drop for OpenFeedGuard {
    fn drop(&mut self) {
        self.0.counters.lock().ledger.open_feeds -= 1;
    }
}
