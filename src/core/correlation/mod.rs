//! Correlation of responses with the requests that caused them.

mod connection_history;
mod response_id;

pub use connection_history::ConnectionHistory;
pub use response_id::ResponseId;
