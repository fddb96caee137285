//! Links to other entries: all of the own failure domain, a few of each other one.
//!
//! Over a link an entry learns of editions as soon as the other has them, and at intervals the
//! two exchange notes. Which entries of another domain are linked to is a rendezvous hash, so the
//! links spread evenly and stay the same while nobody comes or goes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base::{Digest, DomainName, Map, Set};
use log::{debug, info, warn};
use rand::seq::IteratorRandom;
use table::Edition;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use wire::{Claim, Claimed, Link, WireError};

use crate::Entry;
use crate::membership::control::own_note;

/// Log prefix of this part.
const PART: &str = "links";

/// Links kept to each other failure domain.
const LINKS_ABROAD: usize = 2;

/// Time between two looks at which links are wanted.
const REVIEW: Duration = Duration::from_millis(500);

/// First and longest pause before a broken link is made again.
const BACKOFF: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(5)];

/// Bytes one exchange of notes costs on the link; docs/CAPACITY.md has the figures.
const NOTE_COST: u64 = 1500;

/// Addresses of entries this one has heard of.
#[derive(Debug, Default)]
pub struct AddressBook {
    own: Option<SocketAddr>,
    known: Mutex<Set<SocketAddr>>,
}

impl AddressBook {
    /// A book with the addresses of the settings.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr]) -> AddressBook {
        let book = AddressBook {
            own: Some(own),
            known: Mutex::default(),
        };
        book.add(seeds);
        book
    }

    /// Adds addresses; the own one is left out.
    pub fn add<'a>(&self, addrs: impl IntoIterator<Item = &'a SocketAddr>) {
        let addrs = addrs.into_iter().copied();
        self.lock().extend(addrs.filter(|a| Some(*a) != self.own));
    }

    /// A random sample.
    pub fn sample(&self, n: usize) -> Vec<SocketAddr> {
        self.lock().iter().copied().sample(&mut rand::rng(), n)
    }

    fn all(&self) -> Vec<SocketAddr> {
        self.lock().iter().copied().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Set<SocketAddr>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Claims for another entry to write.
#[derive(Debug)]
pub struct ClaimJob {
    /// The entry.
    pub to: SocketAddr,
    /// Claims.
    pub claims: Vec<Claim>,
    /// Takes the results.
    pub tx: oneshot::Sender<Vec<Claimed>>,
}

type Live = Rc<RefCell<Map<SocketAddr, Rc<Link>>>>;

/// Keeps the wanted links for as long as the process runs; call within a `LocalSet`.
pub async fn keep(entry: Arc<Entry>, mut jobs: mpsc::Receiver<ClaimJob>) {
    let live = Live::default();
    let mut tasks: Map<SocketAddr, JoinHandle<()>> = Map::default();
    let mut review = tokio::time::interval(REVIEW);
    loop {
        tokio::select! {
            _ = review.tick() => set_links(&entry, &live, &mut tasks),
            Some(job) = jobs.recv() => drop(tokio::task::spawn_local(forward(entry.clone(), live.clone(), job))),
        }
    }
}

fn set_links(entry: &Arc<Entry>, live: &Live, tasks: &mut Map<SocketAddr, JoinHandle<()>>) {
    let wanted = wanted(entry);
    tasks.retain(|addr, task| {
        let keep = wanted.contains(addr);
        if !keep {
            task.abort();
            live.borrow_mut().remove(addr);
        }
        keep
    });
    for addr in wanted {
        tasks.entry(addr).or_insert_with(|| {
            tokio::task::spawn_local(keep_link(entry.clone(), addr, live.clone()))
        });
    }
}

/// Addresses to link to: unknown ones, to learn who they are; all of the own domain; of each
/// other domain the few that rank highest.
fn wanted(entry: &Entry) -> Set<SocketAddr> {
    let heard: Map<SocketAddr, DomainName> = entry
        .fleet
        .entries()
        .into_iter()
        .map(|e| (e.note.control, e.note.domain))
        .collect();
    let mut wanted = Set::default();
    let mut abroad: Map<&DomainName, Vec<SocketAddr>> = Map::default();
    for addr in entry.book.all() {
        match heard.get(&addr) {
            Some(domain) if *domain != entry.cfg.upkeep.domain => {
                abroad.entry(domain).or_default().push(addr);
            }
            _ => drop(wanted.insert(addr)),
        }
    }
    for mut addrs in abroad.into_values() {
        addrs.sort_by_key(|addr| rank(&entry.cfg.upkeep.vm, addr));
        wanted.extend(addrs.into_iter().take(LINKS_ABROAD));
    }
    wanted
}

fn rank(vm: &str, addr: &SocketAddr) -> Digest {
    Digest::of(format!("{vm} {addr}").as_bytes())
}

async fn keep_link(entry: Arc<Entry>, addr: SocketAddr, live: Live) {
    let [mut pause, longest] = BACKOFF;
    loop {
        let made = Instant::now();
        match use_link(&entry, addr, &live).await {
            Ok(()) => {}
            Err(e) => debug!(target: PART, "{PART}: link to entry {addr} ended: {e}"),
        }
        live.borrow_mut().remove(&addr);
        if made.elapsed() > longest {
            pause = BACKOFF[0];
        }
        let jitter = rand::random::<f64>() + 0.5;
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        pause = (pause * 2).min(longest);
    }
}

/// Uses a link until it breaks.
async fn use_link(entry: &Arc<Entry>, addr: SocketAddr, live: &Live) -> Result<(), WireError> {
    let link = Rc::new(Link::connect(addr, entry.cfg.upkeep.source, &entry.traffic).await?);
    let mut to = exchange(entry, &link, "").await?;
    info!(target: PART, "{PART}: linked to entry {addr} in {to}");
    live.borrow_mut().insert(addr, link.clone());
    let watching = link.clone();
    let watcher = watch(entry, &watching);
    tokio::pin!(watcher);
    loop {
        let next = tokio::time::sleep(interval(entry));
        tokio::select! {
            ended = &mut watcher => return ended,
            _ = next => to = exchange(entry, &link, &to).await?,
        }
    }
}

/// Exchanges notes; returns the other's failure domain.
async fn exchange(entry: &Arc<Entry>, link: &Link, to: &str) -> Result<DomainName, WireError> {
    let asked = Instant::now();
    let note = link.exchange(&own_note(entry, to)).await?;
    entry.book.add(&note.entries);
    if let Some(confirmed) = asked
        .checked_sub(note.fresh.age)
        .filter(|_| note.fresh.age < wire::NEVER)
    {
        entry.force.confirm(note.fresh.revision, confirmed);
    }
    let (domain, behind) = (note.domain.clone(), note.fresh.revision);
    entry.fleet.heard(note, entry.lease());
    let view = entry.force.view();
    if behind < view.edition.revision {
        link.offer(&view.edition).await?;
    }
    Ok(domain)
}

async fn watch(entry: &Arc<Entry>, link: &Link) -> Result<(), WireError> {
    loop {
        let edition = link.watch(entry.force.revision()).await?;
        offer(entry, edition);
    }
}

/// Takes an edition if it is newer, whoever brought it.
pub fn offer(entry: &Entry, edition: Edition) {
    let (revision, author) = (edition.revision, edition.author.clone());
    match entry.force.offer(edition) {
        Ok(true) => info!(target: PART, "{PART}: revision {revision} by {author} is in force"),
        Ok(false) => {}
        Err(faults) => {
            let first = faults.first().map(ToString::to_string).unwrap_or_default();
            warn!(target: PART, "{PART}: revision {revision} doesn't fit this deployment ({first}); give all VMs the same domains");
        }
    }
}

fn interval(entry: &Entry) -> Duration {
    let links = entry.fleet.entries().len() as u64;
    let cost = Duration::from_millis(links * NOTE_COST * 1000 / entry.cfg.control_budget);
    cost.max(entry.cfg.heartbeat)
}

async fn forward(entry: Arc<Entry>, live: Live, job: ClaimJob) {
    let link = live.borrow().get(&job.to).cloned();
    let within = entry.cfg.upkeep.platform.timeout;
    let results = match link {
        Some(link) => link.claim(&job.claims, within).await.ok(),
        None => Some(entry.claims.commit(job.claims.clone()).await),
    };
    let unknown = || vec![Claimed::Unknown; job.claims.len()];
    let _ = job.tx.send(results.unwrap_or_else(unknown));
}
