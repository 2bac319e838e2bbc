"""Settings files change: a bound becomes a fraction. Then the machines are stopped and started in turn."""

import asyncio
import os
import signal
import time

from deployment import BROKEN, HELD, NOT_RUN, TROUBLE, is_ok, run, start_fronts
import gateway
import world

FRONTS = 3
GRACE_S = 7.5  # in place of 8
BETWEEN_STOPS_S = 9.0
RESTART_DELAY_S = 0.5
REQUESTS_PER_S = 20
AFTER_S = 12.0
ENDS_TO_BREAK = 3  # in a day, by themselves ...
MACHINES_TO_BREAK = 2  # ... on so many machines


async def keep_running(front, record, ends, stopped_at, stopping):
    """The platform: starts a process that has ended again after a short delay, with the settings in effect."""
    while not stopping.is_set():
        code = await front.process.wait()
        if stopping.is_set():
            return
        # An end during the planned stop, or within a second of it, isn't one by itself.
        is_planned = front.name in stopped_at and stopped_at[front.name] is None
        if is_planned:
            stopped_at[front.name] = time.monotonic()
        elif time.monotonic() - stopped_at.get(front.name, 0.0) > 1.0:
            ends[front.name] += 1
        record.write(f"{front.name} ended with {code}{' after its SIGTERM' if is_planned else ' by itself'}")
        await asyncio.sleep(RESTART_DELAY_S)
        await front.start()


async def send(front, record, counts):
    outcome = await gateway.call(front.port, "read", timeout_s=3)
    result = f"status {outcome.status}" if outcome.is_complete else "no answer"
    counts.append((time.monotonic(), result))
    record.write(f"{outcome.request_id} read at {front.name}: {result} {outcome.detail}")


async def play(folder, record):
    platform = world.World(engines=3, plain=3)
    await platform.start()
    fronts, all_ready = await start_fronts(folder, platform.store.address, FRONTS)
    ends = {front.name: 0 for front in fronts}
    stopped_at, counts, tasks, stopping = {}, [], [], asyncio.Event()
    if not all_ready:
        record.verdict("the processes did not become ready")
        return NOT_RUN
    keepers = [asyncio.create_task(keep_running(f, record, ends, stopped_at, stopping)) for f in fronts]

    async def disturb():
        await asyncio.sleep(3)
        for front in fronts:
            if TROUBLE:
                front.bounds["GraceS"] = GRACE_S
                record.write(f"the settings of {front.name} change: GraceS = {GRACE_S}; SIGHUP")
            front.signal(signal.SIGHUP)
        for front in fronts:
            await asyncio.sleep(1)
            stopped_at[front.name] = None
            record.write(f"SIGTERM for {front.name}")
            front.signal(signal.SIGTERM)
            await asyncio.sleep(BETWEEN_STOPS_S)
        await asyncio.sleep(AFTER_S)

    try:
        disturbance, number = asyncio.create_task(disturb()), 0
        while not disturbance.done():
            front = fronts[number % FRONTS]
            number += 1
            if await is_ok(front.ready_port):
                tasks.append(asyncio.create_task(send(front, record, counts)))
            else:
                counts.append((time.monotonic(), "no machine ready"))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await disturbance
    finally:
        stopping.set()
        for front in fronts:
            await front.stop()
        for task in tasks + keepers:
            task.cancel()
        await asyncio.gather(*tasks, *keepers, return_exceptions=True)
        await platform.stop()
    late = [result for at, result in counts if at > time.monotonic() - AFTER_S]
    served = sum(result == "status 200" for result in late)
    with open(os.path.join(folder, fronts[0].name + ".log"), encoding="utf-8") as file:
        for line in file:
            if not line.startswith("{"):
                record.write(f"{fronts[0].name} wrote: {line.strip()}")
                break
    broken = sum(n >= ENDS_TO_BREAK for n in ends.values()) >= MACHINES_TO_BREAK
    record.verdict(f"{'BROKEN' if broken else 'held'}: ends of processes by themselves {ends}; in the last {AFTER_S:.0f} s "
                   f"{served} of {len(late)} requests were served")
    return BROKEN if broken else HELD


run(play, os.path.dirname(os.path.abspath(__file__)))
