//! Routes, admits and runs the requests of one connection.

use std::convert::Infallible;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use border::RequestParams;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use model::ResultCode;
use model::configuration::Class;
use model::configuration::Customer;
use model::configuration::KeyDigest;
use model::configuration::Repeat;
use model::configuration::Route;
use policy::command::TicketAnswer;
use policy::exchange::BodyLimits;
use policy::exchange::Event;
use policy::exchange::Exchange;
use policy::exchange::MAX_ATTEMPTS;
use policy::limits::BodyReservation;
use policy::quarantine::RequestContent;
use policy::routing::RoutingTable;
use policy::routing::ServiceTable;
use policy::routing::counted_body_bytes;
use rand::RngExt;
use tower::Service;

use super::ProxyState;
use super::admitted_request::AdmissionGuards;
use super::admitted_request::AdmittedRequest;
use super::admitted_request::CallerIdentity;
use super::body::CallerBody;
use super::body::ResponseBody;
use super::body::full_body;
use super::caller_connection::CallerConnection;
use super::caller_connection::ResponseLimits;
use super::command::CommandId;
use super::command::CommandRecord;
use super::headers::names;
use super::quota::OverQuota;
use super::quota::take_token;
use super::reply::build_refusal;
use super::runner::Runner;
use super::ticket_relay::relay_to_issuer;
use super::wait_limits::WaitLimits;
use crate::metrics::RequestLabels;

const TICKETS_PATH: &str = "/sniperun/tickets";
const RETRY_AFTER_REFUSAL_MS: u64 = 1_000;
const RETRY_AFTER_NOT_READY_MS: u64 = 2_000;
const MICROS_PER_MILLI: u64 = 1_000;
/// Part of the caller's time limit reserved for returning the response, in milliseconds:
/// the longest round trip in the users' specifications, plus the tenth of a second for
/// which a process that has used up its CPU quota is suspended.
const RETURN_MARGIN_MS: u64 = 120;
/// The margin is at most the caller's time limit divided by this.
const RETURN_MARGIN_DIVISOR: u64 = 20;

/// Serves the requests of one connection.
#[derive(Clone)]
pub(super) struct CallerService {
    pub(super) proxy_state: Arc<ProxyState>,
    pub(super) caller: IpAddr,
    pub(super) connection: Arc<CallerConnection>,
}

impl Service<Request<Incoming>> for CallerService {
    type Response = Response<ResponseBody>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let proxy_state = self.proxy_state.clone();
        let caller = Caller {
            address: self.caller,
            connection: self.connection.clone(),
        };
        async move { Ok(serve(proxy_state, caller, request).await) }.boxed()
    }
}

/// The caller of a request.
struct Caller {
    address: IpAddr,
    connection: Arc<CallerConnection>,
}

async fn serve(
    proxy_state: Arc<ProxyState>,
    caller: Caller,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if proxy_state.supports_command_ids() && request.uri().path() == TICKETS_PATH {
        return issue_ticket(&proxy_state, request.method());
    }
    let table = proxy_state.control.shared().table();
    let request_params = proxy_state
        .header_protocol
        .parse_request_params(request.headers());
    let id: Arc<str> = match &request_params {
        Ok(request_params) => request_params.id().into(),
        Err(_) => "-".into(),
    };
    match route(&proxy_state, &table, &caller, request, request_params).await {
        Ok(RouteAction::Respond(response)) => response,
        Ok(RouteAction::Run(request, routed)) => {
            run(proxy_state, &table, caller, request, *routed).await
        }
        Err(refusal) => {
            log::warn!(
                "event=request-refused id={id} code={} outcome={} note={} reason=\"{}\" retry_after_ms={:?}",
                refusal.code.number(),
                refusal.code.outcome(),
                table.configuration.number,
                refusal.code.phrase(),
                refusal.retry_after_ms
            );
            proxy_state.metrics.count_request(&RequestLabels {
                service: refusal
                    .service
                    .map(|service| service.to_string())
                    .unwrap_or_default(),
                class: String::new(),
                code: refusal.code.number(),
                outcome: refusal.code.outcome().to_string(),
            });
            build_refusal(
                &*proxy_state.header_protocol,
                refusal.code,
                refusal.retry_after_ms,
            )
        }
    }
}

