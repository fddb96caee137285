//! Sends the demand of this gateway and of its failure domain by datagram.
//!
//! Each gateway sends its demand to the leaders of the failure domain. The first gateway sends the sum to all gateways
//! of its failure domain, and to one of each other, which relays it there. As with loads there is no election, and a
//! lost datagram is replaced by the next one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use beacon::{Beacon, Demand, DemandUpdate, Msg};
use decide::fanout::{FanOut, LEADERS, change_fan_out};

use crate::Cx;
use crate::demand::fit;
use crate::load_updates::near_gateways;
use crate::loads::receiver_per_domain;

/// Time between two updates. Demand is observed over a second, and plans change within seconds.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time between two updates in a large failure domain, where the first gateway sends the sum to more than 16 others.
/// Two updates in a row may be lost before the last one expires.
const LARGE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the start during which a gateway sends no sum: it may not know yet the gateways that precede it, and
/// its sum would lack the demand of others.
const START_TIME: Duration = Duration::from_millis(1000);

/// Sends demand while there are other failure domains.
pub(crate) async fn send_demand(cx: Arc<Cx>, beacon: Beacon) {
    if !cx.cfg.domain_shares {
        return;
    }
    let mut sequence = 0;
    let mut had_demand = false;
    let mut pause = INTERVAL;
    loop {
        tokio::time::sleep(pause).await;
        let far = cx.peers.borrow().far_gateways.clone();
        if far.is_empty() {
            continue;
        }
        let now = clock::now();
        let near = near_gateways(&cx, now);
        pause = match change_fan_out(near.len(), true) {
            FanOut::All => INTERVAL,
            FanOut::Leaders => LARGE_INTERVAL,
        };
        sequence += 1;
        let own = cx.demand.own_demand(now);
        let own_update = update(&cx, sequence, own.clone());
        // A last empty update states that the demand has ended.
        if !own.is_empty() || had_demand {
            let leaders = cx.loads.leaders(&cx.cfg.node.vm, LEADERS, now);
            let to = leaders.iter().filter_map(|vm| near.get(vm)).copied();
            beacon.send(&Msg::Demand(own_update), to);
        }
        had_demand = !own.is_empty();
        let is_first = cx.loads.rank(&cx.cfg.node.vm, now) == 0;
        if is_first && now.saturating_duration_since(cx.started) >= START_TIME {
            let sum = update(&cx, sequence, cx.demand.domain_sum(&own, now));
            cx.demand.apply_domain_update(sum.clone(), now);
            let to = receiver_per_domain(&far, sequence);
            beacon.send(&Msg::DomainDemand(sum.clone()), to);
            beacon.send(&Msg::RelayedDemand(sum), near.into_values());
        }
    }
}

fn update(cx: &Cx, sequence: u64, demands: Vec<Demand>) -> DemandUpdate {
    fit(DemandUpdate {
        from: cx.cfg.node.vm.clone(),
        domain: cx.cfg.node.domain.clone(),
        incarnation: cx.incarnation,
        sequence,
        demands,
    })
}

/// Applies the demand of a gateway of the own failure domain.
pub(crate) fn apply_demand(cx: &Cx, update: DemandUpdate) {
    if update.domain == cx.cfg.node.domain {
        cx.demand.apply_update(update, clock::now());
    }
}

/// Relays the sum of another failure domain to the gateways of the own one, and applies it.
pub(crate) fn relay_demand(cx: &Cx, beacon: &Beacon, update: DemandUpdate) {
    let to: Vec<SocketAddr> = cx.peers.borrow().near_gateways.values().copied().collect();
    beacon.send(&Msg::RelayedDemand(update.clone()), to);
    cx.demand.apply_domain_update(update, clock::now());
}
