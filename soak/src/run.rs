//! Runs one seed: sets up a testbed with callers and injects the planned faults.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use standin::StoreFault;
use standin::TargetScript;

use super::Change;
use super::Component;
use super::Fault;
use super::Link;
use super::Mode;
use super::Outcome;
use super::Plan;
use super::Step;
use super::checks;
use crate::caller;
use crate::testbed::Testbed;

/// `grace`: time from the stop signal until the process is killed.
const GRACE: Duration = Duration::from_secs(6);
/// Time from draining a target to removing it. Longer than instances take to apply the
/// draining.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Header of a target that leaves.
const LEAVING: (&str, &str) = ("server-leaving", "1");
/// Period at which processes are checked for exit.
const POLL_PERIOD: Duration = Duration::from_millis(10);
/// Time for which callers continue after the last fault: long enough for service to
/// recover and for some requests after that.
const POST_FAULT_MS: u64 = 9_000;

/// Numbers of instances, targets and callers of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of instances.
    pub instances: usize,
    /// Number of targets of each of the two services.
    pub targets_per_service: usize,
    /// Number of callers.
    pub callers: u64,
}

/// Runs the plan of a seed. Settings and logs are written to `folder`.
///
/// # Errors
///
/// Returns an error if the testbed cannot be set up, a process cannot be started, or the
/// soak test itself lacked the resources for a connection.
pub async fn run(seed: u64, size: Size, program: &Path, folder: &Path) -> io::Result<Outcome> {
    let plan = Plan::from_seed(seed, size);
    let dropped_connections = Link::dropped_connections();
    let (program, folder) = (program.to_owned(), folder.to_owned());
    let testbed = Testbed::start(program, folder, size, plan.idle_routes).await?;
    let from_ms = testbed.now_ms();
    let readiness_poll = tokio::spawn(testbed.clone().poll_readiness());
    let callers: Vec<_> = (0..size.callers)
        .map(|number| tokio::spawn(caller::run_caller(testbed.clone(), number)))
        .collect();
    let steps = plan
        .steps
        .iter()
        .map(|step| run_step(testbed.clone(), from_ms, *step));
    let restarts = tokio::spawn(restart_exited_instances(testbed.clone()));
    let results = futures::future::join_all(steps).await;
    for result in results {
        result?;
    }
    tokio::time::sleep(Duration::from_millis(POST_FAULT_MS)).await;
    testbed.record_unready_instances();
    testbed.finish();
    for caller in callers {
        caller.await.map_err(io::Error::other)?;
    }
    readiness_poll.await.map_err(io::Error::other)?;
    restarts.await.map_err(io::Error::other)??;
    if Link::dropped_connections() > dropped_connections {
        return Err(io::Error::other(
            "a link dropped a connection because the soak test ran out of resources",
        ));
    }
    let record = testbed.take_record();
    let logs: Vec<PathBuf> = testbed
        .instances
        .iter()
        .map(|instance| instance.spec.log_path())
        .collect();
    Ok(Outcome {
        violations: checks::check(&record),
        plan,
        from_ms,
        record,
        logs,
    })
}

