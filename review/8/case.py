"""The operator raises MaxHeaderBytes. Are larger heads taken on connections that were open before?"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins_2 as s  # noqa: E402

CLIENTS = 24
SECONDS = 16
CHANGED_AT = 4
CONFIG_S = 2.0
LARGER_AT = CHANGED_AT + 2 * CONFIG_S
SMALL_HEAD, LARGE_HEAD = 1000, 24000


async def client(d, i, began, until, trouble, answers):
    """Sends a request every 0.4 s over a kept connection; with larger heads once the change is long in force."""
    loop = asyncio.get_running_loop()
    connection = s.Connection(d.gateways[i % len(d.gateways)][2])
    while loop.time() < until:
        attempt = s.attempt_id()
        is_large = trouble and loop.time() >= began + LARGER_AT
        headers = [
            ("Host", "registry.example"), ("Driftnotch-Attempt-Id", attempt), ("Authorization", "Token key-1"),
            ("Driftnotch-Deadline-Ms", "4000"), ("Cookie", "c" * (LARGE_HEAD if is_large else SMALL_HEAD)),
        ]
        answer = await connection.send(s.request_bytes("GET", "/sums/a", headers, b""), 4)
        d.note(f"client {i} attempt {attempt} large {is_large} status {answer.status} {answer.error}")
        answers.append((is_large, answer))
        await asyncio.sleep(0.4)
    connection.close()


async def case(d, trouble):
    routes = [s.route("sums", "registry.example", "/sums/", "registry-api", "safe", TargetLatencyMs=300)]
    services = [{"Name": "registry-api", "HealthPath": "/healthz", "MaxConnections": 100}]
    await d.start(["rec-a", "for-b", "ssa-c"], s.config(1, routes, services, {"hops": ["key-1"]}))
    for n, zone in enumerate(["rec-a", "for-b", "ssa-c"]):
        await d.start_runner("registry-api", zone, 30 + n, slots=16, work_ms=20)
    await d.wait_until_ready()
    await asyncio.sleep(1.5)
    loop = asyncio.get_running_loop()
    began, answers = loop.time(), []
    until = began + SECONDS
    clients = [asyncio.ensure_future(client(d, i, began, until, trouble, answers)) for i in range(CLIENTS)]
    await asyncio.sleep(CHANGED_AT)
    if trouble:
        d.store.put("op", "config", s.config(2, routes, services, {"hops": ["key-1"]}, MaxHeaderBytes=65536))
        d.note("version 2 is acknowledged: MaxHeaderBytes 65536 instead of 16384")
    await asyncio.gather(*clients)
    denied = [a for _, a in answers if 300 <= a.status < 500 and a.status not in (408, 421, 429)]
    ok = [a for _, a in answers if a.status == 200]
    d.note(f"{len(answers)} requests, {len(ok)} served, {len(denied)} denied")
    if not ok:
        raise s.CannotRun("no request was served")
    if len(denied) > 5 + len(answers) / 500:
        statuses = sorted({a.status for a in denied})
        return f"DENIED: {len(denied)} of {len(answers)} proper requests ended with {statuses}"
    return ""


s.main(HERE, case)
