//! Introductions: a process that starts tells a gateway of itself, and learns of gateways of its failure domain.
//!
//! A process knows only a few addresses at its start, those in its settings. If each process read the list from
//! the store and registered itself there, a start of all would queue at the store for seconds. Instead the gateways
//! at these addresses collect introductions and register many processes in one transaction.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base::{Map, VmId};
use beacon::{Member, Role};
use bytes::Bytes;
use hyper::Method;
use log::warn;
use tokio::sync::{Notify, watch};
use web::{Request, Response, full, read_body, text};

/// Log prefix of this part.
const PART: &str = "introduction";

/// Path that processes post themselves to.
pub const PATH: &str = "/introduce";

/// Largest body, in bytes.
const MAX_BODY: usize = 4 << 10;

/// Longest wait for a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Gateways that a process is told of. They are the first by name, so that few processes find themselves first.
const GATEWAYS_TOLD: usize = 8;

/// Longest wait for a first gateway of the asker's failure domain.
const FIRST_WAIT: Duration = Duration::from_millis(50);

/// A process that introduced itself.
#[derive(Debug)]
struct Introduced {
    member: Member,
    is_registered: bool,
}

/// Processes that introduced themselves here.
#[derive(Debug)]
pub struct Introductions {
    /// Processes that are registered, as they are known here.
    listed: watch::Receiver<Vec<Member>>,
    introduced: Mutex<Map<VmId, Introduced>>,
    arrived: watch::Sender<()>,
    pending: Notify,
}

impl Introductions {
    /// None so far.
    pub fn new(listed: watch::Receiver<Vec<Member>>) -> Introductions {
        Introductions {
            listed,
            introduced: Mutex::default(),
            arrived: watch::Sender::default(),
            pending: Notify::new(),
        }
    }

    fn introduced(&self) -> MutexGuard<'_, Map<VmId, Introduced>> {
        self.introduced
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a process, which is to be registered.
    pub fn add(&self, member: Member) {
        let introduced = Introduced {
            member,
            is_registered: false,
        };
        let vm = introduced.member.vm.clone();
        self.introduced().insert(vm, introduced);
        self.arrived.send_replace(());
        self.pending.notify_one();
    }

    /// Waits until a process is to be registered.
    pub async fn wait_for_pending(&self) {
        self.pending.notified().await;
    }

    /// Processes that are to be registered: those that introduced themselves and aren't listed.
    pub fn unregistered(&self, listed: &[Member]) -> Vec<Member> {
        let mut introduced = self.introduced();
        for known in introduced.values_mut().filter(|k| !k.is_registered) {
            known.is_registered = listed.contains(&known.member);
        }
        let missing = introduced.values().filter(|known| !known.is_registered);
        missing.map(|known| known.member.clone()).collect()
    }

    /// Notes that processes were registered.
    pub fn mark_registered(&self, members: &[Member]) {
        let mut introduced = self.introduced();
        for member in members {
            match introduced.get_mut(&member.vm) {
                Some(known) if known.member == *member => known.is_registered = true,
                _ => {}
            }
        }
    }

    /// Gateways of the process's failure domain, but itself; the first by name.
    pub fn nearby_gateways(&self, process: &Member) -> Vec<Member> {
        let is_near = |m: &&Member| {
            m.role == Role::Gateway && m.domain == process.domain && m.vm != process.vm
        };
        let mut near: Map<VmId, Member> = Map::default();
        let listed = self.listed.borrow();
        near.extend(
            listed
                .iter()
                .filter(is_near)
                .map(|m| (m.vm.clone(), m.clone())),
        );
        let introduced = self.introduced();
        let members = introduced.values().map(|known| &known.member);
        near.extend(members.filter(is_near).map(|m| (m.vm.clone(), m.clone())));
        let mut near: Vec<Member> = near.into_values().collect();
        near.sort_by(|a, b| a.vm.cmp(&b.vm));
        near.truncate(GATEWAYS_TOLD);
        near
    }

    /// Answers `POST /introduce`, whose body is a [`Member`], with a list of gateways; both in postcard.
    pub async fn serve(&self, req: Request) -> Response {
        if req.method() != Method::POST {
            return text(405, "post a process\n");
        }
        let body = match read_body(req.into_body(), MAX_BODY, BODY_TIMEOUT).await {
            Ok(body) => body,
            Err(e) => return text(400, format!("{e}\n")),
        };
        let member: Member = match postcard::from_bytes(&body) {
            Ok(member) => member,
            Err(e) => {
                warn!(target: PART, "{PART}: event=not_decoded why=\"{e}\"");
                return text(400, format!("the body is no process: {e}\n"));
            }
        };
        self.add(member.clone());
        match postcard::to_stdvec(&self.first_near(&member).await) {
            Ok(buf) => Response::new(full(Bytes::from(buf))),
            Err(e) => text(500, format!("the list can't be encoded: {e}\n")),
        }
    }

    /// Waits a moment for a gateway of the process's failure domain, should none be known yet.
    async fn first_near(&self, process: &Member) -> Vec<Member> {
        let mut arrived = self.arrived.subscribe();
        let known = async {
            loop {
                let near = self.nearby_gateways(process);
                if !near.is_empty() || arrived.changed().await.is_err() {
                    return near;
                }
            }
        };
        let known = tokio::time::timeout(FIRST_WAIT, known).await;
        known.unwrap_or_default()
    }
}
