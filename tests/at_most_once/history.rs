//! Checks the history of the calls with one key for linearizability.

use todc_utils::{Action, History, Specification, WGLChecker};

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Not answered yet.
    Pending,
    /// Answered with the result of the run with this id.
    Ran(u64),
    /// Refused as not run.
    NotRun,
    /// It is unknown whether the call ran.
    Unknown,
}

/// Sequential specification: a key runs at most once, and every answer is that of
/// the one run.
struct RunsOnce;

impl Specification for RunsOnce {
    type State = Option<u64>;
    type Operation = Call;

    fn init() -> Self::State {
        None
    }

    fn apply(call: &Call, state: &Self::State) -> (bool, Self::State) {
        match call {
            Call::Ran(run) => (state.is_none_or(|s| s == *run), Some(*run)),
            Call::NotRun | Call::Unknown | Call::Pending => (true, *state),
        }
    }
}

/// Whether calls and responses, ordered by time, are linearizable for a key that runs
/// at most once.
pub fn is_linearizable(events: &[(usize, Call, bool)]) -> bool {
    if events.is_empty() {
        return true;
    }
    let actions = events.iter().map(|(process, call, is_call)| {
        let action = if *is_call { Action::Call(*call) } else { Action::Response(*call) };
        (*process, action)
    });
    WGLChecker::<RunsOnce>::is_linearizable(History::from_actions(actions.collect()))
}
