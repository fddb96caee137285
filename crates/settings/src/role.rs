//! Typed settings of each role, built from validated values.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use base::{DomainName, Domains, VmId};
use web::DialOptions;

use crate::value::{Value, Values};

/// Role that a settings file is written for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// `driftnotch entry`
    Entry,
    /// `driftnotch agent`
    Agent,
    /// `driftnotch table`, `status` and `burn`
    Operator,
    /// `driftnotch gateway`
    Gateway,
    /// `driftnotch loader`
    Loader,
}

/// Addresses of the platform, and how to connect to them.
#[derive(Debug, Clone)]
pub struct PlatformCfg {
    /// Transactional table service.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// List of VMs.
    pub members: Option<SocketAddr>,
    /// Origin of weights.
    pub origin: Option<SocketAddr>,
    /// Timeout of one call.
    pub timeout: Duration,
    /// Source address of connections.
    pub source: Option<IpAddr>,
}

impl PlatformCfg {
    /// Returns the options for connections to the platform.
    pub fn dial_options(&self) -> DialOptions {
        DialOptions {
            timeout: self.timeout,
            keep_alive: true,
            source: self.source,
        }
    }
}

/// Log settings.
#[derive(Debug, Clone)]
pub struct LogCfg {
    /// Whether lines are JSON.
    pub json: bool,
    /// Level of the parts that `levels` doesn't name.
    pub level: String,
    /// Level by part.
    pub levels: Vec<(String, String)>,
}

/// Settings that entries and agents share.
#[derive(Debug, Clone)]
pub struct ProcessCfg {
    /// Id of the VM.
    pub vm: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// All failure domains.
    pub domains: Domains,
    /// Listen address for metrics, health and readiness.
    pub admin: SocketAddr,
    /// Source address of connections.
    pub source: Option<IpAddr>,
    /// Connection settings of the platform.
    pub platform: PlatformCfg,
    /// Maximum time to wait for running requests at a planned stop.
    pub drain_timeout: Duration,
    /// Time between announcing a planned stop and closing the listeners.
    pub stop_notice: Duration,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Timeout for the head of a request.
    pub header_timeout: Duration,
    /// Timeout for the body of a request.
    pub body_timeout: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum size of a request head, in bytes.
    pub max_header: usize,
    /// Log settings.
    pub log: LogCfg,
}

