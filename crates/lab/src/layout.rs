//! Addresses and settings of a deployment on loopback: each VM has its own address and fixed ports.

use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use store::{Member, MemberRole, MemberState};

use crate::standin::platform::Addrs;

/// Ports of an entry VM: callers, control, admin.
const ENTRY_PORTS: [u16; 3] = [8080, 8081, 8082];

/// Ports of an upstream VM: entries, peers, admin, upstream.
const AGENT_PORTS: [u16; 4] = [8180, 8181, 8182, 8000];

/// Offset of the port on which a process behind a relay listens.
const RELAY_PORT_OFFSET: u16 = 10_000;

/// Offset of the fourth octet of the addresses of upstream VMs.
const AGENT_HOST_OFFSET: u8 = 100;

/// A deployment: failure domains with their VMs, on `127.NET.0.0/16`.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Second octet of the addresses.
    pub net: u8,
    /// Third octet of the addresses of the first failure domain.
    pub base: u8,
    /// Failure domains with their regions.
    pub domains: Vec<(String, String)>,
    /// Number of entries in each failure domain.
    pub entries: u8,
    /// Number of agents with an engine in each failure domain.
    pub engines: u8,
    /// Number of agents with a plain service in each failure domain.
    pub services: u8,
    /// Whether processes are behind relays; they then listen on other ports than they advertise.
    pub relayed: bool,
}

/// An entry VM.
#[derive(Debug, Clone)]
pub struct EntryVm {
    /// Id.
    pub vm: String,
    /// Failure domain.
    pub domain: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Control address.
    pub control: SocketAddr,
    /// Admin address.
    pub admin: SocketAddr,
}

/// An upstream VM.
#[derive(Debug, Clone)]
pub struct UpstreamVm {
    /// Id.
    pub vm: String,
    /// Failure domain.
    pub domain: String,
    /// Address for entries.
    pub listen: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Admin address.
    pub admin: SocketAddr,
    /// Address of the engine or service.
    pub upstream: SocketAddr,
    /// Whether the upstream is a plain service.
    pub service: bool,
}

impl Layout {
    /// Creates the three failure domains of Cajueiro, with a number of VMs in each.
    pub fn cajueiro(net: u8, base: u8, entries: u8, engines: u8, services: u8) -> Layout {
        let domain = |name: &str, region: &str| (name.to_owned(), region.to_owned());
        Layout {
            net,
            base,
            domains: vec![
                domain("recife", "pernambuco"),
                domain("fortaleza", "ceara"),
                domain("salvador", "bahia"),
            ],
            entries,
            engines,
            services,
            relayed: false,
        }
    }

    /// Returns the address on which a process listens, given the one it advertises.
    pub fn listen_addr(&self, advertised: SocketAddr) -> SocketAddr {
        match self.relayed {
            true => SocketAddr::new(advertised.ip(), advertised.port() + RELAY_PORT_OFFSET),
            false => advertised,
        }
    }

    /// Returns the addresses on which the platform's stand-in listens.
    pub fn platform_listen_addrs(&self) -> Addrs {
        let advertised = self.platform();
        Addrs {
            table: self.listen_addr(advertised.table),
            objects: self.listen_addr(advertised.objects),
            members: self.listen_addr(advertised.members),
            origin: self.listen_addr(advertised.origin),
        }
    }

    /// Returns the advertised addresses of the platform's stand-in.
    pub fn platform(&self) -> Addrs {
        Addrs {
            table: self.addr(self.domains.len(), 1, 9000),
            objects: self.addr(self.domains.len(), 1, 9001),
            members: self.addr(self.domains.len(), 1, 9002),
            origin: self.addr(self.domains.len(), 1, 9003),
        }
    }

    fn addr(&self, domain: usize, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net, self.base + domain as u8, host);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    /// Returns all entry VMs.
    pub fn entry_vms(&self) -> Vec<EntryVm> {
        let mut vms = Vec::new();
        for (d, (domain, _)) in self.domains.iter().enumerate() {
            for n in 1..=self.entries {
                let [listen, control, admin] = ENTRY_PORTS.map(|port| self.addr(d, n + 10, port));
                vms.push(EntryVm {
                    vm: format!("{domain}-entry-{n}"),
                    domain: domain.clone(),
                    listen,
                    control,
                    admin,
                });
            }
        }
        vms
    }

