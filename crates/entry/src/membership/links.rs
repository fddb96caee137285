//! Links to other entries: all of the own failure domain, a few of each other one.
//!
//! At intervals, and soon after something changes, the two ends exchange notes. Over a few of its
//! links an entry learns of editions as soon as the other has them; over the others by the
//! revision in the notes. Which entries of another domain are linked to, and which links bring
//! editions, is a rendezvous hash, so both spread evenly and stay the same while nobody comes or
//! goes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base::{Digest, DomainName, Map, Revision, Set, rendezvous};
use log::{debug, info, warn};
use rand::seq::IteratorRandom;
use table::{Edition, Fault, Patch, PatchError};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use wire::{Claim, ClaimOutcome, Link, WireError};

use crate::Entry;
use crate::membership::control::own_note;

/// Log prefix of this part.
const PART: &str = "links";

/// Links kept to each other failure domain.
const LINKS_ABROAD: usize = 2;

/// Links on which editions are waited for.
const WATCHED: usize = 6;

/// Shortest time between two exchanges of notes on a link.
const EXCHANGE_GAP: Duration = Duration::from_millis(100);

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
    pub tx: oneshot::Sender<Vec<ClaimOutcome>>,
}

type Live = Rc<RefCell<Map<SocketAddr, Rc<Link>>>>;

/// Keeps the wanted links for as long as the process runs; call within a `LocalSet`.
pub async fn keep(entry: Arc<Entry>, mut jobs: mpsc::Receiver<ClaimJob>) {
    let live = Live::default();
    let mut tasks: Map<SocketAddr, JoinHandle<()>> = Map::default();
    let mut review = tokio::time::interval(REVIEW);
    loop {
        tokio::select! {
            _ = review.tick() => {
                entry.fleet.expire();
                set_links(&entry, &live, &mut tasks);
            }
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
    rendezvous::rank(format!("{vm} ").as_bytes(), &addr.to_string())
}

async fn keep_link(entry: Arc<Entry>, addr: SocketAddr, live: Live) {
    let [mut pause, longest] = BACKOFF;
    loop {
        let made = clock::now();
        match use_link(&entry, addr, &live).await {
            Ok(()) => {}
            Err(e) => debug!(target: PART, "{PART}: link to entry {addr} ended: {e}"),
        }
        live.borrow_mut().remove(&addr);
        if clock::since(made) > longest {
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
    let to = exchange(entry, &link, None).await?;
    info!(target: PART, "{PART}: linked to entry {addr} in {to}");
    live.borrow_mut().insert(addr, link.clone());
    let watching = link.clone();
    let watcher = watch(entry, &watching, addr);
    tokio::pin!(watcher);
    let mut changes = match to == entry.cfg.upkeep.domain {
        true => entry.fleet.watch_joined(),
        false => entry.fleet.watch_domain(),
    };
    loop {
        let round = async {
            exchange(entry, &link, Some((&to, addr))).await?;
            tokio::time::sleep(EXCHANGE_GAP).await;
            // Woken early or not, the next round tells what changed.
            let _ = tokio::time::timeout(interval(entry), changes.changed()).await;
            Ok::<_, WireError>(())
        };
        tokio::select! {
            ended = &mut watcher => return ended,
            done = round => done?,
        }
    }
}

/// Exchanges notes; returns the other's failure domain.
async fn exchange(
    entry: &Arc<Entry>,
    link: &Link,
    to: Option<(&DomainName, SocketAddr)>,
) -> Result<DomainName, WireError> {
    let asked = clock::now();
    let own = match to {
        Some((domain, addr)) => own_note(entry, domain, Some(addr)),
        None => own_note(entry, "", None),
    };
    let note = link.exchange(&own).await?;
    entry.book.add(&note.entries);
    let fresh = note.freshness;
    if let Some(confirmed) = asked
        .checked_sub(fresh.age)
        .filter(|_| fresh.age < wire::NEVER_CONFIRMED)
    {
        entry.force.confirm(fresh.revision, confirmed);
    }
    let domain = note.domain.clone();
    entry.fleet.heard(note, entry.lease(), interval(entry));
    let view = entry.force.current();
    match fresh.revision {
        theirs if theirs < view.edition.revision => link.offer(&view.edition).await?,
        theirs if theirs > view.edition.revision => fetch(entry, link).await?,
        _ => {}
    }
    Ok(domain)
}

/// Waits for editions, if the link is among the few on which that is done.
async fn watch(entry: &Arc<Entry>, link: &Link, addr: SocketAddr) -> Result<(), WireError> {
    loop {
        match watched(entry, addr) {
            true => fetch(entry, link).await?,
            false => tokio::time::sleep(REVIEW).await,
        }
    }
}

fn watched(entry: &Entry, addr: SocketAddr) -> bool {
    let vm = &entry.cfg.upkeep.vm;
    let own = rank(vm, &addr);
    let others = entry.fleet.entries();
    let before = others.iter().filter(|e| rank(vm, &e.note.control) < own);
    before.count() < WATCHED
}

/// Takes the next edition from the other; all of it where what changed doesn't fit.
async fn fetch(entry: &Arc<Entry>, link: &Link) -> Result<(), WireError> {
    let patch = link.watch(entry.force.revision()).await?;
    if !follow(entry, patch) {
        follow(entry, link.watch(0).await?);
    }
    Ok(())
}

/// Takes an edition if it is newer, whoever brought it; `false` where its base isn't known here.
pub fn follow(entry: &Entry, patch: Patch) -> bool {
    let (revision, author) = (patch.revision, patch.author.clone());
    match entry.force.apply_patch(patch) {
        Ok(true) => info!(target: PART, "{PART}: revision {revision} by {author} is in force"),
        Ok(false) => {}
        Err(PatchError::UnknownBase) => return false,
        Err(PatchError::Faults(faults)) => misfit(revision, &faults),
    }
    true
}

fn misfit(revision: Revision, faults: &[Fault]) {
    let first = faults.first().map(ToString::to_string).unwrap_or_default();
    warn!(target: PART, "{PART}: revision {revision} doesn't fit this deployment ({first}); give all VMs the same domains");
}

/// Takes an edition if it is newer, whoever brought it.
pub fn offer(entry: &Entry, edition: Edition) {
    let (revision, author) = (edition.revision, edition.author.clone());
    match entry.force.offer(edition) {
        Ok(true) => info!(target: PART, "{PART}: revision {revision} by {author} is in force"),
        Ok(false) => {}
        Err(faults) => misfit(revision, &faults),
    }
}

/// Time between two exchanges of notes: longer the more links there are, so that all of them
/// together stay within half of the control budget.
pub fn interval(entry: &Entry) -> Duration {
    let links = entry.fleet.entries().len() as u64;
    let cost = Duration::from_millis(links * NOTE_COST * 2000 / entry.cfg.control_budget);
    cost.max(entry.cfg.heartbeat)
}

async fn forward(entry: Arc<Entry>, live: Live, job: ClaimJob) {
    let link = live.borrow().get(&job.to).cloned();
    let within = entry.cfg.upkeep.platform.timeout;
    let results = match link {
        Some(link) => link.claim(&job.claims, within).await.ok(),
        None => Some(entry.claims.commit(job.claims.clone()).await),
    };
    let unknown = || vec![ClaimOutcome::Unknown; job.claims.len()];
    let _ = job.tx.send(results.unwrap_or_else(unknown));
}
