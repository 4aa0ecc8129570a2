//! What a schedule showed.

use crate::workload::Causes;

/// The end of an endpoint by a request.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    pub at: u64,
    pub causes: Causes,
}

/// A send of a request that ends its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Send {
    pub at: u64,
    pub causes: Causes,
    /// Whether the gateway was undisturbed.
    pub calm: bool,
}

/// The first attempt of a sound request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub at: u64,
    pub first_segment: u64,
    /// Whether the gateway allowed it, if it still ran when it decided.
    pub allowed: Option<bool>,
}

/// The refusal of a sound request.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    pub at: u64,
    /// Whether it was refused only because the permit took too long.
    pub waited: bool,
    /// Whether it came later than disturbances and lost datagrams explain.
    pub later: bool,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub crashes: Vec<Crash>,
    pub sends: Vec<Send>,
    pub attempts: Vec<Attempt>,
    pub refusals: Vec<Refusal>,
    pub completed: usize,
}

impl Outcome {
    /// Time of the crash with this number, counted from 1, among those by a cause.
    pub fn crash_at(&self, causes: Causes, number: usize) -> Option<u64> {
        let crashes = self.crashes.iter().filter(|c| c.causes & causes != 0);
        crashes.map(|c| c.at).nth(number - 1)
    }

    /// Sends by undisturbed gateways later than `delay` after the crash with this number.
    pub fn late_sends(&self, causes: Causes, number: usize, delay: u64) -> usize {
        let Some(last) = self.crash_at(causes, number) else { return 0 };
        let sends = self.sends.iter().filter(|s| s.causes & causes != 0);
        sends.filter(|s| s.calm && last + delay < s.at).count()
    }
}
