//! Typed settings of each role, built from checked values.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use base::{DomainName, Domains, VmId};
use web::DialOptions;

use crate::value::{Value, Values};

/// Process a settings file is for.
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

/// Addresses of the platform.
#[derive(Debug, Clone)]
pub struct PlatformCfg {
    /// Table service.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// List of VMs.
    pub members: Option<SocketAddr>,
    /// Origin of weights.
    pub origin: Option<SocketAddr>,
    /// Longest wait for one answer.
    pub timeout: Duration,
    /// Address that connections come from.
    pub source: Option<IpAddr>,
}

impl PlatformCfg {
    /// How connections to the platform are made.
    pub fn dial_options(&self) -> DialOptions {
        DialOptions {
            timeout: self.timeout,
            keep_alive: true,
            source: self.source,
        }
    }
}

/// Logs.
#[derive(Debug, Clone)]
pub struct LogCfg {
    /// Whether lines are JSON.
    pub json: bool,
    /// Level of parts not named.
    pub level: String,
    /// Level by part.
    pub levels: Vec<(String, String)>,
}

/// What every process on a VM has.
#[derive(Debug, Clone)]
pub struct ProcessCfg {
    /// Id of the VM.
    pub vm: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// All failure domains.
    pub domains: Domains,
    /// Admin address.
    pub admin: SocketAddr,
    /// Address that connections come from.
    pub source: Option<IpAddr>,
    /// Platform.
    pub platform: PlatformCfg,
    /// Longest drain at a planned stop.
    pub drain_timeout: Duration,
    /// Time between saying that it leaves and closing.
    pub stop_notice: Duration,
    /// Connections at once.
    pub max_connections: usize,
    /// Longest wait for a head.
    pub header_timeout: Duration,
    /// Longest wait for a body.
    pub body_timeout: Duration,
    /// Largest body, in bytes.
    pub max_body: usize,
    /// Largest head, in bytes.
    pub max_header: usize,
    /// Logs.
    pub log: LogCfg,
}

macro_rules! cfg {
    ($(#[$doc:meta])* $name:ident ($base:ident: $base_ty:ident) { $($field:ident: $ty:ty = $read:ident),* $(,)? }) => {
        $(#[$doc])*
        #[derive(Debug, Clone)]
        pub struct $name {
            /// What every process of this kind has.
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
    /// Settings of an entry; [`crate::field::ENTRY`] says what each is for.
    EntryCfg (process: ProcessCfg) {
        listen: SocketAddr = addr,
        control: SocketAddr = addr,
        control_advertised: Option<SocketAddr> = maybe_addr,
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
    /// Settings of an agent; [`crate::field::AGENT`] says what each is for.
    AgentCfg (process: ProcessCfg) {
        listen: SocketAddr = addr,
        listen_advertised: Option<SocketAddr> = maybe_addr,
        peer: SocketAddr = addr,
        peer_advertised: Option<SocketAddr> = maybe_addr,
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

/// What every process that runs by the platform's store has.
#[derive(Debug, Clone)]
pub struct NodeCfg {
    /// Id of the VM.
    pub vm: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Datagrams from other processes.
    pub beacon: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Longest wait for one answer of the store.
    pub store_timeout: Duration,
    /// Gateways to ask while the store can't be reached.
    pub seeds: Vec<SocketAddr>,
    /// Time in which all engines are to hold a new version.
    pub version_time: Duration,
    /// Time after a disturbance from when on a process is held to its bounds.
    pub contact_time: Duration,
    /// Logs.
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
    /// Settings of a gateway; [`crate::node::GATEWAY`] says what each is for.
    GatewayCfg (node: NodeCfg) {
        domains: Domains = domains_of,
        listen: SocketAddr = addr,
        ready: SocketAddr = addr,
        copies: SocketAddr = addr,
        list_poll: Duration = duration,
        return_time: Duration = duration,
        connect_timeout: Duration = duration,
        stall_time: Duration = duration,
        start_wait: Duration = duration,
        config_time: Duration = duration,
        retry_window: Duration = duration,
        retry_ratio: f64 = ratio,
        retry_slack: f64 = ratio,
        cold_overage: f64 = ratio,
        cold_slack: f64 = ratio,
        hold_time: Duration = duration,
        stop_notice: Duration = duration,
        drain_timeout: Duration = duration,
    }
}

cfg! {
    /// Settings of a loader; [`crate::node::LOADER`] says what each is for.
    LoaderCfg (node: NodeCfg) {
        service: String = text,
        engine: SocketAddr = addr,
        chunks: SocketAddr = addr,
        engine_poll: Duration = duration,
        release_poll: Duration = duration,
        chunk_timeout: Duration = duration,
        chunk_bytes: u64 = number,
        fetches: u64 = number,
        serves: u64 = number,
        link_mbps: f64 = ratio,
        weight_share: u64 = number,
        settle_time: Duration = duration,
        origin_patience: Duration = duration,
        bad_chunks: u64 = number,
        bad_time: Duration = duration,
    }
}

/// Settings of an operator; [`crate::field::OPERATOR`] says what each is for.
#[derive(Debug, Clone)]
pub struct OperatorCfg {
    /// Name under which edits are recorded.
    pub author: String,
    /// All failure domains.
    pub domains: Domains,
    /// Platform.
    pub platform: PlatformCfg,
    /// Admin addresses of entries.
    pub admins: Vec<SocketAddr>,
    /// Requests in 1000 that must end `done`.
    pub objective_available: u64,
    /// First tokens in 1000 that must come within their bound.
    pub objective_first_token: u64,
    /// Streams in 1000 that must keep the bound between tokens.
    pub objective_between_tokens: u64,
    /// Logs.
    pub log: LogCfg,
}

impl EntryCfg {
    /// Where others reach the control address.
    pub fn advertised_control(&self) -> SocketAddr {
        self.control_advertised.unwrap_or(self.control)
    }
}

impl AgentCfg {
    /// Where entries reach the agent.
    pub fn advertised_listen(&self) -> SocketAddr {
        self.listen_advertised.unwrap_or(self.listen)
    }

    /// Where peers reach the agent.
    pub fn advertised_peer(&self) -> SocketAddr {
        self.peer_advertised.unwrap_or(self.peer)
    }

    /// Whether the upstream is a model engine.
    pub fn is_engine(&self) -> bool {
        self.kind == "engine"
    }

    /// Whether the upstream runs the model.
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
            source: maybe_ip(values, "source"),
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
        let maybe = |name| values.contains_key(name).then(|| addr(values, name));
        PlatformCfg {
            table: addr(values, "platform_table"),
            objects: addr(values, "platform_objects"),
            members: maybe("platform_members"),
            origin: maybe("platform_origin"),
            timeout: duration(values, "platform_timeout"),
            source: values
                .get("source")
                .and_then(|_| maybe_ip(values, "source")),
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
    domains_of(values, "domains")
}

fn domains_of(values: &Values, field: &str) -> Domains {
    Domains::new(pairs(values, field))
}

macro_rules! reader {
    ($name:ident, $variant:ident, $ty:ty) => {
        fn $name(values: &Values, field: &str) -> $ty {
            match values.get(field) {
                Some(Value::$variant(v)) => v.clone(),
                other => unreachable!("field {field} was checked, yet holds {other:?}"),
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

fn maybe_addr(values: &Values, field: &str) -> Option<SocketAddr> {
    addrs(values, field).first().copied()
}

fn maybe_ip(values: &Values, field: &str) -> Option<IpAddr> {
    maybe_addr(values, field).map(|addr| addr.ip())
}
