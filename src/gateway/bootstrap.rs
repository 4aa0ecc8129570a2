//! Start of a gateway while the store is unavailable: it fetches the store's records
//! from other gateways.
//!
//! The records are as recent as those that the other gateway itself uses. They are
//! replaced by the store's own as soon as it answers.

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
    http::{self, Client, Reply, ReplyAborted},
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

/// Answers the request of a gateway for the cached records.
pub(super) async fn handle(
    shared: Arc<SharedState>,
    req: Request<http::RequestBody>,
) -> Result<Reply, ReplyAborted> {
    if req.uri().path() != PATH {
        return Ok(http::text(StatusCode::NOT_FOUND, "no such path\n"));
    }
    let records = CachedRecords::from(&shared.lock().cache);
    if records.configuration.is_empty() {
        return Ok(http::text(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration is cached here\n",
        ));
    }
    Ok(http::text(StatusCode::OK, records.encode_to_vec()))
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

async fn fetch(other: SocketAddr) -> Option<CachedRecords> {
    let client = Client::new(other);
    let call = client.call(Method::GET, PATH, HeaderMap::new(), Bytes::new(), REQUEST_TIMEOUT);
    // Gateways that fail to answer, or have no records, are asked again in a later round.
    CachedRecords::decode(call.await.ok()?).ok()
}

fn apply(shared: &Arc<SharedState>, other: SocketAddr, records: CachedRecords) {
    let keyed = |key: &str, value: Vec<u8>| KeyedRecord {
        key: key.to_owned(),
        value: Some(Bytes::from(value)),
    };
    let registrations: Vec<KeyedRecord> =
        records.registrations.into_iter().map(|r| keyed(&r.key, r.value)).collect();
    let count = registrations.len();
    EndpointUpdater::new(shared.clone()).apply(registrations);
    let configuration = vec![keyed(CONFIG_KEY, records.configuration)];
    RouteUpdater { shared: shared.clone() }.apply(configuration, &RecordSource::Gateway(other));
    if let Some(version) = shared.version() {
        info!("event=known_from_peer at={other} version={version} endpoints={count}");
    }
}
