//! Stand-ins and cases of the third review: `standins CASE FOLDER`.

mod ceiling;
mod engine;
mod entry;
mod fleet;
mod http;
mod limit;
mod store;

use std::{panic, path::Path, process::ExitCode, thread, time::Duration};

use crate::fleet::Recorder;

/// The longest time that a case may take.
const MAX_TIME: Duration = Duration::from_secs(115);

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Recorder::new(Path::new(folder));
    record.add(format!("case={case} trouble={trouble}"));
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        fleet::kill_all();
        watched.add("verdict=not_run: too long");
        watched.save();
        std::process::exit(2);
    });
    let play = || match case.as_str() {
        "ceiling" => ceiling::run(&record, trouble),
        "entry" => entry::run(&record, trouble),
        "limit" => limit::run(&record, trouble),
        _ => Verdict::NotRun,
    };
    let verdict = panic::catch_unwind(panic::AssertUnwindSafe(play)).unwrap_or(Verdict::NotRun);
    fleet::kill_all();
    let (code, text) = match verdict {
        Verdict::Held => (0, "held"),
        Verdict::Broken => (1, "broken"),
        Verdict::NotRun => (2, "not_run"),
    };
    record.add(format!("verdict={text}"));
    record.save();
    println!("verdict={text}");
    ExitCode::from(code)
}
