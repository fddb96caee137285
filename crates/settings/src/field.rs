//! Declares the kinds of fields, and the fields of all roles but gateway and loader, see [`crate::node`].

use std::fmt;

/// Kind of a field's value, with its default and range as they are written in a file.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// A required name.
    Name,
    /// One of a list of words: choices, default.
    Choice(&'static [&'static str], &'static str),
    /// A required IP number and port.
    Addr,
    /// An optional IP number and port.
    OptionalAddr,
    /// An optional IP number.
    OptionalIp,
    /// A list of IP numbers and ports; empty by default.
    Addrs,
    /// A list of names, in which `*` matches all, with its default; an empty default is the empty list.
    Names(&'static str),
    /// A map of names to names, and whether it is required.
    Map(bool),
    /// A duration: default, minimum, maximum.
    Duration(&'static str, &'static str, &'static str),
    /// A size in bytes: default, minimum, maximum.
    Bytes(&'static str, &'static str, &'static str),
    /// A whole number: default, minimum, maximum.
    Count(u64, u64, u64),
    /// A fraction: default, minimum, maximum.
    Ratio(f64, f64, f64),
    /// `true` or `false`, with its default.
    Flag(bool),
}

/// Declaration of a field.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// Name in the file.
    pub name: &'static str,
    /// Kind of the value.
    pub kind: Kind,
    /// Purpose of the field, and when to change it.
    pub doc: &'static str,
}

pub(crate) const fn field(name: &'static str, kind: Kind, doc: &'static str) -> Field {
    Field { name, kind, doc }
}

impl Field {
    /// Returns whether a file must set the field.
    pub fn is_required(&self) -> bool {
        matches!(self.kind, Kind::Name | Kind::Addr | Kind::Map(true))
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Kind::Name => f.write_str("name | required |"),
            Kind::Choice(words, default) => write!(f, "{} | {default} |", words.join(" or ")),
            Kind::Addr => f.write_str("IP number:port | required |"),
            Kind::OptionalAddr => f.write_str("IP number:port | none |"),
            Kind::OptionalIp => f.write_str("IP number | none |"),
            Kind::Addrs => f.write_str("list of IP number:port | empty |"),
            Kind::Names("") => f.write_str("list of names | empty |"),
            Kind::Names(default) => write!(f, "list of names | [\"{default}\"] |"),
            Kind::Map(true) => f.write_str("map of names | required |"),
            Kind::Map(false) => f.write_str("map of names | empty |"),
            Kind::Duration(default, min, max) => {
                write!(f, "duration | {default} | {min} to {max}")
            }
            Kind::Bytes(default, min, max) => write!(f, "size | {default} | {min} to {max}"),
            Kind::Count(default, min, max) => {
                write!(f, "whole number | {default} | {min} to {max}")
            }
            Kind::Ratio(default, min, max) => {
                write!(f, "fraction | {default} | {min} to {max}")
            }
            Kind::Flag(default) => write!(f, "true or false | {default} |"),
        }
    }
}

use Kind::{
    Addr, Addrs, Bytes, Choice, Count, Duration, Flag, Map, Name, Names, OptionalAddr, OptionalIp,
};

/// Fields of every role.
pub const COMMON: &[Field] = &[
    field(
        "role",
        Choice(
            &["entry", "agent", "operator", "gateway", "loader"],
            "entry",
        ),
        "Which process reads the file; always write it.",
    ),
    field(
        "log_format",
        Choice(&["text", "json"], "text"),
        "Lines for people or JSON lines for a collector. Read again on SIGHUP.",
    ),
    field(
        "log_level",
        Choice(&["error", "warn", "info", "debug", "trace"], "info"),
        "Level of all parts that `log_levels` doesn't name. Read again on SIGHUP.",
    ),
    field(
        "log_levels",
        Map(false),
        "Level by part, such as `claims: debug`. Read again on SIGHUP.",
    ),
];

