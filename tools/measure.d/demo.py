"""Demo on loopback: requests, an engine and an entry killed during generation, a graceful shutdown, a model rollout."""

import datetime
import json
import sys
import time

from fleet import Fleet, FleetError, ZONES, http, operator_text, wait_until

SERVICE = "history-summaries"
MODELS = {"history": "v1"}
MOVE_SECONDS = 60


class Demo:
    """Runs the steps of the demo and collects the failed checks."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.failures = []

    def say(self, text):
        print(text, flush=True)

    def check(self, passed, what):
        self.say(f"  {'ok   ' if passed else 'WRONG'} {what}")
        if not passed:
            self.failures.append(what)

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
        output, errors = process.communicate(timeout=100)
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
        self.say("\nAn engine is killed in mid-output; its answers go on elsewhere.")
        self.load("engine", "-c", 12, "-n", 12, "-t", 250, fault=self.fleet.processes["engine-0"].kill)
        self.fleet.restart("engine-0")

    def kill_entry(self):
        self.say("\nAn entry is killed; callers retry at the other one with the same key and attach.")
        self.load("entry", "-c", 12, "-n", 12, "-t", 250, fault=self.fleet.processes["entry-1"].kill)
        self.fleet.restart("entry-1")
        self.fleet.wait_ready()
        self.wait_members()

    def stop_agent(self):
        self.say("\nAn agent is stopped as planned: no new work, its answers finish, it exits.")
        agent = self.fleet.processes["agent-1"]
        result = self.load("stop", "-c", 12, "-n", 12, "-t", 250, fault=lambda: agent.signal(15))
        self.check(result["restarts"] == 0, "no answer was restarted")
        wait_until(lambda: not agent.is_running(), "the agent exits")
        self.check(agent.child.returncode == 0, "the agent exited with 0")
        self.fleet.restart("agent-1")
        self.fleet.wait_ready()
        self.wait_members()

    def post_listings(self):
        self.say("\nListings are published; a request that may not be repeated runs at most once.")
        code, lines = self.fleet.load("--mode", "post", "--service", "listings", "--organisations", "dealer-1", "-c", 4, "-n",
                                      40, "--give-up-ms", 20000, "--key-prefix", "listing", "--ledger", self.fleet.targets["listings-0"])
        self.check(code == 0 and lines[-1]["outcomes"]["complete"] == 40,
                   f"{lines[-1]['outcomes']['complete']} of 40 published, none twice by the service's ledger")

    def move_version(self):
        self.say("\nThe operator moves the model from v1 to v2 with a deadline; traffic goes on.")
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
        while datetime.datetime.now(datetime.timezone.utc) < deadline + datetime.timedelta(seconds=5):
            moves = self.fleet.status("entry-2").get("moves", [])
            state = (moves[0]["phase"], moves[0]["share"], moves[0]["reason"]) if moves else None
            if state and state != last_state:
                last_state = state
                self.say(f"        {state[0]}, share {state[1]:.2f}  {state[2]}")
            if state and state[0] in ("landed", "reverted"):
                return state[0]
            time.sleep(0.1)
        return last_state[0] if last_state else "unknown"

    def run(self):
        steps = (self.kill_engine, self.kill_entry, self.stop_agent, self.post_listings, self.move_version)
        self.say("Starting a platform, 3 engines and a plain service with agents, and 2 entries in 3 zones.")
        self.start()
        self.say("\nRequests; every answer is compared with the text that its version must give.")
        self.load("plain", "-c", 12, "-n", 24, "-t", 40)
        for step in steps:
            step()


def main():
    keep = "--keep" in sys.argv[1:]
    with Fleet() as fleet:
        demo = Demo(fleet)
        demo.run()
        if keep:
            for name, address in fleet.entries.items():
                print(f"{name}: http://{address}/admin/status")
            print(f"store: {fleet.platform}; logs and settings: {fleet.folder}")
            input("The fleet is up. Press Enter to end it. ")
        print("\n" + ("All checks passed." if not demo.failures else "Failed: " + "; ".join(demo.failures)))
        return 1 if demo.failures else 0


if __name__ == "__main__":
    sys.exit(main())
