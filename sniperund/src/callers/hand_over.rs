//! Hands a request to another instance when this one reaches no target of its service.
//!
//! The other instance treats it as a caller's request and does not hand it on. A request is handed
//! to the next instance only if it cannot have run, or may run again. The other instance may have
//! another release: it repeats the request only if both releases allow that.

use std::net::SocketAddr;
use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use model::ResultCode;
use model::configuration::Target;
use policy::Input;
use policy::exchange::Event;
use policy::exchange::HandOver;
use policy::exchange::HandOverStep;
use policy::exchange::HelperOutcome;
use policy::exchange::Notice;
use policy::exchange::NoticedTarget;
use policy::exchange::Step;
use policy::exchange::TargetNotices;
use policy::routing::TargetProcess;
use rand::seq::IteratorRandom;

use super::body::ResponseBody;
use super::headers::names;
use super::headers::remove_hop_by_hop;
use super::reachability_log::record_connection;
use super::relayed_body::RelayedBody;
use super::runner::Runner;
use super::sending::build_request;
use crate::targets::Connection;
use crate::targets::SendFailure;

const MICROS_PER_MILLI: u64 = 1_000;
/// Instances to which a request is handed, one after the other.
const MAX_HELPERS: usize = 3;
/// Codes of an instance that cannot serve the request, while another one may.
const UNABLE_CODES: [ResultCode; 3] = [
    ResultCode::ConnectFailed,
    ResultCode::NoTarget,
    ResultCode::Draining,
];

/// What became of a request that was handed to other instances.
pub(super) enum HandOverResult {
    /// An instance has responded.
    Response(Response<ResponseBody>),
    /// None has.
    Step(Step),
}

/// Another instance.
struct Helper {
    id: Arc<str>,
    address: SocketAddr,
}

enum HelperAnswer {
    Response(Box<Response<Incoming>>, Connection),
    /// The request has not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Runner {
    /// Hands the request to other instances until one responds.
    pub(super) async fn hand_over(&mut self) -> HandOverResult {
        self.probe_target();
        let mut limits = self.request.limits.clone();
        let event = match limits.wait(self.ask_helpers()).await {
            Ok(Ok((response, connection))) => {
                return HandOverResult::Response(self.forward_relayed(response, connection));
            }
            Ok(Err(event)) | Err(event) => event,
        };
        HandOverResult::Step(self.handle_event(event))
    }

    async fn ask_helpers(&mut self) -> Result<(Response<Incoming>, Connection), Event> {
        let mut helpers = self.pick_helpers().into_iter().peekable();
        let mut hand_over = HandOver::new(self.request.repeatable);
        while let Some(helper) = helpers.next() {
            let answer = self.ask_helper(&helper).await;
            self.log_answer(&helper, &answer);
            self.apply_newer_release();
            if !self.is_repeatable() {
                hand_over.forbid_repeats();
            }
            let step = hand_over.record(answer.outcome(), helpers.peek().is_some());
            match (step, answer) {
                (HandOverStep::Forward, HelperAnswer::Response(response, connection)) => {
                    return Ok((*response, connection));
                }
                (HandOverStep::End(event), _) => return Err(event),
                _ => {}
            }
        }
        Err(hand_over.end())
    }

    fn pick_helpers(&self) -> Vec<Helper> {
        let directory = self.proxy_state.control.shared().directory();
        let others = directory
            .values()
            .filter(|member| member.id != self.proxy_state.id && member.is_present());
        let helpers = others.map(|member| Helper {
            id: member.id.clone(),
            address: member.caller_address,
        });
        helpers.sample(&mut rand::rng(), MAX_HELPERS)
    }

    async fn ask_helper(&mut self, helper: &Helper) -> HelperAnswer {
        let Ok(mut connection) = self.proxy_state.pool.open(helper.address).await else {
            return HelperAnswer::NotRun;
        };
        let Some(body) = self.request.body.take() else {
            return HelperAnswer::NotRun;
        };
        let now_us = self.proxy_state.clock.now_us();
        let left_ms = self.request.deadline_us.saturating_sub(now_us) / MICROS_PER_MILLI;
        let mut request = build_request(&self.request.parts).map(|()| body);
        let headers = request.headers_mut();
        self.proxy_state
            .header_protocol
            .set_time_left(left_ms, headers);
        headers.insert(names::RELAYED, HeaderValue::from_static("1"));
        if !self.is_repeatable() {
            headers.insert(names::AT_MOST_ONCE, HeaderValue::from_static("1"));
        }
        match connection.send(request).await {
            Ok(response) => HelperAnswer::Response(response.into(), connection),
            Err(SendFailure::NotSent | SendFailure::Unreachable) => HelperAnswer::NotRun,
            Err(_) => HelperAnswer::Unknown,
        }
    }

    /// Whether the request may be sent again after a target may have run it.
    fn is_repeatable(&self) -> bool {
        let now_us = self.proxy_state.clock.now_us();
        self.request.exchange.is_repeatable(now_us)
    }

