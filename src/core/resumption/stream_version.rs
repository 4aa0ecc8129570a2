//! The version at which a stream goes on, fixed with the first event that the caller gets.

use crate::core::{
    ids::VersionId,
    resumption::{LookupState, Origin},
};

/// The software version of a stream.
///
/// ```
/// use goldcrestpitch::core::resumption::StreamVersion;
/// let begun = StreamVersion::Open.admit(1, true).unwrap();
/// assert_eq!(begun, StreamVersion::Fixed(1));
/// assert_eq!(begun.admit(2, true), None);
/// assert_eq!(StreamVersion::Open.admit(1, false), Some(StreamVersion::Unsure));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamVersion {
    /// The caller has no event yet: any version may serve.
    Open,
    /// The caller has events of an endpoint that may have been started again with another one.
    Unsure,
    /// The caller has events of this one.
    Fixed(VersionId),
}

impl StreamVersion {
    /// The version that the next run needs.
    pub fn required(self) -> Option<VersionId> {
        match self {
            Self::Fixed(version) => Some(version),
            Self::Open | Self::Unsure => None,
        }
    }

    /// The version once the caller has events of a run at an endpoint of this one; `None` if it
    /// must not get them. `is_certain` tells that the endpoint was not started again.
    pub fn admit(self, run: VersionId, is_certain: bool) -> Option<Self> {
        match (self, is_certain) {
            (Self::Fixed(version), true) if version == run => Some(self),
            (Self::Fixed(_), _) => None,
            (Self::Open | Self::Unsure, true) => Some(Self::Fixed(run)),
            (Self::Open | Self::Unsure, false) => Some(Self::Unsure),
        }
    }
}

/// The version at which a stream that a caller resumes goes on: the one that is known, or that
/// of all endpoints that may have begun it. `Err` tells why it can't go on.
///
/// ```
/// use goldcrestpitch::core::resumption::{LookupState, Origin, resumed_version};
/// assert_eq!(resumed_version(Ok(Origin::Version(1)), Some(2)), Ok((1, "known")));
/// assert_eq!(resumed_version(Err(LookupState::Unknown), Some(2)), Ok((2, "only_version")));
/// assert_eq!(resumed_version(Err(LookupState::Unknown), None), Err("unknown"));
/// ```
///
/// # Errors
/// The reason for the log.
pub fn resumed_version(
    found: Result<Origin, LookupState>,
    only_version: Option<VersionId>,
) -> Result<(VersionId, &'static str), &'static str> {
    match found {
        Ok(Origin::Version(version)) => Ok((version, "known")),
        Ok(Origin::Unsure) => Err("unsure"),
        Ok(Origin::Contradictory) => Err("contradictory"),
        Err(_) => only_version.map(|version| (version, "only_version")).ok_or("unknown"),
    }
}
