//! Links to other entries: to all of the own failure domain, and to a few of each other domain.
//!
//! The two ends of a link exchange updates at intervals, and soon after a change. On a few of its
//! links an entry waits for editions and receives each as soon as the peer has it; on the others it
//! learns of them by the revision in the updates. A rendezvous hash chooses the linked entries of
//! another domain and the links on which editions are awaited; both are spread evenly and stable
//! while membership doesn't change.

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

/// Number of links to each other failure domain.
const LINKS_PER_REMOTE_DOMAIN: usize = 2;

/// Maximum number of links on which editions are awaited.
const MAX_WATCHED_LINKS: usize = 6;

/// Minimum time between two exchanges of updates on a link.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the set of links is updated.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Initial and maximum back-off before a broken link is reconnected.
const BACKOFF: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(5)];

/// Bytes of an exchange of updates on the link; docs/CAPACITY.md lists the figures.
const EXCHANGE_BYTES: u64 = 1500;

/// Known addresses of other entries.
#[derive(Debug, Default)]
pub struct AddressBook {
    own: Option<SocketAddr>,
    known: Mutex<Set<SocketAddr>>,
}

impl AddressBook {
    /// Creates an address book with the seeds of the settings.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr]) -> AddressBook {
        let address_book = AddressBook {
            own: Some(own),
            known: Mutex::default(),
        };
        address_book.add(seeds);
        address_book
    }

    /// Adds addresses, except the own one.
    pub fn add<'a>(&self, addrs: impl IntoIterator<Item = &'a SocketAddr>) {
        let addrs = addrs.into_iter().copied();
        self.lock().extend(addrs.filter(|a| Some(*a) != self.own));
    }

    /// Returns a random sample of `n` addresses.
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

/// Batch of claims for another entry to write.
#[derive(Debug)]
pub struct ClaimJob {
    /// Address of the entry.
    pub to: SocketAddr,
    /// Claims.
    pub claims: Vec<Claim>,
    /// Sender of the outcomes.
    pub tx: oneshot::Sender<Vec<ClaimOutcome>>,
}

type OpenLinks = Rc<RefCell<Map<SocketAddr, Rc<Link>>>>;

/// Maintains the links for as long as the process runs. Must run in a `LocalSet`.
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

/// Returns the addresses to link to: those of unknown entries, to learn their failure domain; all
/// of the own domain; of each other domain the few that rank first.
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
            Some(domain) if *domain != entry.cfg.process.domain => {
                remote.entry(domain).or_default().push(addr);
            }
            _ => drop(wanted.insert(addr)),
        }
    }
    for mut addrs in remote.into_values() {
        addrs.sort_by_key(|addr| rank(&entry.cfg.process.vm, addr));
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
            Err(e) => debug!(target: PART, "{PART}: link to entry {addr} closed: {e}"),
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

/// Runs a link until it breaks.
async fn run_link(
    entry: &Arc<Entry>,
    addr: SocketAddr,
    open_links: &OpenLinks,
) -> Result<(), WireError> {
    let link =
        Rc::new(Link::connect(addr, entry.cfg.process.source, &entry.control_traffic).await?);
    let to = exchange(entry, &link, None).await?;
    info!(target: PART, "{PART}: linked to entry {addr} in {to}");
    open_links.borrow_mut().insert(addr, link.clone());
    let watched_link = link.clone();
    let watcher = watch(entry, &watched_link, addr);
    tokio::pin!(watcher);
    let mut changes = match to == entry.cfg.process.domain {
        true => entry.fleet.watch_joined(),
        false => entry.fleet.watch_domain(),
    };
    loop {
        let round = async {
            exchange(entry, &link, Some((&to, addr))).await?;
            tokio::time::sleep(MIN_EXCHANGE_INTERVAL).await;
            // Whether a change or the interval ends the wait, the next round sends what changed.
            let _ = tokio::time::timeout(exchange_interval(entry), changes.changed()).await;
            Ok::<_, WireError>(())
        };
        tokio::select! {
            result = &mut watcher => return result,
            result = round => result?,
        }
    }
}

/// Exchanges updates; returns the peer's failure domain.
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
    let freshness = update.freshness;
    if let Some(confirmed) = requested_at
        .checked_sub(freshness.age)
        .filter(|_| freshness.age < wire::NEVER_CONFIRMED)
    {
        entry.active_table.confirm(freshness.revision, confirmed);
    }
    let domain = update.domain.clone();
    entry
        .fleet
        .apply_update(update, entry.lease(), exchange_interval(entry));
    let active = entry.active_table.current();
    match freshness.revision {
        peer_revision if peer_revision < active.edition.revision => {
            link.offer(&active.edition).await?
        }
        peer_revision if peer_revision > active.edition.revision => fetch(entry, link).await?,
        _ => {}
    }
    Ok(domain)
}

/// Awaits editions while the link is among those on which they are awaited.
async fn watch(entry: &Arc<Entry>, link: &Link, addr: SocketAddr) -> Result<(), WireError> {
    loop {
        match is_watched(entry, addr) {
            true => fetch(entry, link).await?,
            false => tokio::time::sleep(REVIEW_INTERVAL).await,
        }
    }
}

fn is_watched(entry: &Entry, addr: SocketAddr) -> bool {
    let vm = &entry.cfg.process.vm;
    let own = rank(vm, &addr);
    let others = entry.fleet.entries();
    let ranked_before = others.iter().filter(|e| rank(vm, &e.update.control) < own);
    ranked_before.count() < MAX_WATCHED_LINKS
}

/// Fetches the next edition from the peer; the full edition if the patch doesn't apply.
async fn fetch(entry: &Arc<Entry>, link: &Link) -> Result<(), WireError> {
    let patch = link.watch(entry.active_table.revision()).await?;
    if !apply_patch(entry, patch) {
        apply_patch(entry, link.watch(0).await?);
    }
    Ok(())
}

/// Applies a patch if its edition is newer; returns `false` if its base isn't known here.
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
    warn!(target: PART, "{PART}: revision {revision} is not valid in this deployment ({first}); give all VMs the same domains");
}

/// Applies an edition if it is newer.
pub fn apply_edition(entry: &Entry, edition: Edition) {
    let (revision, author) = (edition.revision, edition.author.clone());
    match entry.active_table.offer(edition) {
        Ok(true) => info!(target: PART, "{PART}: revision {revision} by {author} is in force"),
        Ok(false) => {}
        Err(faults) => log_mismatch(revision, &faults),
    }
}

/// Returns the interval of the exchanges on a link. It grows with the number of links, to keep the
/// exchanges on all of them within half of the control budget.
pub fn exchange_interval(entry: &Entry) -> Duration {
    let links = entry.fleet.entries().len() as u64;
    let cost = Duration::from_millis(links * EXCHANGE_BYTES * 2000 / entry.cfg.control_budget);
    cost.max(entry.cfg.heartbeat)
}

async fn forward_claims(entry: Arc<Entry>, open_links: OpenLinks, job: ClaimJob) {
    let link = open_links.borrow().get(&job.to).cloned();
    let timeout = entry.cfg.process.platform.timeout;
    let results = match link {
        Some(link) => link.claim(&job.claims, timeout).await.ok(),
        None => Some(entry.claims.commit(job.claims.clone()).await),
    };
    let unknown = || vec![ClaimOutcome::Unknown; job.claims.len()];
    let _ = job.tx.send(results.unwrap_or_else(unknown));
}
