//! Quotas of customers: who keeps their accounts, and the messages between owner and instances.
//!
//! One instance owns the accounts of all customers, so that each instance needs one report every
//! 500 ms, whatever the number of customers. An instance reports to the owner that has answered it;
//! if that one is silent, it asks the highest-ranked ones and turns to the first that answers. An
//! owner accrues only the parts of the instances that have reported to it within the last second,
//! and an instance uses its own part only after that time. Ownership therefore needs no agreement:
//! two owners hold the parts of different instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use imbl::HashMap;
use model::configuration::Customer;
use model::configuration::Quota;
use rand::RngExt;

use super::Action;
use super::Instance;
use super::LogEvent;
use super::Message;
use crate::limits::QuotaAccount;
use crate::limits::QuotaLease;
use crate::limits::QuotaTerms;
use crate::limits::QuotaUse;
use crate::limits::STATEMENT_TTL_US;

/// Key by whose rendezvous ranks the owner is chosen.
const OWNER_KEY: &str = "sniperun-quotas";
/// Period of the reports of an instance, in microseconds.
const REPORT_PERIOD_US: u64 = 500_000;
/// Smallest interval of reports, in microseconds.
const REPORT_SPACING_US: u64 = 40_000;
/// Time after which a report counts as lost, in microseconds.
const REPORT_TIMEOUT_US: u64 = 60_000;
/// Time after which the report of a period is repeated if it was not answered, in microseconds.
const REPEAT_US: u64 = 200_000;
/// Time after its last report for which an instance counts at an owner, in microseconds. The rest of
/// [`STATEMENT_TTL_US`] covers the way of the report.
const COUNTED_FOR_US: u64 = 1_000_000;
/// Time without an answer from which an instance looks for another owner, in microseconds.
const SEARCH_AFTER_US: u64 = 600_000;
/// Time for which only the highest-ranked instance is accepted as owner, in microseconds: instances
/// that turn to different owners find smaller accounts there.
const PREFERENCE_US: u64 = 300_000;
/// Time between attempts to return to the highest-ranked owner, in microseconds.
const RETURN_PERIOD_US: u64 = 1_000_000;
/// Time after the start in which the number of instances is not known, in microseconds: members
/// are exchanged in that time.
const START_US: u64 = 1_000_000;
/// Time after a first start in which quotas count as unused, in microseconds.
const FIRST_START_US: u64 = 3_000_000;
/// Time after the start in which the addresses of the settings count as instances, in microseconds.
const SEEDS_US: u64 = 60_000_000;
/// Time for which an owner keeps the counts of an instance that does not report, in microseconds.
const CONTACT_TTL_US: u64 = 120_000_000;
/// Reports of an instance that may be answered late.
const MAX_UNANSWERED: usize = 32;

/// What an owner knows about an instance that reports to it.
#[derive(Debug, Default)]
struct Contact {
    /// When it last reported as counted here; `None` if it reports elsewhere.
    counted_us: Option<u64>,
    heard_us: u64,
    process: u32,
    /// Requests admitted on credit, by customer.
    used: BTreeMap<Arc<str>, u64>,
}

/// A report that was sent and not yet answered.
#[derive(Debug)]
struct SentReport {
    sent_us: u64,
    uses: Vec<QuotaUse>,
}

/// A report received from an instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedReport {
    pub(super) number: u64,
    pub(super) process: u32,
    pub(super) is_counted: bool,
}

/// Accounts that this instance owns, and its reports.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    /// The customers from which `terms` was derived.
    customers: HashMap<Arc<str>, Arc<Customer>>,
    terms: BTreeMap<Arc<str>, Quota>,
    began_us: Option<u64>,
    process: u32,
    accounts: BTreeMap<Arc<str>, QuotaAccount>,
    contacts: BTreeMap<Arc<str>, Contact>,
    /// The owner that has answered.
    owner: Option<Arc<str>>,
    /// When the last answered report to it was sent.
    answered_us: Option<u64>,
    /// Time from which the instance may be counted at its owner.
    counted_from_us: u64,
    is_silence_logged: bool,
    number: u64,
    sent: BTreeMap<u64, SentReport>,
    /// When reports were sent to instances that may become the owner, by number.
    searches: BTreeMap<u64, u64>,
    last_sent_us: u64,
    next_return_us: u64,
}

