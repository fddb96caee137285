//! Links to the entries of the failure domain.
//!
//! An agent joins two entries, whatever their number; they tell the others of it. One task for
//! each of them sends heartbeats at the interval the entry asks for and at once when something
//! changes, and takes editions as soon as the entry has them.

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

/// Entries an agent joins.
const HOMES: usize = 2;

/// Time between two looks at which links are wanted.
const REVIEW: Duration = Duration::from_millis(200);

/// How long an entry whose link failed is tried after the others.
const AVOID: Duration = Duration::from_secs(3);

/// Pause after an edition that doesn't fit.
const MISFIT_PAUSE: Duration = Duration::from_secs(5);

/// An entry that can't be linked to for this long is forgotten, unless the settings name it.
const FORGET: Duration = Duration::from_secs(60);

type Live = Rc<RefCell<Map<SocketAddr, Rc<AgentSession>>>>;
type Learnt = mpsc::UnboundedSender<Vec<SocketAddr>>;

/// Keeps links for as long as the process runs; call within a `LocalSet`.
pub async fn maintain(agent: Arc<Agent>, mut jobs: mpsc::Receiver<PeersRequest>) {
    let live = Live::default();
    let mut homes = Homes::new(agent.clone(), live.clone());
    let mut review = tokio::time::interval(REVIEW);
    loop {
        tokio::select! {
            _ = review.tick() => homes.review(),
            Some(addrs) = homes.learnt.recv() => homes.learn(addrs),
            Some(job) = jobs.recv() => {
                let seat = live.borrow().values().cloned().choose(&mut rand::rng());
                tokio::task::spawn_local(request_peers(seat, job));
            }
        }
    }
}

/// The entries an agent knows, and the few it keeps links to.
///
/// Those are the first by rendezvous hash among the entries that can be linked to, so agents
/// spread evenly over entries, and only those of an entry that goes or comes move.
struct Homes {
    agent: Arc<Agent>,
    live: Live,
    known: Map<SocketAddr, Instant>,
    failed: Rc<RefCell<Map<SocketAddr, Instant>>>,
    tasks: Map<SocketAddr, JoinHandle<()>>,
    learnt_tx: Learnt,
    learnt: mpsc::UnboundedReceiver<Vec<SocketAddr>>,
}

impl Homes {
    fn new(agent: Arc<Agent>, live: Live) -> Homes {
        let (learnt_tx, learnt) = mpsc::unbounded_channel();
        let now = clock::now();
        Homes {
            known: agent.cfg.entries.iter().map(|addr| (*addr, now)).collect(),
            agent,
            live,
            failed: Rc::default(),
            tasks: Map::default(),
            learnt_tx,
            learnt,
        }
    }

    fn learn(&mut self, addrs: Vec<SocketAddr>) {
        let now = clock::now();
        self.known.extend(addrs.into_iter().map(|addr| (addr, now)));
        self.review();
    }

    /// Starts links to the wanted entries, and ends others once the wanted ones are up.
    fn review(&mut self) {
        let wanted = self.wanted();
        let up = wanted
            .iter()
            .filter(|a| self.live.borrow().contains_key(*a));
        let all_up = up.count() == wanted.len();
        self.tasks.retain(|addr, task| {
            let keep = !task.is_finished() && (wanted.contains(addr) || !all_up);
            if !keep {
                task.abort();
                self.live.borrow_mut().remove(addr);
            }
            keep
        });
        for addr in wanted {
            self.tasks.entry(addr).or_insert_with(|| {
                let (agent, live) = (self.agent.clone(), self.live.clone());
                let (failed, learnt) = (self.failed.clone(), self.learnt_tx.clone());
                tokio::task::spawn_local(async move {
                    let linked = use_link(&agent, addr, &live, &learnt).await;
                    live.borrow_mut().remove(&addr);
                    failed.borrow_mut().insert(addr, clock::now());
                    if let Err(e) = linked {
                        debug!(target: PART, "{PART}: link to entry {addr} ended: {e}");
                    }
                })
            });
        }
    }

    /// The first few by rendezvous hash, those that failed of late after the others.
    fn wanted(&mut self) -> Vec<SocketAddr> {
        let settings = &self.agent.cfg.entries;
        let failed = self.failed.borrow();
        self.known.retain(|addr, heard| {
            let failing = failed.get(addr).is_some_and(|at| at > heard);
            settings.contains(addr) || !failing || clock::since(*heard) < FORGET
        });
        let vm = &self.agent.cfg.upkeep.vm;
        let mut ranked: Vec<(bool, Digest, SocketAddr)> = self
            .known
            .keys()
            .map(|addr| {
                let failing = failed.get(addr).is_some_and(|at| clock::since(*at) < AVOID);
                let up = self.live.borrow().contains_key(addr);
                (failing && !up, rank(vm, addr), *addr)
            })
            .collect();
        ranked.sort_unstable();
        let best = ranked.into_iter().map(|(_, _, addr)| addr);
        best.take(HOMES).collect()
    }
}

