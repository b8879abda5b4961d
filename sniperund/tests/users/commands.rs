//! Commands: requests that must run at most once.

use std::time::Duration;

use standin::TargetScript;

use crate::deployment::Deployment;
use crate::deployment::WAIT_TIMEOUT;

/// Number of times that the targets ran the command.
fn run_count(deployment: &Deployment, id: &str) -> usize {
    let command_ids = deployment
        .targets
        .iter()
        .flat_map(|target| target.observed().ran);
    command_ids.filter(|command_id| command_id == id).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_with_an_unknown_outcome_is_neither_retried_nor_reported_as_not_run() {
    for script in [
        TargetScript::Resets,
        TargetScript::ForeignId,
        TargetScript::Unsigned,
        TargetScript::Hangs,
    ] {
        let deployment = Deployment::start(1).await;
        for target in &deployment.targets[2..] {
            target.set_script(script);
        }
        let response = deployment.instances[0]
            .send_request("POST", "/command/a", "c001")
            .await;
        let response = response.expect("the instance did not respond");
        assert!(
            matches!(response.status, 502 | 504),
            "{script:?}: {response:?}"
        );
        let received: usize = deployment
            .targets
            .iter()
            .map(|target| target.observed().heads.len())
            .sum();
        assert_eq!(received, 1, "{script:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_rejected_by_one_target_runs_once_on_another() {
    for script in [TargetScript::Sheds, TargetScript::Misdirects] {
        let deployment = Deployment::start(1).await;
        deployment.targets[2].set_script(script);
        for number in 0..6 {
            let id = format!("d{number:03}");
            let response = deployment.instances[0]
                .send_request("POST", "/command/a", &id)
                .await;
            assert_eq!(
                response.map(|response| response.status),
                Some(200),
                "{script:?}"
            );
            assert_eq!(run_count(&deployment, &id), 1);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_rejected_by_all_targets_fails_fast_with_retry_after() {
    let deployment = Deployment::start(1).await;
    for target in &deployment.targets[2..] {
        target.set_script(TargetScript::Sheds);
    }
    let started = std::time::Instant::now();
    let response = deployment.instances[0]
        .send_request("POST", "/command/a", "e001")
        .await;
    let response = response.expect("the instance did not respond");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(started.elapsed() < Duration::from_secs(2));
    let seconds: f64 = response
        .header("retry-after")
        .and_then(|text| text.parse().ok())
        .expect("the response has no valid retry-after header");
    assert!((0.0..8.0 / 3.0).contains(&seconds));
    assert_eq!(run_count(&deployment, "e001"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_failure_seen_by_one_instance_is_shared_with_all() {
    let deployment = Deployment::start(3).await;
    deployment.wait_for_members().await;
    deployment.targets[2].set_script(TargetScript::Resets);
    // The first command that reaches the failing target makes its instance report it to
    // the others.
    for number in 0..8 {
        let id = format!("f{number:03}");
        let response = deployment.instances[0]
            .send_request("POST", "/command/a", &id)
            .await;
        if response.is_some_and(|response| response.status == 502) {
            break;
        }
    }
    for instance in &deployment.instances {
        instance
            .wait_for_log("event=target-doubted service=gates target=i-2")
            .await;
    }
    for number in 0..12 {
        let id = format!("0a{number:02}");
        let instance = &deployment.instances[number % 3];
        let response = instance.send_request("POST", "/command/a", &id).await;
        assert_eq!(response.map(|response| response.status), Some(200));
    }
    assert_eq!(deployment.targets[2].observed().heads.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_completes_running_commands_and_ends_in_time() {
    let mut deployment = Deployment::start(1).await;
    for target in &deployment.targets[2..] {
        target.set_work_time(Duration::from_millis(1_500));
    }
    let instance = &deployment.instances[0];
    let command = instance.send_request("POST", "/command/a", "1b01");
    let shutdown = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        instance.send_signal("TERM");
        instance.wait_for_log("event=draining").await;
        assert_eq!(instance.readiness_status().await, Some(503));
        // The load balancer keeps sending requests until its next readiness check.
        let late = instance.send_request("GET", "/read/a", "1b02").await;
        assert_eq!(late.map(|response| response.status), Some(200));
    };
    let (response, ()) = tokio::join!(command, shutdown);
    assert_eq!(response.map(|response| response.status), Some(200));
    let exit = tokio::time::timeout(WAIT_TIMEOUT, deployment.instances[0].wait_for_exit()).await;
    assert!(exit.expect("the instance did not exit in time").success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_at_a_hanging_target_is_answered_before_the_instance_stops() {
    let mut deployment = Deployment::start(1).await;
    for target in &deployment.targets[2..] {
        target.set_script(TargetScript::Hangs);
    }
    let instance = &deployment.instances[0];
    // The stop limit then ends before the time limit of the route.
    instance.change_settings(|settings| settings["terms"]["bounds"]["grace"] = "4s".into());
    instance.send_signal("HUP");
    instance.wait_for_log("event=reload changed").await;
    instance.send_signal("TERM");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let response = instance.send_request("POST", "/command/a", "1c01").await;
    assert_eq!(response.map(|response| response.status), Some(504));
    let exit = tokio::time::timeout(WAIT_TIMEOUT, deployment.instances[0].wait_for_exit()).await;
    assert!(exit.expect("the instance did not exit in time").success());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_cause_of_a_failed_command_is_logged_under_its_id() {
    let deployment = Deployment::start(1).await;
    for target in &deployment.targets[2..] {
        target.set_script(TargetScript::Resets);
    }
    let instance = &deployment.instances[0];
    let _ = instance.send_request("POST", "/command/a", "2c01").await;
    instance.wait_for_log("event=request-failed id=2c01").await;
    let log = instance.read_log();
    let lines: Vec<&str> = log
        .lines()
        .filter(|line| line.contains("id=2c01"))
        .collect();
    assert!(lines[0].contains("event=request-sent") && lines[0].contains("doubt_milli="));
    assert!(lines[1].contains("event=attempt-failed") && lines[1].contains("end=Cut"));
    assert!(lines[2].contains("code=303 outcome=unknown"), "{lines:?}");
    let metrics = instance.metrics().await;
    assert!(metrics.contains("code=\"303\""), "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_list_gauges_and_counters_before_histograms() {
    let deployment = Deployment::start(1).await;
    let instance = &deployment.instances[0];
    let _ = instance.send_request("POST", "/command/a", "2d02").await;
    let metrics = instance.metrics().await;
    let at = |name: &str| metrics.find(name).expect("metric exists");
    let histograms = at("sniperun_answer_seconds_bucket");
    assert!(at("sniperun_service_crowded{") < histograms, "{metrics}");
    assert!(at("sniperun_requests_total{") < histograms, "{metrics}");
    assert!(at("sniperun_violations_total{") < histograms, "{metrics}");
    assert!(metrics.ends_with("# EOF\n"), "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_report_suspect_targets_and_process_resources() {
    let deployment = Deployment::start(1).await;
    deployment.targets[2].set_script(TargetScript::Resets);
    deployment.targets[3].set_script(TargetScript::Resets);
    let instance = &deployment.instances[0];
    let _ = instance.send_request("POST", "/command/a", "2d01").await;
    instance.wait_for_log("event=target-doubted").await;
    let metrics = instance.metrics().await;
    let has = |line: &str| assert!(metrics.contains(line), "{line} is missing in {metrics}");
    has("sniperun_service_targets{service=\"gates\"} 2");
    has("sniperun_service_targets_doubted{service=\"gates\"} 1");
    has("sniperun_service_targets_doubted{service=\"reads\"} 0");
    has("sniperun_process_resident_bytes ");
    has("sniperun_process_open_files ");
}
