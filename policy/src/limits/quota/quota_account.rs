//! The account of a customer at the owner.
//!
//! The account accrues the rate of those instances that report to this owner, and holds their part
//! of the capacity. Each instance counts at one owner at a time or uses its fixed share, so that all
//! accounts and fixed shares together never exceed the quota, whoever takes whom for the owner.

use super::QuotaTerms;

/// Longest time that accrues at once, in microseconds. An owner that was frozen has not heard from
/// the instances meanwhile, which may have turned to another one.
const MAX_ACCRUAL_US: u64 = 600_000;
/// Part of the capacity above the reserve that has to be filled before a restriction ends.
const RELEASE_SHARE: f64 = 0.25;
/// Requests that an account receives while instances turn to its owner, for all of them together.
/// An earlier owner may have granted everything, so that they are a part of the 20 requests above
/// the quota that the bound allows.
const FIRST_BALANCE: f64 = 4.0;
/// The same, in seconds of the rate, if it is more.
const FIRST_BALANCE_S: f64 = 0.25;
/// Longest time for which requests count that were wanted and not granted, in seconds.
const MAX_UNMET_S: f64 = 0.25;
/// Bounds of the time for which instances do not ask again, in milliseconds.
const MIN_REFUSAL_MS: f64 = 10.0;
const MAX_REFUSAL_MS: f64 = 1_000.0;

/// Token bucket of a customer; the balance may become negative.
#[derive(Clone, Copy, Debug)]
pub struct QuotaAccount {
    terms: QuotaTerms,
    /// Share of the fleet's instances that report to this owner.
    share: f64,
    balance: f64,
    updated_us: u64,
    is_restricted: bool,
    /// Requests that were wanted recently and not granted.
    unmet: f64,
}

impl QuotaAccount {
    /// Creates an empty account to which no instance reports yet.
    pub fn new(now_us: u64) -> Self {
        Self {
            terms: QuotaTerms::default(),
            share: 0.0,
            balance: 0.0,
            updated_us: now_us,
            is_restricted: true,
            unmet: 0.0,
        }
    }

    /// Accrues the time since the last call and adopts a quota and the share of the fleet that
    /// reports to this owner. With `is_unspent`, nobody has used the quota before, and the part of
    /// the instances that are new is full. Returns whether the customer has become restricted
    /// (`true`) or unrestricted.
    pub fn update(
        &mut self,
        now_us: u64,
        fleet: QuotaTerms,
        share: f64,
        is_unspent: bool,
    ) -> Option<bool> {
        let terms = fleet.scaled(share);
        let elapsed_us = now_us.saturating_sub(self.updated_us).min(MAX_ACCRUAL_US);
        self.updated_us = self.updated_us.max(now_us);
        let accrued = terms.rate_per_s.min(self.terms.rate_per_s) * elapsed_us as f64 / 1e6;
        let first = match is_unspent {
            true => fleet.capacity,
            false => FIRST_BALANCE
                .max(FIRST_BALANCE_S * fleet.rate_per_s)
                .min(fleet.capacity),
        };
        let added = first * (share - self.share).max(0.0);
        (self.terms, self.share) = (terms, share);
        self.balance = (self.balance + accrued + added).min(terms.capacity);
        self.unmet = (self.unmet - accrued).clamp(0.0, MAX_UNMET_S * terms.rate_per_s);
        self.change_restriction()
    }

    /// Charges requests that an instance has admitted on credit. Returns whether the customer has
    /// become restricted.
    pub fn charge(&mut self, used: u64) -> Option<bool> {
        self.balance -= used as f64;
        self.change_restriction()
    }

    /// Adds granted tokens that were not used.
    pub fn give_back(&mut self, returned: u32) {
        self.balance = (self.balance + f64::from(returned)).min(self.terms.capacity);
    }

    /// Grants as many of the wanted tokens as there are. Returns their number and, if some are
    /// missing, the time until another one is due, in milliseconds.
    pub fn grant(&mut self, wanted: u32) -> (u32, u32) {
        let granted = (self.balance.max(0.0) as u32).min(wanted);
        self.balance -= f64::from(granted);
        if granted == wanted {
            return (granted, 0);
        }
        let missing = 1.0 - self.balance + self.unmet;
        self.unmet += f64::from(wanted - granted);
        let refusal_ms = missing / self.terms.rate_per_s.max(1e-3) * 1e3;
        (
            granted,
            refusal_ms.clamp(MIN_REFUSAL_MS, MAX_REFUSAL_MS) as u32,
        )
    }

    /// Whether requests of the customer need tokens.
    pub fn is_restricted(&self) -> bool {
        self.is_restricted
    }

    /// Requests that the account allows now.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Terms under which the account accrues.
    pub fn terms(&self) -> QuotaTerms {
        self.terms
    }

    fn change_restriction(&mut self) -> Option<bool> {
        let reserve = self.terms.reserve();
        let release = reserve + RELEASE_SHARE * (self.terms.capacity - reserve);
        let is_restricted = match self.is_restricted {
            true => self.balance < release || self.terms.capacity <= 0.0,
            false => self.balance < reserve || self.terms.capacity <= 0.0,
        };
        let is_changed = std::mem::replace(&mut self.is_restricted, is_restricted) != is_restricted;
        is_changed.then_some(is_restricted)
    }
}
