"""Stand-ins for model runners and for the origin of weights, and the start of loaders. They run in the script's process."""

import asyncio
import hashlib
import json
import subprocess
import time
from urllib.parse import parse_qs, urlsplit

import standins_2 as s

MODEL = "m0"
CHUNKS, CHUNK_BYTES, LAYERS = 96, 24576, 16
WARM_S = 0.3
ENGINE = {
    "Models": [{"Name": MODEL}], "layers": LAYERS, "Chunks": CHUNKS, "ChunkBytes": CHUNK_BYTES, "read_per_s": 20700.0,
    "Stride": 5, "step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322, "pairs_per_m": 1.18, "chunk": 2048,
}


def piece(version, i):
    """Returns a piece of a version."""
    return hashlib.sha256(f"{version}/{i}".encode()).digest() * (CHUNK_BYTES // 32)


def query(target):
    url = urlsplit(target)
    return url.path, {k: v[0] for k, v in parse_qs(url.query).items()}


async def serve(reader, writer, answer):
    """Answers the requests of a connection; `answer` returns status and body, or None if it has written all itself."""
    try:
        while (req := await s.read_request(reader)) is not None:
            answered = await answer(req, writer)
            if answered is None:
                break
            status, body = answered
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


class Origin:
    """The origin of weights. It provides the newest named version and the one before."""

    def __init__(self):
        self.newest = 1

    async def start(self, ip, port=8770):
        self.address = f"{ip}:{port}"
        self.server = await asyncio.start_server(lambda r, w: serve(r, w, self.answer), ip, port)

    async def answer(self, req, _):
        path, params = query(req[1])
        version = int(params.get("Version", self.newest))
        if version > self.newest:
            return 404, b""
        if version <= self.newest - 2:
            return 410, b""
        if path == f"/driftnotch/manifest/{MODEL}":
            digests = [hashlib.sha256(piece(version, i)).hexdigest() for i in range(CHUNKS)]
            manifest = {"Model": MODEL, "Version": version, "ChunkBytes": CHUNK_BYTES, "layers": LAYERS}
            return 200, json.dumps({**manifest, "Digests": digests}).encode()
        # 7.3 Mbit/s carry a piece in 27 ms.
        await asyncio.sleep(0.027)
        return 200, piece(version, int(params["ItemCount"]))


class Engine:
    """A model runner that holds version 1, staged too."""

    def __init__(self, deployment, instance, domain, ip, slots=16):
        self.deployment, self.id, self.domain, self.ip, self.slots = deployment, instance, domain, ip, slots
        self.version, self.last_layer, self.orders, self.running = 1, LAYERS, 0, 0
        self.switching = False
        self.staged = {i: piece(1, i) for i in range(CHUNKS)}
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.spoilt_version = None

    async def start(self):
        self.server = await asyncio.start_server(lambda r, w: serve(r, w, self.answer), self.ip, 8769)
        self.beating = asyncio.ensure_future(self.beat())

    def holds(self, version):
        """Returns what a runner tells of its weights."""
        layers = {"From": 0, "TargetVersion": self.last_layer, "Version": version}
        return {"Models": [{"Name": MODEL, "Version": version, "Adapters": []}], "layers": layers}

    async def beat(self):
        while True:
            self.beats += 1
            self.deployment.store.put("servers", self.id, {
                "Service": "llm-pool", "Address": f"{self.ip}:8769", "Zone": self.domain, "Version": "s1",
                "Slots": self.slots, "State": "ready", "ColdRemainingMs": 0, "Sequence": self.beats,
                "born": self.born, "Stage": "hybrid", **self.holds(self.version),
            })
            await asyncio.sleep(s.HEARTBEAT_S)

    async def answer(self, req, writer):
        method, target, headers, body = req
        path, params = query(target)
        if path == "/driftnotch/report":
            return 200, self.report()
        if path == f"/driftnotch/stage-put/{MODEL}":
            self.staged[int(params["ItemCount"])] = body
            return 200, b""
        if path == f"/driftnotch/stage-get/{MODEL}":
            staged = self.staged.get(int(params["ItemCount"]))
            return (404, b"") if staged is None else (200, staged)
        if path == "/driftnotch/order":
            return self.order(json.loads(body)), b""
        await self.run(headers, writer)
        return None

    def report(self):
        version, self.spoilt_version = self.spoilt_version or self.version, None
        if version != self.version:
            self.deployment.note(f"engine {self.id} spoils a report: version {version} in place of {self.version}")
        return json.dumps({
            "Stage": "hybrid", **self.holds(version), "Utilization": self.switching, "Sequence": self.orders,
            "Queued": 0, "InFlight": self.running, "KvUsed": 0, "KvTotal": 317000, "Handles": 0, "born": self.born,
        }).encode()

    def order(self, order):
        self.deployment.note(f"engine {self.id} is ordered: {order}")
        if self.switching or order.get("ExpectedRevision", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.switching = True
        self.loading = asyncio.ensure_future(self.load(order))
        return 202

    async def load(self, order):
        while self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(WARM_S)
        self.version, self.last_layer = order["Version"], order.get("TargetVersion", LAYERS)
        self.switching = False
        self.deployment.note(f"engine {self.id} holds version {self.version}, layers 0 to {self.last_layer}")

    async def run(self, headers, writer):
        attempt = headers.get("driftnotch-attempt-id", "")
        head = f"Driftnotch-Attempt-Id: {attempt}\r\nDriftnotch-Instance-Id: {self.id}\r\n"
        not_run = head + "Driftnotch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        is_expected = headers.get("driftnotch-expect-instance", self.id) == self.id
        version = int(headers.get("driftnotch-expect-version", self.version))
        if not is_expected or version != self.version or self.last_layer != LAYERS:
            writer.write(b"HTTP/1.1 421 X\r\n" + not_run.encode())
        elif self.switching or self.running >= self.slots:
            writer.write(b"HTTP/1.1 503 X\r\n" + not_run.encode())
        else:
            self.deployment.note(f"engine {self.id} runs {attempt} on version {self.version}")
            self.running += 1
            try:
                await self.stream(head, attempt, writer)
            finally:
                self.running -= 1
        await writer.drain()

    async def stream(self, head, attempt, writer):
        head += f"Driftnotch-Response-Signature: {self.id}.{attempt}\r\nDriftnotch-Weight-Versions: {self.version}\r\n"
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(b"HTTP/1.1 200 OK\r\n" + head.encode())
        for i in range(1, 11):
            await asyncio.sleep(0.05)
            event = f"id: {i}\ndata: piece {i}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Loader:
    """A loader process beside an engine."""

    def __init__(self, deployment, engine, seeds):
        self.deployment, self.name = deployment, f"side-{engine.id}"
        self.settings = deployment.path(f"{self.name}.yaml")
        ip = engine.ip
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(
                f'role: loader\nvm: "{self.name}"\ndomain: "{engine.domain}"\nservice: "llm-pool"\n'
                f'engine: "{ip}:8769"\nchunks: "{ip}:7715"\nbeacon: "{ip}:7700"\nmetrics: "{ip}:9100"\n'
                f'store: "{deployment.ip(2)}:8007"\nlink_mbps: 7.3\nseeds: [{seeds}]\n'
                "version_time: 8000ms\ncontact_time: 3000ms\n"
            )

    def start(self):
        log = open(self.deployment.path(f"{self.name}.log"), "a", encoding="utf-8")
        command = [s.PROGRAM, "loader", "--settings", self.settings]
        self.process = subprocess.Popen(command, cwd=s.ROOT, stdout=log, stderr=log)
        self.deployment.processes.append(self.process)
        self.deployment.note(f"loader {self.name} is started")
