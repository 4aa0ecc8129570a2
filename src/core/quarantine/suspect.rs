//! What may have caused a crash, and reports on it for other processes.

use crate::core::ids::{CrashId, Fingerprint, HeaderHash, SegmentId};

/// What may have caused a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Suspect {
    /// A whole request, also when it is sent again.
    Request(Fingerprint),
    /// A segment of a prompt, in any request.
    Segment(SegmentId),
}

/// What a process knows of one suspect, for other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The suspect.
    pub suspect: Suspect,
    /// Crashes that it may have caused.
    pub crashes: Vec<CrashId>,
    /// Crashes that a later run of it has cleared.
    pub cleared: Vec<CrashId>,
    /// Whether a run of the segment has been sound in any process.
    pub sound: bool,
    /// Headers of the request in the run of each crash, in the same order. Empty for segments
    /// and in reports of earlier versions.
    pub headers: Vec<HeaderHash>,
}

/// A whole request, as one caller sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKey {
    /// What stays the same when the request comes again.
    pub fingerprint: Fingerprint,
    /// Headers that may change then, and may tell callers behind one address apart.
    pub headers: HeaderHash,
}

impl From<Fingerprint> for RequestKey {
    fn from(fingerprint: Fingerprint) -> Self {
        Self { fingerprint, headers: 0 }
    }
}

impl Suspect {
    /// The fingerprint, if it is a whole request.
    pub fn request(self) -> Option<Fingerprint> {
        match self {
            Self::Request(fingerprint) => Some(fingerprint),
            Self::Segment(_) => None,
        }
    }

    /// The segment, if it is one.
    pub fn segment(self) -> Option<SegmentId> {
        match self {
            Self::Segment(segment) => Some(segment),
            Self::Request(_) => None,
        }
    }
}
