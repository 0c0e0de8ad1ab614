"""What the kinds of callers and faults of a soak have in common."""

import random
import threading


class Kind:
    """Threads of one soak, with random numbers of their own, so that those of a seed stay. A subclass adds its threads;
    each of them returns soon after `ending` is set."""

    def __init__(self, soak, seed, name):
        self.soak, self.record = soak, soak.record
        self.random = random.Random(f"{seed} {name}")
        self.ending = threading.Event()
        self.threads = []

    def start(self):
        for thread in self.threads:
            thread.start()

    def end(self):
        self.ending.set()
        for thread in self.threads:
            thread.join()
