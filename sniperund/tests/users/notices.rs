//! What targets say about themselves in their responses.

use std::time::Instant;

use crate::deployment::Deployment;

const LIMIT_PER_S: f64 = 2.0;

#[tokio::test(flavor = "multi_thread")]
async fn targets_that_name_a_limit_get_no_more_from_two_instances() {
    let deployment = Deployment::start(2).await;
    let limited = &deployment.targets[0];
    limited.set_extra_headers(&[("server-limit", "2")]);
    let send = async |number: usize| {
        let id = format!("5a{number:04x}");
        let instance = &deployment.instances[number % 2];
        instance.send_request("GET", "/read/a", &id).await
    };
    // Until the limited target has named its limit, and all instances know it.
    let mut sent = 0;
    while limited.observed().arrivals.is_empty() {
        let _ = send(sent).await;
        sent += 1;
    }
    for instance in &deployment.instances {
        instance.wait_for_log("event=target-limit").await;
    }
    let before = limited.observed().arrivals.len();
    let began = Instant::now();
    for number in sent..sent + 200 {
        let response = send(number).await;
        let response = response.expect("the instance did not respond");
        assert_eq!(response.status, 200, "{response:?}");
    }
    let elapsed_s = began.elapsed().as_secs_f64();
    let arrivals = limited.observed().arrivals.len() - before;
    let allowed = 1.5 * LIMIT_PER_S * elapsed_s + 5.0;
    assert!(
        (arrivals as f64) <= allowed,
        "{arrivals} requests in {elapsed_s} s"
    );
    let other = deployment.targets[1].observed().arrivals.len();
    assert!(other > 100, "{other} requests at the other target");
}
