//! Help texts.

/// What help is asked for.
#[derive(Debug, Clone, Copy)]
pub enum Topic {
    /// The whole command.
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
}

impl Topic {
    /// The topic of a command.
    pub fn named(name: &str) -> Option<Topic> {
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
            _ => None,
        }
    }
}

/// The text of a topic.
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
    }
}

const ALL: &str = "\
driftnotch places model weights where a table permits them and serves requests from there.

Usage: driftnotch COMMAND [OPTIONS]

On VMs:
  entry     take callers' requests (entry VM)
  agent     guard one upstream and hold its weights (upstream VM)
  gateway   take callers' requests by the configuration in the platform's store (entry VM)
  loader    bring released weights to the engine beside it (upstream VM)

For operators:
  table     get, plan, apply, history, status: the table of models and places
  publish   put a file of weights where agents find it; prints its version
  check     check settings files and tables
  status    who is up, and how far each rollout is
  burn      how much of the error budget is used, and how fast

  -h, --help     this text, or that of a command
  -V, --version  the version

Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings, 3 conflict with another
operator's edit.";

const ENTRY: &str = "\
Takes callers' requests and sends them to upstreams in permitted places.

Usage: driftnotch entry --settings FILE

SIGTERM stops as planned: running requests end first. A second one ends at once. SIGHUP reads the
log settings again.

Example: driftnotch entry --settings examples/entry.yaml";

const AGENT: &str = "\
Guards one upstream: lets requests in, holds and passes on weights, gives the engine its orders.

Usage: driftnotch agent --settings FILE

SIGTERM stops as planned: running requests end first. A second one ends at once. SIGHUP reads the
log settings again.

Example: driftnotch agent --settings examples/agent.yaml";

const GATEWAY: &str = "\
Takes callers' requests by the configuration in the platform's store, and sends them to engines and
services directly.

Usage: driftnotch gateway --settings FILE

SIGTERM stops as planned: readiness ends at once, connections are taken for `stop_notice` more, and
running requests end first. A second one ends at once. SIGHUP reads the log settings again.

Example: driftnotch gateway --settings examples/gateway.yaml";

const LOADER: &str = "\
Brings released weights to the engine beside it, and passes chunks on to other loaders.

Usage: driftnotch loader --settings FILE

SIGTERM stops as planned. A second one ends at once. SIGHUP reads the log settings again.

Example: driftnotch loader --settings examples/loader.yaml";

const TABLE: &str = "\
Works on the table: a CSV file with the columns model,version,places,share,limits,priority,hold.

Usage: driftnotch table get     --settings FILE [--revision N] [--json]
       driftnotch table plan    --settings FILE TABLE.csv [--json]
       driftnotch table apply   --settings FILE TABLE.csv [--base N] [--wait DURATION] [--json]
       driftnotch table history --settings FILE [--last N] [--json]
       driftnotch table status  --settings FILE [--json]

get      prints the edition in force (or revision N), with a `# revision: N` line
plan     prints in plain words what the file would change
apply    puts the file in force, if the edition it was made from (--base, or the file's
         `# revision: N` line) still is in force; else exits with 3 and says what changed
history  lists the last editions (20)
status   prints where the edition is in force, since when, and what is not known

Examples: driftnotch table get --settings operator.yaml > table.csv
          driftnotch table apply --settings operator.yaml table.csv --wait 10s";

const CHECK: &str = "\
Checks settings files (.yaml) and tables (.csv) without starting anything; lists every fault.

Usage: driftnotch check FILE... [--json]
       driftnotch check --fields entry|agent|operator|gateway|loader

A table is checked against the failure domains of the first settings file given with it.
--fields prints the fields of a role with kind, default and range.

Example: driftnotch check examples/operator.yaml examples/table.csv";

const PUBLISH: &str = "\
Puts a file of weights into the origin and its manifest into the object store; prints the version
to write into the table.

Usage: driftnotch publish --settings FILE WEIGHTS [--chunk SIZE] [--json]

Example: driftnotch publish --settings operator.yaml changelog.safetensors";

const STATUS: &str = "\
Shows the entries that answer, their upstreams, and how far each rollout is.

Usage: driftnotch status --settings FILE [--json]

Example: driftnotch status --settings operator.yaml";

const BURN: &str = "\
Shows how much of the error budget of the last six hours is used, and how fast, by failure domain,
row and workspace. A burn of 1 uses the budget up exactly within the six hours.

Usage: driftnotch burn --settings FILE [--json]

Example: driftnotch burn --settings operator.yaml";
