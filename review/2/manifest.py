"""The origin of weights sends one manifest with one wrong digit, to the first loader that asks.

The other loaders copy the manifest from that one, and all look for a piece that doesn't exist. None asks the origin for
the manifest again, and none goes on to the next release. The release is named 6 s after a final fault.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s  # noqa: E402

DOWN_S = 0.5
# From the return of the processes to the release, and to the next one.
RELEASES_S = (6.0, 18.0)
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
    await store.put("op", "config", s.config(origin.server.addr, version=2))
    record.write("configuration 2 is acknowledged")
    fault_at = record.now()
    if trouble:
        await s.kill_all(processes, DOWN_S)
    back_at = record.now()
    await asyncio.sleep(RELEASES_S[0])
    if trouble and not s.only_final_fault():
        origin.spoilt_manifests = 1
    await s.release(record, store, origin, 2)
    await asyncio.sleep(back_at + RELEASES_S[1] - record.now())
    await s.release(record, store, origin, 3)
    await asyncio.sleep(back_at + RECOVERY_S + OBSERVED_S - record.now())
    traffic.cancel()
    for runner in runners:
        record.write(f"{runner.id} holds version {runner.version}; taken: {[(round(at, 1), v) for at, v, _ in runner.takes]}")
    record.write(f"manifests asked of the origin since the return: {sorted(v for at, what, v in origin.asked if what == 'manifest' and at >= back_at)}")
    return s.judge_recovery(record, answers, fault_at, back_at, RECOVERY_S, LEAST_SERVED)


s.main(case, "record-manifest.txt")