/// A request that is refused before admission: the result code and the retry delay.
struct RouteRefusal {
    code: ResultCode,
    retry_after_ms: Option<u64>,
    service: Option<Arc<str>>,
}

impl From<ResultCode> for RouteRefusal {
    fn from(code: ResultCode) -> Self {
        Self {
            code,
            retry_after_ms: None,
            service: None,
        }
    }
}

/// The terms under which a request is run.
struct RoutedRequest {
    request_params: RequestParams,
    /// `None` if callers need no keys.
    identity: Option<CallerIdentity>,
    route: Arc<Route>,
    /// Whether the request may be sent again after a target may have run it.
    repeatable: bool,
    service: Arc<ServiceTable>,
    record: CommandRecord,
    began_us: u64,
    /// Time at which the instance abandons the request.
    deadline_us: u64,
    /// Time at which the caller stops waiting for the response.
    caller_deadline_us: u64,
    body_limits: BodyLimits,
}

enum RouteAction {
    Respond(Response<ResponseBody>),
    Run(Request<Incoming>, Box<RoutedRequest>),
}

/// Determines the service, the deadline and the command record of a request. A command whose
/// ticket was issued by another instance is relayed there instead, and the response returned.
async fn route(
    proxy_state: &Arc<ProxyState>,
    table: &RoutingTable,
    caller: &Caller,
    request: Request<Incoming>,
    request_params: Result<RequestParams, ResultCode>,
) -> Result<RouteAction, RouteRefusal> {
    let began_us = proxy_state.clock.now_us();
    if !table.ready
        || !proxy_state
            .control
            .shared()
            .table_freshness()
            .is_current(began_us)
    {
        return Err(RouteRefusal {
            retry_after_ms: Some(RETRY_AFTER_NOT_READY_MS),
            ..ResultCode::NotReady.into()
        });
    }
    let host = host_of(&request);
    let Some(route) = table
        .configuration
        .route(&host, request.uri().path())
        .cloned()
    else {
        return Err(no_route(proxy_state));
    };
    let service_name = route.pick_service(rand::rng().random());
    let Some(service) = table.services.get(service_name).cloned() else {
        return Err(no_route(proxy_state));
    };
    let command_id = match proxy_state.supports_command_ids() {
        true => CommandId::read(request.headers())?,
        false => None,
    };
    let identity = identify(proxy_state, table, &route, request.headers())?;
    let request_params = request_params?;
    let caller_limit_ms = request_params
        .time_limit_ms
        .unwrap_or(service.service.time_limit_ms);
    let usable_ms = caller_limit_ms - RETURN_MARGIN_MS.min(caller_limit_ms / RETURN_MARGIN_DIVISOR);
    let limit_ms = usable_ms.min(route.terms.time_limit_ms.unwrap_or(u64::MAX));
    let deadline_us = began_us + limit_ms * MICROS_PER_MILLI;
    let body_limits = BodyLimits {
        route_deadline_us: route
            .terms
            .time_limit_ms
            .map(|time_limit_ms| began_us + time_limit_ms * MICROS_PER_MILLI),
        caller_deadline_us: request_params
            .time_limit_ms
            .map(|time_limit_ms| began_us + time_limit_ms * MICROS_PER_MILLI),
    };
    let repeatable =
        is_repeatable(&route, &service) && !request.headers().contains_key(names::AT_MOST_ONCE);
    let record = match command_id {
        Some(CommandId::Key(key)) if !repeatable => {
            let customer = match &identity {
                Some(identity) => identity.name().map(|name| &**name),
                None => customer_header(request.headers()),
            };
            let customer = customer.unwrap_or("-");
            let key = format!("claims/{}/{customer}/{key}", service.service.name);
            CommandRecord::claim(proxy_state.clone(), key.into())
        }
        Some(CommandId::Ticket(ticket)) if !repeatable => {
            if ticket.instance != proxy_state.id && !request.headers().contains_key(names::RELAYED)
            {
                return Ok(RouteAction::Respond(
                    relay_to_issuer(
                        proxy_state,
                        &ticket,
                        request,
                        WaitLimits::new(proxy_state, deadline_us),
                        ResponseLimits {
                            connection: caller.connection.clone(),
                            body: body_limits,
                        },
                    )
                    .await,
                ));
            }
            let answer = proxy_state.tickets.lock().begin(began_us, &ticket);
            match answer {
                TicketAnswer::Begin => CommandRecord::ticket(proxy_state.clone(), ticket),
                TicketAnswer::Held(state) => {
                    return Err(state
                        .code_for_repeat()
                        .unwrap_or(ResultCode::AlreadyBegun)
                        .into());
                }
                TicketAnswer::NotFound => return Err(ResultCode::TicketLost.into()),
            }
        }
        _ => CommandRecord::none(proxy_state.clone()),
    };
    let routed = RoutedRequest {
        request_params,
        identity,
        route,
        repeatable,
        service,
        record,
        began_us,
        deadline_us,
        caller_deadline_us: began_us + caller_limit_ms * MICROS_PER_MILLI,
        body_limits,
    };
    Ok(RouteAction::Run(request, Box::new(routed)))
}

