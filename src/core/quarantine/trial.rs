//! Runs that show whether a suspect was blamed wrongly.

/// Whether a request that has a blamed suspect may run to show whether it was blamed wrongly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial {
    /// It may run.
    Due,
    /// It must not: no run of a suspect was sound, as far as this process knows.
    NeverSound,
    /// Not yet: a suspect was blamed or crashed an endpoint recently, or trials have crashed.
    Paused,
    /// Not here: another process runs the trials of the suspect.
    Elsewhere,
    /// Not now: another trial of the suspect has not ended.
    Running,
}

impl Trial {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Due => "due",
            Self::NeverSound => "never_sound",
            Self::Paused => "paused",
            Self::Elsewhere => "elsewhere",
            Self::Running => "running",
        }
    }
}
