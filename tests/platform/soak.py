"""Randomized fault soak of real lovage-gateway processes.

Usage: soak.py BINARY [--seeds N | --seed S] [--seconds T] [--gateways N]. Without --seed, fresh seeds are drawn; the
seeds in soak_seeds.txt, which failed once, are run first. Callers check each answer while processes are stopped,
paused, killed and restarted, links are cut, delayed, silenced and reset, and servers and the store misbehave.
"""

import argparse
import asyncio
import os
import random
import signal
import sys
import tempfile

from gateway import Gateway, call
from world import World

CALM_S = 4.0  # time without faults after which everything must be served again
CALLERS = 8
SEED_FILE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "soak_seeds.txt")


class Link:
    """A loopback proxy in front of one address that delays, silences one way, or resets what passes."""

    def __init__(self, target_port):
        self.target_port, self.port = target_port, 0
        self.delay_s, self.is_silent_up, self.is_silent_down = 0.0, False, False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.pump(reader, far_writer, lambda: self.is_silent_up),
                             self.pump(far_reader, writer, lambda: self.is_silent_down))
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer, is_silent):
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not is_silent():
                    writer.write(data)
                    await writer.drain()
            writer.close()
        except ConnectionError:
            writer.transport.abort()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def heal(self):
        self.delay_s, self.is_silent_up, self.is_silent_down = 0.0, False, False