/// Determines on whose behalf a request is made; `None` if callers need no keys.
///
/// If the configuration may be outdated, an unknown key is refused with a retryable code, as the key
/// may exist by now.
fn identify(
    proxy_state: &ProxyState,
    table: &RoutingTable,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<CallerIdentity>, RouteRefusal> {
    if !table.configuration.requires_keys() {
        return Ok(None);
    }
    if route.terms.is_public {
        return Ok(Some(CallerIdentity { customer: None }));
    }
    let key = proxy_state.header_protocol.caller_key(headers);
    let customer = key.and_then(|key| table.configuration.customer_by_key(&KeyDigest::of(key)));
    match customer {
        Some(customer) => Ok(Some(CallerIdentity {
            customer: Some(customer.clone()),
        })),
        None => Err(refuse_unknown(proxy_state, ResultCode::UnknownKey)),
    }
}

fn no_route(proxy_state: &ProxyState) -> RouteRefusal {
    refuse_unknown(proxy_state, ResultCode::NoRoute)
}

/// Returns the refusal for a request whose route or key is unknown. If the configuration may be
/// outdated, the refusal is retryable, as the route or key may exist by now.
fn refuse_unknown(proxy_state: &ProxyState, code: ResultCode) -> RouteRefusal {
    if proxy_state
        .control
        .shared()
        .table_freshness()
        .is_authoritative()
    {
        return code.into();
    }
    RouteRefusal {
        retry_after_ms: Some(RETRY_AFTER_NOT_READY_MS),
        ..ResultCode::NotReady.into()
    }
}

pub(super) fn is_repeatable(route: &Route, service: &ServiceTable) -> bool {
    let route_setting = route
        .terms
        .repeat
        .map(|repeat| repeat == Repeat::Idempotent);
    route_setting.unwrap_or_else(|| service.is_repeatable())
}

/// Admits a request and runs its exchange up to the head of the response.
async fn run(
    proxy_state: Arc<ProxyState>,
    table: &RoutingTable,
    caller: Caller,
    request: Request<Incoming>,
    mut routed: RoutedRequest,
) -> Response<ResponseBody> {
    let (guards, quota_customer) = match admit(&proxy_state, table, &request, &routed) {
        Ok(admitted) => admitted,
        Err(code) => return refuse(&proxy_state, &mut routed, code),
    };
    if let Some(customer) = &quota_customer
        && let Err(over_quota) = take_token(&proxy_state, customer, routed.deadline_us).await
    {
        return refuse_over_quota(&proxy_state, &mut routed, customer, over_quota);
    }
    let named_customer: Option<Arc<str>> = match &routed.identity {
        Some(identity) => identity.name().cloned(),
        None => customer_header(request.headers()).map(Into::into),
    };
    let customer = named_customer
        .clone()
        .unwrap_or_else(|| caller.address.to_string().into());
    let has_id = routed.record.has_id();
    let class = class_of(&routed);
    let host = host_of(&request);
    let (parts, incoming) = request.into_parts();
    let mut limits = WaitLimits::new(&proxy_state, routed.deadline_us);
    let read = CallerBody::read(incoming, proxy_state.limits.kept_body_bytes);
    let body = match limits.wait(read).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => {
            routed.record.finish(ResultCode::BadRequest.outcome());
            return build_refusal(&*proxy_state.header_protocol, ResultCode::BadRequest, None);
        }
        Err(Event::LastAnswers) => {
            return refuse(&proxy_state, &mut routed, ResultCode::Draining);
        }
        Err(_) => return refuse(&proxy_state, &mut routed, ResultCode::DeadlineTooNear),
    };
    let is_handed_over = parts.headers.contains_key(names::RELAYED);
    let content = RequestContent {
        customer: named_customer.as_deref(),
        method: parts.method.as_str(),
        host: &host,
        path: parts.uri.path_and_query().map_or("/", |path| path.as_str()),
        body_length: body.length(),
        body: body.buffered(),
    };
    let body_bytes = counted_body_bytes(body.length());
    let request = policy::exchange::Request {
        fingerprint: content.fingerprint(),
        may_hand_over: !has_id && !is_handed_over,
        is_handed_over,
        deadline_us: routed.deadline_us,
        caller_deadline_us: routed.caller_deadline_us,
        claims_key: routed.record.claims_key(),
        replayable: body.is_replayable(),
        repeatable: routed.repeatable,
        max_attempts: routed
            .route
            .terms
            .max_attempts
            .map_or(MAX_ATTEMPTS, |attempts| attempts as usize),
        priority: guards.priority.or(routed.route.terms.priority),
        objective_us: routed
            .route
            .terms
            .objective_ms
            .map(|time_ms| time_ms * MICROS_PER_MILLI),
        began_us: routed.began_us,
    };
    let runner = Runner::new(
        proxy_state.clone(),
        AdmittedRequest {
            parts,
            body,
            request_params: routed.request_params,
            identity: routed.identity,
            route: routed.route,
            class,
            note: table.configuration.number,
            repeatable: request.repeatable,
            checked_release: table.configuration.number,
            host: host.into(),
            exchange: Exchange::new(request, routed.service).with_body_bytes(body_bytes),
            record: routed.record,
            guards: Some(guards),
            quota_customer,
            customer,
            deadline_us: routed.deadline_us,
            limits,
            response_limits: ResponseLimits {
                connection: caller.connection,
                body: routed.body_limits,
            },
            began_us: routed.began_us,
        },
    );
    if !has_id {
        return runner.run().await;
    }
    // A command with a key or ticket continues if its caller disconnects, so that a repeated
    // request gets the actual outcome.
    let (sender, response) = tokio::sync::oneshot::channel();
    let header_protocol = proxy_state.header_protocol.clone();
    let limits = runner.request.limits.clone();
    proxy_state.background.spawn(async move {
        if let Err(undelivered) = sender.send(runner.run().await) {
            discard(undelivered.into_body(), limits).await;
        }
    });
    response.await.unwrap_or_else(|_| {
        build_refusal(&*header_protocol, ResultCode::EarlierOutcomeUnknown, None)
    })
}