impl Quotas {
    fn is_active(&self) -> bool {
        !self.terms.is_empty()
    }

    fn silent_us(&self, now_us: u64) -> u64 {
        let since_us = self.answered_us.or(self.began_us).unwrap_or(now_us);
        now_us.saturating_sub(since_us)
    }

    /// Instances that report to this one, in its view.
    fn counted(&self, now_us: u64) -> usize {
        let is_counted = |contact: &&Contact| {
            let counted_us = contact.counted_us;
            counted_us.is_some_and(|at_us| now_us.saturating_sub(at_us) < COUNTED_FOR_US)
        };
        self.contacts.values().filter(is_counted).count()
    }
}

impl Instance {
    /// Reports to the owner, and keeps the accounts if this instance is the owner.
    pub(super) fn tick_quotas(&mut self, now_us: u64) {
        if !self.adopt_quotas(now_us) {
            return;
        }
        let instances = self.quota_instances(now_us);
        let is_known = self.member_lists_received > 0;
        let known_from_us = is_known.then_some(now_us);
        let own = self.membership.own().id.clone();
        let gate = self.shared.quota_gate();
        gate.set_instances(known_from_us, &own, instances);
        self.update_accounts(now_us);
        let since_us = now_us.saturating_sub(self.quotas.last_sent_us);
        let is_due = since_us >= REPORT_SPACING_US && self.shared.quota_gate().is_report_due();
        let is_answered = self.quotas.answered_us >= Some(self.quotas.last_sent_us);
        let period_us = match is_answered {
            true => REPORT_PERIOD_US,
            false => REPEAT_US,
        };
        if is_due || since_us >= period_us {
            self.report_quotas(now_us);
        }
        self.log_silent_owner(now_us, instances);
    }

    /// Derives the quotas from the configuration if it has changed. Returns whether there are any.
    fn adopt_quotas(&mut self, now_us: u64) -> bool {
        let customers = &self.note_log.configuration().customers;
        if customers.ptr_eq(&self.quotas.customers) {
            return self.quotas.is_active();
        }
        let customers = customers.clone();
        let was_active = self.quotas.is_active();
        let quotas = customers.iter();
        let quotas = quotas.filter_map(|(name, customer)| Some((name.clone(), customer.quota?)));
        self.quotas.terms = quotas.collect();
        self.quotas.customers = customers;
        let terms = &self.quotas.terms;
        self.quotas
            .accounts
            .retain(|name, _| terms.contains_key(name));
        let gate = self.shared.quota_gate();
        gate.retain(|name| terms.contains_key(name));
        if self.quotas.is_active() && !was_active && self.quotas.began_us.is_none() {
            self.quotas.began_us = Some(self.members_changed_us.unwrap_or(now_us).min(now_us));
            self.quotas.process = self.rng.random();
        }
        self.quotas.is_active()
    }

    /// Number of the instances that share the quotas.
    fn quota_instances(&self, now_us: u64) -> f64 {
        let known = self.membership.known_count();
        let began_us = self.quotas.began_us.unwrap_or(now_us);
        let seeds = match now_us.saturating_sub(began_us) < SEEDS_US {
            true => self.seeds.len(),
            false => 0,
        };
        known.max(seeds).max(1) as f64
    }

    /// Time after the start in which this instance does not keep accounts.
    fn quota_start_us(&self) -> u64 {
        let is_alone = self.seeds.is_empty() && self.peer_ids.is_empty();
        match is_alone && self.member_lists_received > 0 {
            true => 0,
            false => START_US,
        }
    }

    /// Share of the fleet whose parts of the quotas are in the accounts of this instance.
    fn quota_share(&self, now_us: u64) -> f64 {
        let instances = self.quota_instances(now_us);
        (self.quotas.counted(now_us) as f64 / instances).min(1.0)
    }