/// Fields of the roles that are configured by the table in the platform: entries, agents and operators.
pub const TABLE: &[Field] = &[
    field(
        "domains",
        Map(true),
        "Every failure domain with its region. The same on all VMs.",
    ),
    field(
        "platform_table",
        Addr,
        "The platform's transactional table service.",
    ),
    field("platform_objects", Addr, "The platform's object store."),
    field(
        "platform_timeout",
        Duration("2s", "50ms", "60s"),
        "Longest wait for one answer of the platform. Raise it where the platform is slow but up.",
    ),
];

/// Fields of entries and agents, which run on VMs.
pub const PROCESS: &[Field] = &[
    field("vm", Name, "Id of this VM, as the platform lists it."),
    field("domain", Name, "Failure domain of this VM."),
    field("admin", Addr, "Metrics, health and readiness."),
    field(
        "source",
        OptionalIp,
        "IP number that this VM's connections to others come from, where it has several.",
    ),
    field(
        "drain_timeout",
        Duration("60s", "0ms", "1h"),
        "Longest wait for running requests at a planned stop. Keep it above the longest request.",
    ),
    field(
        "stop_notice",
        Duration("2s", "0ms", "5m"),
        "At a planned stop, time in which the VM already says that it is leaving and still answers. Keep it above the time the balancer takes to notice.",
    ),
    field(
        "max_connections",
        Count(2048, 8, 100_000),
        "Connections taken at once; more are closed at accept.",
    ),
    field(
        "header_timeout",
        Duration("5s", "100ms", "60s"),
        "Longest wait for the head of a request.",
    ),
    field(
        "body_timeout",
        Duration("10s", "100ms", "300s"),
        "Longest wait for the body of a request.",
    ),
    field(
        "max_body",
        Bytes("1MiB", "1KiB", "256MiB"),
        "Largest body of a request.",
    ),
    field(
        "max_header",
        Bytes("16KiB", "8KiB", "1MiB"),
        "Largest head of a request.",
    ),
];