/// Reads the rest of a response that nobody takes, within the limits of its request, so that its
/// command ends with the outcome.
async fn discard(mut body: ResponseBody, mut limits: WaitLimits) {
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    if limits.wait(read).await.is_err() {
        log::warn!("event=undelivered-answer-cut reason=time-limit");
    }
}

/// Refuses a request that was sent to no target.
fn refuse(
    proxy_state: &ProxyState,
    routed: &mut RoutedRequest,
    code: ResultCode,
) -> Response<ResponseBody> {
    let in_work = proxy_state.admission.in_flight();
    log_refusal(routed, code, format_args!("in_work={in_work}"));
    finish_refusal(proxy_state, routed, code, RETRY_AFTER_REFUSAL_MS)
}

/// Refuses a request over the quota of its customer.
fn refuse_over_quota(
    proxy_state: &ProxyState,
    routed: &mut RoutedRequest,
    customer: &Customer,
    over_quota: OverQuota,
) -> Response<ResponseBody> {
    let OverQuota {
        waited_ms,
        retry_after_ms,
    } = over_quota;
    let name = &customer.name;
    let load = &routed.service.load;
    load.over_quota.fetch_add(1, Ordering::Relaxed);
    log_refusal(
        routed,
        ResultCode::QuotaExceeded,
        format_args!("customer={name} waited_ms={waited_ms} retry_after_ms={retry_after_ms}"),
    );
    finish_refusal(
        proxy_state,
        routed,
        ResultCode::QuotaExceeded,
        retry_after_ms,
    )
}

