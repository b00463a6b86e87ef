//! A fleet of real processes on loopback.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bendhinge_http::{FetchError, Fetched, Pool, Tasks, fetch, full_body};
use bendhinge_ini::Document;
use bendhinge_membership::{MemberList, MemberRole, MemberState};
use bendhinge_router::settings;
use bendhinge_standin::platform::{Calls, Faults as PlatformFaults};
use hyper::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;

use crate::deployment::{Deployment, OPERATORS_KEY};
use crate::process::{Process, StartError};

const TIME: Duration = Duration::from_secs(10);
const LARGEST: usize = 64 << 20;

/// How engines behave.
#[derive(Clone, Copy, Debug)]
pub struct EngineShape {
    /// Requests run at once.
    pub slots: u32,
    /// Prefix cache in tokens.
    pub cache_tokens: u64,
    /// Microseconds to read a token that is not cached.
    pub prefill_us: u64,
    /// Microseconds to generate a token.
    pub decode_us: u64,
}

impl Default for EngineShape {
    fn default() -> Self {
        Self { slots: 8, cache_tokens: 40_000, prefill_us: 20, decode_us: 2_000 }
    }
}

/// Why a fleet could not be started or spoken to.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A process did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A process did not answer.
    #[error(transparent)]
    Fetch(#[from] FetchError),
    /// A settings file could not be written.
    #[error("cannot write settings: {0}")]
    Settings(#[from] std::io::Error),
    /// The fleet was not ready in time.
    #[error("not ready in time: {0}")]
    NotReady(String),
}

/// A running fleet; its processes end with it.
pub struct Fleet {
    /// The platform's stand-in.
    pub platform: Process,
    /// Routers by box.
    pub routers: BTreeMap<String, Process>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<String, Process>,
    /// The list as last published.
    pub members: MemberList,
    /// The executor on which callers run.
    pub tasks: Tasks,
    /// Connections of callers and operators.
    pub pool: Arc<Pool>,
    deployment: Deployment,
    folder: PathBuf,
}

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

fn new_folder() -> std::io::Result<PathBuf> {
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("bendhinge-lab-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

impl Fleet {
    /// Starts a deployment and waits until every router is ready.
    pub async fn start(
        tasks: &Tasks,
        deployment: Deployment,
        shape: EngineShape,
    ) -> Result<Self, FleetError> {
        let mut fleet = Self::start_unpublished(tasks, deployment, shape)?;
        let sealed = fleet.deployment.sealed();
        fleet.publish_members().await?;
        fleet.publish_configuration(&sealed).await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts the processes; the platform still has nothing to tell.
    pub fn start_unpublished(
        tasks: &Tasks,
        deployment: Deployment,
        shape: EngineShape,
    ) -> Result<Self, FleetError> {
        let platform = Process::start("bendhinge-standin-platform", &[], 1)?;
        let mut fleet = Self {
            platform,
            routers: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            members: deployment.members.clone(),
            tasks: Arc::clone(tasks),
            pool: Arc::new(Pool::new(Arc::clone(tasks), Duration::from_secs(5), Duration::from_secs(30))),
            deployment,
            folder: new_folder()?,
        };
        for index in 0..fleet.members.members.len() {
            let address = match fleet.members.members[index].role.clone() {
                MemberRole::Router { name } => fleet.start_router(name.as_str(), fleet.data_centre(index))?,
                MemberRole::Upstream { name, pool, .. } => {
                    fleet.start_upstream(name.as_str(), pool.as_str(), shape)?
                }
            };
            fleet.members.members[index].address = address;
        }
        Ok(fleet)
    }

    fn data_centre(&self, index: usize) -> String {
        self.members.members[index].data_centre.to_string()
    }

    /// Starts, or starts again, the router of a box; gives the address for its peers.
    pub fn start_router(
        &mut self,
        name: &str,
        data_centre: impl AsRef<str>,
    ) -> Result<SocketAddr, FleetError> {
        let mut document = Document::parse("settings", &self.deployment.settings, &settings::SCHEMA);
        let mut set = |section, key, value: &str| document.set(&settings::SCHEMA, section, key, value);
        set("router", "name", name);
        set("router", "data_centre", data_centre.as_ref());
        for key in ["callers", "operators", "peers"] {
            set("router", key, "127.0.0.1:0");
        }
        set("platform", "address", &self.platform.address("platform").to_string());
        let path = self.folder.join(format!("{name}.ini"));
        std::fs::write(&path, document.canonical(&settings::SCHEMA))?;
        let process = Process::start("bendhinge-router", &[path.display().to_string()], 3)?;
        let address = process.address("peers");
        self.routers.insert(name.to_owned(), process);
        Ok(address)
    }

    fn start_upstream(
        &mut self,
        name: &str,
        pool: &str,
        shape: EngineShape,
    ) -> Result<SocketAddr, FleetError> {
        let is_service = self.deployment.configuration.contains(&format!("[pool.{pool}]\nkind = service"));
        let program = if is_service { "bendhinge-standin-service" } else { "bendhinge-standin-engine" };
        let mut args = vec!["--name".to_owned(), name.to_owned()];
        if !is_service {
            let numbers = [
                ("--slots", u64::from(shape.slots)),
                ("--cache-tokens", shape.cache_tokens),
                ("--prefill-us", shape.prefill_us),
                ("--decode-us", shape.decode_us),
            ];
            args.extend(numbers.iter().flat_map(|(flag, number)| [(*flag).to_owned(), number.to_string()]));
        }
        let process = Process::start(program, &args, 1)?;
        let address = process.address(name);
        self.upstreams.insert(name.to_owned(), process);
        Ok(address)
    }

    /// Publishes the list as it is now, under a new revision.
    pub async fn publish_members(&mut self) -> Result<(), FleetError> {
        self.members.revision += 1;
        self.publish_list(&self.members).await
    }

    /// Publishes any list.
    pub async fn publish_list(&self, list: &MemberList) -> Result<(), FleetError> {
        self.put(self.platform.address("platform"), "/control/members", list).await?;
        Ok(())
    }

    /// Sets a member's state in the list, without publishing.
    pub fn set_state(&mut self, name: &str, state: MemberState) {
        for member in &mut self.members.members {
            if member_name(&member.role) == name {
                member.state = state;
            }
        }
    }

    /// Removes a member from the list, without publishing.
    pub fn remove_member(&mut self, name: &str) {
        self.members.members.retain(|member| member_name(&member.role) != name);
    }

    /// Sets a member's address in the list, without publishing.
    pub fn set_address(&mut self, name: &str, address: SocketAddr) {
        for member in &mut self.members.members {
            if member_name(&member.role) == name {
                member.address = address;
            }
        }
    }

    /// Publishes a configuration, as an operator does.
    pub async fn publish_configuration(&self, sealed: &str) -> Result<Fetched, FleetError> {
        let platform = self.platform.address("platform");
        let request =
            Request::put("/control/config").header("host", "platform").body(full_body(sealed.to_owned()));
        let request = request.expect("a valid request");
        Ok(fetch(&self.pool, platform, request, LARGEST, TIME).await?)
    }

    /// Switches the platform's faults.
    pub async fn platform_faults(&self, faults: PlatformFaults) -> Result<(), FleetError> {
        self.put(self.platform.address("platform"), "/control/faults", &faults).await?;
        Ok(())
    }

    /// The platform's count of calls.
    pub async fn platform_calls(&self) -> Result<Calls, FleetError> {
        let platform = self.platform.address("platform");
        Ok(bendhinge_http::fetch_json(&self.pool, platform, "/control/calls", TIME).await?)
    }

    /// Switches an upstream's faults.
    pub async fn upstream_faults<T: Serialize>(&self, name: &str, faults: &T) -> Result<(), FleetError> {
        self.put(self.upstreams[name].address(name), "/control/faults", faults).await?;
        Ok(())
    }

    /// Reads an upstream's page for tests.
    pub async fn upstream_page<T: DeserializeOwned>(&self, name: &str, path: &str) -> Result<T, FleetError> {
        let address = self.upstreams[name].address(name);
        Ok(bendhinge_http::fetch_json(&self.pool, address, path, TIME).await?)
    }

    /// Reads a page of a router's operators' address.
    pub async fn operators_page(&self, router: &str, path: &str) -> Result<Fetched, FleetError> {
        let address = self.routers[router].address("operators");
        let request = Request::get(path)
            .header("host", address.to_string())
            .header("authorization", format!("Bearer {OPERATORS_KEY}"))
            .body(bendhinge_http::empty_body())
            .expect("a valid request");
        Ok(fetch(&self.pool, address, request, LARGEST, TIME).await?)
    }

    /// A router's status.
    pub async fn status(&self, router: &str) -> Result<serde_json::Value, FleetError> {
        let page = self.operators_page(router, "/status").await?;
        Ok(serde_json::from_slice(&page.body).map_err(FetchError::from)?)
    }

    async fn put<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<Fetched, FetchError> {
        let body = serde_json::to_vec(value)?;
        let request = Request::put(path).header("host", address.to_string()).body(full_body(body));
        fetch(&self.pool, address, request.expect("a valid request"), LARGEST, TIME).await
    }

    /// Where callers reach the routers.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.routers.values().map(|router| router.address("callers")).collect()
    }

    /// Waits until every router is ready and knows every upstream.
    pub async fn wait_ready(&self) -> Result<(), FleetError> {
        let routers: Vec<&String> = self.routers.keys().collect();
        for router in routers {
            self.wait_until(router, "ready", |status| {
                let counting = status["counting_routers"].as_array().map_or(0, Vec::len);
                let upstreams = status["upstreams"].as_u64().unwrap_or(0);
                counting == self.routers.len() && upstreams == self.upstreams.len() as u64
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until a router's status fulfils a condition, and gives how long it took.
    pub async fn wait_until(
        &self,
        router: &str,
        what: &str,
        condition: impl Fn(&serde_json::Value) -> bool,
    ) -> Result<Duration, FleetError> {
        const LONGEST: Duration = Duration::from_secs(40);
        const POLL: Duration = Duration::from_millis(20);
        let began = Instant::now();
        while began.elapsed() < LONGEST {
            if let Ok(status) = self.status(router).await
                && condition(&status)
            {
                return Ok(began.elapsed());
            }
            Timer::after(POLL).await;
        }
        Err(FleetError::NotReady(format!("{router}: {what}")))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Only settings files of this fleet's own are in it.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn member_name(role: &MemberRole) -> &str {
    match role {
        MemberRole::Router { name } => name.as_str(),
        MemberRole::Upstream { name, .. } => name.as_str(),
    }
}
