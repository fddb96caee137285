//! Conversion of messages to and from the generated Cap'n Proto code.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use capnp::{struct_list, text, text_list};
use table::{Patch, Version};

use crate::control_capnp as c;
use crate::{
    AgentInfo, AgentStatus, Claim, ClaimOutcome, EntryUpdate, Freshness, Heartbeat, HeartbeatReply,
    Holding, Peer, Replica, Rollout, WireError,
};

type Decoded<T> = Result<T, WireError>;

fn invalid(what: &str) -> WireError {
    WireError::InvalidMessage(what.to_owned())
}

fn read_string(t: text::Reader) -> Decoded<String> {
    Ok(t.to_str()?.to_owned())
}

fn parse_text<T: FromStr>(t: text::Reader, what: &str) -> Decoded<T> {
    t.to_str()?.parse().map_err(|_| invalid(what))
}

fn read_version(t: text::Reader) -> Decoded<Version> {
    Version::parse(t.to_str()?).ok_or_else(|| invalid("version"))
}

fn read_addrs(list: text_list::Reader) -> Decoded<Vec<SocketAddr>> {
    list.iter().map(|t| parse_text(t?, "address")).collect()
}

fn write_addrs(mut list: text_list::Builder, addrs: &[SocketAddr]) {
    for (i, addr) in addrs.iter().enumerate() {
        list.set(i as u32, addr.to_string().as_str());
    }
}

/// Reads the description of an agent.
pub fn read_info(r: c::agent_info::Reader) -> Decoded<AgentInfo> {
    Ok(AgentInfo {
        vm: read_string(r.get_vm()?)?,
        domain: read_string(r.get_domain()?)?,
        incarnation: r.get_incarnation(),
        listen: parse_text(r.get_listen()?, "address")?,
        peer: parse_text(r.get_peer()?, "address")?,
        service: r.get_service(),
        repeatable: r.get_repeatable(),
    })
}

/// Writes the description of an agent.
pub fn write_info(mut b: c::agent_info::Builder, info: &AgentInfo) {
    b.set_vm(info.vm.as_str());
    b.set_domain(info.domain.as_str());
    b.set_incarnation(info.incarnation);
    b.set_listen(info.listen.to_string().as_str());
    b.set_peer(info.peer.to_string().as_str());
    b.set_service(info.service);
    b.set_repeatable(info.repeatable);
}

/// Reads a heartbeat.
pub fn read_heartbeat(r: c::beat::Reader) -> Decoded<Heartbeat> {
    let holdings = r.get_holdings()?.iter().map(|h| {
        Ok(Holding {
            model: read_string(h.get_model()?)?,
            version: read_version(h.get_version()?)?,
            live: h.get_live(),
            permille: h.get_permille(),
        })
    });
    Ok(Heartbeat {
        revision: r.get_revision(),
        running: r.get_running(),
        leaving: r.get_leaving(),
        holdings: holdings.collect::<Decoded<_>>()?,
        entries_seen: r.get_entries_seen(),
        same_holdings: r.get_same_holdings(),
    })
}

/// Writes a heartbeat.
pub fn write_heartbeat(mut b: c::beat::Builder, beat: &Heartbeat) {
    b.set_revision(beat.revision);
    b.set_running(beat.running);
    b.set_leaving(beat.leaving);
    b.set_entries_seen(beat.entries_seen);
    b.set_same_holdings(beat.same_holdings);
    let mut list = b.init_holdings(beat.holdings.len() as u32);
    for (i, holding) in beat.holdings.iter().enumerate() {
        let mut h = list.reborrow().get(i as u32);
        h.set_model(holding.model.as_str());
        h.set_version(holding.version.to_string().as_str());
        h.set_live(holding.live);
        h.set_permille(holding.permille);
    }
}

fn read_freshness(r: c::freshness::Reader) -> Freshness {
    Freshness {
        revision: r.get_revision(),
        age: Duration::from_millis(r.get_age_ms()),
    }
}

fn write_freshness(mut b: c::freshness::Builder, freshness: &Freshness) {
    b.set_revision(freshness.revision);
    b.set_age_ms(freshness.age.as_millis() as u64);
}

