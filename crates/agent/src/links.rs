//! Links to entries of the failure domain.
//!
//! An agent joins two entries, however many there are; these announce it to the others. One task for each link sends
//! heartbeats at the interval that the entry requests, and immediately when something changes, and receives
//! revisions as soon as the entry has them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{Digest, Map, rendezvous};
use log::{debug, info, warn};
use rand::seq::IteratorRandom;
use table::{Patch, PatchError};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use wire::{AgentInfo, AgentSession, Heartbeat, HeartbeatReply, Holding, Link, WireError};

use crate::{Agent, PeersRequest};

/// Log prefix of this part.
const PART: &str = "links";

/// Maximum number of entries that an agent joins.
const MAX_LINKS: usize = 2;

/// Interval between reviews of the links.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which an entry whose link failed is ranked below the others.
const FAILED_LINK_PENALTY: Duration = Duration::from_secs(3);

/// Back-off after a revision that can't be applied.
const INVALID_REVISION_BACK_OFF: Duration = Duration::from_secs(5);

/// Time after which an unreachable entry is removed, unless the settings name it.
const REMOVE_TIME: Duration = Duration::from_secs(60);

type Sessions = Rc<RefCell<Map<SocketAddr, Rc<AgentSession>>>>;
type EntriesTx = mpsc::UnboundedSender<Vec<SocketAddr>>;

/// Maintains links and sends queries for peers over them; never returns. Must be called within a `LocalSet`.
pub async fn maintain(agent: Arc<Agent>, mut requests: mpsc::Receiver<PeersRequest>) {
    let sessions = Sessions::default();
    let mut links = EntryLinks::new(agent.clone(), sessions.clone());
    let mut review = tokio::time::interval(REVIEW_INTERVAL);
    loop {
        tokio::select! {
            _ = review.tick() => links.review(),
            Some(addrs) = links.entries_rx.recv() => links.add_entries(addrs),
            Some(request) = requests.recv() => {
                let session = sessions.borrow().values().cloned().choose(&mut rand::rng());
                tokio::task::spawn_local(request_peers(session, request));
            }
        }
    }
}

/// Entries that an agent knows, and links to some of them.
///
/// Links are to the entries that rank first by rendezvous hash among the reachable ones. This distributes agents evenly
/// over entries, and the addition or removal of an entry moves only its own agents.
struct EntryLinks {
    agent: Arc<Agent>,
    sessions: Sessions,
    known: Map<SocketAddr, Instant>,
    failed: Rc<RefCell<Map<SocketAddr, Instant>>>,
    tasks: Map<SocketAddr, JoinHandle<()>>,
    entries_tx: EntriesTx,
    entries_rx: mpsc::UnboundedReceiver<Vec<SocketAddr>>,
}

impl EntryLinks {
    fn new(agent: Arc<Agent>, sessions: Sessions) -> EntryLinks {
        let (entries_tx, entries_rx) = mpsc::unbounded_channel();
        let now = clock::now();
        EntryLinks {
            known: agent.cfg.entries.iter().map(|addr| (*addr, now)).collect(),
            agent,
            sessions,
            failed: Rc::default(),
            tasks: Map::default(),
            entries_tx,
            entries_rx,
        }
    }

    fn add_entries(&mut self, addrs: Vec<SocketAddr>) {
        let now = clock::now();
        self.known.extend(addrs.into_iter().map(|addr| (addr, now)));
        self.review();
    }

    /// Starts links to the wanted entries, and closes others once all wanted ones are established.
    fn review(&mut self) {
        let wanted = self.wanted();
        let linked = wanted
            .iter()
            .filter(|a| self.sessions.borrow().contains_key(*a));
        let all_linked = linked.count() == wanted.len();
        self.tasks.retain(|addr, task| {
            let keep = !task.is_finished() && (wanted.contains(addr) || !all_linked);
            if !keep {
                task.abort();
                self.sessions.borrow_mut().remove(addr);
            }
            keep
        });
        for addr in wanted {
            self.tasks.entry(addr).or_insert_with(|| {
                let (agent, sessions) = (self.agent.clone(), self.sessions.clone());
                let (failed, entries_tx) = (self.failed.clone(), self.entries_tx.clone());
                tokio::task::spawn_local(async move {
                    let result = run_link(&agent, addr, &sessions, &entries_tx).await;
                    sessions.borrow_mut().remove(&addr);
                    failed.borrow_mut().insert(addr, clock::now());
                    if let Err(e) = result {
                        debug!(target: PART, "{PART}: link to entry {addr} failed: {e}");
                    }
                })
            });
        }
    }

    /// Returns the entries that rank first by rendezvous hash, with those that failed recently ranked last.
    fn wanted(&mut self) -> Vec<SocketAddr> {
        let settings = &self.agent.cfg.entries;
        let failed = self.failed.borrow();
        self.known.retain(|addr, last_seen| {
            let failing = failed.get(addr).is_some_and(|at| at > last_seen);
            settings.contains(addr) || !failing || clock::since(*last_seen) < REMOVE_TIME
        });
        let vm = &self.agent.cfg.process.vm;
        let mut ranked: Vec<(bool, Digest, SocketAddr)> = self
            .known
            .keys()
            .map(|addr| {
                let failing = failed
                    .get(addr)
                    .is_some_and(|at| clock::since(*at) < FAILED_LINK_PENALTY);
                let linked = self.sessions.borrow().contains_key(addr);
                (failing && !linked, rank(vm, addr), *addr)
            })
            .collect();
        ranked.sort_unstable();
        let best = ranked.into_iter().map(|(_, _, addr)| addr);
        best.take(MAX_LINKS).collect()
    }
}