class Soak:
    def __init__(self, binary, folder, seed, count):
        self.binary, self.folder, self.count = binary, folder, count
        self.random = random.Random(seed)
        self.world, self.gateways, self.links = World(engines=9), [], []
        self.problems, self.outcomes = [], []
        self.is_over = False

    async def run(self, seconds):
        await self.world.start()
        for number in range(self.count):
            link = Link(self.world.store.port)
            await link.start()
            seeds = [g.peer_address for g in self.gateways[:3]]
            gateway = Gateway(self.binary, self.folder, f"g{number}", f"127.0.0.1:{link.port}", seeds)
            self.links.append(link)
            self.gateways.append(gateway)
            await gateway.start()
        callers = [asyncio.create_task(self.call_again()) for _ in range(CALLERS)]
        faults = [asyncio.create_task(self.make_faults(seconds)) for _ in range(2)]
        try:
            await asyncio.gather(*faults)
            await self.heal()
            await asyncio.sleep(CALM_S)
            await self.check_service()
            self.is_over = True
            await asyncio.gather(*callers)
            await asyncio.sleep(0.5)
            self.check_runs()
        finally:
            for task in callers + faults:
                task.cancel()
            for gateway in self.gateways:
                await gateway.stop()
            await self.world.stop()
        return self.problems

    async def call_again(self):
        while not self.is_over:
            gateway = self.random.choice(self.gateways)
            kind = self.random.choice(["stream", "publish", "read"])
            outcome = await call(gateway.port, kind)
            self.outcomes.append(outcome)
            if outcome.problem():
                self.problems.append(outcome.problem())
            await asyncio.sleep(self.random.uniform(0, 0.05))

    async def make_faults(self, seconds):
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            fault = self.random.choice([self.crash_engine, self.freeze_engine, self.restart_plain, self.lose_answers,
                                        self.signal_gateway, self.pause_gateway, self.cut_store, self.slow_store,
                                        self.break_store, self.change_config])
            await fault()
            await asyncio.sleep(self.random.uniform(0.05, 0.6))

    async def crash_engine(self):
        engine = self.random.choice(self.world.engines)
        if engine.server is not None:
            await engine.stop()
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
            await engine.restart()

    async def freeze_engine(self):
        engine = self.random.choice(self.world.engines)
        engine.freeze(True)
        await asyncio.sleep(self.random.uniform(0.1, 1.5))
        engine.freeze(False)

    async def restart_plain(self):
        server = self.random.choice(self.world.plain)
        if server.server is not None:
            await server.stop()
            await asyncio.sleep(self.random.uniform(0.1, 0.6))
            await server.restart()

    async def lose_answers(self):
        server = self.random.choice(self.world.plain)
        server.lose_answers = True
        await asyncio.sleep(self.random.uniform(0.1, 0.8))
        server.lose_answers = False

    async def signal_gateway(self):
        gateway = self.random.choice(self.gateways)
        number = self.random.choice([signal.SIGKILL, signal.SIGTERM, signal.SIGHUP])
        gateway.signal(number)
        if number == signal.SIGHUP:
            return
        process = gateway.process
        code = await asyncio.wait_for(process.wait(), 12.0)
        if number == signal.SIGTERM and code not in (0, -signal.SIGKILL):
            self.problems.append(f"{gateway.name} ended with {code} after SIGTERM")
        if gateway.process is process:
            try:
                await gateway.start()
            except AssertionError:
                pass  # its store may be cut off; the check at the end asks again

    async def pause_gateway(self):
        gateway = self.random.choice(self.gateways)
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.1, 1.5))
        gateway.signal(signal.SIGCONT)

    async def cut_store(self):
        link = self.random.choice(self.links)
        kind = self.random.choice(["reset", "up", "down"])
        link.is_silent_up, link.is_silent_down = kind == "up", kind == "down"
        if kind == "reset":
            link.reset()
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        link.heal()
        link.reset()

    async def slow_store(self):
        link = self.random.choice(self.links)
        link.delay_s = self.random.uniform(0.05, 0.5)
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        link.heal()

    async def break_store(self):
        self.world.store.mode = self.random.choice(["busy", "silent"])
        await asyncio.sleep(self.random.uniform(0.1, 2.0))
        if self.random.random() < 0.5:
            self.world.store.compact()
        await self.heal_store()

    async def change_config(self):
        self.world.configure()

    async def heal_store(self):
        self.world.store.mode = "up"
        for writer in list(self.world.store.writers):
            writer.transport.abort()

    async def heal(self):
        await self.heal_store()
        for link in self.links:
            link.heal()
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            if gateway.process.returncode is not None:
                await gateway.start()

    async def check_service(self):
        for gateway in self.gateways:
            for kind in ("stream", "publish", "read"):
                outcome = await call(gateway.port, kind)
                if outcome.status != 200 or not outcome.is_whole:
                    self.problems.append(f"{gateway.name} does not serve {kind} after the faults: "
                                         f"{outcome.status} {outcome.detail}")

    def check_runs(self):
        for outcome in self.outcomes:
            runs = sum(t.runs.get(outcome.request_id, 0) for t in self.world.targets)
            if outcome.kind == "publish" and runs > 1:
                self.problems.append(f"{outcome.request_id}: ran {runs} times")
            if outcome.kind == "publish" and outcome.status == 503 and runs:
                self.problems.append(f"{outcome.request_id}: said not to have run, but ran")


def kept_seeds():
    with open(SEED_FILE, encoding="utf-8") as file:
        return [int(line.split()[0]) for line in file if line.strip() and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary")
    parser.add_argument("--seeds", type=int, default=1, help="number of fresh seeds")
    parser.add_argument("--seed", type=int, help="one seed, alone")
    parser.add_argument("--seconds", type=float, default=8.0, help="time with faults for each seed")
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--logs", default="", help="folder that keeps the logs of failed seeds")
    options = parser.parse_args()
    fresh = [random.SystemRandom().randrange(1 << 32) for _ in range(options.seeds)]
    seeds = [options.seed] if options.seed is not None else kept_seeds() + fresh
    failed = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory(dir=options.logs or None, prefix=f"soak-{seed}-") as folder:
            soak = Soak(options.binary, folder, seed, options.gateways)
            problems = asyncio.run(soak.run(options.seconds))
            if problems and options.logs:
                os.rename(folder, os.path.join(options.logs, f"seed-{seed}"))
                os.mkdir(folder)
        served = sum(o.status == 200 and o.is_whole for o in soak.outcomes)
        failed += bool(problems)
        print(f"{'FAILED' if problems else 'ok':7}seed {seed}: {len(soak.outcomes)} requests, {served} served whole",
              *problems[:5], sep="\n       " if problems else "", flush=True)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