    fn update_accounts(&mut self, now_us: u64) {
        let keep = |_: &Arc<str>, contact: &mut Contact| {
            now_us.saturating_sub(contact.heard_us) < CONTACT_TTL_US
        };
        self.quotas.contacts.retain(keep);
        if self.quotas.contacts.is_empty() {
            return;
        }
        let share = self.quota_share(now_us);
        if share == 0.0 {
            self.quotas.accounts.clear();
            return;
        }
        let began_us = self.quotas.began_us.unwrap_or(now_us);
        let is_unspent = self.is_first_start && now_us.saturating_sub(began_us) < FIRST_START_US;
        if self.quotas.accounts.is_empty() {
            self.actions
                .push(Action::Log(LogEvent::QuotaAccountsStarted {
                    customers: self.quotas.terms.len(),
                    instances: self.quota_instances(now_us) as u32,
                    is_unspent,
                }));
        }
        let mut restricted = Vec::new();
        for (customer, quota) in &self.quotas.terms {
            let new_account = || QuotaAccount::new(now_us);
            let accounts = &mut self.quotas.accounts;
            let account = accounts.entry(customer.clone()).or_insert_with(new_account);
            let terms = QuotaTerms::of(quota);
            if let Some(is_restricted) = account.update(now_us, terms, share, is_unspent) {
                let event = restriction_event(customer, account, is_restricted);
                self.actions.push(Action::Log(event));
                restricted.extend(is_restricted.then(|| customer.clone()));
            }
        }
        self.announce_restrictions(now_us, restricted);
    }

    /// Announces restrictions to all instances that report here.
    fn announce_restrictions(&mut self, now_us: u64, customers: Vec<Arc<str>>) {
        if customers.is_empty() {
            return;
        }
        let leases = customers.into_iter().map(|customer| QuotaLease {
            customer,
            is_restricted: true,
            granted: 0,
            refuse_for_ms: 0,
        });
        let leases: Vec<QuotaLease> = leases.collect();
        let contacts = self.quotas.contacts.iter();
        let present = contacts.filter(|(_, contact)| contact.counted_us.is_some());
        let present: Vec<Arc<str>> = present.map(|(id, _)| id.clone()).collect();
        for id in present {
            let leases = leases.clone();
            let message = Message::QuotaAnswer { number: 0, leases };
            self.send(now_us, &id, message);
        }
    }

    /// Reports at once, unless the answer to a report is due.
    pub(super) fn ask_for_quota(&mut self, now_us: u64) {
        if !self.quotas.is_active() {
            return;
        }
        let since_us = now_us.saturating_sub(self.quotas.last_sent_us);
        let is_in_flight = !self.quotas.sent.is_empty() && since_us < REPORT_TIMEOUT_US;
        let is_due = since_us >= REPORT_SPACING_US;
        if is_due && !is_in_flight {
            self.report_quotas(now_us);
        }
    }

    fn report_quotas(&mut self, now_us: u64) {
        let key: Arc<str> = OWNER_KEY.into();
        let candidates = self.owners.of(&key, &self.membership);
        let owner = self.quotas.owner.clone();
        let silent_us = self.quotas.silent_us(now_us);
        let is_searching = owner.is_none() || silent_us >= SEARCH_AFTER_US;
        let is_counted = !is_searching && now_us >= self.quotas.counted_from_us;
        let uses = self.shared.quota_gate().take_uses(now_us);
        self.quotas.number += 1;
        self.quotas.last_sent_us = now_us;
        let number = self.quotas.number;
        while self.quotas.sent.len() >= MAX_UNANSWERED {
            self.quotas.sent.pop_first();
        }
        let sent = SentReport {
            sent_us: now_us,
            uses: uses.clone(),
        };
        self.quotas.sent.insert(number, sent);
        let mut others: Vec<Arc<str>> = Vec::new();
        let is_gone = owner
            .as_ref()
            .is_some_and(|owner| !candidates.contains(owner));
        let is_return_due = is_gone || now_us >= self.quotas.next_return_us;
        if is_searching {
            let candidates = candidates.into_iter();
            others.extend(candidates.filter(|id| Some(id) != owner.as_ref()));
        } else if is_return_due && candidates.first() != owner.as_ref() {
            self.quotas.next_return_us = now_us + RETURN_PERIOD_US;
            others.extend(candidates.into_iter().take(1));
        }
        self.search_owner(now_us, number, others);
        // This instance may have answered itself and become its owner.
        if let Some(owner) = owner.filter(|owner| self.quotas.owner.as_ref() == Some(owner)) {
            let report = Message::QuotaReport {
                number,
                process: self.quotas.process,
                is_counted,
                uses,
            };
            self.send(now_us, &owner, report);
        }
    }

