"""Stand-ins of the second review: store, runners, clients, and the start of gateways.

Everything listens on loopback addresses. A script of a case runs the store, the operator, the balancer and the clients
in its own process, and starts gateways and runners as separate processes.

    standins_2.py runner JSON      runs one runner until it is killed; writes a line for each thing that it does
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, quote, urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
PROGRAM = os.path.join(ROOT, "target", "release", "driftnotch")

HEARTBEAT_S = 1.2
REGIONS = {"rec-a": "recife", "for-b": "fortaleza", "ssa-c": "salvador"}


class CannotRun(Exception):
    """The case can't run here."""


# --- HTTP ---------------------------------------------------------------------------------------------------------


async def read_head(reader):
    """Returns the first line and the headers, names in lower case; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    """Returns method, target, headers and body; None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


class Answer:
    """What a client saw of an answer."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""
        self.took = 0.0


async def read_answer(reader):
    """Reads an answer. It is complete if its framing says so; a closed connection ends one without a length."""
    answer = Answer()
    head = await read_head(reader)
    if head is None:
        answer.error = "closed without an answer"
        return answer
    first, answer.headers = head
    answer.status = int(first.split(" ")[1])
    try:
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await reader.readline()
                if not line.endswith(b"\r\n"):
                    raise asyncio.IncompleteReadError(line, None)
                size = int(line.split(b";")[0], 16)
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
            answer.complete = True
        elif "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            while len(answer.body) < length:
                part = await reader.read(length - len(answer.body))
                if not part:
                    raise asyncio.IncompleteReadError(answer.body, length)
                answer.body += part
            answer.complete = True
        else:
            answer.body = await reader.read(-1)
            answer.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as e:
        answer.error = f"broke off ({type(e).__name__})"
    return answer


def request_bytes(method, path, headers, body):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Connection:
    """A kept connection of a client."""

    def __init__(self, addr):
        self.addr = addr
        self.reader = self.writer = None

    async def send(self, data, timeout):
        """Sends a request, and returns its answer."""
        started = time.monotonic()
        answer = Answer()
        try:
            async with asyncio.timeout(timeout):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(*self.addr)
                self.writer.write(data)
                try:
                    await self.writer.drain()
                except ConnectionError:
                    pass
                answer = await read_answer(self.reader)
        except TimeoutError:
            answer.error = "no answer within the deadline"
        except OSError as e:
            answer.error = str(e)
        if answer.error or answer.headers.get("connection", "").lower() == "close":
            self.close()
        answer.took = time.monotonic() - started
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def attempt_id():
    return f"{random.getrandbits(64):016x}"


# --- The platform's store -----------------------------------------------------------------------------------------


class Store:
    """Tables of rows by the users' protocol, as a linearizable store that is always up."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.log = []
        self.changed = asyncio.Event()

    async def start(self, ip, port=8007):
        self.addr = (ip, port)
        self.server = await asyncio.start_server(self.serve, ip, port)

    def put(self, table, key, value):
        """Writes a row as the operator or a runner does; None removes it."""
        data = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self.write(table, key, data)
        self.notify()

    def write(self, table, key, data):
        self.version += 1
        if data is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (data, self.version)
        self.log.append((self.version, table, key))

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, key):
        if (table, key) not in self.rows:
            return None
        data, version = self.rows[(table, key)]
        return {"Table": table, "part": "", "Key": key, "Value": data, "SchemaVersion": version}

    def table(self, table):
        return [self.row(t, k) for t, k in sorted(self.rows) if t == table]

    async def serve(self, reader, writer):
        try:
            while (req := await read_request(reader)) is not None:
                method, target, _, body = req
                status, answer = await self.answer(method, target, body)
                answer.update({"SchemaVersion": self.version, "NowMs": int(time.monotonic() * 1000)})
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/driftnotch/rows-get":
            rows = [r for r in self.table(query["Table"]) if r["Key"] >= query.get("From", "")]
            if "TargetVersion" in query:
                rows = [r for r in rows if r["Key"] < query["TargetVersion"]]
            limit = min(500, int(query.get("Limit", "500")))
            return 200, {"Rows": rows[:limit], "HasMore": len(rows) > limit}
        if url.path == "/driftnotch/rows-feed":
            return 200, {"Rows": await self.feed(query)}
        if url.path == "/driftnotch/rows-tx":
            return self.transact(json.loads(body))
        return 404, {}

    async def feed(self, query):
        table, after = query["Table"], int(query.get("AfterRevision", "0"))
        until = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            changed = {k: v for v, t, k in self.log if t == table and v > after}
            if changed:
                keys = sorted(changed, key=changed.get)
                removed = lambda k: {"Table": table, "part": "", "Key": k, "SchemaVersion": changed[k], "Removed": True}
                return [self.row(table, k) or removed(k) for k in keys]
            left = until - time.monotonic()
            if left <= 0:
                return []
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def transact(self, tx):
        for row in tx.get("ExpectedRevision", []):
            held = self.row(row["Table"], row["Key"])
            if (held["SchemaVersion"] if held else 0) != row["SchemaVersion"]:
                return 412, {"Rows": [held] if held else []}
        for row in tx.get("SetKeys", []):
            self.write(row["Table"], row["Key"], row["Value"])
        for row in tx.get("Remove", []):
            self.write(row["Table"], row["Key"], None)
        self.notify()
        return 200, {}


