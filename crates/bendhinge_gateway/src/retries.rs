//! This gateway's share of the fleet's budget for sending requests again.

use std::sync::Mutex;

use bendhinge_admission::RetryBudget;

use crate::settings::RetrySettings;

/// The share. Each gateway earns by its own requests alone, so that the shares add up to no more
/// than the fleet's whatever gateways come and go.
pub(crate) struct Retries(Mutex<RetryBudget>);

impl Retries {
    pub(crate) fn new(settings: &RetrySettings) -> Self {
        Self(Mutex::new(RetryBudget::new(settings.ratio, settings.reserve)))
    }

    /// Notes a request's first send.
    pub(crate) fn first(&self) {
        self.0.lock().unwrap().attempt();
    }

    /// Takes one further send; `false` if there is none left.
    pub(crate) fn second(&self) -> bool {
        self.0.lock().unwrap().retry()
    }
}