    /// Asks instances whether they keep the accounts.
    fn search_owner(&mut self, now_us: u64, number: u64, receivers: Vec<Arc<str>>) {
        let is_recent = |at_us: u64| now_us.saturating_sub(at_us) < SEARCH_AFTER_US;
        self.quotas.searches.retain(|_, at_us| is_recent(*at_us));
        if !receivers.is_empty() {
            self.quotas.searches.insert(number, now_us);
        }
        for id in receivers {
            let report = Message::QuotaReport {
                number,
                process: self.quotas.process,
                is_counted: false,
                uses: Vec::new(),
            };
            self.send(now_us, &id, report);
        }
    }

    /// Answers the report of an instance, as owner.
    pub(super) fn answer_quota_report(
        &mut self,
        now_us: u64,
        from: &Arc<str>,
        report: ReceivedReport,
        uses: &[QuotaUse],
    ) {
        if !self.adopt_quotas(now_us) {
            return;
        }
        let began_us = self.quotas.began_us.unwrap_or(now_us);
        let is_known = now_us.saturating_sub(began_us) >= self.quota_start_us();
        let is_alone = *from == self.membership.own().id
            && self.quota_instances(now_us) > 1.0
            && !self.hears_others(now_us);
        if !is_known || is_alone {
            return;
        }
        let contact = self.quotas.contacts.entry(from.clone()).or_default();
        if contact.process != report.process {
            *contact = Contact {
                process: report.process,
                ..Contact::default()
            };
        }
        contact.heard_us = now_us;
        contact.counted_us = report.is_counted.then_some(now_us);
        self.update_accounts(now_us);
        let Some(contact) = self.quotas.contacts.get_mut(from) else {
            return;
        };
        let mut leases = Vec::new();
        let mut restricted = Vec::new();
        for reported in uses {
            let known = contact.used.get(&reported.customer).copied().unwrap_or(0);
            let charged = reported
                .used
                .saturating_sub(known.max(reported.acknowledged));
            contact
                .used
                .insert(reported.customer.clone(), reported.used);
            let Some(account) = self.quotas.accounts.get_mut(&reported.customer) else {
                continue;
            };
            account.give_back(reported.returned);
            if account.charge(charged).is_some() {
                let event = restriction_event(&reported.customer, account, true);
                self.actions.push(Action::Log(event));
                restricted.push(reported.customer.clone());
            }
            if reported.wanted > 0 && account.is_restricted() && report.is_counted {
                let (granted, refuse_for_ms) = account.grant(reported.wanted);
                leases.push(QuotaLease {
                    customer: reported.customer.clone(),
                    is_restricted: true,
                    granted,
                    refuse_for_ms,
                });
            }
        }
        for customer in self.quotas.terms.keys() {
            let is_named = leases.iter().any(|lease| lease.customer == *customer);
            let account = self.quotas.accounts.get(customer);
            if account.is_none_or(QuotaAccount::is_restricted) && !is_named {
                leases.push(QuotaLease {
                    customer: customer.clone(),
                    is_restricted: true,
                    granted: 0,
                    refuse_for_ms: 0,
                });
            }
        }
        let number = report.number;
        self.send(now_us, from, Message::QuotaAnswer { number, leases });
        self.announce_restrictions(now_us, restricted);
    }

