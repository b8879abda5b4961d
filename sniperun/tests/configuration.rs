//! Runs `sniperun configuration check`.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use serde_json::Value;
use serde_json::json;
use standin::users::configuration;

/// A file that is removed when dropped.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(name: &str, document: &Value) -> Self {
        let name = format!("sniperun-check-{}-{name}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, document.to_string()).expect("failed to write the file");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the path is text")
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn check(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sniperun"))
        .args(["configuration", "check"])
        .args(args)
        .output()
        .expect("the command runs")
}

fn stdout_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Guards against exit codes that let a rollout go on with errors.
#[test]
fn the_exit_code_tells_errors_from_files_that_cannot_be_read() {
    let valid = TemporaryFile::new("valid", &configuration(5, "reads"));
    let passed = check(&[valid.path()]);
    assert_eq!(passed.status.code(), Some(0), "{passed:?}");
    assert!(stdout_of(&passed).ends_with(": 0 errors, 0 warnings\n"));
    let broken = TemporaryFile::new("broken", &configuration(5, "nowhere"));
    let failed = check(&[broken.path()]);
    assert_eq!(failed.status.code(), Some(1), "{failed:?}");
    let expected = "error E504 does not exist: routes.r-moved.service: service `nowhere`";
    assert!(stdout_of(&failed).contains(expected), "{failed:?}");
    let missing = check(&["/nowhere/configuration.json"]);
    assert_eq!(missing.status.code(), Some(2), "{missing:?}");
    let against = check(&[valid.path(), "--against", "/nowhere/configuration.json"]);
    assert_eq!(against.status.code(), Some(2), "{against:?}");
}

/// Guards against a difference or a finding that shows a key.
#[test]
fn a_difference_is_shown_as_text_and_as_json() {
    let mut document = configuration(5, "reads");
    document["tenants"] = json!({"kilo": {"apiKeys": ["secret-1"]}, "lima": {"apiKeys": []}});
    let old = TemporaryFile::new("old", &document);
    document["version"] = json!("00000006");
    document["tenants"]["kilo"]["apiKeys"] = json!(["secret-2", "secret-3"]);
    document["tenants"]["mike"] = json!({"apiKeys": ["secret-4"], "burst": 3});
    let new = TemporaryFile::new("new", &document);
    let text = stdout_of(&check(&[new.path(), "--against", old.path()]));
    for line in [
        "warning E710 customer without keys: tenants.lima: ",
        "warning E707 burst without a rate: tenants.mike.burst: ",
        "  + customer mike\n",
        "  ~ customer kilo (keys: 2 added, 1 removed)\n",
        ": 0 errors, 2 warnings\n",
    ] {
        assert!(text.contains(line), "{text}");
    }
    let json = stdout_of(&check(&[new.path(), "--against", old.path(), "--json"]));
    let report: Value = serde_json::from_str(&json).expect("the report is JSON");
    assert_eq!(report["warnings"], 2);
    assert_eq!(report["findings"][0]["severity"], "warning");
    assert_eq!(report["difference"]["customers"]["added"], json!(["mike"]));
    assert!(!(text + &json).contains("secret"));
}
