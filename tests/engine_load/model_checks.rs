//! Checks of the model against the figures of an engine.

use crate::engine::{Engine, Job, KV_TOKENS};

/// Steps until the first event of a request, and the time that they took.
fn first_event(engine: &mut Engine) -> (usize, f64) {
    let (mut steps, mut ms) = (0, 0.0);
    loop {
        ms += engine.begin_step(ms).expect("the engine has work");
        steps += 1;
        if !engine.end_step().is_empty() {
            return (steps, ms);
        }
    }
}

/// An engine that is never in a slow period.
fn engine(index: usize) -> Engine {
    let mut engine = Engine::new(index, 1);
    engine.slow_share = 0.0;
    engine
}

/// Fails if the model is faster or slower at prefill than the engines that it stands for.
#[test]
fn prefill_of_a_full_chunk_takes_as_long_as_measured() {
    for (index, expected) in [(0, 92.7 + 6.9 + 6.2), (1, 106.7 + 10.6 + 6.2)] {
        let mut engine = engine(index);
        engine.submit(Job::new((0, 1), 1, 2_048, 5, Vec::new()));
        let (steps, ms) = first_event(&mut engine);
        assert!(steps == 1 && (expected - 1.0..expected + 1.0).contains(&ms), "{steps} {ms}");
    }
}

/// Fails if an engine reads more than a chunk in a step, or prefers the less urgent.
#[test]
fn prompts_beyond_a_chunk_wait_for_more_urgent_ones() {
    let mut engine = engine(0);
    engine.submit(Job::new((0, 1), 2, 2_000, 5, Vec::new()));
    engine.submit(Job::new((1, 1), 0, 2_000, 5, Vec::new()));
    engine.begin_step(0.0);
    let first: Vec<_> = engine.end_step().iter().map(|output| output.id.0).collect();
    assert_eq!((first, engine.pending()), (vec![1], 1_952));
}

/// Fails if kept prompt segments are read again.
#[test]
fn kept_segments_are_not_read_again() {
    let mut engine = engine(0);
    for id in [(0, 1), (1, 1)] {
        let segments = vec![(7, 1_500), (100 + id.0 as u64, 500)];
        engine.submit(Job::new(id, 1, 2_000, 1, segments));
        let (_, ms) = first_event(&mut engine);
        assert_eq!(id.0 == 1, ms < 50.0, "{ms}");
    }
}

/// Fails if the requests at an engine get more memory than it has, or a more urgent or older one
/// loses its memory to others.
#[test]
fn newest_of_the_least_urgent_is_preempted_when_memory_runs_out() {
    let mut engine = engine(0);
    let prompt = KV_TOKENS as u32 / 3 - 50;
    for (id, priority) in [(0, 2), (1, 1), (2, 2)] {
        engine.submit(Job::new((id, 1), priority, prompt, 200, Vec::new()));
    }
    let mut last = Vec::new();
    while engine.begin_step(0.0).is_some() {
        last.extend(engine.end_step().iter().filter(|o| o.is_last).map(|o| o.id.0));
    }
    assert_eq!((engine.preemptions, last), (1, vec![1, 0, 2]));
}
