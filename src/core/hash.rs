//! Hashes with the same value in every process and on every start.

use twox_hash::XxHash64;

// Changing the seed moves every key to another partition and owner.
const SEED: u64 = 0x676f_6c64;

/// Hashes parts in order. The length of each part is hashed too, so that lists with the
/// same concatenation get different hashes.
///
/// ```
/// use goldcrestpitch::core::hash::stable;
/// assert_ne!(stable(&[b"ab", b"c"]), stable(&[b"a", b"bc"]));
/// ```
pub fn stable(parts: &[&[u8]]) -> u64 {
    use std::hash::Hasher;
    let mut h = XxHash64::with_seed(SEED);
    for part in parts {
        h.write(&(part.len() as u64).to_le_bytes());
        h.write(part);
    }
    h.finish()
}

/// Hashes parts to a number in the interval [0, 1).
///
/// ```
/// use goldcrestpitch::core::hash::unit_interval;
/// assert!((0.0..1.0).contains(&unit_interval(&[b"a"])));
/// ```
pub fn unit_interval(parts: &[&[u8]]) -> f64 {
    stable(parts) as f64 / (u64::MAX as f64 + 1.0)
}

/// Rendezvous hashing: returns the member with the highest hash for `key`, `None` when
/// there are no members.
///
/// ```
/// use goldcrestpitch::core::hash::rendezvous;
/// let all = ["a", "b", "c"];
/// let owner = rendezvous(b"key", all.iter().copied()).unwrap();
/// // Removing another member does not move the key.
/// let rest = all.iter().copied().filter(|m| *m == owner);
/// assert_eq!(rendezvous(b"key", rest), Some(owner));
/// ```
pub fn rendezvous<'a>(key: &[u8], members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|m| (stable(&[key, m.as_bytes()]), *m))
}
