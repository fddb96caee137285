//! Links to the entries of the failure domain.
//!
//! One task for each entry: it joins, sends heartbeats at the interval the entry asks for and at
//! once when something changes, and takes editions as soon as the entry has them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::Map;
use log::{debug, info, warn};
use rand::seq::IteratorRandom;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use wire::{AgentInfo, Beat, BeatReply, Link, SeatLink, WireError};

use crate::{Agent, PeersJob};

/// Log prefix of this part.
const PART: &str = "links";

/// First and longest pause before a broken link is made again.
const BACKOFF: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];

/// An entry that can't be linked to for this long is forgotten, unless the settings name it.
const FORGET: Duration = Duration::from_secs(60);

type Live = Rc<RefCell<Map<SocketAddr, Rc<SeatLink>>>>;
type Learnt = mpsc::UnboundedSender<Vec<SocketAddr>>;

/// Keeps links for as long as the process runs; call within a `LocalSet`.
pub async fn keep(agent: Arc<Agent>, mut jobs: mpsc::Receiver<PeersJob>) {
    let live = Live::default();
    let mut tasks: Map<SocketAddr, JoinHandle<()>> = Map::default();
    let (learnt_tx, mut learnt) = mpsc::unbounded_channel();
    let _ = learnt_tx.send(agent.cfg.entries.clone());
    loop {
        tokio::select! {
            Some(addrs) = learnt.recv() => {
                tasks.retain(|_, task| !task.is_finished());
                for addr in addrs {
                    tasks.entry(addr).or_insert_with(|| {
                        let link = keep_link(agent.clone(), addr, live.clone(), learnt_tx.clone());
                        tokio::task::spawn_local(link)
                    });
                }
            }
            Some(job) = jobs.recv() => {
                let seat = live.borrow().values().cloned().choose(&mut rand::rng());
                tokio::task::spawn_local(ask_peers(seat, job));
            }
        }
    }
}

async fn ask_peers(seat: Option<Rc<SeatLink>>, job: PeersJob) {
    let Some(seat) = seat else {
        return;
    };
    if let Ok(peers) = seat.peers(&job.version).await {
        let _ = job.tx.send(peers);
    }
}

async fn keep_link(agent: Arc<Agent>, addr: SocketAddr, live: Live, learnt: Learnt) {
    let [first, longest] = BACKOFF;
    let mut pause = first;
    let mut last_up = Instant::now();
    while last_up.elapsed() < FORGET || agent.cfg.entries.contains(&addr) {
        let linked = use_link(&agent, addr, &live, &learnt).await;
        if live.borrow_mut().remove(&addr).is_some() {
            last_up = Instant::now();
            pause = first;
        }
        if let Err(e) = linked {
            debug!(target: PART, "{PART}: link to entry {addr} ended: {e}");
        }
        let jitter = rand::random::<f64>() + 0.5;
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        pause = (pause * 2).min(longest);
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
    loop {
        let reply = beat(agent, &seat, seen).await?;
        let view = agent.force.view();
        if reply.fresh.revision < view.edition.revision {
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

async fn beat(agent: &Agent, seat: &SeatLink, entries_seen: u64) -> Result<BeatReply, WireError> {
    let asked = Instant::now();
    let beat = Beat {
        revision: agent.force.revision(),
        running: agent.gate.running(),
        leaving: agent.leaving(),
        holdings: agent.holdings.borrow().clone(),
        entries_seen,
    };
    let reply = seat.beat(&beat).await?;
    let age = reply.fresh.age;
    if let Some(confirmed) = asked.checked_sub(age).filter(|_| age < wire::NEVER) {
        agent.force.confirm(reply.fresh.revision, confirmed);
    }
    if reply.leaving && !agent.leaving() {
        info!(target: PART, "{PART}: the platform lists this VM as leaving; no new requests are taken");
        agent.leave();
    }
    Ok(reply)
}

async fn watch(agent: &Agent, seat: &SeatLink) -> Result<(), WireError> {
    loop {
        let edition = seat.watch(agent.force.revision()).await?;
        let revision = edition.revision;
        match agent.force.offer(edition) {
            Ok(true) => info!(target: PART, "{PART}: revision {revision} is in force"),
            Ok(false) => {}
            Err(faults) => {
                let first = faults.first().map(ToString::to_string).unwrap_or_default();
                warn!(target: PART, "{PART}: revision {revision} doesn't fit ({first}); give all VMs the same domains");
                tokio::time::sleep(BACKOFF[1]).await;
            }
        }
    }
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
