//! Concurrency limits per customer.
//!
//! An entry exists only while its customer has requests in flight, which bounds memory.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;

/// Counts of requests in flight, by customer.
#[derive(Debug, Default)]
pub struct Customers {
    in_flight: Mutex<HashMap<Arc<str>, u32>>,
}

impl Customers {
    /// Counts a request of a customer, or returns `None` if `limit` of its requests are in
    /// flight already.
    pub fn take(self: &Arc<Self>, customer: &Arc<str>, limit: u32) -> Option<CustomerGuard> {
        let mut in_flight = self.in_flight.lock();
        let count = in_flight.entry(customer.clone()).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(CustomerGuard {
            customers: self.clone(),
            customer: customer.clone(),
        })
    }
}

/// Guard of a customer's request; decrements the count when dropped.
#[derive(Debug)]
pub struct CustomerGuard {
    customers: Arc<Customers>,
    customer: Arc<str>,
}

impl Drop for CustomerGuard {
    fn drop(&mut self) {
        let mut in_flight = self.customers.in_flight.lock();
        if let Some(count) = in_flight.get_mut(&self.customer) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.customer);
            }
        }
    }
}
