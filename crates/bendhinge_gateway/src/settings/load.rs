//! Settings of decisions that depend on the load of upstreams.

use std::str::FromStr;

/// When a decision takes effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Activation {
    /// Never.
    #[default]
    No,
    /// Always.
    Yes,
    /// From when an upstream has reported how long its work takes at present, which only upstreams that share
    /// their box with other work do.
    Reported,
}

impl Activation {
    /// Whether the decision never takes effect.
    #[must_use]
    pub const fn is_off(self) -> bool {
        matches!(self, Self::No)
    }

    /// Returns whether the decision is in effect, given whether an upstream has reported its pace.
    #[must_use]
    pub const fn is_active(self, pace_reported: bool) -> bool {
        match self {
            Self::No => false,
            Self::Yes => true,
            Self::Reported => pace_reported,
        }
    }
}

/// A value that is none of the activations.
#[derive(Debug, thiserror::Error)]
#[error("unknown activation")]
pub struct UnknownActivation;

impl FromStr for Activation {
    type Err = UnknownActivation;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "no" => Ok(Self::No),
            "yes" => Ok(Self::Yes),
            "reported" => Ok(Self::Reported),
            _ => Err(UnknownActivation),
        }
    }
}

/// Decisions that depend on the load of upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSettings {
    /// Whether engines are chosen by work and not by number of requests.
    pub work: Activation,
    /// Whether upstreams of the own data centre are preferred.
    pub local_first: Activation,
    /// Whether gateways share the response times of plain pools.
    pub shared_response_times: Activation,
    /// Whether requests to pools with shared response times need a permit of the gateway that counts those of the
    /// upstream.
    pub permits: Activation,
    /// Whether requests to engine pools are admitted by priority and customer when the pool is nearly full.
    pub admission: Activation,
    /// Whether a prompt has as many homes as the requests of all gateways with it need.
    pub popular_prompts: Activation,
    /// Whether the report of an overloaded upstream is sent to the other gateways at once.
    pub overload_reports: Activation,
    /// Whether gateways exchange twice as often while the upstreams of a pool are close to the load limit.
    pub frequent_exchanges: Activation,
}
