//! One run: a scene, its callers, and a plan of faults.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use standin::StoreFault;
use standin::TargetScript;

use super::Change;
use super::Fault;
use super::Link;
use super::Mode;
use super::Outcome;
use super::Place;
use super::Plan;
use super::Step;
use super::checks;
use crate::caller;
use crate::scene::Scene;

/// `grace`: time from the stop signal to the end by force.
const GRACE: Duration = Duration::from_secs(6);
/// Time from draining to leaving: longer than a target's leaving takes to be known.
const LEAVES: Duration = Duration::from_secs(4);
const LOOK: Duration = Duration::from_millis(10);
/// Time after the last fault that callers go on: until service has returned, and
/// for some requests then.
const AFTER_MS: u64 = 9_000;

/// How much runs at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Instances.
    pub instances: usize,
    /// Targets of each of the two services.
    pub targets_each: usize,
    /// Callers.
    pub callers: u64,
}

/// Plays the plan of a seed; settings and logs go to `folder`.
///
/// # Errors
///
/// Returns an error if the scene cannot be set up or a process be started.
pub async fn run(seed: u64, size: Size, program: &Path, folder: &Path) -> io::Result<Outcome> {
    let plan = Plan::of(seed, size);
    let not_taken = Link::not_taken();
    let scene = Scene::start(program.to_owned(), folder.to_owned(), size).await?;
    let from_ms = scene.now_ms();
    let balancer = tokio::spawn(scene.clone().balance());
    let callers: Vec<_> = (0..size.callers)
        .map(|number| tokio::spawn(caller::call(scene.clone(), number)))
        .collect();
    let steps = plan
        .steps
        .iter()
        .map(|step| play(scene.clone(), from_ms, *step));
    let guard = tokio::spawn(guard(scene.clone()));
    let played = futures::future::join_all(steps).await;
    for result in played {
        result?;
    }
    tokio::time::sleep(Duration::from_millis(AFTER_MS)).await;
    scene.end();
    for caller in callers {
        caller.await.map_err(io::Error::other)?;
    }
    balancer.await.map_err(io::Error::other)?;
    guard.await.map_err(io::Error::other)??;
    if Link::not_taken() > not_taken {
        return Err(io::Error::other("a link lacked the means for a connection"));
    }
    let record = scene.take_record();
    let logs: Vec<PathBuf> = scene.slots.iter().map(|slot| slot.place.log()).collect();
    Ok(Outcome {
        broken: checks::check(&record),
        plan,
        from_ms,
        record,
        logs,
    })
}

/// Starts instances again that have ended without being asked to.
async fn guard(scene: Arc<Scene>) -> io::Result<()> {
    while !scene.is_over() {
        for number in 0..scene.slots.len() {
            if scene.has_left(number)? {
                scene.ended_by_itself(number);
                scene.start_instance(number)?;
            }
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}

async fn play(scene: Arc<Scene>, from_ms: u64, step: Step) -> io::Result<()> {
    let lasts = Duration::from_millis(step.for_ms);
    let at = Duration::from_millis(from_ms + step.at_ms);
    tokio::time::sleep(at.saturating_sub(Duration::from_millis(scene.now_ms()))).await;
    let begun_ms = scene.now_ms();
    match step.fault {
        Fault::Kill(number) => {
            *scene.slots[number].process.lock() = None;
            tokio::time::sleep(lasts).await;
            scene.start_instance(number)?;
            scene.troubled(begun_ms, Place::Instance(number));
        }
        Fault::Freeze(number) => {
            signal(&scene, number, "STOP")?;
            tokio::time::sleep(lasts).await;
            signal(&scene, number, "CONT")?;
            scene.troubled(begun_ms, Place::Instance(number));
        }
        Fault::Stop(number) => stop(&scene, number).await?,
        Fault::Settings(number, retry_reserve) => {
            scene.slots[number].place.write_settings(retry_reserve)?;
            signal(&scene, number, "HUP")?;
        }
        Fault::Callers(number, mode) => {
            harm(&scene.slots[number].callers, mode, lasts).await;
            scene.troubled(begun_ms, Place::Instance(number));
        }
        Fault::Peers(number, mode) => {
            if let Some(link) = &scene.slots[number].peers {
                harm(link, mode, lasts).await;
                scene.troubled(begun_ms, Place::Instance(number));
            }
        }
        Fault::StoreLink(number, mode) => {
            harm(&scene.slots[number].store, mode, lasts).await;
            scene.troubled(begun_ms, Place::Instance(number));
        }
        Fault::TargetLink(number, mode) => {
            let slot = scene.targets.lock()[number].clone();
            harm(&slot.link, mode, lasts).await;
            scene.troubled(begun_ms, Place::Target(slot.target.id().into()));
        }
        Fault::Target(number, script) => {
            let slot = scene.targets.lock()[number].clone();
            slot.target.set_script(script);
            tokio::time::sleep(lasts).await;
            slot.target.set_script(TargetScript::Good);
            scene.troubled(begun_ms, Place::Target(slot.target.id().into()));
        }
        Fault::Replace(number) => {
            let slot = scene.targets.lock()[number].clone();
            scene.drain_target(&slot);
            tokio::time::sleep(LEAVES).await;
            scene.replace_target(number).await?;
        }
        Fault::Store(fault) => {
            scene.store.set_fault(fault);
            tokio::time::sleep(lasts).await;
            scene.store.set_fault(StoreFault::None);
            scene.troubled(begun_ms, Place::Store);
        }
        Fault::Compact => {
            scene.store.compact();
            scene.troubled(begun_ms, Place::Store);
        }
        Fault::Move => scene.put_configuration(begun_ms as usize),
    }
    Ok(())
}

async fn harm(link: &Link, mode: Mode, lasts: Duration) {
    link.set(mode);
    tokio::time::sleep(lasts).await;
    link.set(Mode::Calm);
}

/// Signals an instance's process; one that is not running gets none.
fn signal(scene: &Scene, number: usize, name: &str) -> io::Result<()> {
    match &*scene.slots[number].process.lock() {
        Some(process) => process.signal(name),
        None => Ok(()),
    }
}

/// Stops an instance by plan and starts it again.
async fn stop(scene: &Scene, number: usize) -> io::Result<()> {
    let slot = &scene.slots[number];
    if slot.is_stopping.swap(true, Ordering::Relaxed) {
        return Ok(());
    }
    signal(scene, number, "TERM")?;
    scene.changed(Change::Stopping { instance: number });
    let ended = async {
        // A process that another fault has killed is gone, too.
        while slot.process.lock().is_some() && !scene.take_ended(number)? {
            tokio::time::sleep(LOOK).await;
        }
        io::Result::Ok(())
    };
    if let Ok(ended) = tokio::time::timeout(GRACE, ended).await {
        ended?;
    }
    let gone_ms = scene.now_ms();
    *slot.process.lock() = None;
    slot.is_stopping.store(false, Ordering::Relaxed);
    scene.start_instance(number)?;
    scene.troubled(gone_ms, Place::Instance(number));
    Ok(())
}