fn rank(vm: &str, addr: &SocketAddr) -> Digest {
    rendezvous::rank(format!("{vm} ").as_bytes(), &addr.to_string())
}

async fn request_peers(seat: Option<Rc<AgentSession>>, job: PeersRequest) {
    let Some(seat) = seat else {
        return;
    };
    if let Ok(peers) = seat.peers(&job.version).await {
        let _ = job.tx.send(peers);
    }
}

/// Uses a link until it breaks.
async fn use_link(
    agent: &Arc<Agent>,
    addr: SocketAddr,
    live: &Live,
    learnt: &Learnt,
) -> Result<(), WireError> {
    let link = Link::connect(addr, agent.cfg.upkeep.source, &agent.traffic).await?;
    let seat = Rc::new(link.join(&info_of(agent)).await?);
    info!(target: PART, "{PART}: joined entry {addr}");
    live.borrow_mut().insert(addr, seat.clone());
    let watcher = watch(agent, &seat);
    tokio::pin!(watcher);
    let mut holdings = agent.holdings.subscribe();
    let mut leaving = agent.watch_leaving();
    let mut seen = 0;
    let mut told = None;
    loop {
        let reply = beat(agent, &seat, seen, &mut told).await?;
        let view = agent.active_table.current();
        if reply.freshness.revision < view.edition.revision {
            // The entry may have restarted: an edition lasts as long as any process has it.
            seat.offer(&view.edition).await?;
        }
        if reply.entries_seen != seen {
            let _ = learnt.send(reply.entries.clone());
            seen = reply.entries_seen;
        }
        let next = tokio::time::sleep(reply.interval);
        tokio::select! {
            ended = &mut watcher => return ended,
            _ = next => {}
            Ok(()) = holdings.changed() => {}
            Ok(()) = leaving.changed() => {}
        }
    }
}

/// Sends a heartbeat, with the versions if they are not those that were `told` last.
async fn beat(
    agent: &Agent,
    seat: &AgentSession,
    entries_seen: u64,
    told: &mut Option<Vec<Holding>>,
) -> Result<HeartbeatReply, WireError> {
    let asked = clock::now();
    let holdings = agent.holdings.borrow().clone();
    let same_holdings = told.as_ref() == Some(&holdings);
    *told = Some(holdings.clone());
    let beat = Heartbeat {
        revision: agent.active_table.revision(),
        running: agent.gate.running(),
        leaving: agent.is_leaving(),
        holdings: if same_holdings { Vec::new() } else { holdings },
        entries_seen,
        same_holdings,
    };
    let reply = seat.heartbeat(&beat).await?;
    let age = reply.freshness.age;
    if let Some(confirmed) = asked
        .checked_sub(age)
        .filter(|_| age < wire::NEVER_CONFIRMED)
    {
        agent
            .active_table
            .confirm(reply.freshness.revision, confirmed);
    }
    if reply.leaving && !agent.is_leaving() {
        info!(target: PART, "{PART}: the platform lists this VM as leaving; no new requests are taken");
        agent.start_leaving();
    }
    Ok(reply)
}

async fn watch(agent: &Agent, seat: &AgentSession) -> Result<(), WireError> {
    loop {
        let patch = seat.watch(agent.active_table.revision()).await?;
        if follow(agent, patch).await == Followed::NotFrom {
            let whole = seat.watch(0).await?;
            follow(agent, whole).await;
        }
    }
}

/// Whether an edition could be followed.
#[derive(Debug, PartialEq, Eq)]
enum Followed {
    Yes,
    NotFrom,
}

async fn follow(agent: &Agent, patch: Patch) -> Followed {
    let revision = patch.revision;
    match agent.active_table.apply_patch(patch) {
        Ok(true) => info!(target: PART, "{PART}: revision {revision} is in force"),
        Ok(false) => {}
        Err(PatchError::UnknownBase) => return Followed::NotFrom,
        Err(PatchError::Faults(faults)) => {
            let first = faults.first().map(ToString::to_string).unwrap_or_default();
            warn!(target: PART, "{PART}: revision {revision} doesn't fit ({first}); give all VMs the same domains");
            tokio::time::sleep(MISFIT_PAUSE).await;
        }
    }
    Followed::Yes
}

fn info_of(agent: &Agent) -> AgentInfo {
    AgentInfo {
        vm: agent.cfg.upkeep.vm.clone(),
        domain: agent.cfg.upkeep.domain.clone(),
        incarnation: agent.incarnation,
        listen: agent.cfg.listen_reached(),
        peer: agent.cfg.peer_reached(),
        service: !agent.cfg.is_engine(),
        repeatable: agent.cfg.repeatable,
    }
}
