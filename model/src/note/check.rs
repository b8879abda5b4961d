//! Validation of objects: the values of their fields and their references to services.

use std::sync::Arc;

use super::NoteError;
use super::Result;
use crate::Configuration;
use crate::configuration::Closing;
use crate::configuration::Customer;
use crate::configuration::Named;
use crate::configuration::Route;
use crate::configuration::Service;
use crate::configuration::Target;

const MAX_NAME_BYTES: usize = 128;

/// Whether `name` is valid as the name of an object.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed)
}

/// An object that can be validated against the configuration that contains it.
pub(super) trait Check: Named {
    fn check(&self, configuration: &Configuration) -> Result<()>;

    fn value_error(&self, reason: &str) -> NoteError {
        NoteError::Value {
            kind: Self::KIND,
            name: self.name().to_string(),
            reason: reason.to_owned(),
        }
    }

    fn require(&self, holds: bool, reason: &str) -> Result<()> {
        if holds {
            Ok(())
        } else {
            Err(self.value_error(reason))
        }
    }

    fn check_name(&self) -> Result<()> {
        self.require(
            is_valid_name(self.name()),
            "expected a name of 1 to 128 letters, digits and - _ . /",
        )
    }

    fn require_service(&self, configuration: &Configuration, service: &Arc<str>) -> Result<()> {
        if configuration.services.contains_key(service) {
            return Ok(());
        }
        Err(NoteError::Missing {
            kind: Service::KIND,
            name: service.to_string(),
            referenced_by: format!("{} `{}`", Self::KIND, self.name()),
        })
    }
}

impl Check for Service {
    fn check(&self, _configuration: &Configuration) -> Result<()> {
        self.check_name()?;
        self.require(self.time_limit_ms > 0, "expected time_limit_ms above 0")?;
        self.require(
            (0.0..=1.0).contains(&self.floor_share),
            "expected floor_share from 0 to 1",
        )?;
        self.require(
            (0.0..=1.0).contains(&self.retry_share),
            "expected retry_share from 0 to 1",
        )?;
        let is_valid_rate = |rate: f64| rate > 0.0 && rate < 0.5;
        self.require(
            is_valid_rate(self.false_ejection_rate),
            "expected false_ejection_rate above 0 and below 0.5",
        )?;
        self.require(
            is_valid_rate(self.missed_detection_rate),
            "expected missed_detection_rate above 0 and below 0.5",
        )?;
        self.require(
            self.probe_path.starts_with('/'),
            "expected probe_path to begin with /",
        )
    }
}

impl Check for Target {
    fn check(&self, configuration: &Configuration) -> Result<()> {
        self.check_name()?;
        self.require(self.slots > 0, "expected slots above 0")?;
        self.require(self.connections > 0, "expected connections above 0")?;
        self.require_service(configuration, &self.service)
    }
}

impl Check for Route {
    fn check(&self, configuration: &Configuration) -> Result<()> {
        self.check_name()?;
        self.require(self.path.starts_with('/'), "expected path to begin with /")?;
        let is_path_taken = configuration
            .route_with_same_path(self)
            .is_some_and(|other| other.name != self.name);
        self.require(!is_path_taken, "another route has the same host and path")?;
        let has_weight = self.shares.is_empty() || self.shares.iter().any(|share| share.weight > 0);
        self.require(has_weight, "expected a share with a weight above 0")?;
        let terms = &self.terms;
        self.require(
            terms.time_limit_ms != Some(0) && terms.max_attempts != Some(0),
            "expected time_limit_ms and max_attempts above 0",
        )?;
        self.services()
            .try_for_each(|service| self.require_service(configuration, service))
    }
}

impl Check for Customer {
    fn check(&self, configuration: &Configuration) -> Result<()> {
        self.check_name()?;
        self.require(self.in_flight > 0, "expected in_flight above 0")?;
        let is_key_taken = self.keys.iter().flatten().any(|key| {
            let holder = configuration.customer_by_key(key);
            holder.is_some_and(|holder| holder.name != self.name)
        });
        self.require(!is_key_taken, "another customer has the same key")
    }
}

impl Check for Closing {
    fn check(&self, configuration: &Configuration) -> Result<()> {
        self.check_name()?;
        self.require(self.from_ms < self.until_ms, "expected from before until")?;
        self.services
            .iter()
            .try_for_each(|service| self.require_service(configuration, service))
    }
}
