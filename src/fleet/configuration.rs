//! Versions of the operator's configuration among the records of the store.

use std::fmt;

use bytes::Bytes;
use log::warn;

use crate::{
    core::forwarding::RouteTable,
    platform::{CONFIG_KEY, KeyedRecord, decode_configuration},
};

/// The newest version among the records that can be read, with its text. Older ones are not
/// decoded, so that a burst of changes stays cheap. `source` says in the log where the records
/// come from.
pub fn newest_configuration(
    records: Vec<KeyedRecord>,
    source: impl fmt::Display,
) -> Option<(RouteTable, Bytes)> {
    let versions = records.into_iter().filter(|r| r.key == CONFIG_KEY).filter_map(|r| r.value);
    versions.rev().find_map(|text| match decode_configuration(&text) {
        Ok(table) => Some((table, text)),
        Err(err) => {
            warn!("event=configuration_unreadable source={source} error=\"{err}\"");
            None
        }
    })
}