    fn log_answer(&self, helper: &Helper, answer: &HelperAnswer) {
        let answer = match answer {
            HelperAnswer::Response(response, _) => response.status().as_u16().to_string(),
            HelperAnswer::NotRun => "not-run".to_owned(),
            HelperAnswer::Unknown => "unknown".to_owned(),
        };
        let now_us = self.proxy_state.clock.now_us();
        self.proxy_state.metrics.handed_over.inc();
        log::info!(
            "event=request-handed-over id={} service={} to={} answer={answer} after_ms={}",
            self.request.request_params.id(),
            self.request.exchange.table().service.name,
            helper.id,
            now_us.saturating_sub(self.request.began_us) / MICROS_PER_MILLI
        );
    }

    fn forward_relayed(
        &mut self,
        response: Response<Incoming>,
        connection: Connection,
    ) -> Response<ResponseBody> {
        let _ = self.handle_event(Event::HandedOver);
        self.refund_token();
        let (mut parts, incoming) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        self.report_relayed_notices(parts.status, &mut parts.headers);
        if self.proxy_state.control.shared().table().draining {
            let close = HeaderValue::from_static("close");
            parts.headers.insert(CONNECTION, close);
        }
        let limits = self.request.response_limits.clone();
        let clock = self.proxy_state.clock;
        let guards = self.request.guards.take();
        let body = RelayedBody::new(incoming, limits, clock, connection, guards);
        Response::from_parts(parts, body.boxed())
    }

    /// Returns the token of the customer's quota, as the other instance has taken one.
    fn refund_token(&self) {
        if let Some(customer) = &self.request.quota_customer {
            let now_us = self.proxy_state.clock.now_us();
            let gate = self.proxy_state.control.shared().quota_gate();
            gate.refund(now_us, &customer.name);
        }
    }

    /// Reports what a target has said about itself in a response that another instance relays, as
    /// this instance passes it on too. The headers that name the target are removed.
    fn report_relayed_notices(&self, status: StatusCode, headers: &mut HeaderMap) {
        let Some(process) = take_process(headers) else {
            return;
        };
        let header_protocol = &self.proxy_state.header_protocol;
        // A pause concerns the instance that the target has refused.
        let notices = TargetNotices {
            pause_ms: Notice::Absent,
            ..header_protocol.parse_target_notices(status, headers)
        };
        if notices.is_leaving == Notice::Stated(true) {
            let now_us = self.proxy_state.clock.now_us();
            let mut candidates = self.request.exchange.table().candidates.iter();
            let is_same = |target: &Target| TargetProcess::of(target) == process;
            if let Some(candidate) = candidates.find(|candidate| is_same(&candidate.target)) {
                candidate.load.record_departure(now_us);
            }
        }
        self.proxy_state.control.send(Input::Noticed(NoticedTarget {
            process,
            sent_us: self.request.began_us,
            notices,
        }));
    }

    /// Connects to a target from time to time, to find out when the link is back.
    pub(super) fn probe_target(&self) {
        let now_us = self.proxy_state.clock.now_us();
        let table = self.request.exchange.table().clone();
        if !table.load.reachability.take_probe(now_us) {
            return;
        }
        let usable = table.usable(now_us).map(|(index, _)| index);
        let Some(candidate) = usable.choose(&mut rand::rng()) else {
            return;
        };
        let proxy_state = self.proxy_state.clone();
        tokio::spawn(async move {
            let opened = proxy_state
                .pool
                .open(table.candidates[candidate].target.address)
                .await;
            let now_us = proxy_state.clock.now_us();
            record_connection(now_us, &table, candidate, opened.is_ok());
            if let Ok(connection) = opened {
                proxy_state.pool.put_back(connection);
            }
        });
    }
}

impl HelperAnswer {
    fn outcome(&self) -> HelperOutcome {
        match self {
            Self::Response(response, _) => response_outcome(response),
            Self::NotRun => HelperOutcome::NotSent,
            Self::Unknown => HelperOutcome::Unknown,
        }
    }
}

/// Names the process of the target that has responded to a request of another instance.
pub(super) fn insert_process(target: &Target, headers: &mut HeaderMap) {
    let Ok(name) = HeaderValue::from_str(&target.name) else {
        return;
    };
    headers.insert(names::TARGET, name);
    headers.insert(names::INCARNATION, target.incarnation.into());
}

fn take_process(headers: &mut HeaderMap) -> Option<TargetProcess> {
    let target = headers.remove(names::TARGET)?;
    let incarnation = headers.remove(names::INCARNATION)?;
    Some(TargetProcess {
        target: target.to_str().ok()?.into(),
        incarnation: incarnation.to_str().ok()?.parse().ok()?,
    })
}

/// Tells refusals of the other instance, which have a result code, from responses of targets.
fn response_outcome(response: &Response<Incoming>) -> HelperOutcome {
    let code = response.headers().get(names::CODE);
    let code = code.and_then(|code| code.to_str().ok()?.parse().ok());
    let has_not_run = matches!(
        response.status(),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let is_code = |known: ResultCode| code == Some(known.number());
    match code {
        Some(_) if UNABLE_CODES.into_iter().any(is_code) => HelperOutcome::ReachesNoTarget,
        Some(_) if has_not_run => HelperOutcome::Refused,
        _ => HelperOutcome::Answered,
    }
}