macro_rules! cfg {
    ($(#[$doc:meta])* $name:ident ($base:ident: $base_ty:ident) { $($field:ident: $ty:ty = $read:ident),* $(,)? }) => {
        $(#[$doc])*
        #[derive(Debug, Clone)]
        pub struct $name {
            /// Settings shared with other roles.
            pub $base: $base_ty,
            $(#[doc = concat!("Field `", stringify!($field), "`.")] pub $field: $ty,)*
        }

        impl $name {
            pub(crate) fn new(values: &Values) -> $name {
                $name {
                    $base: $base_ty::new(values),
                    $($field: $read(values, stringify!($field)),)*
                }
            }
        }
    };
}

cfg! {
    /// Settings of an entry, described at [`crate::field::ENTRY`].
    EntryCfg (process: ProcessCfg) {
        listen: SocketAddr = addr,
        control: SocketAddr = addr,
        control_advertised: Option<SocketAddr> = optional_addr,
        entries: Vec<SocketAddr> = addrs,
        table_poll: Duration = duration,
        members_poll: Duration = duration,
        heartbeat: Duration = duration,
        control_budget: u64 = number,
        lease_beats: u64 = number,
        default_deadline: Duration = duration,
        max_deadline: Duration = duration,
        attempt_timeout: Duration = duration,
        connect_timeout: Duration = duration,
        max_attempts: u64 = number,
        retry_budget: u64 = number,
        max_queue: u64 = number,
        max_running: u64 = number,
        upstream_running: u64 = number,
        max_answer: u64 = number,
        claim_interval: Duration = duration,
        claim_batch: u64 = number,
        claim_retention: Duration = duration,
        policy: String = text,
        eject_failures: u64 = number,
        eject_time: Duration = duration,
        slow_start: Duration = duration,
        prefix_bytes: u64 = number,
        prefix_load: u64 = number,
        first_token_bound: Duration = duration,
        token_bound: Duration = duration,
        check_places: bool = flag,
    }
}

cfg! {
    /// Settings of an agent, described at [`crate::field::AGENT`].
    AgentCfg (process: ProcessCfg) {
        listen: SocketAddr = addr,
        listen_advertised: Option<SocketAddr> = optional_addr,
        peer: SocketAddr = addr,
        peer_advertised: Option<SocketAddr> = optional_addr,
        upstream: SocketAddr = addr,
        kind: String = text,
        entries: Vec<SocketAddr> = addrs,
        models: Vec<String> = names,
        fencing: bool = flag,
        repeatable: bool = flag,
        engine_poll: Duration = duration,
        engine_timeout: Duration = duration,
        load_timeout: Duration = duration,
        engine_slots: u64 = number,
        max_running: u64 = number,
        chunk_memory: u64 = number,
        link_rate: u64 = number,
        weight_share: u64 = number,
        fetches: u64 = number,
        serves: u64 = number,
        chunk_timeout: Duration = duration,
        origin_copies: String = text,
        origin_patience: Duration = duration,
        bad_chunks: u64 = number,
        bad_time: Duration = duration,
        answer_memory: u64 = number,
        answer_retention: Duration = duration,
        check_places: bool = flag,
    }
}

/// Settings that gateways and loaders share.
#[derive(Debug, Clone)]
pub struct NodeCfg {
    /// Id of the VM.
    pub vm: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Listen address for datagrams from other processes.
    pub beacon: SocketAddr,
    /// Listen address for metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Timeout of one call of the store.
    pub store_timeout: Duration,
    /// Replica addresses of gateways, which are asked at start while the store is unreachable.
    pub seeds: Vec<SocketAddr>,
    /// Time after a release in which all engines must have loaded the new version.
    pub version_time: Duration,
    /// Time after a disturbance until the bounds of a process apply again.
    pub contact_time: Duration,
    /// Log settings.
    pub log: LogCfg,
}

impl NodeCfg {
    fn new(values: &Values) -> NodeCfg {
        NodeCfg {
            vm: text(values, "vm"),
            domain: text(values, "domain"),
            beacon: addr(values, "beacon"),
            metrics: addr(values, "metrics"),
            store: addr(values, "store"),
            store_timeout: duration(values, "store_timeout"),
            seeds: addrs(values, "seeds"),
            version_time: duration(values, "version_time"),
            contact_time: duration(values, "contact_time"),
            log: LogCfg::new(values),
        }
    }
}

cfg! {
    /// Settings of a gateway, described at [`crate::node::GATEWAY`].
    GatewayCfg (node: NodeCfg) {
        domains: Domains = domains_in,
        listen: SocketAddr = addr,
        ready: SocketAddr = addr,
        copies: SocketAddr = addr,
        list_poll: Duration = duration,
        return_time: Duration = duration,
        connect_timeout: Duration = duration,
        stall_time: Duration = duration,
        memory: u64 = number,
        max_event: u64 = number,
        start_wait: Duration = duration,
        config_time: Duration = duration,
        retry_window: Duration = duration,
        retry_ratio: f64 = ratio,
        retry_slack: f64 = ratio,
        cold_overage: f64 = ratio,
        cold_slack: f64 = ratio,
        speed_aware: bool = flag,
        priority_admission: bool = flag,
        min_share: f64 = ratio,
        paced_returns: bool = flag,
        domain_shares: bool = flag,
        link_share: f64 = ratio,
        region_link_mbps: f64 = ratio,
        hold_time: Duration = duration,
        stop_notice: Duration = duration,
        drain_timeout: Duration = duration,
    }
}

cfg! {
    /// Settings of a loader, described at [`crate::node::LOADER`].
    LoaderCfg (node: NodeCfg) {
        service: String = text,
        engine: SocketAddr = addr,
        chunks: SocketAddr = addr,
        engine_poll: Duration = duration,
        engine_poll_uneven: Duration = duration,
        release_poll: Duration = duration,
        chunk_timeout: Duration = duration,
        chunk_bytes: u64 = number,
        fetches: u64 = number,
        serves: u64 = number,
        link_mbps: f64 = ratio,
        weight_share: u64 = number,
        settle_time: Duration = duration,
        predict_rollout: bool = flag,
        origin_patience: Duration = duration,
        bad_chunks: u64 = number,
        bad_time: Duration = duration,
    }
}

/// Settings of an operator, described at [`crate::field::OPERATOR`].
#[derive(Debug, Clone)]
pub struct OperatorCfg {
    /// Name under which edits are recorded.
    pub author: String,
    /// All failure domains.
    pub domains: Domains,
    /// Connection settings of the platform.
    pub platform: PlatformCfg,
    /// Admin addresses of entries.
    pub admins: Vec<SocketAddr>,
    /// Requests in 1000 that must complete with the outcome `done`.
    pub objective_available: u64,
    /// First tokens in 1000 that must arrive within the entries' `first_token_bound`.
    pub objective_first_token: u64,
    /// Streams in 1000 whose tokens must arrive within the entries' `token_bound`.
    pub objective_between_tokens: u64,
    /// Log settings.
    pub log: LogCfg,
}

impl EntryCfg {
    /// Returns the address at which other processes reach `control`.
    pub fn advertised_control(&self) -> SocketAddr {
        self.control_advertised.unwrap_or(self.control)
    }
}

impl AgentCfg {
    /// Returns the address at which entries reach the agent.
    pub fn advertised_listen(&self) -> SocketAddr {
        self.listen_advertised.unwrap_or(self.listen)
    }

    /// Returns the address at which peers reach the agent.
    pub fn advertised_peer(&self) -> SocketAddr {
        self.peer_advertised.unwrap_or(self.peer)
    }

    /// Returns whether the upstream is a model engine.
    pub fn is_engine(&self) -> bool {
        self.kind == "engine"
    }

    /// Returns whether the upstream runs the model.
    pub fn runs(&self, model: &str) -> bool {
        self.models.iter().any(|m| m == "*" || m == model)
    }
}

impl OperatorCfg {
    pub(crate) fn new(values: &Values) -> OperatorCfg {
        OperatorCfg {
            author: text(values, "author"),
            domains: domains(values),
            platform: PlatformCfg::new(values),
            admins: addrs(values, "admins"),
            objective_available: number(values, "objective_available"),
            objective_first_token: number(values, "objective_first_token"),
            objective_between_tokens: number(values, "objective_between_tokens"),
            log: LogCfg::new(values),
        }
    }
}

impl ProcessCfg {
    fn new(values: &Values) -> ProcessCfg {
        ProcessCfg {
            vm: text(values, "vm"),
            domain: text(values, "domain"),
            domains: domains(values),
            admin: addr(values, "admin"),
            source: optional_ip(values, "source"),
            platform: PlatformCfg::new(values),
            drain_timeout: duration(values, "drain_timeout"),
            stop_notice: duration(values, "stop_notice"),
            max_connections: number(values, "max_connections") as usize,
            header_timeout: duration(values, "header_timeout"),
            body_timeout: duration(values, "body_timeout"),
            max_body: number(values, "max_body") as usize,
            max_header: number(values, "max_header") as usize,
            log: LogCfg::new(values),
        }
    }
}

impl PlatformCfg {
    fn new(values: &Values) -> PlatformCfg {
        let addr_if_declared = |name| values.contains_key(name).then(|| addr(values, name));
        PlatformCfg {
            table: addr(values, "platform_table"),
            objects: addr(values, "platform_objects"),
            members: addr_if_declared("platform_members"),
            origin: addr_if_declared("platform_origin"),
            timeout: duration(values, "platform_timeout"),
            source: values
                .get("source")
                .and_then(|_| optional_ip(values, "source")),
        }
    }
}

impl LogCfg {
    fn new(values: &Values) -> LogCfg {
        LogCfg {
            json: text(values, "log_format") == "json",
            level: text(values, "log_level"),
            levels: pairs(values, "log_levels"),
        }
    }
}

fn domains(values: &Values) -> Domains {
    domains_in(values, "domains")
}

fn domains_in(values: &Values, field: &str) -> Domains {
    Domains::new(pairs(values, field))
}

macro_rules! reader {
    ($name:ident, $variant:ident, $ty:ty) => {
        fn $name(values: &Values, field: &str) -> $ty {
            match values.get(field) {
                Some(Value::$variant(v)) => v.clone(),
                other => unreachable!("field {field} passed validation with the value {other:?}"),
            }
        }
    };
}

reader!(text, Text, String);
reader!(addrs, Addrs, Vec<SocketAddr>);
reader!(names, Names, Vec<String>);
reader!(pairs, Pairs, Vec<(String, String)>);
reader!(duration, Duration, Duration);
reader!(number, Number, u64);
reader!(ratio, Ratio, f64);
reader!(flag, Flag, bool);

fn addr(values: &Values, field: &str) -> SocketAddr {
    addrs(values, field)[0]
}

fn optional_addr(values: &Values, field: &str) -> Option<SocketAddr> {
    addrs(values, field).first().copied()
}

fn optional_ip(values: &Values, field: &str) -> Option<IpAddr> {
    optional_addr(values, field).map(|addr| addr.ip())
}
