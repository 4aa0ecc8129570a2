//! What a gateway that starts while the store is away takes from others.
//!
//! It is no older than what the other serves by; the store, once it is back,
//! replaces it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, StatusCode, body::Incoming};
use log::info;
use prost::Message;
use tokio::time;

use crate::{
    fleet::Followed,
    gateway::{
        follow::{Endpoints, Routes},
        shared::SharedState,
    },
    gossip::{CachedRecord, CachedRecords},
    http::{self, Broken, Client, Reply},
    platform::{CONFIG_KEY, KeyedRecord},
};

/// Time between rounds of questions. A store that is there answers sooner.
const ASK_EVERY: Duration = Duration::from_millis(250);
/// Most others that are asked in a round.
const ASKED_AT_ONCE: usize = 3;
/// Time for an answer: a few hundred kilobytes between regions.
const ANSWER_LIMIT: Duration = Duration::from_millis(800);
const PATH: &str = "/-/known";

/// Records as the store gave them.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreCache {
    /// The configuration in force.
    pub(super) configuration: Option<Bytes>,
    /// Registrations by endpoint.
    pub(super) registrations: BTreeMap<String, Bytes>,
}

impl From<&StoreCache> for CachedRecords {
    fn from(known: &StoreCache) -> Self {
        let records = known.registrations.iter();
        let records = records.map(|(key, v)| CachedRecord { key: key.clone(), value: v.to_vec() });
        Self {
            configuration: known.configuration.as_deref().unwrap_or_default().to_vec(),
            registrations: records.collect(),
        }
    }
}

/// Answers a gateway that asks.
pub(super) async fn answer(
    shared: Arc<SharedState>,
    req: Request<Incoming>,
) -> Result<Reply, Broken> {
    if req.uri().path() != PATH {
        return Ok(http::text(StatusCode::NOT_FOUND, "no such path\n"));
    }
    let records = CachedRecords::from(&shared.lock().cache);
    if records.configuration.is_empty() {
        return Ok(http::text(StatusCode::SERVICE_UNAVAILABLE, "nothing is known here\n"));
    }
    Ok(http::text(StatusCode::OK, records.encode_to_vec()))
}

/// Asks other gateways as long as the store has told no routes.
pub(super) async fn ask_others(shared: Arc<SharedState>, mut others: Vec<SocketAddr>) {
    while shared.version().is_none() {
        time::sleep(ASK_EVERY).await;
        // Not all that start at once ask the same ones.
        fastrand::shuffle(&mut others);
        for other in others.iter().take(ASKED_AT_ONCE) {
            if shared.version().is_some() {
                return;
            }
            if let Some(records) = ask(*other).await {
                take(&shared, *other, records);
            }
        }
    }
}

async fn ask(other: SocketAddr) -> Option<CachedRecords> {
    let client = Client::new(other);
    let call = client.call(Method::GET, PATH, HeaderMap::new(), Bytes::new(), ANSWER_LIMIT);
    // Who does not answer, or knows nothing, is asked again in the next round.
    CachedRecords::decode(call.await.ok()?).ok()
}

fn take(shared: &Arc<SharedState>, other: SocketAddr, records: CachedRecords) {
    let keyed = |key: &str, value: Vec<u8>| KeyedRecord {
        key: key.to_owned(),
        value: Some(Bytes::from(value)),
    };
    let registrations: Vec<KeyedRecord> =
        records.registrations.into_iter().map(|r| keyed(&r.key, r.value)).collect();
    let count = registrations.len();
    Endpoints::new(shared.clone()).changed(registrations);
    Routes { shared: shared.clone() }.changed(vec![keyed(CONFIG_KEY, records.configuration)]);
    if let Some(version) = shared.version() {
        info!("event=known_from_peer at={other} version={version} endpoints={count}");
    }
}
