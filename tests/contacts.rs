//! Groups of processes that were cut off from each other meet again, in virtual time.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use goldcrestpitch::core::membership::Contacts;

/// A process that was not heard for so long is not sent to regularly any more.
const LISTED_MS: u64 = 10_000;
const STATUS_INTERVAL_MS: u64 = 800;
const CUT_MS: u64 = 30_000;
/// Addresses at which nothing runs any more.
const GONE: usize = 3;

struct Process {
    address: SocketAddr,
    contacts: Contacts,
    heard: BTreeMap<SocketAddr, u64>,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i as u8], 80))
}

/// Each process sends to those that it hears, and to one that is silent.
fn talk(processes: &mut [Process], start: Instant, ms: u64, is_cut: impl Fn(usize, usize) -> bool) {
    let now = start + Duration::from_millis(ms);
    for from in 0..processes.len() {
        let Process { contacts, heard, address } = &mut processes[from];
        heard.retain(|_, at| ms < *at + LISTED_MS);
        let silent = contacts.take_silent(now, |address| heard.contains_key(&address));
        let recipients: Vec<SocketAddr> = heard.keys().copied().chain(silent).collect();
        let sender = *address;
        for (to, process) in processes.iter_mut().enumerate() {
            if recipients.contains(&process.address) && !is_cut(from, to) {
                process.contacts.record_heard(now, sender);
                process.heard.insert(sender, ms);
            }
        }
    }
}

// Guards against gateways that drop each other during a cut and never meet again.
#[test]
fn groups_meet_again_after_a_cut_that_is_longer_than_processes_are_listed() {
    for count in [2, 5, 9, 40] {
        let start = Instant::now();
        let mut processes: Vec<Process> = (0..count)
            .map(|i| {
                let mut contacts = Contacts::default();
                let others = (0..count + GONE).filter(|other| *other != i);
                others.for_each(|other| contacts.list(start, address(other)));
                Process { address: address(i), contacts, heard: BTreeMap::new() }
            })
            .collect();
        // Every second one is on the other side of the cut.
        let is_cut = |from: usize, to: usize| from % 2 != to % 2;
        let mut ms = 0;
        while ms < CUT_MS {
            ms += STATUS_INTERVAL_MS;
            talk(&mut processes, start, ms, is_cut);
        }
        assert!(processes.iter().all(|p| p.heard.len() <= count.div_ceil(2)));
        // Messages to silent ones, one at a time, reach each of them within so long.
        let healed = ms + 5_000 * (count + GONE) as u64 + STATUS_INTERVAL_MS;
        while ms < healed {
            ms += STATUS_INTERVAL_MS;
            talk(&mut processes, start, ms, |_, _| false);
        }
        assert!(processes.iter().all(|p| p.heard.len() == count - 1), "{count} processes");
    }
}

#[test]
fn process_that_is_gone_is_forgotten_after_an_hour() {
    let (start, secs) = (Instant::now(), Duration::from_secs);
    let mut contacts = Contacts::default();
    contacts.list(start, address(1));
    // It is listed again, and still silent.
    contacts.list(start + secs(3000), address(1));
    contacts.record_heard(start + secs(3000), address(2));
    assert!(contacts.take_forgotten(start + secs(3599)).is_empty());
    assert_eq!(contacts.take_forgotten(start + secs(3600)), [address(1)]);
    assert_eq!(contacts.take_silent(start + secs(3601), |_| false), Some(address(2)));
}
