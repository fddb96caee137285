//! Introductions: a process that starts announces itself to a gateway and learns the gateways of its failure domain.
//!
//! At its start a process knows only a few addresses, those in its settings. If each process read the list from the
//! store and registered itself there, a simultaneous start of all processes would queue at the store for seconds.
//! Instead, the gateways at these addresses collect introductions and register many processes in one transaction.

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

/// Path of introductions.
pub const PATH: &str = "/introduce";

/// Largest body, in bytes.
const MAX_BODY: usize = 4 << 10;

/// Timeout for reading a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of gateways in a response. They are the first by name, so that few processes rank themselves first.
const MAX_GATEWAYS: usize = 8;

/// Maximum wait for a first gateway of the process's failure domain.
const FIRST_GATEWAY_WAIT: Duration = Duration::from_millis(50);

/// Introduction of a process.
#[derive(Debug)]
struct Introduction {
    member: Member,
    is_registered: bool,
}

/// Processes that introduced themselves here.
#[derive(Debug)]
pub struct Introductions {
    /// Registered processes, as known to this gateway.
    listed: watch::Receiver<Vec<Member>>,
    introduced: Mutex<Map<VmId, Introduction>>,
    arrived: watch::Sender<()>,
    pending: Notify,
}

impl Introductions {
    /// Creates an empty collection.
    pub fn new(listed: watch::Receiver<Vec<Member>>) -> Introductions {
        Introductions {
            listed,
            introduced: Mutex::default(),
            arrived: watch::Sender::default(),
            pending: Notify::new(),
        }
    }

    fn introduced(&self) -> MutexGuard<'_, Map<VmId, Introduction>> {
        self.introduced
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a process that has to be registered.
    pub fn add(&self, member: Member) {
        let introduced = Introduction {
            member,
            is_registered: false,
        };
        let vm = introduced.member.vm.clone();
        self.introduced().insert(vm, introduced);
        self.arrived.send_replace(());
        self.pending.notify_one();
    }

    /// Waits until a process has to be registered.
    pub async fn wait_for_pending(&self) {
        self.pending.notified().await;
    }

    /// Returns the processes that have to be registered: those that introduced themselves and aren't listed.
    pub fn unregistered(&self, listed: &[Member]) -> Vec<Member> {
        let mut introduced = self.introduced();
        for known in introduced.values_mut().filter(|k| !k.is_registered) {
            known.is_registered = listed.contains(&known.member);
        }
        let missing = introduced.values().filter(|known| !known.is_registered);
        missing.map(|known| known.member.clone()).collect()
    }

    /// Records that processes were registered.
    pub fn mark_registered(&self, members: &[Member]) {
        let mut introduced = self.introduced();
        for member in members {
            match introduced.get_mut(&member.vm) {
                Some(known) if known.member == *member => known.is_registered = true,
                _ => {}
            }
        }
    }

    /// Returns the first gateways by name of the process's failure domain, without the process itself.
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
        near.truncate(MAX_GATEWAYS);
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
        match postcard::to_stdvec(&self.wait_for_nearby_gateways(&member).await) {
            Ok(buf) => Response::new(full(Bytes::from(buf))),
            Err(e) => text(500, format!("the list can't be encoded: {e}\n")),
        }
    }

    /// Returns the gateways of the process's failure domain; waits up to [`FIRST_GATEWAY_WAIT`] while none is known.
    async fn wait_for_nearby_gateways(&self, process: &Member) -> Vec<Member> {
        let mut arrived = self.arrived.subscribe();
        let known = async {
            loop {
                let near = self.nearby_gateways(process);
                if !near.is_empty() || arrived.changed().await.is_err() {
                    return near;
                }
            }
        };
        let known = tokio::time::timeout(FIRST_GATEWAY_WAIT, known).await;
        known.unwrap_or_default()
    }
}
