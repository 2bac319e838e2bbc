"""Callers that keep their connections open and send on them until the gateway closes, and the rule by which a request is lost."""

import asyncio
import itertools
import os
import random
import time

from gateway import expected_body, read_head

CONTACT_S = 3.0  # a disruption may still show for so long after its end
LOSS_SLACK_S = 0.2  # a request that crosses the close of its connection sees the close within this time
CONFIG_APPLY_S = 2.0  # time after which a configuration is in force
MAX_CLOSED = 3
CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 14.0
REQUEST_IDS = itertools.count(1)
KINDS = ["publish", "read", "publish", "read", "stream"]
# Longest time that the routes of the stand-in give a request, and how long before its end a cut is one in time.
ROUTE_TIMEOUT_S = {"publish": 1.5, "read": 1.5, "stream": 10.0}
TIMEOUT_MARGIN_S = 0.1


class Exchange:
    """One request on a kept connection, and what became of it."""

    def __init__(self, gateway, kind):
        self.request_id = f"k{os.getpid():x}-{next(REQUEST_IDS)}-{random.getrandbits(32):x}"
        self.gateway, self.kind = gateway, kind
        self.sent_at, self.ended_at = 0.0, 0.0  # time.monotonic() of the last byte sent, and of the end
        self.status, self.headers, self.body = 0, {}, b""
        self.is_complete = False
        self.detail = ""

    def problem(self):
        """Returns how the answer violates the protocol, or an empty string."""
        if self.status != 200:
            return ""
        expected = expected_body(self.kind, self.request_id)
        is_sound = self.body == expected if self.is_complete else expected.startswith(self.body)
        return "" if is_sound else f"{self.request_id}: wrong body {self.body[-80:]!r}"


class KeptCaller:
    """Sends requests to one gateway after the other, on each connection until the gateway closes it."""

    def __init__(self, gateways, seed):
        self.gateways, self.random = gateways, random.Random(seed)
        self.exchanges = []
        self.is_finished = False

    async def run(self):
        while not self.is_finished:
            gateway = self.random.choice(self.gateways)
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", gateway.port),
                                                        CONNECT_TIMEOUT_S)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
                continue
            try:
                while not self.is_finished and await self.send_one(gateway, reader, writer):
                    await asyncio.sleep(self.random.choice([0.0, 0.0, 0.01, 0.1, 0.6]))
            finally:
                writer.close()

    async def send_one(self, gateway, reader, writer):
        """Returns whether the connection stays open."""
        exchange = Exchange(gateway, self.random.choice(KINDS))
        try:
            await self.write(exchange, writer)
            exchange.sent_at = time.monotonic()
            self.exchanges.append(exchange)
            await asyncio.wait_for(self.read(exchange, reader), ANSWER_TIMEOUT_S)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as failure:
            exchange.detail = f"{type(failure).__name__}: {failure}"
        exchange.ended_at = time.monotonic()
        return exchange.is_complete and exchange.headers.get("connection", "").lower() != "close"

    async def write(self, exchange, writer):
        kind = exchange.kind
        body = b"" if kind == "read" else b"x" * self.random.choice([0, 300, 300, 20_000])
        tokens = "Token-Count: 800,280\r\nModel: m\r\n" if kind == "stream" else ""
        text = (f"{'GET' if kind == 'read' else 'POST'} /{kind}/x HTTP/1.1\r\nHost: h.example\r\n"
                f"Request-Id: {exchange.request_id}\r\nAuthorization: Bearer key-1\r\nDeadline-Ms: 9000\r\n"
                f"{tokens}Content-Length: {len(body)}\r\n\r\n").encode() + body
        cuts = sorted(self.random.randrange(1, len(text)) for _ in range(self.random.choice([0, 0, 0, 1, 2])))
        for start, end in zip([0] + cuts, cuts + [len(text)]):
            writer.write(text[start:end])
            await writer.drain()
            if end < len(text):
                await asyncio.sleep(self.random.uniform(0.0, 0.25))

    async def read(self, exchange, reader):
        exchange.status, exchange.headers = await read_head(reader)
        if exchange.headers.get("transfer-encoding") != "chunked":
            exchange.body = await reader.readexactly(int(exchange.headers.get("content-length", "0")))
            exchange.is_complete = True
            return
        while size := int(await reader.readline() or b"x", 16):
            exchange.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        exchange.is_complete = True


class Disruptions:
    """When the test disturbed what, by time.monotonic()."""

    def __init__(self, grace_s):
        self.grace_s = grace_s
        self.stops = []  # (gateway, time of the SIGTERM)
        self.reloads = []  # (gateway, time)
        self.configurations = []  # times
        self.unplanned = []  # [gateway or server, start, end], the end None while it lasts

    def is_planned_work(self, exchange):
        """Whether planned work may have ended the connection of the exchange."""
        stopped = any(gateway is exchange.gateway and at <= exchange.ended_at <= at + self.grace_s + 1.0
                      for gateway, at in self.stops)
        reloaded = any(gateway is exchange.gateway and exchange.sent_at <= at + CONFIG_APPLY_S and exchange.ended_at >= at
                       for gateway, at in self.reloads)
        configured = any(exchange.ended_at >= at and exchange.sent_at <= at + CONFIG_APPLY_S + 1.0
                         for at in self.configurations)
        return stopped or reloaded or configured

    def disrupted(self, exchange):
        """Returns the gateways and servers that were in trouble from `CONTACT_S` before the request to its end."""
        return [what for what, start, end in self.unplanned
                if start <= exchange.ended_at and (end is None or end >= exchange.sent_at - CONTACT_S)]

    def is_excused_by_stop(self, exchange):
        """Whether the server was still at work near the end of the grace on a request that was sent early enough."""
        return any(gateway is exchange.gateway and exchange.sent_at <= at + 3.0
                   and exchange.ended_at >= at + self.grace_s * 5 / 6 for gateway, at in self.stops)


def find_lost(exchanges, targets, disruptions):
    """Returns the requests that the rule LOST counts, described: each one around planned work, if nothing else was in trouble;
    and, if there are more than `MAX_CLOSED`, those that a gateway in touch closed after it had passed them on to a sound
    server."""
    lost, closed = [], []
    for exchange in exchanges:
        if exchange.is_complete or not exchange.ended_at:
            continue
        waited = exchange.ended_at - exchange.sent_at
        ran_at = [target for target in targets if exchange.request_id in target.runs]
        crossed_close = not ran_at and waited <= LOSS_SLACK_S
        timed_out = waited >= ROUTE_TIMEOUT_S[exchange.kind] - TIMEOUT_MARGIN_S
        if crossed_close or timed_out or disruptions.is_excused_by_stop(exchange):
            continue
        disrupted = disruptions.disrupted(exchange)
        text = (f"{exchange.request_id} {exchange.kind} at {exchange.gateway.name}: ended {waited:.3f} s after its last byte with "
                f"{exchange.status}, {exchange.detail}{', passed on' if ran_at else ''}")
        if not disrupted and disruptions.is_planned_work(exchange):
            lost.append("around planned work: " + text)
        elif ran_at and exchange.gateway not in disrupted and not any(target in disrupted for target in ran_at):
            closed.append("closed in touch: " + text)
    return lost + (closed if len(closed) > MAX_CLOSED else [])
