"""The store cuts a waiting watch now and then, while a server leaves whose entry is removed without `draining`.

The servers' heartbeats bring no events: an entry "changes when more than `Seq` changes".
"""

import asyncio
import os
import time

from deployment import BOUNDS, BROKEN, HELD, NOT_RUN, TROUBLE, run, start_fronts
import gateway
import world

FRONTS = 3
REQUESTS_PER_S = 90
CUT_S = 2.0  # between two cuts of the waiting watches
WARM_UP_S = 6.0
SERVES_ON_S = 14.0  # after the removal of its entry; PROTOCOL.md: "at times many seconds"
AFTER_S = 3.0


class CuttingStore(world.Store):
    """A sound store that closes the connections of waiting watches when it is told to."""

    def __init__(self):
        super().__init__()
        self.waiting, self.cuts = set(), 0

    async def handle(self, request, writer):
        is_watch = request.path == "/kv-watch"
        if is_watch:
            self.waiting.add(writer)
        try:
            return await super().handle(request, writer)
        finally:
            self.waiting.discard(writer)

    def cut(self):
        for writer in list(self.waiting):
            self.cuts += 1
            writer.transport.close()


class LeavingServer(world.PlainServer):
    """Notes when each request arrives that it runs, and which it left unanswered."""

    def __init__(self, *args):
        super().__init__(*args)
        self.arrived = []

    def record_run(self, request):
        super().record_run(request)
        self.arrived.append((time.monotonic(), request.headers["request-id"]))


async def send(front, record, counts, sent_at):
    started = time.monotonic()
    outcome = await gateway.call(front.port, "publish", timeout_s=5)
    sent_at[outcome.request_id] = started
    result = f"status {outcome.status}" if outcome.is_complete else "no whole answer"
    counts[result] = counts.get(result, 0) + 1
    record.write(f"{outcome.request_id} publish at {front.name}: {result} {outcome.detail}")


async def play(folder, record):
    platform = world.World(engines=3, plain=4)
    platform.store = CuttingStore()
    leaver = LeavingServer(platform, "p0", "app", "a")
    platform.plain[0] = leaver
    for server in platform.plain:
        server.work_s = 0.06  # SYSTEM.md: work ms of the plain requests
    await platform.start()
    fronts, all_ready = await start_fronts(folder, platform.store.address, FRONTS)
    counts, sent_at, sent = {}, {}, []
    removed_at = None
    try:
        if not all_ready:
            record.verdict("the processes did not become ready")
            return NOT_RUN
        loop = asyncio.get_running_loop()
        began = loop.time()
        next_cut, number, has_ended = began + WARM_UP_S - CUT_S - 0.5, 0, False
        while loop.time() < began + WARM_UP_S + SERVES_ON_S + AFTER_S:
            now = loop.time()
            if TROUBLE and now >= next_cut:
                platform.store.cut()
                next_cut += CUT_S
                record.write("the store cut the waiting watches")
            if removed_at is None and now >= began + WARM_UP_S:
                leaver.unregister()
                removed_at = time.monotonic()
                record.write(f"the entry of {leaver.id} was removed; it serves on for {SERVES_ON_S} s")
            if not has_ended and now >= began + WARM_UP_S + SERVES_ON_S:
                has_ended = True
                await leaver.stop()
                record.write(f"{leaver.id} has ended")
            sent.append(asyncio.create_task(send(fronts[number % FRONTS], record, counts, sent_at)))
            number += 1
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.wait(sent, timeout=6)
    finally:
        for front in fronts:
            await front.stop()
        for task in sent:
            task.cancel()
        await asyncio.gather(*sent, return_exceptions=True)
        await platform.stop()
    limit = removed_at + BOUNDS["DrainMs"] / 1000
    late = [(at, name) for at, name in leaver.arrived if at > limit]
    for at, name in late:
        record.write(f"{name} ran at {leaver.id} {at - removed_at:.3f} s after the removal of its entry "
                     f"(sent by the client {sent_at.get(name, at) - removed_at:.3f} s after it)")
    last = max((at - removed_at for at, _ in late), default=0.0)
    record.write(f"cuts of watches: {platform.store.cuts}; requests {number}; clients saw: {counts}; "
                 f"runs at {leaver.id}: {len(leaver.arrived)}")
    record.verdict(f"{'BROKEN' if late else 'held'}: {len(late)} requests ran at the server later than DrainMs after the "
                   f"store had acknowledged that it is gone, the last {last:.2f} s after it; clients saw {counts}")
    return BROKEN if late else HELD


run(play, os.path.dirname(os.path.abspath(__file__)))
