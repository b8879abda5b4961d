//! The cases that are scripts: `cases N FOLDER` plays case N and writes `record.txt` into FOLDER.
//!
//! Exit codes: 1, the rule was broken; 0, it held; 2, the case couldn't run.

mod bed;
mod case_early;
mod case_endless;
mod case_large;
mod case_queue;
mod case_restart;
mod case_upload;
mod http;
mod json;
mod store;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        bed::cannot_run("usage: cases NAME FOLDER");
    };
    let record = bed::Record::new();
    let broken = match name.as_str() {
        "early" => case_early::play(&record),
        "endless" => case_endless::play(&record),
        "large" => case_large::play(&record),
        "restart" => case_restart::play(&record),
        "upload" => case_upload::play(&record),
        "queue" => case_queue::play(&record),
        _ => bed::cannot_run("no such case"),
    };
    record.write(folder);
    println!("{}", if broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(i32::from(broken));
}
