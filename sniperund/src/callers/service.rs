//! What is done with one request.

use std::convert::Infallible;
use std::net::IpAddr;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use border::Asked;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use model::ResultCode;
use model::configuration::Class;
use model::configuration::Repeat;
use model::configuration::Route;
use policy::command::TicketAnswer;
use policy::exchange::Exchange;
use policy::exchange::MAX_ATTEMPTS;
use policy::routing::RoutingTable;
use policy::routing::ServiceTable;
use rand::RngExt;
use tower::Service;

use super::Entry;
use super::body::AnswerBody;
use super::body::CallerBody;
use super::body::whole;
use super::call::Call;
use super::call::Places;
use super::command::CommandName;
use super::command::CommandRecord;
use super::headers::names;
use super::owner::relay_to_owner;
use super::reply::refuse;
use super::runner::Runner;
use crate::metrics::RequestLabels;

const TICKETS_PATH: &str = "/sniperun/tickets";
const RETRY_AFTER_LOAD_MS: u64 = 1_000;
const RETRY_AFTER_START_MS: u64 = 2_000;
const MICROS_PER_MILLI: u64 = 1_000;
/// Time that the final answer takes to a caller whose time is nearly over, and the
/// part of its time that this is at most: the longest way of the users' sheets, both
/// ways, and a tenth of a second in which a used-up share of a core stands still.
const RETURN_MS: u64 = 120;
const RETURN_PART: u64 = 20;

/// Serves the requests of one connection.
#[derive(Clone)]
pub(super) struct CallerService {
    pub(super) entry: Arc<Entry>,
    pub(super) caller: IpAddr,
}

impl Service<Request<Incoming>> for CallerService {
    type Response = Response<AnswerBody>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let entry = self.entry.clone();
        let caller = self.caller;
        async move { Ok(serve(entry, caller, request).await) }.boxed()
    }
}

async fn serve(
    entry: Arc<Entry>,
    caller: IpAddr,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if entry.names_commands() && request.uri().path() == TICKETS_PATH {
        return issue_ticket(&entry, request.method());
    }
    let table = entry.control.shared().table();
    let asked = entry.header_protocol.asked(request.headers());
    let id: Arc<str> = match &asked {
        Ok(asked) => asked.id().into(),
        Err(_) => "-".into(),
    };
    match route(&entry, &table, request, asked).await {
        Ok(Routed::Answer(response)) => response,
        Ok(Routed::Run(found)) => run(entry, &table, caller, *found).await,
        Err(refused) => {
            log::warn!(
                "event=request-refused id={id} code={} outcome={} note={} reason=\"{}\" retry_after_ms={:?}",
                refused.code.number(),
                refused.code.outcome(),
                table.configuration.number,
                refused.code.phrase(),
                refused.retry_after_ms
            );
            entry.metrics.request(&RequestLabels {
                service: refused
                    .service
                    .map(|service| service.to_string())
                    .unwrap_or_default(),
                class: String::new(),
                code: refused.code.number(),
                outcome: refused.code.outcome().to_string(),
            });
            refuse(
                &*entry.header_protocol,
                refused.code,
                refused.retry_after_ms,
            )
        }
    }
}

struct Refused {
    code: ResultCode,
    retry_after_ms: Option<u64>,
    service: Option<Arc<str>>,
}

impl From<ResultCode> for Refused {
    fn from(code: ResultCode) -> Self {
        Self {
            code,
            retry_after_ms: None,
            service: None,
        }
    }
}

struct Found {
    request: Request<Incoming>,
    asked: Asked,
    route: Arc<Route>,
    service: Arc<ServiceTable>,
    record: CommandRecord,
    began_us: u64,
    /// When the request is given up.
    deadline_us: u64,
    /// When the caller gives up.
    caller_deadline_us: u64,
}

enum Routed {
    Answer(Response<AnswerBody>),
    Run(Box<Found>),
}

