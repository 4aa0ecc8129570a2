//! Segments of prompts that crash endpoints, in virtual time.

mod attribution;
mod gateway;
mod proofs;
mod reports;
mod trials;
