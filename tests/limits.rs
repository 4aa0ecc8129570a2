//! Shares, priorities and deadlines in the fair queue of an endpoint.

use std::time::{Duration, Instant};

use goldcrestpitch::core::limits::{FairQueue, Flow, Popped};

fn flow(tenant: &str, class: &str, weight: u64, priority: u64) -> Flow {
    Flow { tenant: tenant.into(), class: class.into(), weight, priority }
}

#[test]
fn backlogged_tenants_share_by_weight_without_starvation() {
    let now = Instant::now();
    let later = now + Duration::from_secs(60);
    let mut queue = FairQueue::new(1000);
    for i in 0..300 {
        queue.push(&flow("flood", "c", 1, 5), later, ("flood", i)).unwrap();
    }
    for i in 0..100 {
        queue.push(&flow("small", "c", 3, 5), later, ("small", i)).unwrap();
    }
    let mut small = 0;
    for _ in 0..80 {
        let Some(Popped::Start((tenant, _))) = queue.pop(now) else { panic!("empty") };
        small += usize::from(tenant == "small");
    }
    assert!((58..=62).contains(&small), "small got {small} of 80");
}

#[test]
fn higher_priority_gets_a_larger_share_without_starvation() {
    let now = Instant::now();
    let later = now + Duration::from_secs(60);
    let mut queue = FairQueue::new(1000);
    for i in 0..200 {
        queue.push(&flow("t", "batch", 1, 5), later, ("batch", i)).unwrap();
        queue.push(&flow("t", "live", 1, 2), later, ("live", i)).unwrap();
    }
    let mut live = 0;
    for _ in 0..90 {
        let Some(Popped::Start((class, _))) = queue.pop(now) else { panic!("empty") };
        live += usize::from(class == "live");
    }
    assert!((78..=82).contains(&live), "live got {live} of 90");
}

#[test]
fn items_that_cannot_start_in_time_expire() {
    let now = Instant::now();
    let mut queue = FairQueue::new(2);
    queue.push(&flow("t", "c", 1, 5), now + Duration::from_secs(9), "kept").unwrap();
    queue.push(&flow("t", "c", 1, 5), now + Duration::from_secs(1), "late").unwrap();
    assert_eq!(queue.push(&flow("t", "c", 1, 5), now, "third"), Err("third"));
    let then = now + Duration::from_secs(2);
    assert_eq!(queue.pop(then), Some(Popped::Expired("late")));
    assert_eq!(queue.pop(then), Some(Popped::Start("kept")));
    assert_eq!(queue.pop(then), None);
    assert!(queue.is_empty());
}

/// Found by `bench overload`: expired items were charged to their tenant, whose next
/// items then waited longer and expired as well.
#[test]
fn expired_items_are_not_charged() {
    let now = Instant::now();
    let mut queue = FairQueue::new(1000);
    let light = flow("light", "c", 1, 5);
    for i in 0..100 {
        queue.push(&light, now, ("light", i)).unwrap();
    }
    let later = now + Duration::from_millis(1);
    for i in 0..100 {
        queue.push(&flow("heavy", "c", 3, 5), later, ("heavy", i)).unwrap();
    }
    while let Some(Popped::Expired(_)) = queue.pop(later) {
        if queue.len() == 100 {
            break;
        }
    }
    for i in 0..20 {
        queue.push(&light, later, ("light", i)).unwrap();
    }
    let mut served = 0;
    for _ in 0..40 {
        let Some(Popped::Start((tenant, _))) = queue.pop(later) else { panic!("empty") };
        served += usize::from(tenant == "light");
    }
    assert!((9..=11).contains(&served), "light got {served} of 40");
}