/// Reads the reply to a heartbeat.
pub fn read_heartbeat_reply(r: c::beat_reply::Reader) -> Decoded<HeartbeatReply> {
    Ok(HeartbeatReply {
        freshness: read_freshness(r.get_fresh()?),
        interval: Duration::from_millis(r.get_interval_ms().into()),
        leaving: r.get_leaving(),
        entries_seen: r.get_entries_seen(),
        entries: read_addrs(r.get_entries()?)?,
    })
}

/// Writes the reply to a heartbeat.
pub fn write_heartbeat_reply(mut b: c::beat_reply::Builder, reply: &HeartbeatReply) {
    write_freshness(b.reborrow().init_fresh(), &reply.freshness);
    b.set_interval_ms(reply.interval.as_millis() as u32);
    b.set_leaving(reply.leaving);
    b.set_entries_seen(reply.entries_seen);
    write_addrs(b.init_entries(reply.entries.len() as u32), &reply.entries);
}

/// Reads a patch of the table.
pub fn read_patch(r: c::edition::Reader) -> Decoded<Patch> {
    Ok(Patch {
        revision: r.get_revision(),
        edit: read_string(r.get_edit()?)?,
        author: read_string(r.get_author()?)?,
        at_ms: r.get_at_ms(),
        base: r.get_base(),
        head: r.get_head(),
        tail: r.get_tail(),
        middle: read_string(r.get_middle()?)?,
        check: r.get_check(),
    })
}

/// Writes a patch of the table.
pub fn write_patch(mut b: c::edition::Builder, patch: &Patch) {
    b.set_revision(patch.revision);
    b.set_edit(patch.edit.as_str());
    b.set_author(patch.author.as_str());
    b.set_at_ms(patch.at_ms);
    b.set_base(patch.base);
    b.set_head(patch.head);
    b.set_tail(patch.tail);
    b.set_middle(patch.middle.as_str());
    b.set_check(patch.check);
}

/// Reads a list of peers.
pub fn read_peers(list: struct_list::Reader<c::peer::Owned>) -> Decoded<Vec<Peer>> {
    let read = |r: c::peer::Reader| {
        Ok(Peer {
            vm: read_string(r.get_vm()?)?,
            domain: read_string(r.get_domain()?)?,
            addr: parse_text(r.get_addr()?, "address")?,
            leaving: r.get_leaving(),
        })
    };
    list.iter().map(read).collect()
}

/// Writes a list of peers.
pub fn write_peers(mut list: struct_list::Builder<c::peer::Owned>, peers: &[Peer]) {
    for (i, peer) in peers.iter().enumerate() {
        let mut b = list.reborrow().get(i as u32);
        b.set_vm(peer.vm.as_str());
        b.set_domain(peer.domain.as_str());
        b.set_addr(peer.addr.to_string().as_str());
        b.set_leaving(peer.leaving);
    }
}

fn read_replica(r: c::replica::Reader) -> Decoded<Replica> {
    Ok(Replica {
        model: read_string(r.get_model()?)?,
        version: read_version(r.get_version()?)?,
        vm: read_string(r.get_vm()?)?,
        listen: parse_text(r.get_listen()?, "address")?,
        incarnation: r.get_incarnation(),
    })
}

fn write_replica(mut b: c::replica::Builder, replica: &Replica) {
    b.set_model(replica.model.as_str());
    b.set_version(replica.version.to_string().as_str());
    b.set_vm(replica.vm.as_str());
    b.set_listen(replica.listen.to_string().as_str());
    b.set_incarnation(replica.incarnation);
}

fn read_rollout(r: c::rollout::Reader) -> Decoded<Rollout> {
    Ok(Rollout {
        version: read_version(r.get_version()?)?,
        peers: read_peers(r.get_peers()?)?,
    })
}

fn read_agent_status(r: c::agent_digest::Reader) -> Decoded<AgentStatus> {
    Ok(AgentStatus {
        info: read_info(r.get_info()?)?,
        beat: read_heartbeat(r.get_beat()?)?,
    })
}

