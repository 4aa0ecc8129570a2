//! Plays the cases of this review that are scripts: `standins CASE FOLDER`. `TROUBLE=0` in the
//! environment leaves the disruption out.

mod blamed_prompt;
mod common;
mod large_status;
mod late_order;
mod late_read;
mod lone_gateways;
mod model_engine;

use std::{env, process::exit};

/// What a case has seen.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: standins CASE FOLDER");
        exit(2)
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match case.as_str() {
        "blamed-prompt" => blamed_prompt::play(folder, trouble),
        "lone-gateways" => lone_gateways::play(folder, trouble),
        "large-status" => large_status::play(folder, trouble),
        "late-order" => late_order::play(folder, trouble),
        "late-read" => late_read::play(folder, trouble),
        _ => Outcome::CouldNotRun(format!("no case {case}")),
    };
    match outcome {
        Outcome::Held => {
            println!("the rule held");
            exit(0)
        }
        Outcome::Broken => {
            println!("the rule was broken");
            exit(1)
        }
        Outcome::CouldNotRun(text) => {
            println!("the case could not run: {text}");
            exit(2)
        }
    }
}
