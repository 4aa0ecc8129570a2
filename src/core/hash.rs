//! Hashes that every process computes alike.

use twox_hash::XxHash64;

const SEED: u64 = 0x676f_6c64;

/// Hashes parts in order, with their lengths, so that no two lists collide by concatenation.
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

/// A hash of parts as a number from 0 up to 1.
///
/// ```
/// use goldcrestpitch::core::hash::unit_interval;
/// assert!((0.0..1.0).contains(&unit_interval(&[b"a"])));
/// ```
pub fn unit_interval(parts: &[&[u8]]) -> f64 {
    stable(parts) as f64 / (u64::MAX as f64 + 1.0)
}

/// Rendezvous hashing: the member of `members` that ranks first for `key`.
///
/// ```
/// use goldcrestpitch::core::hash::rendezvous;
/// let all = ["a", "b", "c"];
/// let home = rendezvous(b"key", all.iter().copied()).unwrap();
/// // Removing another member does not move the key.
/// let rest = all.iter().copied().filter(|m| *m == home);
/// assert_eq!(rendezvous(b"key", rest), Some(home));
/// ```
pub fn rendezvous<'a>(key: &[u8], members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|m| (stable(&[key, m.as_bytes()]), *m))
}
