"""Changes of the configuration beside the other faults of a soak, with a thread and random numbers of their own. None
takes anything from the callers of the soak, so each whole request still ends with an answer or a refusal."""

import http.client
import random
import threading

from kind import Kind
from users_platform import HOST, route

SHARE = 0.65             # of the seeds
PAUSE = (0.05, 1.5)      # seconds between two changes
IDLE_MS = (5000, 5000, 5500, 9000)  # at least what callers that pause rely on
REUSE = (3.4, 3.95)      # seconds until idle callers go on, which all of these allow
IDLE_CALLERS = 6
TEAMS = 40               # at most, beside the one of the callers
ROUTES = 200             # at most, beside those of the callers
LARGE = (1500, 3000)     # routes of a large configuration, which is decoded in several slices and passed on as patches
LARGE_SHARE = 0.5        # of the seeds that play changes
TIMEOUTS_MS = (4000, 6000)


class Changes(Kind):
    """The thread of one soak."""

    def __init__(self, soak, seed):
        super().__init__(soak, seed, "changes")
        self.played = self.random.random() < SHARE
        callers = [random.Random(f"{seed} idle caller {n}") for n in range(IDLE_CALLERS)]
        self.threads = [threading.Thread(target=self.run)]
        self.threads += [threading.Thread(target=self.idle_caller, args=(numbers,)) for numbers in callers]
        self.kinds = [self.change_teams, self.change_quota, self.change_idle_time, self.change_routes,
                      self.change_timeouts]
        self.teams, self.routes, self.large = [], [], []
        self.large_random = random.Random(f"{seed} large configuration")  # of its own, so that the other changes stay
        self.large_played = self.played and self.large_random.random() < LARGE_SHARE
        self.settings = {}

    def run(self):
        while self.played and not self.ending.wait(self.random.uniform(*PAUSE)):
            self.random.choice(self.kinds)()
            if self.large_played:
                self.change_large()
            self.soak.count("changes")
            self.soak.withdraw(None)

    def idle_caller(self, numbers):
        """Goes on with connections shortly before the end of the time for which they may be reused."""
        while not self.ending.is_set():
            gateway = numbers.choice(self.soak.gateways)
            connection = http.client.HTTPConnection(HOST, gateway.port, timeout=6)
            while self.soak.call(connection, gateway, "once") and not self.ending.wait(numbers.uniform(*REUSE)):
                self.soak.count("reused")
            connection.close()
            self.ending.wait(0.1)

    def change_teams(self):
        self.teams = [{"name": f"guest{n}", "api_keys": [f"g{n}", f"h{n}"], "priority": self.random.randrange(3),
                       "rate_per_s": self.random.choice([0, 10, 1000]), "burst": 1000}
                      for n in range(self.random.randrange(TEAMS))]

    def change_quota(self):
        self.settings["rate_per_s"] = self.random.choice([90000, 100000, 110000])
        self.settings["priority"] = self.random.choice([1, 2])

    def change_idle_time(self):
        self.settings["idle_timeout_ms"] = self.random.choice(IDLE_MS)

    def change_routes(self):
        count = self.random.choice([0, self.random.randrange(ROUTES)])
        self.routes = [{**route(f"more{n}", f"/more{n}/", "idempotent", "desk"), "host": f"host{n % 7}.example"}
                       for n in range(count)]

    def change_large(self):
        """Adds or removes all routes of a large configuration, or changes a few of them among the others."""
        numbers = self.large_random
        if not self.large or numbers.random() < 0.1:
            count = numbers.randrange(*LARGE) if not self.large else 0
            self.large = [{**route(f"large{n}", f"/large{n}/", "idempotent", "desk"), "host": f"host{n % 40}.example"}
                          for n in range(count)]
            self.soak.count("large configurations" if count else "large configurations removed")
            return
        for _ in range(numbers.randrange(4)):
            at = numbers.randrange(len(self.large))
            self.large[at] = {**self.large[at], "target_latency_ms": numbers.randrange(500, 2000)}

    def change_timeouts(self):
        self.settings["timeout_ms"] = self.random.choice(TIMEOUTS_MS)

    def apply(self, config):
        """Adds what has changed to a configuration."""
        config["routes"] = config["routes"] + [dict(row) for row in self.routes + self.large]
        team = config["tenants"][0]
        config["tenants"] = config["tenants"] + self.teams
        for name in ("rate_per_s", "priority"):
            team[name] = self.settings.get(name, team[name])
        limits = config["limits"]
        limits["idle_timeout_ms"] = self.settings.get("idle_timeout_ms", limits["idle_timeout_ms"])
        for route in config["routes"]:
            if route["timeout_ms"] in TIMEOUTS_MS:
                route["timeout_ms"] = self.settings.get("timeout_ms", route["timeout_ms"])
