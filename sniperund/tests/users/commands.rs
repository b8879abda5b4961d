//! Requests that run at most once.

use std::time::Duration;

use standin::TargetScript;

use crate::deployment::Deployment;
use crate::deployment::PATIENCE;

fn runs(deployment: &Deployment, id: &str) -> usize {
    let ran = deployment
        .targets
        .iter()
        .flat_map(|target| target.observed().ran);
    ran.filter(|ran| ran == id).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_whose_fate_is_unknown_is_neither_repeated_nor_called_not_run() {
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
        let answer = deployment.instances[0]
            .ask("POST", "/command/a", "c001")
            .await;
        let answer = answer.expect("an answer comes");
        assert!(matches!(answer.status, 502 | 504), "{script:?}: {answer:?}");
        let got: usize = deployment
            .targets
            .iter()
            .map(|target| target.observed().heads.len())
            .sum();
        assert_eq!(got, 1, "{script:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_that_a_target_refused_runs_once_at_another() {
    for script in [TargetScript::Sheds, TargetScript::Misdirects] {
        let deployment = Deployment::start(1).await;
        deployment.targets[2].set_script(script);
        for number in 0..6 {
            let id = format!("d{number:03}");
            let answer = deployment.instances[0].ask("POST", "/command/a", &id).await;
            assert_eq!(answer.map(|answer| answer.status), Some(200), "{script:?}");
            assert_eq!(runs(&deployment, &id), 1);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_that_nobody_takes_is_refused_at_once_with_a_time_to_return() {
    let deployment = Deployment::start(1).await;
    for target in &deployment.targets[2..] {
        target.set_script(TargetScript::Sheds);
    }
    let began = std::time::Instant::now();
    let answer = deployment.instances[0]
        .ask("POST", "/command/a", "e001")
        .await;
    let answer = answer.expect("an answer comes");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(began.elapsed() < Duration::from_secs(2));
    let seconds: f64 = answer
        .header("retry-after")
        .and_then(|text| text.parse().ok())
        .expect("a time to return");
    assert!((0.0..8.0 / 3.0).contains(&seconds));
    assert_eq!(runs(&deployment, "e001"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_one_instance_saw_of_a_target_all_others_know() {
    let deployment = Deployment::start(3).await;
    deployment.wait_for_members().await;
    deployment.targets[2].set_script(TargetScript::Resets);
    // The first command that meets the target tells; all others know then.
    for number in 0..8 {
        let id = format!("f{number:03}");
        let answer = deployment.instances[0].ask("POST", "/command/a", &id).await;
        if answer.is_some_and(|answer| answer.status == 502) {
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
        let answer = instance.ask("POST", "/command/a", &id).await;
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    }
    assert_eq!(deployment.targets[2].observed().heads.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_command_and_ends_within_the_grace() {
    let mut deployment = Deployment::start(1).await;
    for target in &deployment.targets[2..] {
        target.set_work_time(Duration::from_millis(1_500));
    }
    let instance = &deployment.instances[0];
    let command = instance.ask("POST", "/command/a", "1b01");
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        instance.signal("TERM");
        instance.wait_for_log("event=draining").await;
        assert_eq!(instance.ready().await, Some(503));
        // The balancer still sends callers until it has noticed.
        let late = instance.ask("GET", "/read/a", "1b02").await;
        assert_eq!(late.map(|answer| answer.status), Some(200));
    };
    let (answer, ()) = tokio::join!(command, stop);
    assert_eq!(answer.map(|answer| answer.status), Some(200));
    let ended = tokio::time::timeout(PATIENCE, deployment.instances[0].ended()).await;
    assert!(ended.expect("the instance ends").success());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_cause_of_a_failed_command_is_found_by_its_id_alone() {
    let deployment = Deployment::start(1).await;
    for target in &deployment.targets[2..] {
        target.set_script(TargetScript::Resets);
    }
    let instance = &deployment.instances[0];
    let _ = instance.ask("POST", "/command/a", "2c01").await;
    instance.wait_for_log("event=request-failed id=2c01").await;
    let log = instance.log();
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
async fn metrics_tell_what_is_believed_of_targets_and_what_the_process_holds() {
    let deployment = Deployment::start(1).await;
    deployment.targets[2].set_script(TargetScript::Resets);
    deployment.targets[3].set_script(TargetScript::Resets);
    let instance = &deployment.instances[0];
    let _ = instance.ask("POST", "/command/a", "2d01").await;
    instance.wait_for_log("event=target-doubted").await;
    let metrics = instance.metrics().await;
    let has = |line: &str| assert!(metrics.contains(line), "no {line} in {metrics}");
    has("sniperun_service_targets{service=\"gates\"} 2");
    has("sniperun_service_targets_doubted{service=\"gates\"} 1");
    has("sniperun_service_targets_doubted{service=\"reads\"} 0");
    has("sniperun_process_resident_bytes ");
    has("sniperun_process_open_files ");
}
