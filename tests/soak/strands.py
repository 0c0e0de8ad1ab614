"""Cuts of the paths between VMs and all upstreams, beside the other faults of a soak, with a thread and random numbers
of their own. Only VMs that are alone in their data centre have paths of their own: others may read the records through
a relay, with its addresses."""

import threading
import time

from kind import Kind
from upstream_links import HOWS, VmLinks

SHARE = 0.65             # of the seeds
PAUSE = (0.5, 4.0)       # seconds before a cut
LENGTH = (6.0, 9.0)      # seconds


class Strands(Kind):
    """The thread of one soak."""

    def __init__(self, soak, seed):
        super().__init__(soak, seed, "strands")
        self.played = self.random.random() < SHARE
        self.links = {}  # VM name: its paths
        self.threads = [threading.Thread(target=self.run)]

    def add_paths(self, number, store_port, upstreams):
        """Gives a VM paths of its own. Called before it starts."""
        if self.played:
            self.links[f"vm{number}"] = VmLinks(self.soak.platform, number, store_port, upstreams)

    def run(self):
        while self.links and not self.ending.wait(self.random.uniform(*PAUSE)):
            most = max(1, len(self.links) // 2)
            vms = self.random.sample(sorted(self.links), self.random.randint(1, most))
            self.strand(vms, self.random.choice(HOWS), self.random.uniform(*LENGTH))

    def strand(self, vms, how, seconds):
        begun = time.monotonic()
        for vm in vms:
            self.links[vm].cut(how)
        self.soak.count(f"stranded {how}")
        self.ending.wait(seconds)
        for vm in vms:
            self.record.strands.append((vm, begun, time.monotonic()))
            self.links[vm].mend()
        for engine in self.soak.engines + self.soak.frail + self.soak.rack + self.soak.churned:
            self.record.healed.setdefault(engine.name, []).append(time.monotonic())

    def close(self):
        for links in self.links.values():
            links.close()
