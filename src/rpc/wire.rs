//! Conversions between wire messages and the types of the core.

use std::time::Duration;

use crate::{
    core::idempotency::FenceState,
    errors::{Code, Refusal},
    rpc::pb,
};

impl From<Refusal> for pb::Refused {
    fn from(refusal: Refusal) -> Self {
        Self {
            code: refusal.code.number(),
            message: refusal.message,
            retry_after_ms: refusal.retry_after.map_or(0, |d| d.as_millis() as u32),
        }
    }
}

impl TryFrom<pb::Refused> for Refusal {
    type Error = u32;

    /// Fails with the code number when this version does not define it.
    fn try_from(wire: pb::Refused) -> Result<Self, u32> {
        let code = Code::from_number(wire.code).ok_or(wire.code)?;
        let refusal = Self::new(code, wire.message);
        Ok(match wire.retry_after_ms {
            0 => refusal,
            ms => refusal.retry_after(Duration::from_millis(ms.into())),
        })
    }
}

impl From<FenceState> for pb::FenceReply {
    fn from(state: FenceState) -> Self {
        use pb::fence_reply::State;
        let (state, answer) = match state {
            FenceState::NeverRan => (State::NeverRan, None),
            FenceState::Running => (State::Running, None),
            FenceState::Ran(answer) => (State::Ran, answer),
            FenceState::Unknown => (State::Unknown, None),
        };
        let answer = answer.and_then(|a| serde_json::to_vec(&a).ok()).unwrap_or_default();
        Self { state: state.into(), incarnation: 0, answer: answer.into() }
    }
}

impl From<pb::FenceReply> for FenceState {
    fn from(wire: pb::FenceReply) -> Self {
        use pb::fence_reply::State;
        match wire.state() {
            State::Unknown => Self::Unknown,
            State::NeverRan => Self::NeverRan,
            State::Running => Self::Running,
            State::Ran => Self::Ran(serde_json::from_slice(&wire.answer).ok()),
        }
    }
}