fn log_refusal(routed: &RoutedRequest, code: ResultCode, details: std::fmt::Arguments<'_>) {
    log::warn!(
        "event=request-refused id={} route={} service={} code={} outcome={} reason=\"{}\" {details}",
        routed.request_params.id(),
        routed.route.name,
        routed.service.service.name,
        code.number(),
        code.outcome(),
        code.phrase()
    );
}

fn finish_refusal(
    proxy_state: &ProxyState,
    routed: &mut RoutedRequest,
    code: ResultCode,
    retry_after_ms: u64,
) -> Response<ResponseBody> {
    routed.record.finish(code.outcome());
    proxy_state.metrics.count_request(&RequestLabels {
        service: routed.service.service.name.to_string(),
        class: class_of(routed).as_str().to_owned(),
        code: code.number(),
        outcome: code.outcome().to_string(),
    });
    build_refusal(&*proxy_state.header_protocol, code, Some(retry_after_ms))
}

fn class_of(routed: &RoutedRequest) -> Class {
    let route_setting = routed.route.terms.class;
    route_setting.unwrap_or(routed.service.service.class)
}

fn admit(
    proxy_state: &Arc<ProxyState>,
    table: &RoutingTable,
    request: &Request<Incoming>,
    routed: &RoutedRequest,
) -> Result<(AdmissionGuards, Option<Arc<Customer>>), ResultCode> {
    let customer = match &routed.identity {
        Some(identity) => identity.customer.as_ref(),
        None => match customer_header(request.headers()) {
            Some(name) => {
                let customers = &table.configuration.customers;
                Some(customers.get(name).ok_or(ResultCode::UnknownCustomer)?)
            }
            None => None,
        },
    };
    let quota_customer = customer.filter(|customer| customer.quota.is_some());
    let quota_customer = quota_customer.cloned();
    let guard = match customer {
        Some(customer) => {
            let guard = proxy_state
                .customers
                .take(&customer.name, customer.in_flight);
            Some(guard.ok_or(ResultCode::CustomerOverLimit)?)
        }
        None => None,
    };
    let admitted = proxy_state.admission.admit(class_of(routed));
    let guards = AdmissionGuards {
        priority: customer.and_then(|customer| customer.priority),
        _admitted: admitted.ok_or(ResultCode::QueueFull)?,
        _customer: guard,
        _body: reserve_body(proxy_state, request)?,
    };
    Ok((guards, quota_customer))
}

/// Reserves the memory that the body of a request takes.
fn reserve_body(
    proxy_state: &ProxyState,
    request: &Request<Incoming>,
) -> Result<BodyReservation, ResultCode> {
    let length = request.body().size_hint().exact();
    let memory = &proxy_state.body_memory;
    let kept_body_bytes = proxy_state.limits.kept_body_bytes as u64;
    let reservation = match length {
        Some(length) if length <= kept_body_bytes => memory.reserve_kept(length),
        _ => memory.reserve_streamed(length),
    };
    reservation.ok_or_else(|| {
        proxy_state.metrics.body_memory_refusals.inc();
        log::warn!(
            "event=body-memory-full body_bytes={length:?} held_bytes={} limit_bytes={}",
            memory.held_bytes(),
            memory.limit_bytes()
        );
        ResultCode::BodyMemoryFull
    })
}

fn issue_ticket(proxy_state: &Arc<ProxyState>, method: &Method) -> Response<ResponseBody> {
    if method != Method::POST {
        return build_refusal(&*proxy_state.header_protocol, ResultCode::BadRequest, None);
    }
    let table = proxy_state.control.shared().table();
    if !table.ready {
        return build_refusal(
            &*proxy_state.header_protocol,
            ResultCode::NotReady,
            Some(RETRY_AFTER_NOT_READY_MS),
        );
    }
    if table.draining {
        return build_refusal(
            &*proxy_state.header_protocol,
            ResultCode::Draining,
            Some(RETRY_AFTER_REFUSAL_MS),
        );
    }
    let now_us = proxy_state.clock.now_us();
    let issued = proxy_state.tickets.lock().issue(now_us, &mut rand::rng());
    let Some(ticket) = issued else {
        return build_refusal(
            &*proxy_state.header_protocol,
            ResultCode::TicketTableFull,
            Some(RETRY_AFTER_REFUSAL_MS),
        );
    };
    let mut response = Response::new(full_body(format!("{{\"ticket\":\"{ticket}\"}}\n")));
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