/// Fields of an entry.
pub const ENTRY: &[Field] = &[
    field("platform_members", Addr, "The platform's list of VMs."),
    field("listen", Addr, "Where callers come in."),
    field("control", Addr, "Where agents and other entries link to."),
    field(
        "control_advertised",
        OptionalAddr,
        "Where others reach `control`, if that is another address than it listens on.",
    ),
    field(
        "entries",
        Addrs,
        "Control addresses of other entries known from the start. More are learnt from the platform and from links.",
    ),
    field(
        "table_poll",
        Duration("1s", "100ms", "60s"),
        "Time between two looks at the table. Raise it with the number of entries: 330 entries at 5s are 66 reads a second.",
    ),
    field(
        "members_poll",
        Duration("2s", "100ms", "60s"),
        "Time between two looks at the platform's list of VMs.",
    ),
    field(
        "heartbeat",
        Duration("1s", "100ms", "60s"),
        "Shortest time between two heartbeats of one agent. It grows with the number of agents so that control stays within `control_budget`.",
    ),
    field(
        "control_budget",
        Bytes("16KiB", "1KiB", "1GiB"),
        "Control bytes a second that heartbeats of all agents together may cost this entry.",
    ),
    field(
        "lease_beats",
        Count(3, 2, 20),
        "Heartbeats an agent may miss before it gets no new requests.",
    ),
    field(
        "default_deadline",
        Duration("60s", "100ms", "1h"),
        "Time a request has where the caller gives none.",
    ),
    field(
        "max_deadline",
        Duration("10m", "100ms", "24h"),
        "Longest time a caller may ask for.",
    ),
    field(
        "attempt_timeout",
        Duration("30s", "50ms", "1h"),
        "Silence of an agent after which a request is sent to another one as well; the first to answer is used. For a request that may run only once, its agent is asked instead what became of it.",
    ),
    field(
        "connect_timeout",
        Duration("500ms", "10ms", "30s"),
        "Longest wait for a connection to an agent.",
    ),
    field(
        "max_attempts",
        Count(3, 1, 10),
        "Agents one request may be sent to.",
    ),
    field(
        "retry_budget",
        Count(10, 0, 100),
        "Retries allowed for every 100 requests, so that retries cannot feed a collapse.",
    ),
    field(
        "max_queue",
        Count(256, 0, 100_000),
        "Requests that may wait for a free slot; more are refused at once.",
    ),
    field(
        "max_running",
        Count(1024, 1, 100_000),
        "Requests this entry has running at once.",
    ),
    field(
        "upstream_running",
        Count(16, 1, 10_000),
        "Requests this entry has running at one upstream before it prefers to wait.",
    ),
    field(
        "max_answer",
        Bytes("8MiB", "1KiB", "1GiB"),
        "Largest answer that is held until whole; a larger one is passed through as it comes.",
    ),
    field(
        "claim_interval",
        Duration("20ms", "0ms", "5s"),
        "Time over which claims of unsafe requests are gathered into one write. Raise it with the number of failure domains: 15 at 50ms are 300 writes a second.",
    ),
    field(
        "claim_batch",
        Count(100, 1, 1000),
        "Claims in one write. 1 writes each claim alone.",
    ),
    field(
        "claim_retention",
        Duration("24h", "1m", "720h"),
        "Time a claimed key is remembered; a resend after it may run again.",
    ),
    field(
        "policy",
        Choice(
            &["prefix", "two", "random", "round-robin", "least-reported"],
            "prefix",
        ),
        "How an upstream is chosen. Keep the default; the others are there to be compared with it.",
    ),
    field(
        "eject_failures",
        Count(3, 1, 100),
        "Failures in a row after which an upstream gets no new requests for `eject_time`.",
    ),
    field(
        "eject_time",
        Duration("5s", "100ms", "10m"),
        "How long a failing upstream is left alone.",
    ),
    field(
        "slow_start",
        Duration("5s", "0ms", "10m"),
        "Time over which a new replica is brought up to its full share.",
    ),
    field(
        "prefix_bytes",
        Count(256, 0, 65_536),
        "Bytes at the start of a prompt that choose its preferred upstream, so that prompt prefixes are found in its cache. 0 turns this off.",
    ),
    field(
        "prefix_load",
        Count(125, 100, 1000),
        "Percent of the mean load up to which the preferred upstream is taken.",
    ),
    field(
        "first_token_bound",
        Duration("1700ms", "1ms", "10m"),
        "Bound on the time to the first token that `driftnotch burn` reports on.",
    ),
    field(
        "token_bound",
        Duration("45ms", "1ms", "1m"),
        "Bound on the mean time between tokens of a stream that `driftnotch burn` reports on.",
    ),
    field(
        "check_places",
        Flag(true),
        "Whether the entry guards places. Tests turn it off to see that the agent holds alone.",
    ),
];