/// Finds the service, the deadline and the command behind a request.
async fn route(
    entry: &Arc<Entry>,
    table: &RoutingTable,
    request: Request<Incoming>,
    asked: Result<Asked, ResultCode>,
) -> Result<Routed, Refused> {
    let began_us = entry.clock.now_us();
    if !table.ready
        || !entry
            .control
            .shared()
            .table_freshness()
            .is_current(began_us)
    {
        return Err(Refused {
            retry_after_ms: Some(RETRY_AFTER_START_MS),
            ..ResultCode::NotReady.into()
        });
    }
    let host = host_of(&request);
    let Some(route) = table
        .configuration
        .route(&host, request.uri().path())
        .cloned()
    else {
        return Err(no_route(entry));
    };
    let part = route.pick_service(rand::rng().random());
    let Some(service) = table.services.get(part).cloned() else {
        return Err(no_route(entry));
    };
    let name = match entry.names_commands() {
        true => CommandName::read(request.headers())?,
        false => None,
    };
    let asked = asked?;
    let asked_ms = asked.time_limit_ms.unwrap_or(service.service.time_limit_ms);
    let useful_ms = asked_ms - RETURN_MS.min(asked_ms / RETURN_PART);
    let limit_ms = useful_ms.min(route.terms.time_limit_ms.unwrap_or(u64::MAX));
    let deadline_us = began_us + limit_ms * MICROS_PER_MILLI;
    let repeatable = repeatable(&route, &service);
    let record = match name {
        Some(CommandName::Key(key)) if !repeatable => {
            let customer = customer_header(request.headers()).unwrap_or("-");
            let key = format!("claims/{}/{customer}/{key}", service.service.name);
            CommandRecord::claim(entry.clone(), key.into())
        }
        Some(CommandName::Ticket(ticket)) if !repeatable => {
            if ticket.instance != entry.id && !request.headers().contains_key(names::RELAYED) {
                return Ok(Routed::Answer(
                    relay_to_owner(entry, &ticket, request).await,
                ));
            }
            let answer = entry.tickets.lock().begin(began_us, &ticket);
            match answer {
                TicketAnswer::Begin => CommandRecord::ticket(entry.clone(), ticket),
                TicketAnswer::Held(state) => {
                    return Err(state
                        .code_for_repeat()
                        .unwrap_or(ResultCode::AlreadyBegun)
                        .into());
                }
                TicketAnswer::NotFound => return Err(ResultCode::TicketLost.into()),
            }
        }
        _ => CommandRecord::none(entry.clone()),
    };
    Ok(Routed::Run(Box::new(Found {
        request,
        asked,
        route,
        service,
        record,
        began_us,
        deadline_us,
        caller_deadline_us: began_us + asked_ms * MICROS_PER_MILLI,
    })))
}

/// The refusal of a path that no route fits; where the configuration may be
/// outdated, the caller is to come back.
fn no_route(entry: &Entry) -> Refused {
    if entry.control.shared().table_freshness().is_certain() {
        return ResultCode::NoRoute.into();
    }
    Refused {
        retry_after_ms: Some(RETRY_AFTER_START_MS),
        ..ResultCode::NotReady.into()
    }
}

fn repeatable(route: &Route, service: &ServiceTable) -> bool {
    let own = route
        .terms
        .repeat
        .map(|repeat| repeat == Repeat::Idempotent);
    own.unwrap_or_else(|| service.repeatable())
}

