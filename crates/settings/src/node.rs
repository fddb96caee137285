//! Declares the fields of gateways and loaders.

use crate::Field;
use crate::field::Kind::{Addr, Addrs, Bytes, Count, Duration, Flag, Map, Name, Ratio};
use crate::field::field;

/// Fields of gateways and loaders, which are configured by the platform's store.
pub const NODE: &[Field] = &[
    field("vm", Name, "Id of this VM."),
    field("domain", Name, "Failure domain of this VM."),
    field("beacon", Addr, "Datagrams from other processes."),
    field("metrics", Addr, "Metrics, in the Prometheus text format."),
    field("store", Addr, "The platform's store."),
    field(
        "store_timeout",
        Duration("700ms", "50ms", "60s"),
        "Longest wait for one answer of the store. Raise it where the store is slow but up.",
    ),
    field(
        "seeds",
        Addrs,
        "Where some gateways pass on their copies of documents; asked at the start while the store \
         can't be reached.",
    ),
    field(
        "version_time",
        Duration("8s", "1s", "1h"),
        "Time after a release in which all engines are to hold the new version; afterwards no \
         request begins on an older one.",
    ),
    field(
        "contact_time",
        Duration("3s", "100ms", "1m"),
        "Time after a disturbance from when on a process is held to its bounds again.",
    ),
];

/// Fields of a gateway.
pub const GATEWAY: &[Field] = &[
    field(
        "domains",
        Map(false),
        "Every failure domain with its region. A request that is restricted to regions runs only in failure \
         domains that stand here.",
    ),
    field("listen", Addr, "Callers' requests."),
    field("ready", Addr, "Readiness, asked by the balancer."),
    field(
        "copies",
        Addr,
        "Copies of documents for processes that can't reach the store.",
    ),
    field(
        "list_poll",
        Duration("900ms", "50ms", "1m"),
        "Time between two reads of the list of upstreams. An upstream that leaves gets work for at \
         most this long.",
    ),
    field(
        "return_time",
        Duration("2s", "0ms", "1m"),
        "Time after an outage or a restore of the store in which upstreams and operators write again what it lacks.",
    ),
    field(
        "connect_timeout",
        Duration("150ms", "10ms", "10s"),
        "Longest wait for a connection to an upstream, which takes some 5 ms. Keep it below half of the shortest \
         latency objective: a request that met a dead upstream can then still be in time at another.",
    ),
    field(
        "stall_time",
        Duration("1200ms", "100ms", "1m"),
        "Silence of an upstream after which a request that may run twice is also sent to another; at most half of the time \
         that the request had left. The first one to go on serves it.",
    ),
    field(
        "memory",
        Bytes("256MiB", "32MiB", "1024GiB"),
        "Memory that the process may use. Bodies of requests and responses in flight take up a third of it at most; a \
         request for whose body there is no memory is refused, and a response is given up.",
    ),
    field(
        "max_event",
        Bytes("1MiB", "4KiB", "1GiB"),
        "Largest event of a stream. An upstream that sends a larger one has lost the stream.",
    ),
    field(
        "start_wait",
        Duration("90ms", "0ms", "30s"),
        "Longest wait of a request for the first configuration of a process that has just started, or \
         for a confirmation of one that doesn't allow it. Keep it below a quarter of the shortest latency \
         objective.",
    ),
    field(
        "config_time",
        Duration("2s", "10ms", "1m"),
        "Time in which an accepted change of the configuration is to be in force. A route or key is \
         denied only by a copy of the configuration that was confirmed within three quarters of it.",
    ),
    field(
        "retry_window",
        Duration("10s", "1s", "10m"),
        "Window of the budget of requests sent again.",
    ),
    field(
        "retry_ratio",
        Ratio(0.2, 0.0, 1.0),
        "Part of the requests of a window that all gateways together may send again.",
    ),
    field(
        "retry_slack",
        Ratio(20.0, 0.0, 1e9),
        "Requests of a window that all gateways together may send again beside `retry_ratio`; need not be \
         whole.",
    ),
    field(
        "cold_overage",
        Ratio(1.0, 1.0, 100.0),
        "Factor by which requests to a cold upstream may exceed the rate that it bears, in any second and of all \
         gateways together.",
    ),
    field(
        "cold_slack",
        Ratio(0.0, 0.0, 1e6),
        "Requests to a cold upstream in any second that are allowed beside `cold_overage`.",
    ),
    field(
        "speed_aware",
        Flag(true),
        "Whether requests are kept from engines that are slow now, and from those where they would make running \
         streams pause for too long. Turn it off where engines report a wrong speed.",
    ),
    field(
        "priority_admission",
        Flag(true),
        "Whether requests of less urgent routes leave some capacity of a service's engines to more urgent ones. Turn \
         it off where all routes are to be refused alike.",
    ),
    field(
        "min_share",
        Ratio(0.5, 0.0, 1.0),
        "Part of the requests of each less urgent route that counts as most urgent, so that none is starved. Raise \
         it where less urgent routes get too little in overload.",
    ),
    field(
        "paced_returns",
        Flag(true),
        "Whether refused callers of engines' services whose routes differ in priority are told when to retry by expected capacity. \
         Turn it off for delays that don't depend on load.",
    ),
    field(
        "domain_shares",
        Flag(false),
        "Whether the surplus of a failure domain with more callers than engines is sent to others by a plan, \
         before its own engines are full. Turn it on where the callers of a failure domain often find its \
         engines full while others have capacity.",
    ),
    field(
        "link_share",
        Ratio(0.25, 0.0, 1.0),
        "Part of `region_link_mbps` that requests sent by `domain_shares` may take. Lower it where weights or \
         other traffic need the link.",
    ),
    field(
        "region_link_mbps",
        Ratio(0.0, 0.0, 1_000_000.0),
        "Rate of the link between two regions in Mbit/s; 0 if unknown: at most half of the requests of a \
         failure domain then leave by `domain_shares`. Set it where the link is narrow.",
    ),
    field(
        "hold_time",
        Duration("10m", "10ms", "24h"),
        "How long a request under which three upstreams ended, or all requests with a part of their prompts \
         under which four did, are sent to no more of them; twice as long each time that one more ends \
         afterwards. Each try costs an upstream for seconds.",
    ),
    field(
        "stop_notice",
        Duration("2500ms", "0ms", "1m"),
        "Time at a planned stop in which connections are still taken, until the balancer notices.",
    ),
    field(
        "drain_timeout",
        Duration("5s", "0ms", "1h"),
        "Longest wait for running requests at a planned stop, after `stop_notice`.",
    ),
];

