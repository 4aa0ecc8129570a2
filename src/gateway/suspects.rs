//! What log lines and refusals say about the suspects of crashes.

use std::{
    fmt,
    time::{Duration, Instant},
};

use log::info;

use crate::{
    core::{
        ids::{Fingerprint, SegmentId},
        quarantine::Suspect,
    },
    gateway::shared::State,
};

/// Segments with fewer crashes, counted or cleared, have no log lines: most of them belong
/// to requests that only ran beside the cause of one crash.
const MIN_LOGGED_CRASHES: usize = 2;

/// A suspect as log lines show it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Label(pub(super) Option<Suspect>);

impl fmt::Display for Label {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            None => f.write_str("-"),
            Some(Suspect::Request(fingerprint)) => write!(f, "request:{fingerprint:016x}"),
            Some(Suspect::Segment(segment)) => write!(f, "segment:{segment:016x}"),
        }
    }
}

/// The crashes while a whole request ran, as log lines show them.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnCrashes {
    all: usize,
    // Those that no other suspect explains.
    unexplained: usize,
}

impl fmt::Display for OwnCrashes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "own={} unexplained={}", self.all, self.unexplained)
    }
}

impl State {
    /// The crashes while the request ran.
    pub(super) fn own_crashes(&self, now: Instant, fingerprint: Fingerprint) -> OwnCrashes {
        let history = self.gate.history();
        let (all, unexplained) =
            (history.crashes(fingerprint), history.unexplained(now, fingerprint));
        OwnCrashes { all, unexplained }
    }

    /// Number of crashes that may be due to a suspect and were cleared.
    fn cleared_crashes(&self, suspect: Suspect) -> usize {
        self.gate.report(suspect).map_or(0, |r| r.cleared.len())
    }

    /// Whether there are log lines of the suspect.
    pub(super) fn is_logged(&self, suspect: Suspect) -> bool {
        let known = || self.gate.crashes(suspect) + self.cleared_crashes(suspect);
        suspect.request().is_some() || MIN_LOGGED_CRASHES <= known()
    }

    /// Whether so many crashes are attributed to the suspect that it must not run.
    pub(super) fn is_blamed(&self, now: Instant, suspect: Suspect) -> bool {
        match suspect {
            Suspect::Request(fingerprint) => self.gate.history().is_blamed(now, fingerprint),
            Suspect::Segment(segment) => self.gate.segments().is_blamed(segment),
        }
    }

    /// The request or the segment of its prompt to which most crashes are attributed, and
    /// their number.
    pub(super) fn likeliest_suspect(
        &self,
        now: Instant,
        fingerprint: Fingerprint,
        segments: &[SegmentId],
    ) -> Option<(Suspect, usize)> {
        let segments = segments.iter().copied().map(Suspect::Segment);
        let all = std::iter::once(Suspect::Request(fingerprint)).chain(segments);
        let counted = all.map(|s| (s, self.gate.crashes(s))).filter(|(_, crashes)| 0 < *crashes);
        counted.max_by_key(|(s, crashes)| (self.is_blamed(now, *s), *crashes))
    }

    /// Logs that crashes no longer count against suspects.
    pub(super) fn log_cleared(&self, now: Instant, cleared: &[Suspect], endpoint: &str) {
        for suspect in cleared.iter().filter(|s| self.is_logged(**s)) {
            info!(
                "event=suspect_cleared suspect={} crashes={} cleared={} age_ms={} \
                 endpoint={endpoint}",
                Label(Some(*suspect)),
                self.gate.crashes(*suspect),
                self.cleared_crashes(*suspect),
                self.suspect_age(now, *suspect).as_millis(),
            );
        }
    }

    /// Time since the last crash that was learned.
    fn suspect_age(&self, now: Instant, suspect: Suspect) -> Duration {
        let age = match suspect {
            Suspect::Request(fingerprint) => self.gate.history().age(now, fingerprint),
            Suspect::Segment(segment) => self.gate.segments().age(now, segment),
        };
        age.unwrap_or_default()
    }
}