/// Admits a request and runs its exchange.
async fn run(
    entry: Arc<Entry>,
    table: &RoutingTable,
    caller: IpAddr,
    mut found: Found,
) -> Response<AnswerBody> {
    let places = match admit(&entry, table, &found) {
        Ok(places) => places,
        Err(code) => {
            found.record.finish(code.outcome());
            let service = &found.service.service;
            log::warn!(
                "event=request-refused id={} route={} service={} code={} outcome={} reason=\"{}\" in_work={}",
                found.asked.id(),
                found.route.name,
                service.name,
                code.number(),
                code.outcome(),
                code.phrase(),
                entry.admission.in_flight()
            );
            entry.metrics.request(&RequestLabels {
                service: service.name.to_string(),
                class: class_of(&found).as_str().to_owned(),
                code: code.number(),
                outcome: code.outcome().to_string(),
            });
            return refuse(&*entry.header_protocol, code, Some(RETRY_AFTER_LOAD_MS));
        }
    };
    let customer: Arc<str> = match customer_header(found.request.headers()) {
        Some(name) => name.into(),
        None => caller.to_string().into(),
    };
    let named = found.record.is_named();
    let class = class_of(&found);
    let (parts, incoming) = found.request.into_parts();
    let Ok(body) = CallerBody::read(incoming, entry.limits.kept_body_bytes).await else {
        found.record.finish(ResultCode::BadRequest.outcome());
        return refuse(&*entry.header_protocol, ResultCode::BadRequest, None);
    };
    let request = policy::exchange::Request {
        deadline_us: found.deadline_us,
        caller_deadline_us: found.caller_deadline_us,
        claims_key: found.record.claims_key(),
        replayable: body.is_replayable(),
        repeatable: repeatable(&found.route, &found.service),
        max_attempts: found
            .route
            .terms
            .max_attempts
            .map_or(MAX_ATTEMPTS, |attempts| attempts as usize),
    };
    let runner = Runner::new(
        entry.clone(),
        Call {
            parts,
            body,
            asked: found.asked,
            route: found.route,
            class,
            note: table.configuration.number,
            repeatable: request.repeatable,
            exchange: Exchange::new(request, found.service),
            record: found.record,
            places,
            customer,
            deadline_us: found.deadline_us,
            began_us: found.began_us,
        },
    );
    if !named {
        return runner.run().await;
    }
    // A named command goes on without its caller, so that a repeat hears its true end.
    let (sender, answer) = tokio::sync::oneshot::channel();
    let header_protocol = entry.header_protocol.clone();
    entry.background.spawn(async move {
        if let Err(unheard) = sender.send(runner.run().await) {
            let _ = unheard.into_body().collect().await;
        }
    });
    answer
        .await
        .unwrap_or_else(|_| refuse(&*header_protocol, ResultCode::EarlierOutcomeUnknown, None))
}

fn class_of(found: &Found) -> Class {
    let own = found.route.terms.class;
    own.unwrap_or(found.service.service.class)
}

fn admit(entry: &Arc<Entry>, table: &RoutingTable, found: &Found) -> Result<Places, ResultCode> {
    let customer = match customer_header(found.request.headers()) {
        Some(name) => {
            let customer = table
                .configuration
                .customers
                .get(name)
                .ok_or(ResultCode::UnknownCustomer)?;
            let place = entry.customers.take(&customer.name, customer.in_flight);
            Some(place.ok_or(ResultCode::CustomerOverLimit)?)
        }
        None => None,
    };
    let admitted = entry.admission.admit(class_of(found));
    Ok(Places {
        _admitted: admitted.ok_or(ResultCode::QueueFull)?,
        _customer: customer,
    })
}

fn issue_ticket(entry: &Arc<Entry>, method: &Method) -> Response<AnswerBody> {
    if method != Method::POST {
        return refuse(&*entry.header_protocol, ResultCode::BadRequest, None);
    }
    let table = entry.control.shared().table();
    if !table.ready {
        return refuse(
            &*entry.header_protocol,
            ResultCode::NotReady,
            Some(RETRY_AFTER_START_MS),
        );
    }
    if table.draining {
        return refuse(
            &*entry.header_protocol,
            ResultCode::Draining,
            Some(RETRY_AFTER_LOAD_MS),
        );
    }
    let now_us = entry.clock.now_us();
    let issued = entry.tickets.lock().issue(now_us, &mut rand::rng());
    let Some(ticket) = issued else {
        return refuse(
            &*entry.header_protocol,
            ResultCode::TicketTableFull,
            Some(RETRY_AFTER_LOAD_MS),
        );
    };
    let mut response = Response::new(whole(format!("{{\"ticket\":\"{ticket}\"}}\n")));
    *response.status_mut() = StatusCode::CREATED;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn host_of(request: &Request<Incoming>) -> String {
    let header = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = request.uri().host().or(header).unwrap_or("");
    host.split(':').next().unwrap_or("").to_ascii_lowercase()
}

fn customer_header(headers: &HeaderMap) -> Option<&str> {
    headers.get(names::CUSTOMER)?.to_str().ok()
}