    /// Returns all upstream VMs; in each failure domain, those with engines come first.
    pub fn upstream_vms(&self) -> Vec<UpstreamVm> {
        let mut vms = Vec::new();
        for (d, (domain, _)) in self.domains.iter().enumerate() {
            for n in 1..=self.engines + self.services {
                let [listen, peer, admin, upstream] =
                    AGENT_PORTS.map(|port| self.addr(d, AGENT_HOST_OFFSET + n, port));
                let service = n > self.engines;
                let kind = if service { "service" } else { "engine" };
                vms.push(UpstreamVm {
                    vm: format!("{domain}-{kind}-{n}"),
                    domain: domain.clone(),
                    listen,
                    peer,
                    admin,
                    upstream,
                    service,
                });
            }
        }
        vms
    }

    /// Returns the member list of the platform.
    pub fn members(&self) -> Vec<Member> {
        let entries = self.entry_vms().into_iter().map(|e| Member {
            vm: e.vm,
            role: MemberRole::Entry,
            domain: e.domain,
            addr: e.control,
            state: MemberState::Live,
        });
        let upstreams = self.upstream_vms().into_iter().map(|u| Member {
            vm: u.vm,
            role: MemberRole::Upstream,
            domain: u.domain,
            addr: u.listen,
            state: MemberState::Live,
        });
        entries.chain(upstreams).collect()
    }

    fn common_settings(&self, role: &str) -> String {
        let domains: Vec<String> = self
            .domains
            .iter()
            .map(|(d, r)| format!("{d}: {r}"))
            .collect();
        let platform = self.platform();
        format!(
            "role: {role}\ndomains: {{{}}}\nplatform_table: {}\nplatform_objects: {}\n",
            domains.join(", "),
            platform.table,
            platform.objects
        )
    }

    /// Writes the listen address of a process, and its advertised address if that differs.
    fn write_addr(&self, s: &mut String, field: &str, advertised: SocketAddr) {
        let _ = writeln!(s, "{field}: {}", self.listen_addr(advertised));
        if self.relayed {
            let _ = writeln!(s, "{field}_advertised: {advertised}");
        }
    }

    /// Returns the settings of an entry, followed by additional lines.
    pub fn entry_settings(&self, e: &EntryVm, extra_lines: &[String]) -> String {
        let seeds: Vec<String> = self
            .entry_vms()
            .iter()
            .map(|e| e.control.to_string())
            .collect();
        let mut s = self.common_settings("entry");
        let _ = writeln!(s, "vm: {}\ndomain: {}", e.vm, e.domain);
        let _ = writeln!(s, "source: {}\nadmin: {}", e.listen.ip(), e.admin);
        let _ = writeln!(s, "listen: {}", e.listen);
        self.write_addr(&mut s, "control", e.control);
        let _ = writeln!(s, "platform_members: {}", self.platform().members);
        let _ = writeln!(s, "entries: [{}]", seeds.join(", "));
        s + &extra_lines.join("\n") + "\n"
    }

    /// Returns the settings of an agent, followed by additional lines.
    pub fn agent_settings(&self, u: &UpstreamVm, extra_lines: &[String]) -> String {
        let seeds: Vec<String> = self
            .entry_vms()
            .iter()
            .filter(|e| e.domain == u.domain)
            .map(|e| e.control.to_string())
            .collect();
        let kind = if u.service { "service" } else { "engine" };
        let mut s = self.common_settings("agent");
        let _ = writeln!(s, "vm: {}\ndomain: {}\nkind: {kind}", u.vm, u.domain);
        let _ = writeln!(s, "source: {}\nadmin: {}", u.listen.ip(), u.admin);
        self.write_addr(&mut s, "listen", u.listen);
        self.write_addr(&mut s, "peer", u.peer);
        let _ = writeln!(s, "upstream: {}", u.upstream);
        let _ = writeln!(s, "platform_origin: {}", self.platform().origin);
        let _ = writeln!(s, "entries: [{}]", seeds.join(", "));
        s + &extra_lines.join("\n") + "\n"
    }

    /// Returns the settings of an operator.
    pub fn operator_settings(&self, author: &str) -> String {
        let admins: Vec<String> = self
            .entry_vms()
            .iter()
            .map(|e| e.admin.to_string())
            .collect();
        let mut s = self.common_settings("operator");
        let _ = writeln!(s, "author: {author}\nadmins: [{}]", admins.join(", "));
        let _ = writeln!(s, "platform_origin: {}", self.platform().origin);
        s
    }
}
