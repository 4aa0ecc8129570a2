//! Datagrams between the processes of the system: all of them hints.
//!
//! A lost datagram costs a little time; the next one says the same again.

mod messages;
mod socket;

pub use messages::{
    Body, Datagram, Demand, Held, Hello, KnownRecord, KnownRecords, Load, Peer, State, Suspicion,
    Wish, WishKind,
};
pub use socket::{MAX_DATAGRAM_BYTES, Socket, some_names};
