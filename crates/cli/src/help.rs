//! Help texts of the commands.

/// Topic of a help text.
#[derive(Debug, Clone, Copy)]
pub enum Topic {
    /// `driftnotch` itself
    All,
    /// `entry`
    Entry,
    /// `agent`
    Agent,
    /// `gateway`
    Gateway,
    /// `loader`
    Loader,
    /// `table`
    Table,
    /// `check`
    Check,
    /// `publish`
    Publish,
    /// `status`
    Status,
    /// `burn`
    Burn,
    /// `load`
    Load,
}

impl Topic {
    /// Returns the topic of a command.
    pub fn from_command(name: &str) -> Option<Topic> {
        match name {
            "entry" => Some(Topic::Entry),
            "agent" => Some(Topic::Agent),
            "gateway" => Some(Topic::Gateway),
            "loader" => Some(Topic::Loader),
            "table" => Some(Topic::Table),
            "check" => Some(Topic::Check),
            "publish" => Some(Topic::Publish),
            "status" => Some(Topic::Status),
            "burn" => Some(Topic::Burn),
            "load" => Some(Topic::Load),
            _ => None,
        }
    }
}

/// Returns the text of a topic.
pub fn text(topic: Topic) -> &'static str {
    match topic {
        Topic::All => ALL,
        Topic::Entry => ENTRY,
        Topic::Agent => AGENT,
        Topic::Gateway => GATEWAY,
        Topic::Loader => LOADER,
        Topic::Table => TABLE,
        Topic::Check => CHECK,
        Topic::Publish => PUBLISH,
        Topic::Status => STATUS,
        Topic::Burn => BURN,
        Topic::Load => LOAD,
    }
}

const ALL: &str = "\
driftnotch places model weights where a table permits them and serves requests from there.

Usage: driftnotch COMMAND [OPTIONS]

On VMs:
  entry     proxy callers' requests (entry VM)
  agent     admit requests to one upstream and load its weights (upstream VM)
  gateway   proxy callers' requests by the configuration in the platform's store (entry VM)
  loader    load released weights into the engine on its VM (upstream VM)

For operators:
  table     get, plan, apply, history, status: the table of models and places
  publish   upload a file of weights for the agents; prints its version
  check     validate settings files and tables
  status    show which processes are up, and the progress of each rollout
  burn      show how much of the error budget is used, and how fast
  load      show who is refused and why, the free capacity and slow engines

  -h, --help     print this text, or that of a command
  -V, --version  print the version

Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings, 3 conflict with another
operator's edit.";

const ENTRY: &str = "\
Proxies callers' requests to upstreams in permitted places.

Usage: driftnotch entry --settings FILE

SIGTERM begins a planned stop: running requests complete first. SIGINT during the stop exits at
once. SIGHUP reloads the log settings.

Example: driftnotch entry --settings examples/entry.yaml";

const AGENT: &str = "\
Controls one upstream: admits requests, stores weights and serves them to peers, sends the engine its
orders.

Usage: driftnotch agent --settings FILE

SIGTERM begins a planned stop: running requests complete first. SIGINT during the stop exits at
once. SIGHUP reloads the log settings.

Example: driftnotch agent --settings examples/agent.yaml";

const GATEWAY: &str = "\
Proxies callers' requests directly to engines and services, by the configuration in the platform's
store.

Usage: driftnotch gateway --settings FILE

SIGTERM begins a planned stop: readiness ends at once, connections are accepted for `stop_notice`
longer, and running requests complete first. SIGINT during the stop exits at once. SIGHUP reloads the
log settings.

Example: driftnotch gateway --settings examples/gateway.yaml";

const LOADER: &str = "\
Loads released weights into the engine on its VM, and serves chunks to other loaders.

Usage: driftnotch loader --settings FILE

SIGTERM begins a planned stop. SIGINT during the stop exits at once. SIGHUP reloads the log settings.

Example: driftnotch loader --settings examples/loader.yaml";

const TABLE: &str = "\
Works on the table: a CSV file with the columns model,version,places,share,limits,priority,hold.

Usage: driftnotch table get     --settings FILE [--revision N] [--json]
       driftnotch table plan    --settings FILE TABLE.csv [--json]
       driftnotch table apply   --settings FILE TABLE.csv [--base N] [--wait DURATION] [--json]
       driftnotch table history --settings FILE [--last N] [--json]
       driftnotch table status  --settings FILE [--json]

get      prints the edition in force (or revision N), with a `# revision: N` line
plan     prints what the file would change
apply    puts the file in force if the edition that it is based on (--base, or the file's
         `# revision: N` line) is still in force; otherwise exits with 3 and prints the changes since
history  lists the last editions (20)
status   prints where the edition is in force, since when, and what is not known

Examples: driftnotch table get --settings operator.yaml > table.csv
          driftnotch table apply --settings operator.yaml table.csv --wait 10s";

const CHECK: &str = "\
Validates settings files (.yaml) and tables (.csv) without starting a process; lists every fault.

Usage: driftnotch check FILE... [--json]
       driftnotch check --fields entry|agent|operator|gateway|loader

A table is validated against the failure domains of the first settings file given with it.
--fields prints the fields of a role with kind, default and range.

Example: driftnotch check examples/operator.yaml examples/table.csv";

const PUBLISH: &str = "\
Uploads a file of weights to the origin and its manifest to the object store; prints the version to
write into the table.

Usage: driftnotch publish --settings FILE WEIGHTS [--chunk SIZE] [--json]

Example: driftnotch publish --settings operator.yaml changelog.safetensors";

const STATUS: &str = "\
Shows the entries that respond, their upstreams, and the progress of each rollout.

Usage: driftnotch status --settings FILE [--json]

Example: driftnotch status --settings operator.yaml";

const BURN: &str = "\
Shows how much of the error budget of the last six hours is used, and how fast, by failure domain,
row and workspace. A burn rate of 1 uses up exactly the whole budget in six hours.

Usage: driftnotch burn --settings FILE [--json]

Example: driftnotch burn --settings operator.yaml";

const LOAD: &str = "\
Shows, by the metrics of gateways and loaders: refusals by reason, and by route and priority; the free
fraction of the capacity and the rank from which on requests are refused; engines that are slow, rate
limited or draining; demand, capacity and shares of failure domains; and how many promised retries came.

Usage: driftnotch load --from IP:PORT[,IP:PORT...]

--from takes the `metrics` addresses of the processes. Counters are summed over the processes since each
started; gauges are shown as lowest and highest. Metrics that no process serves are left out. A process
that doesn't answer is named with the cause, and the others are shown.

Example: driftnotch load --from 10.0.0.1:8304,10.0.0.2:8304,10.0.1.1:8403";
