//! Plays one case of the review: `cases-2 NAME RECORD FOLDER`, in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0`
//! in the environment it does the same without the disruption.

mod bed;
mod case_entry;
mod case_large;
mod case_leave;
mod case_restored;
mod case_slow;
mod http;
mod operator;
mod proxy;
mod store;
mod target;

use std::process::ExitCode;
use std::time::Duration;

use bed::Record;

/// Time after which a case is ended.
const LIMIT: Duration = Duration::from_secs(110);

/// The outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run, for this reason.
    NotRun(String),
}

/// What every case gets.
pub struct Setting {
    pub record: Record,
    /// A temporary folder of this run.
    pub folder: String,
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, record, folder] = &args[..] else {
        eprintln!("usage: cases-2 NAME RECORD FOLDER");
        return ExitCode::from(2);
    };
    let setting = Setting {
        record: Record::create(record),
        folder: folder.clone(),
        has_trouble: std::env::var("TROUBLE").is_ok_and(|trouble| trouble != "0"),
    };
    bed::end_after(LIMIT);
    let verdict = match name.as_str() {
        "entry" => case_entry::play(&setting),
        "large" => case_large::play(&setting),
        "leave" => case_leave::play(&setting),
        "restored" => case_restored::play(&setting),
        "slow" => case_slow::play(&setting),
        _ => Verdict::NotRun("no such case".to_owned()),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    setting.record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
