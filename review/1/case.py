"""A server sends bytes without an end in the body of a few answers: in the line before a chunk."""

import asyncio
import os
import sys

from deployment import BROKEN, HELD, LIMITS, NOT_RUN, TROUBLE, is_ok, run, start_fronts  # sets the path of the stand-ins
import gateway
import world

FRONTS = 3
STREAMS_PER_S = 6
PLAY_S = 90
FAULTY_MB_PER_S = 30  # of one such answer; the link of a `side` machine carries 250, that of a `front` 125
ENDS_TO_BREAK = 3  # in a day, by themselves ...
MACHINES_TO_BREAK = 2  # ... on so many machines


class FaultyEngine(world.Engine):
    """A sound model server, but for one answer every five seconds: its body is no chunk and never ends."""

    spoiled = 0
    budget = 0

    async def stream(self, request, writer):
        accepted = request.headers.get("expect-instance") == self.id and "kv-from" not in request.headers
        if not (self.budget > 0 and accepted):
            return await super().stream(request, writer)
        self.budget -= 1
        self.spoiled += 1
        request_id = request.headers["request-id"]
        self.record_run(request)
        self.active[request_id] = 0
        try:
            fields = "".join(f"{k}: {v}\r\n" for k, v in self.reply_headers(request))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                         + fields.encode() + b"\r\n40;x=")
            block = b"y" * 65536
            pause = len(block) / (FAULTY_MB_PER_S * 1e6)
            next_block = asyncio.get_running_loop().time()
            while not writer.transport.is_closing():
                writer.write(block)
                await writer.drain()
                next_block += pause
                await asyncio.sleep(max(0.0, next_block - asyncio.get_running_loop().time()))
            return False
        finally:
            self.active.pop(request_id, None)


async def watch_memory(front, record, ends, peaks, stopping):
    """The platform: kills a process that exceeds MemoryMb, and starts it again after a short delay."""
    while not stopping.is_set():
        used = front.resident_mb()
        peaks[front.name] = max(peaks[front.name], used)
        if used > LIMITS["MemoryMb"]:
            await front.stop()
            ends[front.name] += 1
            record.write(f"{front.name}: {used:.0f} MB resident, over MemoryMb {LIMITS['MemoryMb']}: killed by the platform")
            await asyncio.sleep(0.5)
            await front.start()
        elif front.process.returncode is not None:
            ends[front.name] += 1
            record.write(f"{front.name}: ended by itself with {front.process.returncode}")
            await asyncio.sleep(0.5)
            await front.start()
        await asyncio.sleep(0.01)


async def send(front, kind, record, counts):
    outcome = await gateway.call(front.port, kind, timeout_s=25)
    if outcome.status == 200 and outcome.is_complete:
        result = "complete"
    elif outcome.status:
        result = f"status {outcome.status}{'' if outcome.is_complete else ', broken off'}"
    else:
        result = "no answer"
    counts[result] = counts.get(result, 0) + 1
    record.write(f"{outcome.request_id} {kind} at {front.name}: {result} {outcome.detail}")


async def play(folder, record):
    platform = world.World(engines=6, plain=3)
    faulty = [FaultyEngine(platform, "e0", "models", "a"), FaultyEngine(platform, "e1", "models", "b")]
    platform.engines[:2] = faulty
    await platform.start()
    fronts, all_ready = await start_fronts(folder, platform.store.address, FRONTS)
    ends = {front.name: 0 for front in fronts}
    peaks = {front.name: 0.0 for front in fronts}
    counts, stopping, sent = {}, asyncio.Event(), []
    try:
        if not all_ready:
            record.verdict("the processes did not become ready")
            return NOT_RUN
        watchers = [asyncio.create_task(watch_memory(f, record, ends, peaks, stopping)) for f in fronts]
        loop = asyncio.get_running_loop()
        end, number = loop.time() + PLAY_S, 0
        while loop.time() < end and sum(n >= ENDS_TO_BREAK for n in ends.values()) < MACHINES_TO_BREAK:
            ready = [f for f in fronts if await is_ok(f.ready_port)]
            if TROUBLE and number % (5 * STREAMS_PER_S) == STREAMS_PER_S:
                for server in faulty:
                    server.budget = 1
            if ready:
                front = ready[number % len(ready)]
                sent.append(asyncio.create_task(send(front, "stream", record, counts)))
                sent.append(asyncio.create_task(send(front, "publish", record, counts)))
            number += 1
            await asyncio.sleep(1 / STREAMS_PER_S)
        stopping.set()
        await asyncio.gather(*watchers)
    finally:
        stopping.set()
        for front in fronts:
            await front.stop()
        for task in sent:
            task.cancel()
        await asyncio.gather(*sent, return_exceptions=True)
        await platform.stop()
    spoiled = sum(server.spoiled for server in faulty)
    runs = sum(sum(target.runs.values()) for target in platform.targets)
    record.write(f"runs at servers: {runs}; answers without an end: {spoiled}; clients saw: {counts}")
    record.write("largest resident memory in MB: " + ", ".join(f"{n} {p:.0f}" for n, p in peaks.items()))
    broken = sum(n >= ENDS_TO_BREAK for n in ends.values()) >= MACHINES_TO_BREAK
    record.verdict(f"{'BROKEN' if broken else 'held'}: ends of processes by themselves {ends}; "
                   f"{spoiled} answers of {number} streams had no end")
    return BROKEN if broken else HELD


run(play, os.path.dirname(os.path.abspath(__file__)))
