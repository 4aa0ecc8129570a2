//! What came of a schedule.

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Streams that callers began, and those of them that had a first event.
    pub begun: usize,
    pub begun_served: usize,
    /// Streams that callers resumed while two endpoints of their version served, and those of
    /// them that went on.
    pub resumed: usize,
    pub resumed_served: usize,
    /// Streams that hold events of two versions.
    pub mixed: usize,
}

impl Outcome {
    pub fn begun_share(&self) -> f64 {
        self.begun_served as f64 / self.begun.max(1) as f64
    }

    pub fn resumed_share(&self) -> f64 {
        self.resumed_served as f64 / self.resumed.max(1) as f64
    }

    pub fn add(&mut self, other: &Self) {
        self.begun += other.begun;
        self.begun_served += other.begun_served;
        self.resumed += other.resumed;
        self.resumed_served += other.resumed_served;
        self.mixed += other.mixed;
    }
}
