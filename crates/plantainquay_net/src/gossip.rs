//! Distribution of documents between processes by gossip.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use plantainquay_core::gossip::{Comparison, PUSH_FANOUT, Peers, compare, random_peers};
use plantainquay_schema::wire::peer::documents_client::DocumentsClient;
use plantainquay_schema::wire::peer::documents_server::{Documents, DocumentsServer};
use plantainquay_schema::wire::peer::{ExchangeReply, Sealed};
use plantainquay_schema::{Document, InForce, wire};
use thiserror::Error;
use tokio::time::MissedTickBehavior;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status};

use crate::{Clock, DocumentStore, InstanceView, SealError, Sealer, event};

/// Interval of exchanges with one random peer, which cover processes that the pushes missed.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Rounds in which a new document is pushed; the second reaches most of the peers that the first
/// one missed.
const PUSH_ROUNDS: usize = 2;
const PUSH_INTERVAL: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest message, in bytes; documents of the configuration service are at most 1 MiB.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Gossip client and server of one process.
#[derive(Debug)]
pub struct Gossip {
    store: Arc<DocumentStore>,
    instances: Arc<InstanceView>,
    sealer: Sealer,
    own_address: SocketAddr,
    clock: Clock,
}

/// An error of a call to a peer.
#[derive(Debug)]
#[derive(Error)]
enum CallError {
    #[error("connection: {0}")]
    Transport(#[from] tonic::transport::Error),
    #[error("call: {0}")]
    Status(#[from] Box<Status>),
    #[error("message: {0}")]
    Seal(#[from] SealError),
    #[error("message: malformed digest")]
    Digest(#[from] std::array::TryFromSliceError),
}

impl Gossip {
    /// Creates the gossip client and server of a process, which listens on `own_address` and
    /// distributes the document of `store`.
    #[must_use]
    pub fn new(
        store: Arc<DocumentStore>,
        instances: Arc<InstanceView>,
        sealer: Sealer,
        own_address: SocketAddr,
        clock: Clock,
    ) -> Arc<Self> {
        Arc::new(Self {
            store,
            instances,
            sealer,
            own_address,
            clock,
        })
    }

    /// Serves calls of peers until the process ends.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn serve(self: Arc<Self>) -> Result<(), tonic::transport::Error> {
        let own = self.own_address;
        let service = DocumentsServer::from_arc(self)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        Server::builder().add_service(service).serve(own).await
    }

    /// Pushes each new document to peers immediately, and exchanges versions with a random peer at
    /// an interval.
    pub async fn run_exchanges(self: Arc<Self>) {
        let mut changes = self.store.subscribe();
        let mut interval = tokio::time::interval(EXCHANGE_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => self.exchange_with_peers(1),
                // The sender is in the store, which lives as long as this task.
                _changed = changes.changed() => {
                    for _ in 0..PUSH_ROUNDS {
                        self.exchange_with_peers(PUSH_FANOUT);
                        tokio::time::sleep(PUSH_INTERVAL).await;
                    }
                }
            }
        }
    }

    fn exchange_with_peers(self: &Arc<Self>, count: usize) {
        for peer in self.choose_peers(count) {
            tokio::spawn(Arc::clone(self).exchange(peer));
        }
    }

    fn choose_peers(&self, count: usize) -> Peers {
        let document = self.store.in_force();
        let instances = self.instances.get();
        let seed = self.clock.now().0 ^ u64::from(self.own_address.port()) << 48;
        random_peers(
            document.as_deref(),
            &instances,
            self.own_address,
            seed,
            count,
        )
    }

    async fn exchange(self: Arc<Self>, peer: SocketAddr) {
        if let Err(error) = self.try_exchange(peer).await {
            event(
                Level::Debug,
                "exchange_failed",
                &[("peer", &peer), ("reason", &error)],
            );
        }
    }

    async fn try_exchange(&self, peer: SocketAddr) -> Result<(), CallError> {
        let endpoint = Endpoint::from_shared(format!("http://{peer}"))?
            .connect_timeout(CALL_TIMEOUT)
            .timeout(CALL_TIMEOUT);
        let mut client = DocumentsClient::new(endpoint.connect().await?)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let own = self.store.to_in_force();
        let request = self.sealer.seal_peer(&wire::peer::InForce::from(&own));
        let reply = client
            .exchange(request)
            .await
            .map_err(Box::new)?
            .into_inner();
        let reply: ExchangeReply = self.sealer.open_peer(&reply)?;
        if let Some(document) = reply.document {
            self.offer_to_store(document, peer);
            return Ok(());
        }
        let peer_in_force = InForce::try_from(&reply.in_force.unwrap_or_default())?;
        if compare(&self.store.to_in_force(), &peer_in_force) == Comparison::OwnIsNewer {
            self.offer_to_peer(&mut client).await?;
        }
        Ok(())
    }

    async fn offer_to_peer(&self, client: &mut DocumentsClient<Channel>) -> Result<(), CallError> {
        if let Some(document) = self.store.in_force() {
            let offered = self.sealer.seal_peer(document.to_wire());
            client.offer(offered).await.map_err(Box::new)?;
        }
        Ok(())
    }

    fn offer_to_store(&self, document: wire::document::Document, source: SocketAddr) {
        match Document::try_from(document) {
            Ok(document) => {
                self.store.offer(&Arc::new(document), &source.to_string());
            }
            Err(errors) => {
                event(
                    Level::Error,
                    "document_refused",
                    &[("fault", &errors), ("peer", &source)],
                );
            }
        }
    }

    /// Builds the reply; includes the own document if it is newer than the requester's.
    fn reply_to(&self, requester: &InForce) -> ExchangeReply {
        let own = self.store.to_in_force();
        let is_newer = compare(&own, requester) == Comparison::OwnIsNewer;
        let document = self.store.in_force().filter(|_| is_newer);
        ExchangeReply {
            in_force: Some((&own).into()),
            document: document.map(|document| document.to_wire().clone()),
        }
    }
}

#[tonic::async_trait]
impl Documents for Gossip {
    async fn exchange(&self, request: Request<Sealed>) -> Result<Response<Sealed>, Status> {
        let wire: wire::peer::InForce = self.open_request(&request)?;
        let requester =
            InForce::try_from(&wire).map_err(|e| Status::invalid_argument(e.to_string()))?;
        Ok(Response::new(
            self.sealer.seal_peer(&self.reply_to(&requester)),
        ))
    }

    async fn offer(&self, request: Request<Sealed>) -> Result<Response<Sealed>, Status> {
        let document: wire::document::Document = self.open_request(&request)?;
        let source = request.remote_addr().unwrap_or(self.own_address);
        self.offer_to_store(document, source);
        let own = wire::peer::InForce::from(&self.store.to_in_force());
        Ok(Response::new(self.sealer.seal_peer(&own)))
    }
}

impl Gossip {
    fn open_request<M: prost::Message + Default>(
        &self,
        request: &Request<Sealed>,
    ) -> Result<M, Status> {
        let opened = self.sealer.open_peer(request.get_ref());
        opened.map_err(|error| {
            metrics::counter!("plantainquay_refused_calls").increment(1);
            Status::unauthenticated(error.to_string())
        })
    }
}
