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
use crate::membership::control::own_update;

/// Log prefix of this part.
const PART: &str = "links";

/// Links kept to each other failure domain.
const LINKS_PER_REMOTE_DOMAIN: usize = 2;

/// Links on which editions are waited for.
const MAX_WATCHED_LINKS: usize = 6;

/// Shortest time between two exchanges of notes on a link.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two looks at which links are wanted.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// First and longest pause before a broken link is made again.
const BACKOFF: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(5)];

/// Bytes one exchange of notes costs on the link; docs/CAPACITY.md has the figures.
const EXCHANGE_BYTES: u64 = 1500;

/// Addresses of entries this one has heard of.
#[derive(Debug, Default)]
pub struct AddressBook {
    own: Option<SocketAddr>,
    known: Mutex<Set<SocketAddr>>,
}

impl AddressBook {
    /// A book with the addresses of the settings.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr]) -> AddressBook {
        let address_book = AddressBook {
            own: Some(own),
            known: Mutex::default(),
        };
        address_book.add(seeds);
        address_book
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

type OpenLinks = Rc<RefCell<Map<SocketAddr, Rc<Link>>>>;

/// Keeps the wanted links for as long as the process runs; call within a `LocalSet`.
pub async fn maintain_links(entry: Arc<Entry>, mut jobs: mpsc::Receiver<ClaimJob>) {
    let open_links = OpenLinks::default();
    let mut tasks: Map<SocketAddr, JoinHandle<()>> = Map::default();
    let mut review = tokio::time::interval(REVIEW_INTERVAL);
    loop {
        tokio::select! {
            _ = review.tick() => {
                entry.fleet.expire();
                update_links(&entry, &open_links, &mut tasks);
            }
            Some(job) = jobs.recv() => drop(tokio::task::spawn_local(forward_claims(entry.clone(), open_links.clone(), job))),
        }
    }
}

fn update_links(
    entry: &Arc<Entry>,
    open_links: &OpenLinks,
    tasks: &mut Map<SocketAddr, JoinHandle<()>>,
) {
    let wanted = wanted_links(entry);
    tasks.retain(|addr, task| {
        let keep = wanted.contains(addr);
        if !keep {
            task.abort();
            open_links.borrow_mut().remove(addr);
        }
        keep
    });
    for addr in wanted {
        tasks.entry(addr).or_insert_with(|| {
            tokio::task::spawn_local(maintain_link(entry.clone(), addr, open_links.clone()))
        });
    }
}

/// Addresses to link to: unknown ones, to learn who they are; all of the own domain; of each
/// other domain the few that rank highest.
fn wanted_links(entry: &Entry) -> Set<SocketAddr> {
    let known_domains: Map<SocketAddr, DomainName> = entry
        .fleet
        .entries()
        .into_iter()
        .map(|e| (e.update.control, e.update.domain))
        .collect();
    let mut wanted = Set::default();
    let mut remote: Map<&DomainName, Vec<SocketAddr>> = Map::default();
    for addr in entry.address_book.all() {
        match known_domains.get(&addr) {
            Some(domain) if *domain != entry.cfg.upkeep.domain => {
                remote.entry(domain).or_default().push(addr);
            }
            _ => drop(wanted.insert(addr)),
        }
    }
    for mut addrs in remote.into_values() {
        addrs.sort_by_key(|addr| rank(&entry.cfg.upkeep.vm, addr));
        wanted.extend(addrs.into_iter().take(LINKS_PER_REMOTE_DOMAIN));
    }
    wanted
}

fn rank(vm: &str, addr: &SocketAddr) -> Digest {
    rendezvous::rank(format!("{vm} ").as_bytes(), &addr.to_string())
}

async fn maintain_link(entry: Arc<Entry>, addr: SocketAddr, open_links: OpenLinks) {
    let [mut pause, max_pause] = BACKOFF;
    loop {
        let attempted_at = clock::now();
        match run_link(&entry, addr, &open_links).await {
            Ok(()) => {}
            Err(e) => debug!(target: PART, "{PART}: link to entry {addr} ended: {e}"),
        }
        open_links.borrow_mut().remove(&addr);
        if clock::since(attempted_at) > max_pause {
            pause = BACKOFF[0];
        }
        let jitter = rand::random::<f64>() + 0.5;
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        pause = (pause * 2).min(max_pause);
    }
}

/// Uses a link until it breaks.
async fn run_link(
    entry: &Arc<Entry>,
    addr: SocketAddr,
    open_links: &OpenLinks,
) -> Result<(), WireError> {
    let link = Rc::new(Link::connect(addr, entry.cfg.upkeep.source, &entry.control_traffic).await?);
    let to = exchange(entry, &link, None).await?;
    info!(target: PART, "{PART}: linked to entry {addr} in {to}");
    open_links.borrow_mut().insert(addr, link.clone());
    let watched_link = link.clone();
    let watcher = watch(entry, &watched_link, addr);
    tokio::pin!(watcher);
    let mut changes = match to == entry.cfg.upkeep.domain {
        true => entry.fleet.watch_joined(),
        false => entry.fleet.watch_domain(),
    };
    loop {
        let round = async {
            exchange(entry, &link, Some((&to, addr))).await?;
            tokio::time::sleep(MIN_EXCHANGE_INTERVAL).await;
            // Woken early or not, the next round tells what changed.
            let _ = tokio::time::timeout(exchange_interval(entry), changes.changed()).await;
            Ok::<_, WireError>(())
        };
        tokio::select! {
            result = &mut watcher => return result,
            result = round => result?,
        }
    }
}

/// Exchanges notes; returns the other's failure domain.
async fn exchange(
    entry: &Arc<Entry>,
    link: &Link,
    to: Option<(&DomainName, SocketAddr)>,
) -> Result<DomainName, WireError> {
    let requested_at = clock::now();
    let own = match to {
        Some((domain, addr)) => own_update(entry, domain, Some(addr)),
        None => own_update(entry, "", None),
    };
    let update = link.exchange(&own).await?;
    entry.address_book.add(&update.entries);
    let fresh = update.freshness;
    if let Some(confirmed) = requested_at
        .checked_sub(fresh.age)
        .filter(|_| fresh.age < wire::NEVER_CONFIRMED)
    {
        entry.active_table.confirm(fresh.revision, confirmed);
    }
    let domain = update.domain.clone();
    entry
        .fleet
        .apply_update(update, entry.lease(), exchange_interval(entry));
    let view = entry.active_table.current();
    match fresh.revision {
        peer_revision if peer_revision < view.edition.revision => link.offer(&view.edition).await?,
        peer_revision if peer_revision > view.edition.revision => fetch(entry, link).await?,
        _ => {}
    }
    Ok(domain)
}

/// Waits for editions, if the link is among the few on which that is done.
async fn watch(entry: &Arc<Entry>, link: &Link, addr: SocketAddr) -> Result<(), WireError> {
    loop {
        match is_watched(entry, addr) {
            true => fetch(entry, link).await?,
            false => tokio::time::sleep(REVIEW_INTERVAL).await,
        }
    }
}

fn is_watched(entry: &Entry, addr: SocketAddr) -> bool {
    let vm = &entry.cfg.upkeep.vm;
    let own = rank(vm, &addr);
    let others = entry.fleet.entries();
    let ranked_before = others.iter().filter(|e| rank(vm, &e.update.control) < own);
    ranked_before.count() < MAX_WATCHED_LINKS
}

/// Takes the next edition from the other; all of it where what changed doesn't fit.
async fn fetch(entry: &Arc<Entry>, link: &Link) -> Result<(), WireError> {
    let patch = link.watch(entry.active_table.revision()).await?;
    if !apply_patch(entry, patch) {
        apply_patch(entry, link.watch(0).await?);
    }
    Ok(())
}

/// Takes an edition if it is newer, whoever brought it; `false` where its base isn't known here.
pub fn apply_patch(entry: &Entry, patch: Patch) -> bool {
    let (revision, author) = (patch.revision, patch.author.clone());
    match entry.active_table.apply_patch(patch) {
        Ok(true) => info!(target: PART, "{PART}: revision {revision} by {author} is in force"),
        Ok(false) => {}
        Err(PatchError::UnknownBase) => return false,
        Err(PatchError::Faults(faults)) => log_mismatch(revision, &faults),
    }
    true
}

fn log_mismatch(revision: Revision, faults: &[Fault]) {
    let first = faults.first().map(ToString::to_string).unwrap_or_default();
    warn!(target: PART, "{PART}: revision {revision} doesn't fit this deployment ({first}); give all VMs the same domains");
}

/// Takes an edition if it is newer, whoever brought it.
pub fn apply_edition(entry: &Entry, edition: Edition) {
    let (revision, author) = (edition.revision, edition.author.clone());
    match entry.active_table.offer(edition) {
        Ok(true) => info!(target: PART, "{PART}: revision {revision} by {author} is in force"),
        Ok(false) => {}
        Err(faults) => log_mismatch(revision, &faults),
    }
}

/// Time between two exchanges of notes: longer the more links there are, so that all of them
/// together stay within half of the control budget.
pub fn exchange_interval(entry: &Entry) -> Duration {
    let links = entry.fleet.entries().len() as u64;
    let cost = Duration::from_millis(links * EXCHANGE_BYTES * 2000 / entry.cfg.control_budget);
    cost.max(entry.cfg.heartbeat)
}

async fn forward_claims(entry: Arc<Entry>, open_links: OpenLinks, job: ClaimJob) {
    let link = open_links.borrow().get(&job.to).cloned();
    let within = entry.cfg.upkeep.platform.timeout;
    let results = match link {
        Some(link) => link.claim(&job.claims, within).await.ok(),
        None => Some(entry.claims.commit(job.claims.clone()).await),
    };
    let unknown = || vec![ClaimOutcome::Unknown; job.claims.len()];
    let _ = job.tx.send(results.unwrap_or_else(unknown));
}
