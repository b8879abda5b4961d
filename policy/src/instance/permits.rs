//! Permits to send to the targets of crowded services.
//!
//! The home of a target, the highest instance by rendezvous hash, keeps its book. A
//! request asks before it is sent, and the home hears when it has ended. Nothing is stored
//! or handed over: a new home starts with an empty book, and what one has missed ends with
//! the deadlines of the requests. A home that does not answer is left alone for a while.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Action;
use super::Instance;
use super::Message;
use crate::limits::PermitLedger;
use crate::limits::PermitParams;

/// Time in which a home answers, in microseconds: the longest way of the users' sheets
/// both ways, and the tenth of a second for which a used-up share of a core stands still.
pub const PERMIT_LIMIT_US: u64 = 125_000;
/// Questions in a row without an answer after which a home counts as silent: one may be
/// lost on the way.
const UNANSWERED: u32 = 2;
/// Time for which a silent home is not asked, in microseconds.
const SILENT_US: u64 = 1_000_000;
/// Time after which a question without an answer is forgotten, in microseconds.
const FORGOTTEN_US: u64 = 10_000_000;

/// A question of a request that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// Number that the answer repeats, and by which the permit is given back.
    pub number: u64,
    /// Name of the target that it is to be sent to.
    pub target: Arc<str>,
    /// Time that the request has left, in microseconds.
    pub left_us: u64,
}

/// What a home says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitAnswer {
    /// The request may be sent.
    Permitted {
        /// Requests that were in flight to the target.
        in_flight: u32,
    },
    /// The request would not be answered in time, or in the place of others.
    Denied {
        /// Requests that were in flight to the target.
        in_flight: u32,
    },
    /// Nobody keeps the book for now.
    Unknown,
}

#[derive(Clone, Debug)]
struct Asked {
    owner: Arc<str>,
    target: Arc<str>,
    is_answered: bool,
}

/// Questions and permits of this instance's requests, and the books that it keeps.
#[derive(Debug, Default)]
pub(super) struct Permits {
    asked: BTreeMap<u64, Asked>,
    ledgers: BTreeMap<Arc<str>, PermitLedger>,
    /// Questions in a row that homes have not answered, and when the last one ran out.
    unanswered: BTreeMap<Arc<str>, (u32, u64)>,
}

impl Permits {
    /// Questions and permits for a target.
    fn held(&self, target: &str) -> u32 {
        let asked = self.asked.values();
        asked.filter(|asked| *asked.target == *target).count() as u32
    }

    fn is_silent(&self, now_us: u64, owner: &str) -> bool {
        let unanswered = self.unanswered.get(owner);
        unanswered.is_some_and(|(count, at_us)| {
            *count >= UNANSWERED && now_us.saturating_sub(*at_us) < SILENT_US
        })
    }

    /// Forgets what has ended, and homes that may be asked again.
    pub(super) fn tick(&mut self, now_us: u64) {
        self.ledgers.retain(|_, ledger| !ledger.forget(now_us));
        let is_recent = |at_us: u64| now_us.saturating_sub(at_us) < FORGOTTEN_US;
        self.unanswered.retain(|_, (_, at_us)| is_recent(*at_us));
    }

    /// Takes in that an instance is gone.
    pub(super) fn gone(&mut self, instance: &str) {
        for ledger in self.ledgers.values_mut() {
            ledger.gone(instance);
        }
    }
}

impl Instance {
    /// Asks the home of a target on behalf of a request.
    pub(super) fn ask_permit(&mut self, now_us: u64, question: PermitRequest) {
        let PermitRequest {
            number,
            target,
            left_us,
        } = question;
        let owner = self.owners.of(&target, &self.membership).into_iter().next();
        let known = self.log.world().targets.get(&target).cloned();
        let (Some(owner), Some(known)) = (owner, known) else {
            self.tell_permit(number, PermitAnswer::Unknown);
            return;
        };
        if self.permits.is_silent(now_us, &owner) {
            self.tell_permit(number, PermitAnswer::Unknown);
            return;
        }
        let in_flight = self.tables.load_of(&known).in_flight();
        // The one that asks holds a slot of its own already.
        let untracked = in_flight.saturating_sub(self.permits.held(&target) + 1);
        let service = self.table.services.get(&known.service);
        let times = service.map(|service| &service.load.overload);
        let ms = |time_us: u64| (time_us / 1_000) as u32;
        let need = PermitParams {
            left_ms: ms(left_us),
            work_ms: times.map_or(0, |overload| ms(overload.work_us())),
            slots: known.slots,
            untracked,
        };
        let asked = Asked {
            owner: owner.clone(),
            target: target.clone(),
            is_answered: false,
        };
        self.permits.asked.insert(number, asked);
        let message = Message::RequestPermit {
            target,
            number,
            need,
        };
        self.send(now_us, &owner, message);
    }

    /// Takes in that a request has ended, or waits no longer for its answer.
    pub(super) fn end_permit(&mut self, now_us: u64, number: u64, is_unanswered: bool) {
        let Some(asked) = self.permits.asked.remove(&number) else {
            return;
        };
        if is_unanswered && !asked.is_answered {
            let unanswered = &mut self.permits.unanswered;
            let (count, at_us) = unanswered.entry(asked.owner.clone()).or_default();
            (*count, *at_us) = (*count + 1, now_us);
        }
        let message = Message::ReleasePermit {
            target: asked.target,
            number,
        };
        self.send(now_us, &asked.owner, message);
    }

    /// Answers as the home of a target.
    pub(super) fn permit(
        &mut self,
        now_us: u64,
        from: &Arc<str>,
        target: Arc<str>,
        number: u64,
        need: PermitParams,
    ) {
        let ledger = self.permits.ledgers.entry(target).or_default();
        let (is_permitted, in_flight) = ledger.ask(now_us, (from, number), need);
        let message = Message::PermitAnswer {
            number,
            is_permitted,
            in_flight,
        };
        self.send(now_us, from, message);
    }

    /// Takes in, as the home of a target, that a request has ended.
    pub(super) fn permit_ended(&mut self, from: &Arc<str>, target: &str, number: u64) {
        if let Some(ledger) = self.permits.ledgers.get_mut(target) {
            ledger.end(from, number);
        }
    }

    /// Passes the home's answer on to the request.
    pub(super) fn permit_answered(&mut self, number: u64, is_permitted: bool, in_flight: u32) {
        let Some(asked) = self.permits.asked.get_mut(&number) else {
            return;
        };
        asked.is_answered = true;
        self.permits.unanswered.remove(&asked.owner);
        let answer = match is_permitted {
            true => PermitAnswer::Permitted { in_flight },
            false => PermitAnswer::Denied { in_flight },
        };
        if !is_permitted {
            self.permits.asked.remove(&number);
        }
        self.tell_permit(number, answer);
    }

    fn tell_permit(&mut self, number: u64, answer: PermitAnswer) {
        self.actions.push(Action::Permit { number, answer });
    }
}
