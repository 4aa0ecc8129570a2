//! What a gateway fetches from other gateways: the store's records when it starts while the store
//! is unavailable, and later a configuration that the store does not deliver to it.
//!
//! The records are as recent as those that the other gateway itself uses. They are
//! replaced by the store's own as soon as it answers, and not taken over after that.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, StatusCode};
use log::info;
use prost::Message;
use tokio::time;

use crate::{
    gateway::{
        follow::{EndpointUpdater, RecordSource, RouteUpdater},
        shared::SharedState,
    },
    gossip::{CachedRecord, CachedRecords},
    http::{self, Client, ClientError, Reply, ReplyAborted},
    platform::{CONFIG_KEY, KeyedRecord},
};

/// Interval between rounds of requests to other gateways. An available store answers
/// before the first round.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Most gateways that are asked per round.
const GATEWAYS_PER_ROUND: usize = 3;
/// Timeout of a request. The answer may be a few hundred kilobytes from another region.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
const PATH: &str = "/-/known";
const CONFIGURATION_PATH: &str = "/-/configuration";

/// The latest records of the store, unchanged.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreCache {
    /// The configuration in force.
    pub(super) configuration: Option<Bytes>,
    /// Registrations by endpoint id.
    pub(super) registrations: BTreeMap<String, Bytes>,
}

impl From<&StoreCache> for CachedRecords {
    fn from(cache: &StoreCache) -> Self {
        let records = cache.registrations.iter();
        let records = records.map(|(key, v)| CachedRecord { key: key.clone(), value: v.to_vec() });
        Self {
            configuration: cache.configuration.as_deref().unwrap_or_default().to_vec(),
            registrations: records.collect(),
        }
    }
}

/// Answers the request of a gateway for the cached records, or for the configuration alone.
pub(super) async fn handle(
    shared: Arc<SharedState>,
    req: Request<http::RequestBody>,
) -> Result<Reply, ReplyAborted> {
    let state = shared.lock();
    let Some(configuration) = &state.cache.configuration else {
        return Ok(http::text(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration is cached here\n",
        ));
    };
    Ok(match req.uri().path() {
        PATH => http::text(StatusCode::OK, CachedRecords::from(&state.cache).encode_to_vec()),
        CONFIGURATION_PATH => http::text(StatusCode::OK, configuration.clone()),
        _ => http::text(StatusCode::NOT_FOUND, "no such path\n"),
    })
}

/// Fetches records from other gateways until there are routes, from them or the store.
pub(super) async fn fetch_from_gateways(shared: Arc<SharedState>, mut others: Vec<SocketAddr>) {
    while shared.version().is_none() {
        time::sleep(ROUND_INTERVAL).await;
        // Gateways that start together spread their requests over the others.
        fastrand::shuffle(&mut others);
        for other in others.iter().take(GATEWAYS_PER_ROUND) {
            if shared.version().is_some() {
                return;
            }
            if let Some(records) = fetch(*other).await {
                apply(&shared, *other, records);
            }
        }
    }
}

/// Takes over the configuration of another gateway if it is newer.
pub(super) async fn fetch_configuration(shared: Arc<SharedState>, other: SocketAddr) {
    match call(other, CONFIGURATION_PATH).await {
        Ok(text) => apply_configuration(&shared, other, text),
        Err(err) => info!("event=configuration_not_fetched at={other} error=\"{err}\""),
    }
}

async fn fetch(other: SocketAddr) -> Option<CachedRecords> {
    // Gateways that fail to answer, or have no records, are asked again in a later round.
    CachedRecords::decode(call(other, PATH).await.ok()?).ok()
}

async fn call(other: SocketAddr, path: &str) -> Result<Bytes, ClientError> {
    let client = Client::new(other);
    client.call(Method::GET, path, HeaderMap::new(), Bytes::new(), REQUEST_TIMEOUT).await
}

fn apply_configuration(shared: &Arc<SharedState>, other: SocketAddr, text: Bytes) {
    let record = KeyedRecord { key: CONFIG_KEY.to_owned(), value: Some(text) };
    let mut updater = RouteUpdater { shared: shared.clone() };
    updater.apply(vec![record], &RecordSource::Gateway(other));
}

fn apply(shared: &Arc<SharedState>, other: SocketAddr, records: CachedRecords) {
    let keyed = |r: CachedRecord| KeyedRecord { key: r.key, value: Some(r.value.into()) };
    let registrations: Vec<KeyedRecord> = records.registrations.into_iter().map(keyed).collect();
    let count = registrations.len();
    // An endpoint that the store no longer lists would stay, as its removal was read before.
    if !shared.lock().knows_registrations {
        EndpointUpdater::new(shared.clone()).apply(registrations);
    }
    apply_configuration(shared, other, records.configuration.into());
    if let Some(version) = shared.version() {
        info!("event=known_from_peer at={other} version={version} endpoints={count}");
    }
}
