//! Runs the commands of the `sniperun` binary, with a fake platform where one is needed.

use std::process::Output;

use standin::PlatformServer;

const NOTE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/rodopi/note.jsonc");
const SETTINGS: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../examples/rodopi/devin-1.jsonc"
);

async fn sniperun(args: &[&str]) -> Output {
    let args: Vec<String> = args.iter().map(ToString::to_string).collect();
    let run = move || {
        std::process::Command::new(env!("CARGO_BIN_EXE_sniperun"))
            .args(args)
            .output()
            .expect("the command runs")
    };
    tokio::task::spawn_blocking(run)
        .await
        .expect("the command ends")
}

fn stdout_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_note_is_checked_submitted_and_read_back() {
    let server = PlatformServer::bind(([127, 0, 0, 1], 0).into())
        .await
        .expect("the platform starts");
    let platform = server.address().to_string();
    let at = ["--platform", platform.as_str()];
    let checked = sniperun(&["note", "check", NOTE]).await;
    assert!(stdout_of(&checked).contains("in order after note 0"));
    let submit = ["note", "submit", NOTE, "--submission", "s1", at[0], at[1]];
    assert_eq!(stdout_of(&sniperun(&submit).await), "note 1 is accepted\n");
    assert_eq!(
        stdout_of(&sniperun(&submit).await),
        "note 1 was accepted earlier\n"
    );
    let in_force = sniperun(&["note", "in-force", at[0], at[1]]).await;
    assert_eq!(stdout_of(&in_force), "platform: note 1\n");
    let list = sniperun(&["note", "list", at[0], at[1]]).await;
    assert!(stdout_of(&list).contains("s1"));
    let show = sniperun(&["note", "show", "1", at[0], at[1]]).await;
    assert!(stdout_of(&show).contains("dashboards-01"));
    let duplicate = sniperun(&["note", "submit", NOTE, at[0], at[1]]).await;
    assert!(!duplicate.status.success());
    assert!(stderr_of(&duplicate).contains("E503 already exists: service `dashboards`"));
    let missing = sniperun(&["note", "show", "9", at[0], at[1]]).await;
    assert!(stderr_of(&missing).contains("E504"));
}

#[tokio::test(flavor = "multi_thread")]
async fn missing_files_and_unreachable_instances_are_reported() {
    let missing = sniperun(&["settings", "check", "no-such-file"]).await;
    assert!(stderr_of(&missing).contains("E510"));
    let good = sniperun(&["settings", "check", SETTINGS]).await;
    assert!(stdout_of(&good).contains("instance devin-1 are in order"));
    let unreachable = sniperun(&["status", "--instance", "127.0.0.1:1"]).await;
    assert!(stderr_of(&unreachable).contains("E511"));
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_prints_the_lines_of_a_request_and_the_changes_that_precede_it() {
    let log = std::env::temp_dir().join(format!("explain-{}.log", std::process::id()));
    let lines = [
        "time=2026-01-01T00:00:01.000Z level=info event=note-in-force note=7",
        "time=2026-01-01T00:00:02.000Z level=info event=target-doubted service=a target=t-1 signal=Reset by=i-2 doubt_before_milli=30 doubt_milli=925",
        "time=2026-01-01T00:00:02.500Z level=info event=request-sent id=beef route=r note=7 target=t-9",
        "time=2026-01-01T00:00:03.000Z level=info event=request-sent id=cafe route=r note=7 target=t-1 doubt_milli=810",
        "time=2026-01-01T00:00:03.100Z level=warn event=request-failed id=cafe code=303 outcome=unknown",
    ];
    std::fs::write(&log, lines.join("\n")).expect("the log can be written");
    let path = log.display().to_string();
    let explanation = stdout_of(&sniperun(&["explain", "cafe", &path]).await);
    let events: Vec<&str> = explanation
        .lines()
        .filter_map(|line| line.split("event=").nth(1)?.split(' ').next())
        .collect();
    let expected = [
        "note-in-force",
        "target-doubted",
        "request-sent",
        "request-failed",
    ];
    assert_eq!(events, expected, "{explanation}");
    let unknown = sniperun(&["explain", "f00d", &path]).await;
    assert!(stderr_of(&unknown).contains("E513"));
    std::fs::remove_file(&log).expect("the log can be removed");
}
