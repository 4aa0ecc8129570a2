//! Admission of prompts to one engine, decided beside the engine for all gateways.
//!
//! The load that it answers: a burst in which many gateways have prompts for the same engine.
//! Each gateway learns of the others' prompts 100 to 500 ms late, so that together they gave an
//! engine up to six times the prompts that it can read within the longest pause of a stream, and
//! most of the streams on it paused for too long. The agent of the engine knows of all prompts.

mod pace;
mod prompt_admission;

pub use pace::EnginePace;
pub use prompt_admission::{AdmissionId, Answer, Ask, PromptAdmission};