/// Fields of an agent.
pub const AGENT: &[Field] = &[
    field("listen", Addr, "Where entries send requests."),
    field("peer", Addr, "Where other agents fetch chunks."),
    field(
        "listen_advertised",
        OptionalAddr,
        "Where entries reach `listen`, if that is another address than it listens on.",
    ),
    field(
        "peer_advertised",
        OptionalAddr,
        "Where other agents reach `peer`, if that is another address than it listens on.",
    ),
    field(
        "upstream",
        Addr,
        "The model engine or plain service of this VM.",
    ),
    field(
        "kind",
        Choice(&["engine", "service"], "engine"),
        "What the upstream is.",
    ),
    field(
        "entries",
        Addrs,
        "Control addresses of entries of this failure domain known from the start. More are learnt from links.",
    ),
    field("platform_origin", Addr, "The origin of weights."),
    field(
        "models",
        Names("*"),
        "Models this upstream runs, or the services it is.",
    ),
    field(
        "fencing",
        Flag(true),
        "Whether the engine refuses orders with an old fencing number. Where not, the agent re-reads the engine's state before each order.",
    ),
    field(
        "repeatable",
        Flag(false),
        "Whether calls that change nothing by HTTP's rules (GET, HEAD) may be repeated at this service.",
    ),
    field(
        "engine_poll",
        Duration("250ms", "20ms", "60s"),
        "Time between two looks at the engine's state.",
    ),
    field(
        "engine_timeout",
        Duration("2s", "50ms", "60s"),
        "Longest wait for an answer to an order or a look at the state.",
    ),
    field(
        "load_timeout",
        Duration("10m", "1s", "24h"),
        "Longest wait for an engine to load a version.",
    ),
    field(
        "engine_slots",
        Count(2, 1, 64),
        "Versions the engine can hold at once. With 1 a change of version drains first.",
    ),
    field(
        "max_running",
        Count(64, 1, 10_000),
        "Requests the upstream may run at once; more are refused for certain.",
    ),
    field(
        "chunk_memory",
        Bytes("128MiB", "1MiB", "1024GiB"),
        "Bytes of chunks kept to pass on. Keep it above the largest version for the fewest bytes from the origin.",
    ),
    field(
        "link_rate",
        Bytes("0B", "0B", "1024GiB"),
        "Bytes a second of this VM's link, each way. Weight traffic is paced by it; 0B paces nothing.",
    ),
    field(
        "weight_share",
        Count(97, 1, 100),
        "Percent of the link that weights may take while requests leave it free. Lower it where live requests are slow during rollouts.",
    ),
    field("fetches", Count(6, 1, 256), "Chunks fetched at once."),
    field(
        "serves",
        Count(6, 1, 256),
        "Chunks sent to peers at once; more are refused and asked for again.",
    ),
    field(
        "chunk_timeout",
        Duration("10s", "100ms", "10m"),
        "Longest wait for one chunk.",
    ),
    field(
        "origin_copies",
        Choice(&["fleet", "domain"], "fleet"),
        "Draw one copy from the origin for the whole fleet or one for each failure domain.",
    ),
    field(
        "origin_patience",
        Duration("5s", "0ms", "10m"),
        "Time without any chunk after which an agent that wasn't chosen to draw goes to the origin for those no peer has.",
    ),
    field(
        "bad_chunks",
        Count(2, 1, 100),
        "Bad chunks from one source after which it is left alone for `bad_time`.",
    ),
    field(
        "bad_time",
        Duration("30s", "1s", "1h"),
        "How long a source of bad chunks is left alone.",
    ),
    field(
        "answer_memory",
        Bytes("32MiB", "64KiB", "64GiB"),
        "Bytes of recorded answers to unsafe requests; the oldest go first and are `unknown` from then on.",
    ),
    field(
        "answer_retention",
        Duration("10m", "1s", "24h"),
        "Time an answer to an unsafe request is kept for resends.",
    ),
    field(
        "check_places",
        Flag(true),
        "Whether the agent guards places. Tests turn it off to see that the entry holds alone.",
    ),
];

/// Fields of the operator's file.
pub const OPERATOR: &[Field] = &[
    field("author", Name, "Name under which edits are recorded."),
    field(
        "admins",
        Addrs,
        "Admin addresses of the entries that `status`, `table status` and `burn` ask.",
    ),
    field("platform_origin", Addr, "The origin of weights."),
    field(
        "objective_available",
        Count(999, 500, 1000),
        "Requests in 1000 that must end `done`.",
    ),
    field(
        "objective_first_token",
        Count(950, 500, 1000),
        "First tokens in 1000 that must come within the entries' `first_token_bound`.",
    ),
    field(
        "objective_between_tokens",
        Count(950, 500, 1000),
        "Streams in 1000 whose tokens must come within the entries' `token_bound`.",
    ),
];
