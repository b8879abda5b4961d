//! Checks that the documented table of result codes matches the enum.

use model::Outcome;
use model::ResultCode;

const RESULT_CODES_PAGE: &str = include_str!("../../docs/RESULT-CODES.md");
const FIRST_CODE_WITHOUT_OUTCOME: u16 = 500;

fn table_row(code: ResultCode) -> String {
    let status = match code.http_status() {
        0 => "-".to_owned(),
        status => status.to_string(),
    };
    let outcome = match code.outcome() {
        _ if code.number() >= FIRST_CODE_WITHOUT_OUTCOME => "-",
        Outcome::NotRun => "not-run",
        Outcome::Ran => "ran",
        Outcome::Unknown => "unknown",
    };
    format!(
        "| {} | {status} | {outcome} | {} |",
        code.number(),
        code.phrase()
    )
}

#[test]
fn documented_codes_match_the_enum() {
    let rows: Vec<&str> = RESULT_CODES_PAGE
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .collect();
    let expected: Vec<String> = ResultCode::ALL
        .iter()
        .map(|code| table_row(*code))
        .collect();
    assert_eq!(rows, expected);
}

#[test]
fn code_numbers_are_ascending() {
    let numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
}