# --- A runner, as a process of its own ------------------------------------------------------------------------------


class Runner:
    """Runs requests by the users' protocol. Its settings: id, ip, port, slots, work_ms, framing, events, gap_ms."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.running = 0
        self.free = asyncio.Condition()

    def say(self, what, attempt):
        print(f"{time.monotonic():.3f} {self.cfg['id']} {what} {attempt}", flush=True)

    async def serve(self, reader, writer):
        try:
            while (req := await read_request(reader)) is not None:
                work = asyncio.ensure_future(self.answer(req, writer))
                closed = asyncio.ensure_future(self.wait_for_close(reader))
                await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
                closed.cancel()
                if not work.done():
                    # A runner drops a request once its connection closes.
                    work.cancel()
                    await asyncio.gather(work, return_exceptions=True)
                    break
                if work.exception() or not work.result():
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def wait_for_close(self, reader):
        # One request at a time on a connection: nothing but its end arrives meanwhile.
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.005)

    async def answer(self, req, writer):
        """Answers a request; returns whether the connection is kept."""
        method, target, headers, body = req
        attempt = headers.get("driftnotch-attempt-id", "")
        head = [f"Driftnotch-Attempt-Id: {attempt}", f"Driftnotch-Instance-Id: {self.cfg['id']}"]
        if headers.get("driftnotch-expect-instance", self.cfg["id"]) != self.cfg["id"]:
            return await self.reject(writer, 421, head)
        if self.running >= 2 * self.cfg["slots"]:
            return await self.reject(writer, 503, head)
        async with Slot(self):
            self.say("runs", attempt)
            self.say("tenant", f"{attempt}={quote(headers.get('driftnotch-tenant', ''))}")
            head.append(f"Driftnotch-Response-Signature: {self.cfg['id']}.{attempt}")
            if "driftnotch-model" in headers:
                return await self.stream(writer, head, headers, attempt)
            if self.cfg["framing"] == "close":
                return await self.answer_in_parts(writer, head, attempt)
            await asyncio.sleep(self.cfg["work_ms"] / 1000)
            data = f"answer to {attempt} by {self.cfg['id']}\n".encode()
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n".encode())
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + data)
            await writer.drain()
        self.say("done", attempt)
        return True

    async def answer_in_parts(self, writer, head, attempt):
        """Sends an answer without a length, which ends with its connection; returns that this isn't kept."""
        head = head + ["Connection: close"]
        writer.write(b"HTTP/1.1 200 OK\r\n" + ("\r\n".join(head) + "\r\n\r\n").encode())
        for i in range(1, self.cfg["events"] + 1):
            await asyncio.sleep(self.cfg["work_ms"] / 1000 / self.cfg["events"])
            writer.write(f"line {i} of {self.cfg['events']}\n".encode())
            await writer.drain()
        self.say("done", attempt)
        return False

    async def reject(self, writer, status, head):
        head = head + ["Driftnotch-Not-Executed: 1", "Content-Length: 0"]
        writer.write(f"HTTP/1.1 {status} X\r\n".encode() + ("\r\n".join(head) + "\r\n\r\n").encode())
        await writer.drain()
        return True

    async def stream(self, writer, head, headers, attempt):
        chunked = self.cfg["framing"] == "chunked"
        head = head + ["Content-Type: text/event-stream", "Driftnotch-Weight-Versions: 1"]
        head.append("Transfer-Encoding: chunked" if chunked else "Connection: close")
        writer.write(b"HTTP/1.1 200 OK\r\n" + ("\r\n".join(head) + "\r\n\r\n").encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for i in range(first, self.cfg["events"] + 1):
            await asyncio.sleep(self.cfg["gap_ms"] / 1000)
            event = f"id: {i}\ndata: piece {i} of {self.cfg['events']}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if chunked else event)
            await writer.drain()
        if chunked:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        self.say("done", attempt)
        return chunked


class Slot:
    """A slot of a runner; a request waits for a free one."""

    def __init__(self, runner):
        self.runner = runner

    async def __aenter__(self):
        async with self.runner.free:
            await self.runner.free.wait_for(lambda: self.runner.running < self.runner.cfg["slots"])
            self.runner.running += 1

    async def __aexit__(self, *_):
        async with self.runner.free:
            self.runner.running -= 1
            self.runner.free.notify()


async def run_runner(cfg):
    runner = Runner(cfg)
    server = await asyncio.start_server(runner.serve, cfg["ip"], cfg["port"])
    async with server:
        await server.serve_forever()


# --- A small deployment -------------------------------------------------------------------------------------------


class Deployment:
    """Store, gateways and runners on loopback addresses, in a temporary folder."""

    def __init__(self, record):
        self.record_file = open(record, "w", encoding="utf-8")
        self.started = time.monotonic()
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.store = Store()
        self.gateways = {}
        self.runners = {}
        self.processes = []
        self.logs = []
        self.net = free_net()
        self.seeds = ""

    def note(self, text):
        self.record_file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.record_file.flush()

    def ip(self, host):
        return f"{self.net}.{host}"

    async def start(self, gateways, config):
        """Starts the store with a configuration, and gateways by failure domain."""
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is missing; run the build of the deploy file")
        await self.store.start(self.ip(2))
        self.store.put("op", "config", config)
        seeds = ", ".join(f'"{self.ip(10 + i)}:8000"' for i in range(min(3, len(gateways))))
        self.seeds = seeds
        for i, domain in enumerate(gateways):
            self.write_settings(i, domain, seeds)
        for i, domain in enumerate(gateways):
            self.start_gateway(i, domain)

    def write_settings(self, i, domain, seeds):
        ip = self.ip(10 + i)
        domains = ", ".join(f'"{d}": "{r}"' for d, r in REGIONS.items())
        with open(self.path(f"gateway-{i}.yaml"), "w", encoding="utf-8") as f:
            f.write(
                f'role: gateway\nvm: "front-{i}"\ndomain: "{domain}"\ndomains: {{ {domains} }}\n'
                f'listen: "{ip}:8005"\nready: "{ip}:8002"\ncopies: "{ip}:8000"\nbeacon: "{ip}:7700"\n'
                f'metrics: "{ip}:9100"\nstore: "{self.ip(2)}:8007"\nseeds: [{seeds}]\nversion_time: 8000ms\n'
                "config_time: 2000ms\ncontact_time: 3000ms\nretry_window: 10s\nretry_ratio: 0.2\nretry_slack: 102\n"
            )

    def start_gateway(self, i, domain):
        log = open(self.path(f"gateway-{i}.log"), "a", encoding="utf-8")
        command = [PROGRAM, "gateway", "--settings", self.path(f"gateway-{i}.yaml")]
        process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        self.processes.append(process)
        self.gateways[i] = (domain, process, (self.ip(10 + i), 8005))
        self.note(f"gateway front-{i} in {domain} is started")

    def path(self, name):
        return os.path.join(self.folder.name, name)

    async def wait_until_ready(self):
        """Waits until every gateway says that it is ready."""
        until = time.monotonic() + 15
        for domain, _, (ip, _) in self.gateways.values():
            while True:
                answer = await Connection((ip, 8002)).send(
                    request_bytes("GET", "/driftnotch/readyz", [("Host", ip)], b""), 1
                )
                if answer.status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"the gateway at {ip} isn't ready within 15 s")
                await asyncio.sleep(0.1)

    async def start_runner(self, service, domain, host, **cfg):
        """Starts a runner as a process, and registers it."""
        instance = f"i-{random.getrandbits(40):010x}"
        cfg = {"slots": 6, "work_ms": 60, "framing": "chunked", "events": 20, "gap_ms": 60, **cfg}
        cfg.update({"id": instance, "ip": self.ip(host), "port": 8769})
        out = open(self.path(f"runner-{instance}.log"), "w", encoding="utf-8")
        process = subprocess.Popen([sys.executable, os.path.abspath(__file__), "runner", json.dumps(cfg)], stdout=out)
        self.processes.append(process)
        self.logs.append(out.name)
        runner = {"service": service, "domain": domain, "host": host, "process": process, "cfg": cfg, "beats": 0}
        runner["born"] = int(time.time() * 1000)
        for _ in range(200):
            try:
                socket.create_connection((cfg["ip"], cfg["port"]), 0.2).close()
                break
            except OSError:
                await asyncio.sleep(0.02)
        else:
            raise CannotRun("a runner doesn't start")
        self.runners[instance] = runner
        self.heartbeat(instance)
        asyncio.ensure_future(self.keep_registered(instance))
        self.note(f"runner {instance} of {service} in {domain} is started")
        return instance

    def heartbeat(self, instance):
        runner = self.runners[instance]
        runner["beats"] += 1
        cfg = runner["cfg"]
        self.store.put("servers", instance, {
            "Service": runner["service"], "Address": f"{cfg['ip']}:{cfg['port']}", "Zone": runner["domain"],
            "Version": "s1", "Slots": cfg["slots"], "State": "ready", "ColdRemainingMs": 0,
            "Sequence": runner["beats"], "born": runner["born"], **runner["cfg"].get("entry", {}),
        })

    async def keep_registered(self, instance):
        while self.runners[instance]["process"].poll() is None:
            await asyncio.sleep(HEARTBEAT_S)
            if self.runners[instance]["process"].poll() is None:
                self.heartbeat(instance)
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.put("servers", instance, None)

    def crash(self, instance):
        """Kills a runner; it declares nothing."""
        self.runners[instance]["process"].kill()
        self.note(f"runner {instance} is killed")

    def runs(self):
        """Returns the lines of all runners, in their order in time."""
        lines = []
        for name in self.logs:
            with open(name, encoding="utf-8") as f:
                lines += [line.split() for line in f if line.count(" ") == 3]
        return sorted(lines)

    def gateway_lines(self, *words):
        """Returns lines of the gateways' logs with any of some words."""
        found = []
        for i in self.gateways:
            with open(self.path(f"gateway-{i}.log"), encoding="utf-8") as f:
                found += [f"front-{i} {line.strip()}" for line in f if any(w in line for w in words)]
        return found

    def end(self):
        """Ends all processes that were started here."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        for at, instance, what, attempt in self.runs():
            self.record_file.write(f"{float(at) - self.started:8.3f} runner {instance} {what} {attempt}\n")
        self.record_file.close()
        self.folder.cleanup()


def free_net():
    """Returns the first three parts of loopback addresses whose ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host, port in [(2, 8007), (10, 8005), (10, 8000), (10, 9100), (30, 8769)]:
                with socket.socket() as s:
                    s.bind((f"{net}.{host}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def route(name, host, prefix, service, kind, **extra):
    """Returns a route with the values of a small deployment."""
    return {
        "Name": name, "Hostname": host, "PathPrefix": prefix, "Service": service, "Kind": kind, "TimeoutMs": 6000,
        "TargetLatencyMs": 500, "Priority": 1, "MaxAttempts": 2, "Public": False, **extra,
    }


def config(version, routes, services, tenants, **limits):
    """Returns a configuration."""
    return {
        "Version": version, "Routes": routes, "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, **limits,
        },
        "Tenants": [{"Name": name, "ApiKeys": keys} for name, keys in tenants.items()],
    }


async def until_end(deployment, case, trouble):
    """Runs a case. Connections that are open at its end need no report."""
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    try:
        return await case(deployment, trouble)
    finally:
        deployment.store.server.close()


def main(folder, case):
    """Runs a case and exits with its result: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    deployment = Deployment(os.path.join(folder, "record.txt"))
    # A script that is told to end still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    result = 2
    try:
        broken = asyncio.run(until_end(deployment, case, trouble))
        result = 1 if broken else 0
        deployment.note(f"trouble: {trouble}; the rule {'was broken: ' + broken if broken else 'held'}")
        print(f"trouble: {trouble}; the rule {'was broken: ' + broken if broken else 'held'}")
    except Exception as e:
        deployment.note(f"the case couldn't run: {e!r}")
        print(f"the case couldn't run: {e!r}")
    finally:
        deployment.end()
    sys.exit(result)


if __name__ == "__main__":
    if sys.argv[1:2] != ["runner"]:
        sys.exit(__doc__)
    asyncio.run(run_runner(json.loads(sys.argv[2])))
