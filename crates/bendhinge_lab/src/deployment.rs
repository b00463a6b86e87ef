//! The deployments under `examples/`, and small ones for tests.

use std::path::{Path, PathBuf};

use bendhinge_configuration::{SCHEMA, SealKey, parse_document};
use bendhinge_ini::Document;
use bendhinge_membership::{MemberList, MemberRole};
use bendhinge_router::settings;

/// The seal key of all examples.
pub const SEAL_KEY: &str = "example-seal-key-change-me";
/// The operators' key of all examples.
pub const OPERATORS_KEY: &str = "example-operator-key-change-me";

/// Why a deployment could not be read.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// A file is missing.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// The list is not of the platform's form.
    #[error("{0}: {1}")]
    Members(PathBuf, serde_json::Error),
}

/// A deployment: settings, a configuration and a list, without addresses.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The settings of a router, an INI text.
    pub settings: String,
    /// The configuration, not sealed.
    pub configuration: String,
    /// The members; addresses are set when they are started.
    pub members: MemberList,
}

impl Deployment {
    /// Reads the deployment in `folder`.
    pub fn read(folder: &Path) -> Result<Self, DeploymentError> {
        let read = |name: &str| {
            let path = folder.join(name);
            std::fs::read_to_string(&path).map_err(|error| DeploymentError::File(path, error))
        };
        let members = read("members.json")?;
        let members = serde_json::from_str(&members);
        let members =
            members.map_err(|error| DeploymentError::Members(folder.join("members.json"), error))?;
        Ok(Self { settings: read("router.ini")?, configuration: read("configuration.ini")?, members })
    }

    /// The example called `name`.
    pub fn example(name: &str) -> Result<Self, DeploymentError> {
        Self::read(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name))
    }

    /// Keeps only the first `routers` routers, or adds some in the same data centres.
    #[must_use]
    pub fn with_routers(mut self, routers: usize) -> Self {
        let is_router =
            |member: &bendhinge_membership::Member| matches!(member.role, MemberRole::Router { .. });
        let (boxes, others): (Vec<_>, Vec<_>) = self.members.members.into_iter().partition(is_router);
        let wanted = (0..routers).map(|index| {
            let mut member = boxes[index % boxes.len()].clone();
            let name = format!("box-{}", index + 1).parse().expect("a valid name");
            member.role = MemberRole::Router { name };
            member
        });
        self.members.members = wanted.chain(others).collect();
        self
    }

    /// Keeps only the first `count` upstreams of a pool.
    #[must_use]
    pub fn with_upstreams(mut self, pool: &str, count: usize) -> Self {
        let mut kept = 0;
        self.members.members.retain(|member| match &member.role {
            MemberRole::Upstream { pool: of, .. } if of.as_str() == pool => {
                kept += 1;
                kept <= count
            }
            _ => true,
        });
        self
    }

    /// Sets a key of the settings.
    #[must_use]
    pub fn with_setting(mut self, section: &str, key: &str, value: &str) -> Self {
        let mut document = Document::parse("settings", &self.settings, &settings::SCHEMA);
        document.set(&settings::SCHEMA, section, key, value);
        self.settings = document.canonical(&settings::SCHEMA);
        self
    }

    /// Sets a key of the configuration.
    #[must_use]
    pub fn with_configuration(mut self, section: &str, key: &str, value: &str) -> Self {
        let mut document = parse_document("configuration", &self.configuration);
        document.set(&SCHEMA, section, key, value);
        self.configuration = document.canonical(&SCHEMA);
        self
    }

    /// The configuration, sealed as `confirm` seals it.
    #[must_use]
    pub fn sealed(&self) -> String {
        seal(&self.configuration)
    }
}

/// Seals a configuration with the examples' key.
#[must_use]
pub fn seal(configuration: &str) -> String {
    SealKey::new(SEAL_KEY).seal(parse_document("configuration", configuration))
}
