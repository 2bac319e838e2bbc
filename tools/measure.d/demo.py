"""Demo on loopback: requests, an engine and an entry killed during generation, a graceful shutdown, a model rollout."""

import datetime
import json
import subprocess
import sys
import time
import typing

from fleet import Fleet, FleetError, ZONES, operator_text, wait_until

SERVICE = "history-summaries"
MODELS = {"history": "v1"}
MOVE_SECONDS = 60
LOAD_TIMEOUT_S = 100
PROGRESS_INTERVAL_S = 5


class Step(typing.NamedTuple):
    title: str
    expected: str
    run: typing.Callable[[], None]


class Demo:
    """Runs the steps of the demo and collects the failed checks."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.step = None
        self.failures = []

    def say(self, text):
        print(text, flush=True)

    def check(self, passed, what):
        self.say(f"  {'ok   ' if passed else 'WRONG'} {what}")
        if not passed:
            self.fail(what)

    def fail(self, seen):
        self.failures.append(f'step "{self.step.title}": expected: {self.step.expected}; seen: {seen}')

    def follow(self, process, timeout=LOAD_TIMEOUT_S):
        """Waits until `process` ends and shows the time; returns its output. Raises FleetError after `timeout` seconds."""
        started = time.monotonic()
        while True:
            try:
                return process.communicate(timeout=PROGRESS_INTERVAL_S)
            except subprocess.TimeoutExpired:
                elapsed = time.monotonic() - started
                if elapsed >= timeout:
                    process.kill()
                    _, errors = process.communicate()
                    raise FleetError(f"the load tool ran for more than {timeout} s: {errors[-500:]}") from None
                self.say(f"        load is running, {elapsed:.0f} s")

    def text(self, moves=()):
        return operator_text(MODELS, {SERVICE: "history"}, {"listings": ["POST /listings"]}, moves=moves)

    def start(self):
        fleet = self.fleet
        fleet.start_platform()
        for number, zone in enumerate(ZONES):
            fleet.start_engine(f"engine-{number}", loaded=["history/v1"], slots=16, step_base_us=15000, load_ms=500)
            fleet.start_agent(f"agent-{number}", f"engine-{number}", "engine", zone)
        fleet.start_service("listings-0")
        fleet.start_agent("agent-listings", "listings-0", "service", ZONES[0], services=["listings"])
        for number in (1, 2):
            fleet.start_entry(f"entry-{number}", ZONES[number - 1])
        fleet.apply(self.text())
        fleet.wait_ready()
        self.wait_members()

    def wait_members(self):
        expected = len(self.fleet.entries) + len(self.fleet.agents)

        def complete():
            return all(
                sum(member["state"] == "alive" for member in self.fleet.status(entry).get("members", [])) == expected
                for entry in self.fleet.entries)

        wait_until(complete, "all members are known")

    def load(self, name, *arguments, fault=None, after=1.5):
        """Runs checked requests and injects `fault` after `after` seconds; returns the load generator's report."""
        process = self.fleet.start_load("--service", SERVICE, "--organisations", "dealer-1,dealer-2", "--key-prefix",
                                        name, "--require-completion", *arguments)
        if fault is not None:
            time.sleep(after)
            fault()
        output, errors = self.follow(process)
        lines = [json.loads(line) for line in output.splitlines() if line.startswith("{")]
        if not lines:
            raise FleetError(f"the load tool printed nothing: {errors[-500:]}")
        result = lines[-1]
        complete = result["outcomes"]["complete"]
        gap = result["longest_gap"].get("max_ms", 0.0)
        self.check(process.returncode == 0 and result["wrong"] == 0,
                   f"{complete} of {result['requests']} answers whole, {result['wrong']} wrong, "
                   f"{result['restarts']} restarted and marked so; longest gap {gap:.0f} ms")
        return result

    def kill_engine(self):
        self.load("engine", "-c", 12, "-n", 12, "-t", 250, fault=self.fleet.processes["engine-0"].kill)
        self.fleet.restart("engine-0")

    def kill_entry(self):
        self.load("entry", "-c", 12, "-n", 12, "-t", 250, fault=self.fleet.processes["entry-1"].kill)
        self.fleet.restart("entry-1")
        self.fleet.wait_ready()
        self.wait_members()

    def stop_agent(self):
        agent = self.fleet.processes["agent-1"]
        result = self.load("stop", "-c", 12, "-n", 12, "-t", 250, fault=lambda: agent.signal(15))
        self.check(result["restarts"] == 0, "no answer was restarted")
        wait_until(lambda: not agent.is_running(), "the agent exits")
        self.check(agent.child.returncode == 0, "the agent exited with 0")
        self.fleet.restart("agent-1")
        self.fleet.wait_ready()
        self.wait_members()

    def post_listings(self):
        code, lines = self.fleet.load("--mode", "post", "--service", "listings", "--organisations", "dealer-1", "-c", 4, "-n",
                                      40, "--give-up-ms", 20000, "--key-prefix", "listing", "--ledger", self.fleet.targets["listings-0"])
        self.check(code == 0 and lines[-1]["outcomes"]["complete"] == 40,
                   f"{lines[-1]['outcomes']['complete']} of 40 published, none twice by the service's ledger")

    def move_version(self):
        deadline = datetime.datetime.now(datetime.timezone.utc) + datetime.timedelta(seconds=MOVE_SECONDS)
        move = {"id": "history-v2", "model": "history", "from": "v1", "to": "v2", "strategy": "canary",
                "deadline": deadline.strftime("%Y-%m-%dT%H:%M:%SZ")}
        self.fleet.apply_change(self.text(moves=[move]), "move to v2")
        traffic = self.fleet.start_load("--service", SERVICE, "--organisations", "dealer-1", "--key-prefix", "move",
                                        "--rate", 200, "-c", 300, "-t", 3, "--duration-ms",
                                        (MOVE_SECONDS - 2) * 1000)
        phase = self.follow_move(deadline)
        traffic.terminate()
        traffic.communicate(timeout=30)
        self.check(phase == "landed", f"the move ended as {phase}")
        result = self.load("after", "-c", 8, "-n", 16, "-t", 20)
        self.check(set(result["versions"]) == {"v2"}, f"versions that answer now: {sorted(result['versions'])}")

    def follow_move(self, deadline):
        last_state = None
        next_progress = time.monotonic() + PROGRESS_INTERVAL_S
        while (left := (deadline - datetime.datetime.now(datetime.timezone.utc)).total_seconds()) > -5:
            if time.monotonic() >= next_progress:
                next_progress += PROGRESS_INTERVAL_S
                self.say(f"        {max(left, 0):.0f} s to the deadline")
            moves = self.fleet.status("entry-2").get("moves", [])
            state = (moves[0]["phase"], moves[0]["share"], moves[0]["reason"]) if moves else None
            if state and state != last_state:
                last_state = state
                self.say(f"        {state[0]}, share {state[1]:.2f}  {state[2]}")
            if state and state[0] in ("landed", "reverted"):
                return state[0]
            time.sleep(0.1)
        return last_state[0] if last_state else "unknown"

    def send_requests(self):
        self.load("plain", "-c", 12, "-n", 24, "-t", 40)

    def steps(self):
        whole = "every answer is whole and of one version"
        return (
            Step("Starting a platform, 3 engines and a plain service with agents, and 2 entries in 3 zones.",
                 "every process is ready and knows all members", self.start),
            Step("Requests; every answer is compared with the text that its version must give.", whole,
                 self.send_requests),
            Step("An engine is killed in mid-output; its answers go on elsewhere.", whole, self.kill_engine),
            Step("An entry is killed; callers retry at the other one with the same key and attach.", whole,
                 self.kill_entry),
            Step("An agent is stopped as planned: no new work, its answers finish, it exits.",
                 f"{whole}, none is restarted, and the agent exits with 0", self.stop_agent),
            Step("Listings are published; a request that may not be repeated runs at most once.",
                 "all are published, none twice", self.post_listings),
            Step(f"The operator moves the model from v1 to v2 within {MOVE_SECONDS} s; traffic goes on.",
                 "the move lands and v2 answers", self.move_version),
        )

    def run(self):
        """Runs the steps in order, up to the first one that cannot be completed. Returns whether all checks passed."""
        steps = self.steps()
        for number, self.step in enumerate(steps, 1):
            self.say(f"\n[{number}/{len(steps)}] {self.step.title}")
            started = time.monotonic()
            try:
                self.step.run()
            except (FleetError, OSError, subprocess.SubprocessError, ValueError, LookupError) as failure:
                self.check(False, f"{type(failure).__name__}: {failure}")
                break
            self.say(f"  done in {time.monotonic() - started:.1f} s")
        for failure in self.failures:
            self.say(f"\nFailed in {failure}")
        if self.failures:
            self.fleet.keeps_folder = True
            self.say(f"Logs and settings of all processes: {self.fleet.folder}")
        return not self.failures


def main():
    keep = "--keep" in sys.argv[1:]
    with Fleet() as fleet:
        demo = Demo(fleet)
        passed = demo.run()
        if keep:
            for name, address in fleet.entries.items():
                print(f"{name}: http://{address}/admin/status")
            print(f"store: {fleet.platform}; logs and settings: {fleet.folder}")
            input("The fleet is up. Press Enter to end it. ")
        if passed:
            print("\nAll checks passed.")
        return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
