"""One report of one runner has a wrong digit: is the model ever served again?"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import engine_2 as e  # noqa: E402
import standins_2 as s  # noqa: E402

ZONES = ["rec-a", "for-b", "ssa-c"]
ENGINES_PER_ZONE = 2
RATE = 20
SECONDS = 60
RELEASED_AT, SPOILT_AT, FINAL_FAULT_AT, DOWN_S, RECOVERY_S = 3, 14, 20, 0.5, 12
SPOILT_VERSION = 9


async def request(d, n, answers):
    """Sends a request; nine in ten are for the model."""
    loop = asyncio.get_running_loop()
    sent, attempt, is_plain = loop.time(), s.attempt_id(), n % 10 == 0
    headers = [
        ("Host", "registry.example"), ("Driftnotch-Attempt-Id", attempt), ("Authorization", "Token key-1"),
        ("Driftnotch-Deadline-Ms", "4000"),
    ]
    if not is_plain:
        headers += [("Driftnotch-Model", e.MODEL), ("Driftnotch-Token-Usage", "400,50")]
    data = s.request_bytes("POST", "/index/a" if is_plain else "/notes/a", headers, attempt.encode())
    connection = s.Connection(d.gateways[n % len(d.gateways)][2])
    answer = await connection.send(data, 4)
    connection.close()
    served = answer.status == 200 and answer.complete and not answer.error
    d.note(f"client {'index' if is_plain else 'notes'} attempt {attempt} status {answer.status} {answer.error}")
    answers.append((sent, served, is_plain))


async def traffic(d, answers, until):
    loop = asyncio.get_running_loop()
    due, n, requests = loop.time(), 0, []
    while due < until:
        await asyncio.sleep(max(0, due - loop.time()))
        requests.append(asyncio.ensure_future(request(d, n, answers)))
        n, due = n + 1, due + 1 / RATE
    await asyncio.gather(*requests)


def configuration(version, origin):
    routes = [
        s.route("notes", "registry.example", "/notes/", "llm-pool", "stream", ResumeStreams=True, TargetGapMs=400),
        s.route("index", "registry.example", "/index/", "registry-api", "unsafe", MaxAttempts=1, Priority=2),
    ]
    services = [
        {"Name": "llm-pool", "HealthPath": "/healthz", "MaxConnections": 424, "Engine": e.ENGINE},
        {"Name": "registry-api", "HealthPath": "/healthz", "MaxConnections": 100},
        {"Name": "portal-web", "HealthPath": "/healthz", "MaxConnections": 48, "Origin": origin, "LinkMbps": 7.3},
    ]
    return s.config(version, routes, services, {"hops": ["key-1"]})


async def final_fault(d, origin, loaders):
    """Kills all of the system's processes right after a configuration is acknowledged, and starts them again."""
    d.store.put("op", "config", configuration(2, origin))
    processes = [process for _, process, _ in d.gateways.values()] + [loader.process for loader in loaders]
    for process in processes:
        process.kill()
    d.note(f"all {len(processes)} processes of the system are killed")
    await asyncio.sleep(DOWN_S)
    for process in processes:
        process.wait()
    for i, (domain, _, _) in list(d.gateways.items()):
        d.start_gateway(i, domain)
    for loader in loaders:
        loader.start()


async def case(d, trouble):
    is_spoilt = trouble and os.environ.get("TROUBLE") != "fault"
    origin = e.Origin()
    await origin.start(d.ip(3))
    await d.start(ZONES, configuration(1, origin.address))
    engines, loaders = [], []
    for n in range(ENGINES_PER_ZONE * len(ZONES)):
        engine = e.Engine(d, f"i-{n:04x}", ZONES[n % len(ZONES)], d.ip(40 + n))
        await engine.start()
        engines.append(engine)
        loaders.append(e.Loader(d, engine, d.seeds))
        loaders[-1].start()
    for n, zone in enumerate(ZONES):
        await d.start_runner("registry-api", zone, 30 + n)
    await d.wait_until_ready()
    await asyncio.sleep(2)
    loop = asyncio.get_running_loop()
    began, answers = loop.time(), []
    running = asyncio.ensure_future(traffic(d, answers, began + SECONDS))
    until = lambda at: asyncio.sleep(max(0, began + at - loop.time()))
    await until(RELEASED_AT)
    origin.newest = 2
    d.store.put("op", "version/" + e.MODEL, {"Model": e.MODEL, "Version": 2})
    d.note("version 2 of the weights is named")
    await until(SPOILT_AT)
    if any(engine.version != 2 for engine in engines):
        raise s.CannotRun("the runners don't have version 2 yet")
    if is_spoilt:
        engines[0].spoilt_version = SPOILT_VERSION
    await until(FINAL_FAULT_AT)
    if trouble:
        await final_fault(d, origin.address, loaders)
    await running
    for line in d.gateway_lines("event=released", "event=stored"):
        d.note(line)
    share = lambda of: sum(1 for a in of if a[1]) / max(1, len(of))
    before = [a for a in answers if a[0] < began + FINAL_FAULT_AT]
    after = [a for a in answers if a[0] > began + FINAL_FAULT_AT + DOWN_S + RECOVERY_S]
    notes = [a for a in after if not a[2]]
    d.note(
        f"{share(before):.3f} of {len(before)} served before the final fault, {share(after):.3f} of {len(after)} after "
        f"the recovery; of those for the model {share(notes):.3f} of {len(notes)}"
    )
    if share(before) < 0.25:
        raise s.CannotRun("under a quarter was served before the final fault")
    if share(after) < 0.25:
        return f"RECOVER: {share(before):.3f} served before the final fault, {share(after):.3f} over {RECOVERY_S} s after it"
    return ""


s.main(HERE, case)
