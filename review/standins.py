"""Stand-ins for the store, the origin of weights, runners and clients, and the start of the project's own programs.

The stand-ins speak the published protocol on loopback and do only what the pages allow. Everything runs in one event
loop; gateways and loaders run as separate processes with the commands of the deploy file.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = "target/release/driftnotch"
HOST = "notch.example"
KEY = "key-of-hops"
TENANT = "hops"
MODEL = "m0"
LAYERS = 16
PIECES = 96
PIECE_BYTES = 24576
BOUNDS = {
    "version_ms": 8000,
    "ConfigMs": 2000,
    "ContactMs": 3000,
    "BudgetWindowS": 10,
    "RetryBudgetRatio": 0.2,
    "BudgetSlack": 102,
}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Lines of the record, with the time since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def free_port(ip="127.0.0.1"):
    with socket.socket() as tcp:
        tcp.bind((ip, 0))
        port = tcp.getsockname()[1]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                udp.bind((ip, port))
            except OSError:
                return free_port(ip)
        return port


def addr():
    return f"127.0.0.1:{free_port()}"


async def read_head(reader):
    """Returns the first line and the headers (lower-case names) of a message, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks. Raises on one that is cut off."""
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
            body += data
    return body


class Server:
    """HTTP/1.1 server; `handle(request)` returns (status, headers, body), or None if it has answered by itself."""

    def __init__(self, handle, port=0):
        self.handle = handle
        self.port = port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=512, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def addr(self):
        return f"127.0.0.1:{self.port}"

    async def stop(self):
        """Closes the listener and resets all connections, as a process that ends does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                request = {"method": method, "target": target, "headers": headers, "body": body, "writer": writer, "reader": reader}
                answer = await self.handle(request)
                if answer is None:
                    return
                status, answer_headers, answer_body = answer
                writer.write(message(status, answer_headers, answer_body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # Only the end of the case cancels a connection.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def message(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"] + [f"{k}: {v}" for k, v in headers.items()] + [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def as_json(value, status=200):
    return status, {"Content-Type": "application/json"}, json.dumps(value).encode()


def query_of(target):
    parts = urlsplit(target)
    return unquote(parts.path), {k: v[0] for k, v in parse_qs(parts.query).items()}


class Store:
    """The platform's store: tables of rows with one counter of versions, reads, feeds and transactions."""

    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = asyncio.Condition()
        self.server = Server(self.handle)

    async def start(self):
        await self.server.start()
        return self

    async def put(self, table, key, value):
        await self.write([(table, key, base64.b64encode(json.dumps(value).encode()).decode())])

    async def remove(self, table, key):
        await self.write([(table, key, None)])

    async def write(self, rows):
        async with self.changed:
            self.version += 1
            for table, key, value in rows:
                if value is None:
                    self.rows.pop((table, key), None)
                else:
                    self.rows[(table, key)] = (value, self.version)
                self.log.append((self.version, table, key, value))
            self.changed.notify_all()

    def changes(self, table, after):
        newest = {}
        for version, of_table, key, value in self.log:
            if of_table == table and version > after:
                newest[key] = (version, value)
        rows = []
        for key, (version, value) in sorted(newest.items(), key=lambda item: item[1][0]):
            row = {"Table": table, "part": "", "Key": key, "SchemaVersion": version}
            row.update({"Removed": True} if value is None else {"Value": value})
            rows.append(row)
        return rows

    def state(self):
        return {"SchemaVersion": self.version, "NowMs": int(time.monotonic() * 1000)}

    async def handle(self, request):
        path, query = query_of(request["target"])
        await asyncio.sleep(0.004)
        if path == "/driftnotch/rows-get":
            table, first, end = query["Table"], query.get("From", ""), query.get("TargetVersion", "")
            found = [
                {"Table": table, "part": "", "Key": key, "Value": value, "SchemaVersion": version}
                for (of_table, key), (value, version) in sorted(self.rows.items())
                if of_table == table and key >= first and (not end or key < end)
            ]
            return as_json({"Rows": found, "HasMore": False, **self.state()})
        if path == "/driftnotch/rows-feed":
            table, after = query["Table"], int(query["AfterRevision"])
            until = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
            async with self.changed:
                while not self.changes(table, after) and time.monotonic() < until:
                    try:
                        await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                    except asyncio.TimeoutError:
                        pass
            return as_json({"Rows": self.changes(table, after), **self.state()})
        if path == "/driftnotch/rows-tx":
            tx = json.loads(request["body"])
            for row in tx.get("ExpectedRevision", []):
                held = self.rows.get((row["Table"], row["Key"]), (None, 0))[1]
                if held != row["SchemaVersion"]:
                    return as_json({"Rows": [], **self.state()}, 412)
            rows = [(row["Table"], row["Key"], row["Value"]) for row in tx.get("SetKeys", [])]
            rows += [(row["Table"], row["Key"], None) for row in tx.get("Remove", [])]
            await self.write(rows)
            return as_json(self.state())
        return 404, {}, b""


def piece(version, i):
    seed = hashlib.sha256(f"{MODEL} {version} {i}".encode()).digest()
    return (seed * (PIECE_BYTES // len(seed) + 1))[:PIECE_BYTES]


def digest(data):
    return hashlib.sha256(data).hexdigest()


class Origin:
    """The origin of weights. It serves the newest named version and the one before; older ones get 410."""

    def __init__(self, record, link_mbps=7.3):
        self.record = record
        self.newest = 1
        # Number of manifests that are sent with one wrong digit.
        self.spoilt_manifests = 0
        self.asked = []
        self.link = asyncio.Lock()
        self.piece_time = PIECE_BYTES * 8 / (link_mbps * 1e6)
        self.server = Server(self.handle)

    async def start(self):
        await self.server.start()
        return self

    async def handle(self, request):
        path, query = query_of(request["target"])
        version = int(query.get("Version", self.newest))
        self.asked.append((self.record.now(), path.split("/")[2], version))
        if version <= self.newest - 2:
            return 410, {}, b""
        if version > self.newest:
            return 404, {}, b""
        if path.startswith("/driftnotch/manifest/"):
            digests = [digest(piece(version, i)) for i in range(PIECES)]
            if self.spoilt_manifests:
                self.spoilt_manifests -= 1
                digests[5] = ("1" if digests[5][0] == "0" else "0") + digests[5][1:]
                self.record.write(f"the origin sends the manifest of version {version} with one wrong digit")
            return as_json({"Model": MODEL, "Version": version, "ChunkBytes": PIECE_BYTES, "layers": LAYERS, "Digests": digests})
        if path.startswith("/driftnotch/piece/"):
            async with self.link:
                await asyncio.sleep(self.piece_time)
            return 200, {}, piece(version, int(query["ItemCount"]))
        return 404, {}, b""


class Runner:
    """A runner. With `version` set it is a model runner: it stages pieces, takes orders and runs streams."""

    def __init__(self, store, record, name, service, zone, version=None, slots=16):
        self.store, self.record = store, record
        self.id, self.service, self.zone, self.slots = name, service, zone, slots
        self.version = version
        self.is_engine = version is not None
        self.staged = {i: piece(version, i) for i in range(PIECES)} if self.is_engine else {}
        # When each piece that lies here turned bad.
        self.rotten = {}
        self.sequence = 0
        self.switching = False
        self.in_flight = 0
        self.beats = 0
        self.spoilt_layers = None
        self.takes = []
        self.runs = []
        self.arrivals = []
        self.reads = 0
        self.on_read = None
        self.state = "ready"
        self.server = Server(self.handle)
        self.work_ms = 60
        self.first_token_ms = 60
        # When the first token of each stream was made, and the version.
        self.begun = []

    async def start(self):
        await self.server.start()
        self.beating = asyncio.create_task(self.beat())
        return self

    def models(self):
        if not self.is_engine:
            return {}
        held = [] if self.version is None else [{"Name": MODEL, "Version": self.version, "Adapters": []}]
        span = {} if self.version is None else {"layers": {"From": 0, "TargetVersion": LAYERS, "Version": self.version}}
        return {"Stage": "hybrid", "Models": held, **span}

    async def write_entry(self):
        self.beats += 1
        entry = {
            "Service": self.service, "Address": self.server.addr, "Zone": self.zone, "Version": "v1", "Slots": self.slots,
            "State": self.state, "ColdRemainingMs": 0, "Sequence": self.beats, **self.models(),
        }
        await self.store.put("servers", self.id, entry)

    async def beat(self):
        while True:
            await self.write_entry()
            await asyncio.sleep(1.2)

    def rot(self, i):
        """Spoils a piece that lies here."""
        self.staged[i] = bytes([self.staged[i][0] ^ 0xFF]) + self.staged[i][1:]
        self.rotten[i] = self.record.now()

    async def take(self, version):
        bad = {}
        for i in range(PIECES):
            if self.staged.get(i) != piece(version, i):
                since = self.record.now() - self.rotten[i] if i in self.rotten else None
                bad[i] = since
        self.takes.append((self.record.now(), version, bad))
        text = ", ".join(f"piece {i} " + (f"spoilt for {s:.2f} s" if s is not None else "missing or of another version") for i, s in bad.items())
        self.record.write(f"{self.id} takes version {version}: {text or 'all pieces are whole'}")
        while self.in_flight:
            await asyncio.sleep(0.02)
        self.version = None
        await asyncio.sleep(0.3)
        self.version, self.switching, self.spoilt_layers = version, False, bad
        self.record.write(f"{self.id} holds version {version}")
        await self.write_entry()

    async def handle(self, request):
        path, query = query_of(request["target"])
        if path == "/healthz":
            return 200, {"Driftnotch-Instance-Id": self.id}, b""
        if path == "/driftnotch/report":
            return as_json({**self.models(), "Utilization": self.switching, "Sequence": self.sequence, "Queued": 0, "InFlight": self.in_flight, "KvUsed": 0, "KvTotal": 317000, "Handles": 0})
        if path.startswith("/driftnotch/stage-put/"):
            i = int(query["ItemCount"])
            self.staged[i] = request["body"]
            self.rotten.pop(i, None)
            return 200, {}, b""
        if path.startswith("/driftnotch/stage-get/"):
            i = int(query["ItemCount"])
            self.reads += 1
            if i not in self.staged:
                return 404, {}, b""
            data = self.staged[i]
            if self.on_read:
                self.on_read(i, data)
            return 200, {}, data
        if path == "/driftnotch/order":
            order = json.loads(request["body"])
            if order.get("Op") != "start":
                return 400, {}, b""
            if self.version == order["Version"]:
                return 200, {}, b""
            if self.switching or order.get("ExpectedRevision", self.sequence) != self.sequence:
                return 409, {}, b""
            self.sequence += 1
            self.switching = True
            asyncio.create_task(self.take(order["Version"]))
            return 202, {}, b""
        return await self.run(request)

    def rejection(self, status, attempt):
        return status, {"Driftnotch-Not-Executed": "1", "Driftnotch-Attempt-Id": attempt, "Driftnotch-Instance-Id": self.id}, b""

    async def run(self, request):
        headers = request["headers"]
        attempt = headers.get("driftnotch-attempt-id", "")
        if not attempt:
            return self.rejection(400, "none")
        if headers.get("driftnotch-expect-instance", self.id) != self.id:
            return self.rejection(421, attempt)
        self.arrivals.append((self.record.now(), attempt))
        if self.is_engine:
            if self.version is None or str(self.version) != headers.get("driftnotch-expect-version", str(self.version)):
                return self.rejection(421, attempt)
            if self.switching:
                return self.rejection(503, attempt)
        if self.in_flight >= self.slots:
            return self.rejection(503, attempt)
        self.in_flight += 1
        try:
            return await (self.stream(request, attempt) if self.is_engine else self.plain(request, attempt))
        finally:
            self.in_flight -= 1

    async def plain(self, request, attempt):
        self.runs.append((self.record.now(), attempt))
        await asyncio.sleep(self.work_ms / 1000)
        return 200, self.signed(attempt), f"ran {attempt} at {self.id}".encode()

    def signed(self, attempt):
        return {"Driftnotch-Attempt-Id": attempt, "Driftnotch-Response-Signature": f"{self.id}.{attempt}"}

    async def stream(self, request, attempt, events=12):
        writer = request["writer"]
        done = int(request["headers"].get("last-event-id", 0))
        self.runs.append((self.record.now(), attempt, self.version, self.spoilt_layers))
        await asyncio.sleep(self.first_token_ms / 1000)
        if writer.is_closing() or request["reader"].at_eof():
            return None
        self.begun.append((self.record.now(), attempt, self.version))
        headers = {**self.signed(attempt), "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", "Driftnotch-Weight-Versions": self.version}
        lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in headers.items()] + ["", ""]
        writer.write("\r\n".join(lines).encode())
        for n in range(done + 1, events + 1):
            await asyncio.sleep(0.04)
            event = f"id: {n}\ndata: token {n} of version {self.version}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return None


async def send(to, method, path, headers, body=b"", timeout=6.0):
    """Sends one request on a new connection. Returns (status, headers, body, whole); status 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            ip, port = to.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"] + [f"{k}: {v}" for k, v in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines + ["", ""]).encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return 0, {}, b"", False
            status = int(head[0].split(" ")[1])
            try:
                return status, head[1], await read_body(reader, head[1]), True
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                return status, head[1], b"", False
    except (OSError, TimeoutError):
        return 0, {}, b"", False
    finally:
        if writer:
            writer.close()


def new_attempt():
    return f"{random.getrandbits(64):016x}"


def stream_headers(attempt, tokens="600,60", deadline_ms=6000):
    return {
        "Driftnotch-Attempt-Id": attempt, "Driftnotch-Model": MODEL, "Driftnotch-Token-Usage": tokens,
        "Driftnotch-Prompt-Prefix": f"5c1e07a2:40,{attempt[:8]}:560", "Driftnotch-Deadline-Ms": deadline_ms,
        "Authorization": f"Token {KEY}",
    }


def plain_headers(attempt, deadline_ms=4000):
    return {"Driftnotch-Attempt-Id": attempt, "Driftnotch-Deadline-Ms": deadline_ms, "Authorization": f"Token {KEY}"}


def config(origin, version=1):
    route = lambda name, kind, service, attempts, timeout, more: {
        "Name": f"r-{name}", "Hostname": HOST, "PathPrefix": f"/{name}/", "Kind": kind, "TimeoutMs": timeout,
        "TargetLatencyMs": 400, "Priority": 1, "Service": service, "MaxAttempts": attempts, "Public": False, **more,
    }
    engine = {
        "Slots": 16, "KvCapacityTokens": 317000, "KvTokenBytes": 262144, "LinkMbps": 400000.0, "Stride": 5,
        "Models": [{"Name": MODEL, "pace": 1.0, "LoadS": 4.0, "WarmS": 0.3}], "SizeMb": 149000.0, "step_ms": 9.27,
        "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0, "pairs_per_m": 1.18, "chunk": 2048,
        "report_lag_ms": 200.0, "layers": LAYERS, "layer_mb": 4090.0, "act_bytes": 16384, "Chunks": PIECES, "ChunkBytes": PIECE_BYTES,
    }
    return {
        "Version": version,
        "Routes": [
            route("stream", "stream", "llm", 2, 6000, {"Sticky": True, "ResumeStreams": True, "TargetGapMs": 400}),
            route("once", "stream", "llm", 1, 6000, {"Sticky": True, "TargetGapMs": 400}),
            route("safe", "safe", "app", 2, 2000, {}),
            route("unsafe", "unsafe", "app", 1, 2000, {}),
        ],
        "Services": [
            {"Name": "llm", "HealthPath": "/healthz", "MaxConnections": 424, "Protocol": "h1", "Tls": False, "Engine": engine},
            {"Name": "weights", "Origin": origin, "Zone": "zone-a", "LinkMbps": 7.3, "MaxConnections": 48},
            {"Name": "app", "HealthPath": "/healthz", "MaxConnections": 100, "Protocol": "h1", "Tls": False},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
    }


class Processes:
    """The project's own programs, as the deploy file starts them."""

    def __init__(self, record, store_addr):
        self.record, self.store_addr = record, store_addr
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.running = {}
        self.gateways = []
        if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
            raise CannotRun("run review/build.sh first")

    def write_settings(self, vm, fields):
        path = os.path.join(self.folder.name, f"{vm}.yaml")
        with open(path, "w", encoding="utf-8") as f:
            f.writelines(f"{k}: {v}\n" for k, v in fields.items())

    def add_gateway(self, vm, zone, zones):
        own = {"listen": addr(), "ready": addr(), "copies": addr()}
        quoted = lambda text: json.dumps(text)
        self.gateways.append(own)
        seeds = [g["copies"] for g in self.gateways[:3]]
        self.write_settings(vm, {
            "role": "gateway", "vm": quoted(vm), "domain": quoted(zone), "domains": json.dumps(zones),
            **{k: quoted(v) for k, v in own.items()}, "beacon": quoted(addr()), "metrics": quoted(addr()),
            "store": quoted(self.store_addr), "seeds": json.dumps(seeds), "version_time": f"{BOUNDS['version_ms']}ms",
            "config_time": f"{BOUNDS['ConfigMs']}ms", "contact_time": f"{BOUNDS['ContactMs']}ms",
            "retry_window": f"{BOUNDS['BudgetWindowS']}s", "retry_ratio": BOUNDS["RetryBudgetRatio"], "retry_slack": BOUNDS["BudgetSlack"],
        })
        self.spawn(vm, "gateway")
        return own

    def add_loader(self, vm, zone, engine):
        quoted = lambda text: json.dumps(text)
        seeds = [g["copies"] for g in self.gateways[:3]]
        self.write_settings(vm, {
            "role": "loader", "vm": quoted(vm), "domain": quoted(zone), "service": quoted("llm"), "engine": quoted(engine),
            "chunks": quoted(addr()), "beacon": quoted(addr()), "metrics": quoted(addr()), "store": quoted(self.store_addr),
            "link_mbps": 7.3, "seeds": json.dumps(seeds), "version_time": f"{BOUNDS['version_ms']}ms", "contact_time": f"{BOUNDS['ContactMs']}ms",
        })
        self.spawn(vm, "loader")

    def spawn(self, vm, role):
        settings = os.path.join(self.folder.name, f"{vm}.yaml")
        log = open(os.path.join(self.folder.name, f"{vm}.log"), "ab")
        command = [PROGRAM, role, "--settings", settings]
        self.running[vm] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.record.write(f"{vm} starts")

    def signal(self, vm, number):
        self.record.write(f"{vm} gets {signal.Signals(number).name}")
        self.running[vm].send_signal(number)

    def kill(self, vm):
        self.signal(vm, signal.SIGKILL)
        self.running[vm].wait()

    def log_lines(self, vm, *needles):
        with open(os.path.join(self.folder.name, f"{vm}.log"), encoding="utf-8", errors="replace") as f:
            return [line.rstrip() for line in f if any(n in line for n in needles)]

    def stop(self):
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder.name)
            self.folder._finalizer.detach()
        else:
            self.folder.cleanup()


async def wait_until(what, holds, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if holds():
            return
        await asyncio.sleep(0.02)
    raise CannotRun(f"waited {seconds} s in vain until {what}")


async def wait_until_ready(processes, seconds=20):
    for own in processes.gateways:
        until = time.monotonic() + seconds
        while (await send(own["ready"], "GET", "/driftnotch/readyz", {}, timeout=1))[0] != 200:
            if time.monotonic() > until:
                raise CannotRun("a gateway did not get ready")
            await asyncio.sleep(0.1)


async def send_all(record, processes, answers):
    """Sends ten requests a second, nine of ten of them streams, to all gateways in turn."""
    async with asyncio.TaskGroup() as group:
        n = 0
        while True:
            to = processes.gateways[n % len(processes.gateways)]["listen"]
            group.create_task(send_one(record, to, answers, n % 10 == 9))
            await asyncio.sleep(0.1)
            n += 1


async def send_one(record, to, answers, is_plain):
    attempt, sent_at = new_attempt(), record.now()
    if is_plain:
        status, headers, _, whole = await send(to, "GET", "/safe/x", plain_headers(attempt), timeout=4)
    else:
        status, headers, _, whole = await send(to, "POST", "/stream/x", stream_headers(attempt), b"a prompt")
    answers.append((sent_at, status == 200 and whole))
    kind = "safe" if is_plain else "stream"
    record.write(f"{kind} {attempt} got {status}, version {headers.get('driftnotch-weight-versions')}, {'whole' if whole else 'cut'}")


async def release(record, store, origin, version):
    """Names a version, as the operator does."""
    origin.newest = version
    await store.put("op", f"version/{MODEL}", {"Model": MODEL, "Version": version})
    record.write(f"version {version} is named and acknowledged")


async def kill_all(processes, down_s):
    """The final fault: kills all processes and starts them again."""
    for vm in list(processes.running):
        processes.kill(vm)
    await asyncio.sleep(down_s)
    for vm in list(processes.running):
        processes.spawn(vm, "gateway" if vm.startswith("front") else "loader")


def judge_recovery(record, answers, fault_at, back_at, recovery_s, least_served):
    """RECOVER: a quarter or more was served before the final fault, but less of what was sent RecoveryS after the return."""
    before = [served for at, served in answers if at < fault_at - 1]
    after = [served for at, served in answers if at >= back_at + recovery_s]
    record.write(f"served before the fault {sum(before)} of {len(before)}; of those sent {recovery_s:.0f} s or more after the return {sum(after)} of {len(after)}")
    if not before or sum(before) < least_served * len(before) or not after:
        raise CannotRun("too little was served before the fault")
    if sum(after) < least_served * len(after):
        return f"RECOVER: {sum(after)} of {len(after)} requests sent {recovery_s:.0f} s or more after the return were served"
    return None


def only_final_fault():
    """Whether the other disruptions are left out (TROUBLE=fault), to tell their effect from that of the final fault."""
    return os.environ.get("TROUBLE") == "fault"


async def run(case, record, trouble):
    # Connections that the end of the case cancels are no errors.
    report = lambda loop, context: isinstance(context.get("exception"), asyncio.CancelledError) or loop.default_exception_handler(context)
    asyncio.get_running_loop().set_exception_handler(report)
    return await asyncio.wait_for(case(record, trouble), 115)


def main(case, record_name="record.txt"):
    """Runs `case(record, trouble)`, which returns the broken rule's description, or None. Exits with 0, 1 or 2."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, record_name))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {os.environ.get('TROUBLE', '1')}")
    # A case that is told to stop still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(run(case, record, trouble))
    except Exception as e:  # Whatever keeps the case from running is exit code 2.
        record.write(f"the case could not run: {type(e).__name__}: {e}")
        print(f"could not run: {type(e).__name__}: {e}")
        sys.exit(2)
    record.write(f"broken: {broken}" if broken else "held")
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
