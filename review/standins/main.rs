//! Stand-ins for the platform, engines and clients, and the cases that use them.
//!
//! `standins CASE RECORD` plays one case from the root of the repository. It exits with 1 if
//! the rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out.

mod cases;
mod clients;
mod engine;
mod fleet;
mod http;
mod record;
mod store;

use std::{env, path::Path, process::exit, sync::Arc};

use record::Record;

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, name, file] = args.as_slice() else {
        println!("usage: standins CASE RECORD");
        exit(2)
    };
    let trouble = env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Arc::new(Record::new(Path::new(file)));
    record.say(&format!("case {name}, disruption: {trouble}"));
    let play = std::panic::AssertUnwindSafe(|| cases::play(name, &record, trouble));
    let broken = std::panic::catch_unwind(play).unwrap_or_else(|_| {
        record.say("the case could not run");
        exit(2)
    });
    match broken {
        Some(text) => {
            record.say(&format!("BROKEN: {text}"));
            exit(1)
        }
        None => record.say("the rule held"),
    }
}