    /// Whether other instances have reported to this one recently.
    fn hears_others(&self, now_us: u64) -> bool {
        let own = &self.membership.own().id;
        let mut others = self.quotas.contacts.iter().filter(|(id, _)| *id != own);
        others.any(|(_, contact)| now_us.saturating_sub(contact.heard_us) < COUNTED_FOR_US)
    }

    /// Applies the answer of an owner, and turns to it if the former one is silent.
    pub(super) fn handle_quota_answer(
        &mut self,
        now_us: u64,
        from: &Arc<str>,
        number: u64,
        leases: &[QuotaLease],
    ) {
        let is_owner = self.quotas.owner.as_ref() == Some(from);
        if number == 0 {
            if is_owner {
                self.shared.quota_gate().restrict(leases);
            }
            return;
        }
        if !is_owner {
            return self.consider_owner(now_us, from, number);
        }
        let Some(sent) = self.quotas.sent.remove(&number) else {
            return;
        };
        let sent_us = sent.sent_us;
        self.quotas.sent.retain(|other, _| *other > number);
        if now_us >= sent_us + SEARCH_AFTER_US {
            return;
        }
        self.quotas.answered_us = self.quotas.answered_us.max(Some(sent_us));
        self.quotas.is_silence_logged = false;
        let gate = self.shared.quota_gate();
        gate.apply_answer(now_us, sent_us, &sent.uses, leases);
        self.actions.push(Action::QuotaAnswered);
    }

    /// Turns to an instance that has answered, if the present owner is silent or this one ranks
    /// highest.
    fn consider_owner(&mut self, now_us: u64, from: &Arc<str>, number: u64) {
        let searches = &self.quotas.searches;
        let is_recent = |sent_us: &u64| now_us < sent_us + SEARCH_AFTER_US;
        if !searches.get(&number).is_some_and(is_recent) {
            return;
        }
        let key: Arc<str> = OWNER_KEY.into();
        let candidates = self.owners.of(&key, &self.membership);
        let owner = self.quotas.owner.clone();
        let silent_us = self.quotas.silent_us(now_us);
        let is_silent = silent_us >= STATEMENT_TTL_US;
        let is_first = candidates.first() == Some(from);
        let accept_others_us = match owner {
            Some(_) => STATEMENT_TTL_US + PREFERENCE_US,
            None => START_US + 3 * PREFERENCE_US,
        };
        if !is_first && silent_us < accept_others_us {
            return;
        }
        if let Some(owner) = owner.filter(|_| !is_silent) {
            // The former owner no longer counts this instance from now on.
            let uses = self.shared.quota_gate().take_uses(now_us);
            let report = Message::QuotaReport {
                number: 0,
                process: self.quotas.process,
                is_counted: false,
                uses,
            };
            self.send(now_us, &owner, report);
        }
        self.quotas.owner = Some(from.clone());
        self.quotas.answered_us = Some(now_us);
        self.quotas.counted_from_us = now_us;
        self.quotas.sent.clear();
        self.quotas.searches.clear();
        self.shared.quota_gate().change_owner();
        self.actions.push(Action::Log(LogEvent::QuotaOwnerChanged {
            owner: from.clone(),
        }));
        self.report_quotas(now_us);
    }

    fn log_silent_owner(&mut self, now_us: u64, instances: f64) {
        let silent_us = self.quotas.silent_us(now_us);
        if silent_us < STATEMENT_TTL_US || self.quotas.is_silence_logged {
            return;
        }
        self.quotas.is_silence_logged = true;
        self.actions.push(Action::Log(LogEvent::QuotaOwnerSilent {
            owner: self.quotas.owner.clone(),
            silent_ms: silent_us / 1_000,
            instances: instances as u32,
        }));
    }
}

fn restriction_event(customer: &Arc<str>, account: &QuotaAccount, is_restricted: bool) -> LogEvent {
    let terms = account.terms();
    LogEvent::QuotaRestricted {
        customer: customer.clone(),
        is_restricted,
        balance_milli: (account.balance() * 1e3) as i64,
        rate_milli: (terms.rate_per_s * 1e3) as u64,
        capacity_milli: (terms.capacity * 1e3) as u64,
    }
}