/// Fields of a loader.
pub const LOADER: &[Field] = &[
    field("service", Name, "Service that the engine belongs to."),
    field("engine", Addr, "The engine beside the loader."),
    field("chunks", Addr, "Chunks for other loaders."),
    field(
        "engine_poll",
        Duration("250ms", "10ms", "1m"),
        "Time between two reads of the engine's state.",
    ),
    field(
        "engine_poll_uneven",
        Duration("50ms", "10ms", "1m"),
        "Time between two reads of the state of an engine whose speed has changed within the last 30 s. Raise it \
         where these reads load the engine's VM; gateways then learn of a change of speed later.",
    ),
    field(
        "release_poll",
        Duration("1m", "50ms", "10m"),
        "Time between two reads of the releases from the store; gateways tell them much sooner, and again each second.",
    ),
    field(
        "chunk_timeout",
        Duration("1500ms", "50ms", "1m"),
        "Longest wait for one chunk from another loader or the origin.",
    ),
    field(
        "chunk_bytes",
        Bytes("1MiB", "1KiB", "1GiB"),
        "Largest chunk taken from another loader.",
    ),
    field(
        "fetches",
        Count(8, 1, 64),
        "Chunks brought at once. More fill a link better and delay each chunk, and requests to the \
         engine behind them.",
    ),
    field(
        "serves",
        Count(8, 1, 256),
        "Chunks that others may have asked for at once; loaders that ask beyond that are told to ask \
         again, and turn to those that have got the chunk meanwhile.",
    ),
    field(
        "link_mbps",
        Ratio(0.0, 0.0, 1_000_000.0),
        "Rate of this VM's link in Mbit/s, which weights are paced by; 0 paces nothing.",
    ),
    field(
        "weight_share",
        Count(92, 1, 100),
        "Percentage of the link that weights may take, so that answers of the engine get through.",
    ),
    field(
        "settle_time",
        Duration("30ms", "0ms", "10s"),
        "Time after a release in which nothing is drawn from the origin, so that all know of it.",
    ),
    field(
        "predict_rollout",
        Flag(true),
        "Whether a version that is being fetched when the next one is released is completed first if that leaves engines without a version that may begin requests for a shorter time. Turn it off to decide by the part of its chunks that loaders hold.",
    ),
    field(
        "origin_patience",
        Duration("900ms", "0ms", "1m"),
        "Time without a chunk from others after which a loader draws out of turn.",
    ),
    field(
        "bad_chunks",
        Count(3, 1, 1000),
        "Bad chunks after which a loader is no longer asked.",
    ),
    field(
        "bad_time",
        Duration("10s", "0ms", "1h"),
        "How long a loader that sent bad chunks is not asked.",
    ),
];
