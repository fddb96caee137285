"""The origin of weights is down for 11 s while three releases are named, the second over version_ms after the first. The
final fault kills all processes right after the first release is acknowledged.

Every loader goes on asking the origin for the first of the three releases, which the origin has dropped by then, and asks
for no other one. No runner ever gets a version that may begin requests.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s  # noqa: E402

DOWN_S = 0.5
# From the return of the processes to the second release, the third one and the return of the origin.
SECOND_S, THIRD_S, ORIGIN_BACK_S = 9.6, 9.9, 10.2
# RecoveryS of the site, and how long requests are judged after it.
RECOVERY_S, OBSERVED_S = 12.0, 30.0
# RULES.md, RECOVER: the least part of the requests that is served.
LEAST_SERVED = 0.25


async def case(record, trouble):
    store = await s.Store().start()
    origin = await s.Origin(record).start()
    runners = [await s.Runner(store, record, f"i-{n}", "llm", "zone-a", version=1).start() for n in range(3)]
    await s.Runner(store, record, "i-app", "app", "zone-a").start()
    await store.put("op", "config", s.config(origin.server.addr))
    await store.put("op", f"version/{s.MODEL}", {"Model": s.MODEL, "Version": 1})
    processes = s.Processes(record, store.server.addr)
    try:
        for n in range(2):
            processes.add_gateway(f"front-{n}", "zone-a", {"zone-a": "region-a"})
        for n, runner in enumerate(runners):
            processes.add_loader(f"side-{n}", "zone-a", runner.server.addr)
        await s.wait_until_ready(processes)
        return await play(record, trouble, store, origin, runners, processes)
    finally:
        processes.stop()


async def play(record, trouble, store, origin, runners, processes):
    await asyncio.sleep(3)
    answers = []
    traffic = asyncio.create_task(s.send_all(record, processes, answers))
    await asyncio.sleep(6)
    port = origin.server.port
    has_outage = trouble and not s.only_final_fault()
    if has_outage:
        await origin.server.stop()
        record.write("the origin is down")
        await asyncio.sleep(0.5)
    await s.release(record, store, origin, 2)
    fault_at = record.now()
    if trouble:
        await s.kill_all(processes, DOWN_S)
    back_at = record.now()
    await asyncio.sleep(SECOND_S)
    await s.release(record, store, origin, 3)
    await asyncio.sleep(THIRD_S - SECOND_S)
    await s.release(record, store, origin, 4)
    await asyncio.sleep(ORIGIN_BACK_S - THIRD_S)
    if has_outage:
        origin.server = await s.Server(origin.handle, port).start()
        record.write("the origin is back")
    origin_back_at = record.now()
    await asyncio.sleep(back_at + RECOVERY_S + OBSERVED_S - record.now())
    traffic.cancel()
    asked = {}
    for at, what, version in origin.asked:
        if at >= origin_back_at:
            asked[(what, version)] = asked.get((what, version), 0) + 1
    record.write(f"asked of the origin since its return, by call and version: {asked}")
    for runner in runners:
        record.write(f"{runner.id} holds version {runner.version}; taken: {[(round(at, 1), v) for at, v, _ in runner.takes]}")
    return s.judge_recovery(record, answers, fault_at, back_at, RECOVERY_S, LEAST_SERVED)


s.main(case)