/// Restarts instances that have exited without a planned stop.
async fn restart_exited_instances(testbed: Arc<Testbed>) -> io::Result<()> {
    while !testbed.is_finished() {
        for number in 0..testbed.instances.len() {
            if testbed.take_unexpected_exit(number)? {
                testbed.record_unexpected_exit(number);
                testbed.start_instance(number)?;
            }
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    Ok(())
}

async fn run_step(testbed: Arc<Testbed>, from_ms: u64, step: Step) -> io::Result<()> {
    let duration = Duration::from_millis(step.duration_ms);
    let at = Duration::from_millis(from_ms + step.at_ms);
    tokio::time::sleep(at.saturating_sub(Duration::from_millis(testbed.now_ms()))).await;
    let start_ms = testbed.now_ms();
    match step.fault {
        Fault::Kill(number) => {
            *testbed.instances[number].process.lock() = None;
            tokio::time::sleep(duration).await;
            testbed.start_instance(number)?;
            testbed.record_fault(start_ms, Component::Instance(number));
        }
        Fault::Freeze(number) => {
            signal(&testbed, number, "STOP")?;
            tokio::time::sleep(duration).await;
            signal(&testbed, number, "CONT")?;
            testbed.record_change(Change::Resumed { instance: number });
            testbed.record_fault(start_ms, Component::Instance(number));
        }
        Fault::Stop(number) => stop(&testbed, number).await?,
        Fault::ReloadSettings(number, retry_slack) => {
            testbed.instances[number].spec.write_settings(retry_slack)?;
            signal(&testbed, number, "HUP")?;
        }
        Fault::CallerLink(number, mode) => {
            inject_link_fault(&testbed.instances[number].caller_link, mode, duration).await;
            testbed.record_fault(start_ms, Component::Instance(number));
        }
        Fault::PeerLink(number, mode) => {
            if let Some(link) = &testbed.instances[number].peer_link {
                inject_link_fault(link, mode, duration).await;
                testbed.record_fault(start_ms, Component::Instance(number));
                testbed.record_fault(start_ms, Component::Peers(number));
            }
        }
        Fault::StoreLink(number, mode) => {
            inject_link_fault(&testbed.instances[number].store_link, mode, duration).await;
            testbed.record_fault(start_ms, Component::Instance(number));
        }
        Fault::TargetLink(number, mode) => {
            let handle = testbed.targets.lock()[number].clone();
            inject_link_fault(&handle.link, mode, duration).await;
            testbed.record_fault(start_ms, Component::Target(handle.target.id().into()));
        }
        Fault::TargetBehavior(number, script) => {
            let handle = testbed.targets.lock()[number].clone();
            handle.target.set_script(script);
            tokio::time::sleep(duration).await;
            handle.target.set_script(TargetScript::Good);
            testbed.record_fault(start_ms, Component::Target(handle.target.id().into()));
        }
        Fault::ReplaceTarget(number) => {
            let handle = testbed.targets.lock()[number].clone();
            testbed.drain_target(&handle);
            tokio::time::sleep(DRAIN_TIME).await;
            testbed.replace_target(number).await?;
        }
        Fault::StateDeparture(number) => {
            let handle = testbed.targets.lock()[number].clone();
            handle.target.set_extra_headers(&[LEAVING]);
            tokio::time::sleep(duration + DRAIN_TIME).await;
            testbed.drain_target(&handle);
            testbed.replace_target(number).await?;
        }
        Fault::KillAll => {
            for instance in &testbed.instances {
                *instance.process.lock() = None;
            }
            tokio::time::sleep(duration).await;
            for number in 0..testbed.instances.len() {
                testbed.start_instance(number)?;
                testbed.record_fault(start_ms, Component::Instance(number));
            }
        }
        Fault::ForeignEntries(number, kind) => {
            let target: Arc<str> = testbed.targets.lock()[number].target.id().into();
            testbed.put_foreign_entries(&target, kind);
            tokio::time::sleep(duration).await;
            testbed.change_foreign_entries(&target, kind);
        }
        Fault::StoreFailure(fault) => {
            testbed.store.set_fault(fault);
            tokio::time::sleep(duration).await;
            testbed.store.set_fault(StoreFault::None);
            testbed.record_fault(start_ms, Component::Store);
        }
        Fault::CompactStore => {
            testbed.store.compact();
            testbed.record_fault(start_ms, Component::Store);
        }
        Fault::MoveRoute => testbed.put_configuration(start_ms as usize),
        Fault::AddOrders => testbed.put_configuration_with_orders(),
    }
    Ok(())
}

async fn inject_link_fault(link: &Link, mode: Mode, duration: Duration) {
    link.set_mode(mode);
    tokio::time::sleep(duration).await;
    link.set_mode(Mode::PassThrough);
}

/// Sends a signal to an instance's process, if it is running.
fn signal(testbed: &Testbed, number: usize, name: &str) -> io::Result<()> {
    match &*testbed.instances[number].process.lock() {
        Some(process) => process.signal(name),
        None => Ok(()),
    }
}

/// Stops an instance with SIGTERM and starts it again.
async fn stop(testbed: &Testbed, number: usize) -> io::Result<()> {
    let instance = &testbed.instances[number];
    if instance.is_stopping.swap(true, Ordering::Relaxed) {
        return Ok(());
    }
    signal(testbed, number, "TERM")?;
    testbed.record_change(Change::Stopping { instance: number });
    let exited = async {
        // Another fault may have killed the process in the meantime.
        while instance.process.lock().is_some() && !testbed.take_exit(number)? {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        io::Result::Ok(())
    };
    if let Ok(exited) = tokio::time::timeout(GRACE, exited).await {
        exited?;
    }
    let exited_ms = testbed.now_ms();
    *instance.process.lock() = None;
    instance.is_stopping.store(false, Ordering::Relaxed);
    testbed.start_instance(number)?;
    testbed.record_fault(exited_ms, Component::Instance(number));
    Ok(())
}
