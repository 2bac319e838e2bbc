"""A part of prompts crashes each engine that begins to write on it. Requests with it come a few at a time."""

import asyncio
import itertools
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from engines import Engine  # noqa: E402
from standins import Gateway, Store, call, configuration, route, run_case  # noqa: E402

CONTACT_S = 3.0
ENGINES = 24  # as majikoi-lovage
FIRST, DEADLY, SOUND = "5c1e07a2", "91bd3f06", "77aa10c4"  # parts of prompts; the lengths of the page's example
GROUPS, AT_ONCE, GROUP_S = 5, int(os.environ.get("AT_ONCE", "3")), 4.0
NUMBERS = itertools.count(1)


async def ask(gateways, record, path, middle, outcomes):
    number = next(NUMBERS)
    request_id = f"{'p' if middle == DEADLY else 's'}{number:05}"
    fields = [("Model", "m"), ("Token-Count", "1460,560"),
              ("Prompt-Prefix", f"{FIRST}:800,{middle}:410,{number:08x}:250")]
    outcome = await call(gateways[number % len(gateways)], record, request_id, "POST", path, fields,
                         b"document %d" % number, deadline_ms=25000)
    outcomes.append(outcome)


async def sound_traffic(gateways, record, outcomes, tasks):
    while True:
        for path in ("/story/x", "/live/x"):
            tasks.append(asyncio.create_task(ask(gateways, record, path, SOUND, outcomes)))
        await asyncio.sleep(0.25)


async def case(record, trouble, folder):
    store = Store()
    await store.start()
    engines = [Engine(store, record, f"e{i}", "models", "abc"[i % 3]) for i in range(ENGINES)]
    crashes, arrivals = [], []
    gateways, tasks, sound, deadly = [], [], [], []
    traffic = None
    try:
        for engine in engines:
            engine.deadly_part = DEADLY if trouble else ""
            engine.on_crash = lambda engine, request_id: crashes.append(time.monotonic())
            await engine.start()
        streams = dict(GapAimMs=700, Sticky=True)
        store.put("op/config", configuration(3, [
            route("story", "streaming", "models", 5, 25000, 4500, Resumable=True, **streams),
            route("live", "streaming", "models", 1, 25000, 4500, Resumable=False, **streams)],
            [{"Name": "models", "MaxConns": 360,
              "Engine": {"Slots": 64, "KvCapacityTokens": 88000, "Backups": True}}]))
        seeds = []
        for i, zone in enumerate("abc"):
            gateways.append(Gateway(folder, f"front-{i}", zone, store.address, list(seeds)))
            seeds.append(gateways[-1].peer_address)
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        traffic = asyncio.create_task(sound_traffic(gateways, record, sound, tasks))
        await asyncio.sleep(6.0)  # in touch, and sound requests have been served
        for _ in range(GROUPS):
            group = [asyncio.create_task(ask(gateways, record, "/story/x", DEADLY, deadly)) for _ in range(AT_ONCE)]
            tasks += group
            await asyncio.sleep(GROUP_S)
        traffic.cancel()
        await asyncio.wait(tasks, timeout=8.0)
        for at, words in record.lines:
            if words[0] == "run" and words[2].startswith("p"):
                arrivals.append(record.began + at)
        if any(gateway.has_ended for gateway in gateways):
            return "a gateway has ended"
        cut = [o for o in sound if not o.is_complete]
        record.add("summary", f"{len(crashes)} crashes, {len(arrivals)} runs of deadly requests,"
                   f" {len(sound)} sound streams, {len(cut)} of them cut")
        if len(crashes) < 5:
            return ""
        limit = sorted(crashes)[4] + CONTACT_S
        late = [at for at in arrivals if at > limit]
        lost = [o for o in cut if o.ended_at > limit and o.status == 200]
        record.add("summary", f"fifth crash at {sorted(crashes)[4] - record.began:.3f};"
                   f" {len(late)} deadly requests reached servers later than ContactMs after it,"
                   f" {len(lost)} sound streams were cut since")
        if len(late) > 3:
            return f"{len(late)} requests with the deadly part reached servers later than ContactMs after the fifth" \
                   f" crash; {len(lost)} sound streams were cut since"
        return ""
    finally:
        if traffic:
            traffic.cancel()
        for task in tasks:
            task.cancel()
        for gateway in gateways:
            await gateway.kill()
        for server in engines + [store]:
            await server.stop()


run_case(os.path.join(HERE, "record.txt"), case)
