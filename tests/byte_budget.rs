//! The byte budget of a process, in virtual time.

use std::time::{Duration, Instant};

use goldcrestpitch::core::limits::{BudgetShort, ByteBudget, HolderKind};

const MIB: usize = 1 << 20;
const KINDS: [HolderKind; 3] =
    [HolderKind::IncompleteBody, HolderKind::Request, HolderKind::Response];

/// Guards against a sum of charges above the capacity, and against the removal of what runs.
#[test]
fn held_bytes_stay_within_the_capacity_and_only_incomplete_bodies_give_way() {
    for seed in 0..2000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let start = Instant::now();
        let mut budget = ByteBudget::new(8 * MIB);
        let mut open = Vec::new();
        for step in 0..300 {
            let now = start + Duration::from_millis(step * random.u64(1..50));
            if open.is_empty() || random.u8(..4) == 0 {
                let kind = KINDS[random.usize(..3)];
                open.push((budget.open(now, kind), kind));
            }
            let (id, _) = open[random.usize(..open.len())];
            let removed = budget.charge(now, id, random.usize(..2 * MIB)).unwrap_or_default();
            for other in removed {
                let kind = open.iter().find(|(o, _)| *o == other).unwrap().1;
                assert_eq!(kind, HolderKind::IncompleteBody, "seed {seed}");
                assert!(!budget.contains(other), "seed {seed}");
            }
            let held: usize = KINDS.iter().map(|kind| budget.held_by(*kind)).sum();
            assert!(held <= 8 * MIB, "seed {seed}: {held} bytes");
            open.retain(|(id, _)| budget.contains(*id));
        }
    }
}

/// Guards against large bodies that leave nothing to small ones.
#[test]
fn small_body_is_accepted_beside_large_ones() {
    let now = Instant::now();
    let mut budget = ByteBudget::new(8 * MIB);
    loop {
        let large = budget.open(now, HolderKind::Response);
        if budget.charge(now, large, MIB).is_err() {
            break;
        }
    }
    let small = budget.open(now, HolderKind::IncompleteBody);
    assert_eq!(budget.charge(now, small, 16 * 1024), Ok(vec![]));
}

/// Guards against bodies that stop short and keep the budget until their timeout.
#[test]
fn silent_body_gives_way_to_one_that_arrives() {
    let now = Instant::now();
    let mut budget = ByteBudget::new(4 * MIB);
    let silent = budget.open(now, HolderKind::IncompleteBody);
    budget.charge(now, silent, 3 * MIB).unwrap();
    let arriving = budget.open(now, HolderKind::IncompleteBody);
    assert_eq!(budget.charge(now, arriving, MIB), Err(BudgetShort));
    let later = now + Duration::from_secs(1);
    assert_eq!(budget.charge(later, arriving, MIB), Ok(vec![silent]));
}