/// Reads an update between entries.
pub fn read_entry_update(r: c::note::Reader) -> Decoded<EntryUpdate> {
    Ok(EntryUpdate {
        vm: read_string(r.get_vm()?)?,
        domain: read_string(r.get_domain()?)?,
        control: parse_text(r.get_control()?, "address")?,
        freshness: read_freshness(r.get_fresh()?),
        leaving: r.get_leaving(),
        entries: read_addrs(r.get_entries()?)?,
        state: r.get_state(),
        applied_state: r.get_seen(),
        has_lists: r.get_told(),
        agents: r
            .get_agents()?
            .iter()
            .map(read_agent_status)
            .collect::<Decoded<_>>()?,
        replicas: r
            .get_replicas()?
            .iter()
            .map(read_replica)
            .collect::<Decoded<_>>()?,
        rollouts: r
            .get_rollouts()?
            .iter()
            .map(read_rollout)
            .collect::<Decoded<_>>()?,
    })
}

/// Writes an update between entries.
pub fn write_entry_update(mut b: c::note::Builder, update: &EntryUpdate) {
    b.set_vm(update.vm.as_str());
    b.set_domain(update.domain.as_str());
    b.set_control(update.control.to_string().as_str());
    write_freshness(b.reborrow().init_fresh(), &update.freshness);
    b.set_leaving(update.leaving);
    let entries = b.reborrow().init_entries(update.entries.len() as u32);
    write_addrs(entries, &update.entries);
    b.set_state(update.state);
    b.set_seen(update.applied_state);
    b.set_told(update.has_lists);
    let mut agents = b.reborrow().init_agents(update.agents.len() as u32);
    for (i, digest) in update.agents.iter().enumerate() {
        let mut b = agents.reborrow().get(i as u32);
        write_info(b.reborrow().init_info(), &digest.info);
        write_heartbeat(b.init_beat(), &digest.beat);
    }
    let mut replicas = b.reborrow().init_replicas(update.replicas.len() as u32);
    for (i, replica) in update.replicas.iter().enumerate() {
        write_replica(replicas.reborrow().get(i as u32), replica);
    }
    let mut rollouts = b.init_rollouts(update.rollouts.len() as u32);
    for (i, rollout) in update.rollouts.iter().enumerate() {
        let mut b = rollouts.reborrow().get(i as u32);
        b.set_version(rollout.version.to_string().as_str());
        write_peers(b.init_peers(rollout.peers.len() as u32), &rollout.peers);
    }
}

/// Reads claims.
pub fn read_claims(list: struct_list::Reader<c::claim::Owned>) -> Decoded<Vec<Claim>> {
    let read = |r: c::claim::Reader| {
        Ok(Claim {
            key: read_string(r.get_key()?)?,
            value: read_string(r.get_value()?)?,
            ttl: Duration::from_secs(r.get_ttl_s()),
        })
    };
    list.iter().map(read).collect()
}

/// Writes claims.
pub fn write_claims(mut list: struct_list::Builder<c::claim::Owned>, claims: &[Claim]) {
    for (i, claim) in claims.iter().enumerate() {
        let mut b = list.reborrow().get(i as u32);
        b.set_key(claim.key.as_str());
        b.set_value(claim.value.as_str());
        b.set_ttl_s(claim.ttl.as_secs());
    }
}

/// Converts the outcome of a claim from the generated code.
pub fn read_claim_outcome(outcome: c::Claimed) -> ClaimOutcome {
    match outcome {
        c::Claimed::Won => ClaimOutcome::Won,
        c::Claimed::Taken => ClaimOutcome::Taken,
        c::Claimed::Unknown => ClaimOutcome::Unknown,
        c::Claimed::Down => ClaimOutcome::Unavailable,
    }
}

/// Converts the outcome of a claim to the generated code.
pub fn write_claim_outcome(outcome: ClaimOutcome) -> c::Claimed {
    match outcome {
        ClaimOutcome::Won => c::Claimed::Won,
        ClaimOutcome::Taken => c::Claimed::Taken,
        ClaimOutcome::Unknown => c::Claimed::Unknown,
        ClaimOutcome::Unavailable => c::Claimed::Down,
    }
}