fn rank(vm: &str, addr: &SocketAddr) -> Digest {
    rendezvous::rank(format!("{vm} ").as_bytes(), &addr.to_string())
}

async fn request_peers(session: Option<Rc<AgentSession>>, request: PeersRequest) {
    let Some(session) = session else {
        return;
    };
    if let Ok(peers) = session.peers(&request.version).await {
        let _ = request.tx.send(peers);
    }
}

/// Connects to an entry and runs the link until it fails.
async fn run_link(
    agent: &Arc<Agent>,
    addr: SocketAddr,
    sessions: &Sessions,
    entries_tx: &EntriesTx,
) -> Result<(), WireError> {
    let link = Link::connect(addr, agent.cfg.process.source, &agent.traffic).await?;
    let session = Rc::new(link.join(&agent_info(agent)).await?);
    info!(target: PART, "{PART}: joined entry {addr}");
    sessions.borrow_mut().insert(addr, session.clone());
    let watcher = watch(agent, &session);
    tokio::pin!(watcher);
    let mut holdings = agent.holdings.subscribe();
    let mut leaving = agent.watch_leaving();
    let mut entries_seen = 0;
    let mut last_sent = None;
    loop {
        let reply = send_heartbeat(agent, &session, entries_seen, &mut last_sent).await?;
        let view = agent.active_table.current();
        if reply.freshness.revision < view.edition.revision {
            // The entry may have restarted. A revision survives as long as any process has it.
            session.offer(&view.edition).await?;
        }
        if reply.entries_seen != entries_seen {
            let _ = entries_tx.send(reply.entries.clone());
            entries_seen = reply.entries_seen;
        }
        let next = tokio::time::sleep(reply.interval);
        tokio::select! {
            result = &mut watcher => return result,
            _ = next => {}
            Ok(()) = holdings.changed() => {}
            Ok(()) = leaving.changed() => {}
        }
    }
}

/// Sends a heartbeat. It contains the holdings only if they differ from `last_sent`.
async fn send_heartbeat(
    agent: &Agent,
    session: &AgentSession,
    entries_seen: u64,
    last_sent: &mut Option<Vec<Holding>>,
) -> Result<HeartbeatReply, WireError> {
    let sent_at = clock::now();
    let holdings = agent.holdings.borrow().clone();
    let same_holdings = last_sent.as_ref() == Some(&holdings);
    *last_sent = Some(holdings.clone());
    let heartbeat = Heartbeat {
        revision: agent.active_table.revision(),
        running: agent.gate.running(),
        leaving: agent.is_leaving(),
        holdings: if same_holdings { Vec::new() } else { holdings },
        entries_seen,
        same_holdings,
    };
    let reply = session.heartbeat(&heartbeat).await?;
    let age = reply.freshness.age;
    if let Some(confirmed) = sent_at
        .checked_sub(age)
        .filter(|_| age < wire::NEVER_CONFIRMED)
    {
        agent
            .active_table
            .confirm(reply.freshness.revision, confirmed);
    }
    if reply.leaving && !agent.is_leaving() {
        info!(target: PART, "{PART}: the platform lists this VM as leaving; no new requests are admitted");
        agent.start_leaving();
    }
    Ok(reply)
}

async fn watch(agent: &Agent, session: &AgentSession) -> Result<(), WireError> {
    loop {
        let patch = session.watch(agent.active_table.revision()).await?;
        if apply(agent, patch).await == PatchOutcome::UnknownBase {
            let full = session.watch(0).await?;
            apply(agent, full).await;
        }
    }
}

/// Outcome of a patch; `Handled` includes a patch that was rejected as faulty.
#[derive(Debug, PartialEq, Eq)]
enum PatchOutcome {
    Handled,
    UnknownBase,
}

async fn apply(agent: &Agent, patch: Patch) -> PatchOutcome {
    let revision = patch.revision;
    match agent.active_table.apply_patch(patch) {
        Ok(true) => info!(target: PART, "{PART}: revision {revision} is in force"),
        Ok(false) => {}
        Err(PatchError::UnknownBase) => return PatchOutcome::UnknownBase,
        Err(PatchError::Faults(faults)) => {
            let first = faults.first().map(ToString::to_string).unwrap_or_default();
            warn!(target: PART, "{PART}: revision {revision} can't be applied ({first}); give all VMs the same domains");
            tokio::time::sleep(INVALID_REVISION_BACK_OFF).await;
        }
    }
    PatchOutcome::Handled
}

fn agent_info(agent: &Agent) -> AgentInfo {
    AgentInfo {
        vm: agent.cfg.process.vm.clone(),
        domain: agent.cfg.process.domain.clone(),
        incarnation: agent.incarnation,
        listen: agent.cfg.advertised_listen(),
        peer: agent.cfg.advertised_peer(),
        service: !agent.cfg.is_engine(),
        repeatable: agent.cfg.repeatable,
    }
}
