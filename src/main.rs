//! The goldcrestpitch binary.

fn main() {}
