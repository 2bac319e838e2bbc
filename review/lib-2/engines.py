"""A stand-in of the users' model servers, written from their pages."""

import asyncio
import json

from standins import Server, answer

STEP_S = 0.0037  # per token
EVENT_TOKENS = 7
TOKENS_PER_MS = 8  # of a prompt
BATCH, KV_TOKENS = 64, 88000


def parts_of(request):
    text = request.headers.get("prompt-prefix", "")
    return [(part.split(":")[0], int(part.split(":")[1])) for part in text.split(",") if part]


def prefixes_of(parts):
    """Returns a hash for each prefix of the prompt that ends with a part."""
    prefix, prefixes = 0, []
    for key, _ in parts:
        prefix = hash((prefix, key))
        prefixes.append(prefix)
    return prefixes


class Engine(Server):
    """Reads the prompt beyond the parts that it keeps, and sends events. It keeps no copies for other servers."""

    deadly_part = ""  # it crashes when it begins to write an answer on this part
    restart_s = 2.5

    def __init__(self, store, record, name, service, zone):
        super().__init__(store, record, name, service, zone, slots=BATCH)
        self.kept, self.active = set(), {}
        self.on_crash = None
        self.restarts = None

    async def start(self):
        self.kept, self.active = set(), {}
        await super().start()

    def crash(self, request_id):
        self.record.add("crash", self.id, request_id)
        if self.on_crash:
            self.on_crash(self, request_id)
        self.restarts = asyncio.create_task(self._crash())

    async def _crash(self):
        key = self.key
        await self.stop()
        await asyncio.sleep(self.restart_s)
        await self.start()
        # Its silent entry is removed after three heartbeat intervals.
        await asyncio.sleep(max(3.6 - self.restart_s, 0.0))
        self.store.remove(key)

    async def handle(self, request, writer):
        if request.path == "/report":
            body = {"Stage": "both", "Models": [{"Name": "m", "Version": 1, "Adapters": []}], "Busy": False, "Seq": 0,
                    "Waiting": 0, "Running": self.running, "KvUsed": 0, "KvTotal": KV_TOKENS, "Handles": 0,
                    "State": self.state, "Next": 0, "Pinned": 0, "held": 0,
                    "Runs": [[key, 1000, events, 5] for key, events in self.active.items() if events > 0]}
            writer.write(answer(200, json.dumps(body).encode()))
        elif request.path == "/kv-list":
            writer.write(answer(200, json.dumps({"epoch": self.born, "Next": 0, "held": []}).encode()))
        elif request.path == "/kv-move":
            writer.write(answer(503))  # no room at the destination
        elif request.path.startswith("/kv-handle/"):
            writer.write(answer(404))
        else:
            return await super().handle(request, writer)
        await writer.drain()
        return True

    def refusal(self, request):
        if refused := super().refusal(request):
            return refused
        if "kv-from" in request.headers:
            # No copy is there: the server had no room for it.
            return answer(503, headers=[("Not-Executed", "1")] + self.own_fields(request))
        return None

    def tokens_to_read(self, parts):
        left = 0
        for (_, tokens), prefix in zip(parts, prefixes_of(parts)):
            left += 0 if left == 0 and prefix in self.kept else tokens
        return left

    async def run(self, request, writer):
        request_id, parts = request.headers["request-id"], parts_of(request)
        self.active[request_id] = 0
        try:
            await asyncio.sleep(self.tokens_to_read(parts) / TOKENS_PER_MS / 1000 + STEP_S)
            if self.deadly_part and any(key == self.deadly_part for key, _ in parts):
                self.crash(request_id)
                await asyncio.sleep(60)
            self.kept.update(prefixes_of(parts))
            fields = self.answer_fields(request) + [("Weight-Versions", "1"), ("Content-Type", "text/event-stream"),
                                                    ("Transfer-Encoding", "chunked")]
            writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields) + "\r\n").encode())
            first = int(request.headers.get("last-event-id") or 0) + 1
            last = int(request.headers["token-count"].split(",")[1]) // EVENT_TOKENS
            for number in range(first, last + 1):
                event = f"id: {number}\ndata: {request_id}:{number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                if writer.transport.is_closing():
                    return False
                self.active[request_id] = number
                await asyncio.sleep(STEP_S * EVENT_TOKENS)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.active.pop(request_id, None)

    async def stop(self):
        if self.restarts is not None and self.restarts is not asyncio.current_task():
            self.restarts.cancel()
        await super().stop()
