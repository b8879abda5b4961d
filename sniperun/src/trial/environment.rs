//! Fakes and instances of a trial, bound to free ports of the loopback address.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use border::HttpPlatform;
use border::NoteStore;
use model::Note;
use model::configuration::Class;
use policy::evidence::HealthState;
use sniperund::App;
use sniperund::Settings;
use standin::Backend;
use standin::PlatformServer;
use standin::Script;

use crate::cli::Deployment;
use crate::commands::CommandError;
use crate::commands::Result;

const RODOPI: &str = include_str!("../../../examples/rodopi/note.jsonc");
const KINDERHUT: &str = include_str!("../../../examples/kinderhut/note.jsonc");
const INSTANCES: usize = 3;
pub(super) const EXPORT_BYTES: usize = 256 * 1024;
const NOTE_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Fakes and instances of a trial.
pub(super) struct Environment {
    pub(super) platform: PlatformServer,
    pub(super) backends: Vec<Backend>,
    pub(super) note: Note,
    pub(super) apps: Vec<App>,
    pub(super) store: NoteStore,
}

/// A service and the path of its requests.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) service: Arc<str>,
    pub(super) path: Arc<str>,
}

impl Environment {
    /// Starts the fakes and the instances, submits the note of the deployment, and
    /// waits until it is in force at all instances.
    pub(super) async fn start(deployment: Deployment) -> Result<Self> {
        let mut note = read_note(deployment)?;
        let mut backends = Vec::new();
        for target in &mut note.targets.add {
            let is_export = find_class(&note.services.add, &target.service) == Some(Class::Export);
            let script = Script {
                answer_bytes: if is_export { EXPORT_BYTES } else { 64 },
                chunk_pause_ms: if is_export { 5 } else { 0 },
                ..Script::default()
            };
            let backend = Backend::bind(loopback(), &target.name, script)
                .await
                .map_err(to_bind_error)?;
            target.address = backend.address();
            backends.push(backend);
        }
        let platform = PlatformServer::bind(loopback())
            .await
            .map_err(to_bind_error)?;
        let store = NoteStore::new(Arc::new(HttpPlatform::new(&platform.address().to_string())));
        let mut environment = Self {
            platform,
            backends,
            note,
            apps: Vec::new(),
            store,
        };
        environment.start_instances().await?;
        let mut first = environment.note.clone();
        first.submission = "trial-1".into();
        environment.store.submit(&first).await?;
        environment.wait_for_note(1).await?;
        Ok(environment)
    }

    /// Starts one instance in each of the first [`INSTANCES`] data centres of the note.
    async fn start_instances(&mut self) -> Result<()> {
        let data_centres: BTreeSet<Arc<str>> = self
            .note
            .targets
            .add
            .iter()
            .map(|target| target.data_centre.clone())
            .collect();
        for data_centre in data_centres.into_iter().take(INSTANCES) {
            let text = format!(
                r#"{{"id": "{data_centre}-1", "data_centre": "{data_centre}", "callers": "127.0.0.1:0",
                    "peers": "127.0.0.1:0", "admin": "127.0.0.1:0", "platform": "{}",
                    "drain_grace_ms": 100}}"#,
                self.platform.address()
            );
            let settings = Settings::parse(&text)?;
            let app = App::start(&settings).await.map_err(to_trial_error)?;
            self.platform.memory.add_instance(app.member().clone());
            self.apps.push(app);
        }
        Ok(())
    }

    /// Waits until a note is in force at all instances and they are ready; returns the
    /// time waited.
    pub(super) async fn wait_for_note(&self, number: u64) -> Result<Duration> {
        let started = Instant::now();
        while !self.all_instances(|app| {
            app.control().shared().table().configuration.number >= number
                && app.control().shared().table().ready
        }) {
            if started.elapsed() > NOTE_TIMEOUT {
                return Err(CommandError::Trial(format!(
                    "note {number} did not come into force at all instances in time"
                )));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(started.elapsed())
    }

    /// Whether no instance sends regular requests to a target; requests of a half-open
    /// trial do not count.
    pub(super) fn is_out_of_rotation(&self, service: &str, target: &str) -> bool {
        self.all_instances(|app| !is_in_rotation(app, service, target))
    }

    /// Whether an instance has taken a target out of rotation that is not leaving.
    pub(super) fn is_ejected(&self, service: &str, target: &str) -> bool {
        let is_leaving = |app: &App| {
            let table = app.control().shared().table();
            table
                .configuration
                .targets
                .get(target)
                .is_none_or(|target| target.leaving)
        };
        self.apps
            .iter()
            .any(|app| !is_leaving(app) && !is_in_rotation(app, service, target))
    }

    fn all_instances(&self, predicate: impl Fn(&App) -> bool) -> bool {
        self.apps.iter().all(predicate)
    }

    /// Endpoints of the services of a class, in the order of the note.
    pub(super) fn endpoints(&self, class: Class) -> Vec<Endpoint> {
        let services = self
            .note
            .services
            .add
            .iter()
            .filter(|service| service.class == class);
        let routes = services.filter_map(|service| {
            let route = self
                .note
                .routes
                .add
                .iter()
                .find(|route| route.service == service.name)?;
            Some(Endpoint {
                service: service.name.clone(),
                path: route.path.clone(),
            })
        });
        routes.collect()
    }

    /// Index of the `nth` target of a service.
    pub(super) fn target_index(&self, service: &str, nth: usize) -> usize {
        let targets = self.note.targets.add.iter().enumerate();
        let mut of_service = targets.filter(|(_, target)| *target.service == *service);
        of_service.nth(nth).map_or(0, |(at, _)| at)
    }
}

fn is_in_rotation(app: &App, service: &str, target: &str) -> bool {
    let table = app.control().shared().table();
    let Some(service) = table.services.get(service) else {
        return false;
    };
    let mut candidates = service.candidates.iter();
    candidates.any(|candidate| {
        let is_out = matches!(candidate.health, HealthState::Ejected | HealthState::Trial);
        *candidate.target.name == *target && !is_out
    })
}

fn read_note(deployment: Deployment) -> Result<Note> {
    let text = match deployment {
        Deployment::Rodopi => RODOPI,
        Deployment::Kinderhut => KINDERHUT,
    };
    Ok(model::document::read(text)?)
}

fn find_class(services: &[model::configuration::Service], name: &str) -> Option<Class> {
    let service = services.iter().find(|service| *service.name == *name);
    service.map(|service| service.class)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn to_bind_error(source: std::io::Error) -> CommandError {
    let address = loopback();
    CommandError::Bind { address, source }
}

fn to_trial_error(error: impl std::fmt::Display) -> CommandError {
    CommandError::Trial(error.to_string())
}
