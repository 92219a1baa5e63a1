//! Plays one case of the review against real `monsoonringd` processes on loopback addresses.
//!
//! `case NAME RECORD` runs the case NAME and writes what was sent, answered and run to the file
//! RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
//! `TROUBLE=0` runs the same without the disruption. All processes that it starts are ended.

mod backend;
mod cases;
mod client;
mod daemon;
mod http;
mod proxy;
mod record;
mod store;

use std::process::exit;
use std::thread;
use std::time::Duration;

/// Longest time of a run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, record] = &arguments[..] else {
        eprintln!("usage: case NAME RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(record);
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        daemon::end_all();
        eprintln!("could not run: not done within {TIME_LIMIT:?}");
        exit(2);
    });
    let verdict = match cases::run(name, has_trouble, &record) {
        Ok(verdict) => verdict,
        Err(problem) => {
            record.line(&format!("could not run: {problem}"));
            record.flush();
            eprintln!("could not run: {problem}");
            exit(2);
        }
    };
    record.line(&format!("verdict: {}", verdict.text));
    record.flush();
    println!("{}", verdict.text);
    exit(i32::from(verdict.is_broken));
}
