//! The history of calls under one key, checked for linearizability.

use todc_utils::{Action, History, Specification, WGLChecker};

/// What a call came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Still open.
    Pending,
    /// Answered with the result of this run.
    Ran(u64),
    /// Refused as not run.
    NotRun,
    /// Nothing is known.
    Unknown,
}

/// A key runs once; every answer is the answer of that run.
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

/// Whether calls and answers, in the order of time, fit a key that runs once.
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
