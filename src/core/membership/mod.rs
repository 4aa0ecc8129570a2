//! The other processes of the same role.

mod contacts;

pub use contacts::Contacts;
