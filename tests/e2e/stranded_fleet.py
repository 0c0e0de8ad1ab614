"""A fleet of which some VMs lose their paths to the upstreams, and its callers."""

import http.client
import itertools
import os
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway, wait_for
from upstream_links import VmLinks
from users_platform import ROUTES, TOKENS, Platform, Upstream

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))
DATA_CENTRES = ("dc-a", "dc-a", "dc-b", "dc-b")  # of the VMs
KINDS = ("chat", "again", "single", "once")  # may run again: the first two
RATE = 12             # tries a second at a VM
WARM_SECONDS = 1.5
ADAPT_SECONDS = 2.0   # after a cut began or ended, and after a carrier has gone
JUDGED_SECONDS = 2.5
SERVED = 0.9          # least share of whole answers
SERVED_OF_KIND = 2 / 3
DEADLINE = 3.0
NOT_RUN = (408, 421, 429, 503)
STREAM = "".join(f"id: {number}\ndata: {token}\n\n" for number, token in enumerate(TOKENS, 1))


class Try:
    """A try of a caller and what became of it."""

    def __init__(self, gateway, kind, request_id):
        self.gateway, self.kind, self.id = gateway, kind, request_id
        self.sent = time.monotonic()
        self.seconds = 0.0
        self.status = None    # None: the connection ended, or nothing came in time
        self.headers = {}
        self.end = "unanswered"  # "whole", "refused", "broken" or what is wrong

    def send(self, prompt, deadline):
        headers = {"X-Request-Id": self.id, "X-Deadline-Ms": str(int(deadline * 1000))}
        if self.kind in ("chat", "single"):
            headers.update({"X-Model-Name": "m1", "X-Token-Usage": "100,20", "X-Prompt-Prefix": prompt})
        try:
            self.status, body, self.headers = self.gateway.call(f"/{self.kind}/x", headers=headers,
                                                                timeout=deadline + 1)
            self.end = "refused" if self.status != 200 else self.judge(body)
        except (OSError, http.client.HTTPException):
            self.end = "broken"
        self.seconds = time.monotonic() - self.sent

    def judge(self, body):
        if self.headers.get("X-Server-Signature") != "sig" or self.headers.get("X-Request-Id") != self.id:
            return f"not signed: {self.headers}"
        whole = STREAM if self.kind in ("chat", "single") else f"done by {self.headers['X-Replica-Id']} for {self.id}"
        return "whole" if body == whole else f"joined or cut, yet complete: {body!r}"

    def __repr__(self):
        return f"{self.gateway.name} {self.kind} {self.status} {self.end} {self.seconds:.2f} s"


class StrandedTest(unittest.TestCase):
    """Base of tests with four VMs in two data centres. Each has paths of its own."""

    ENGINES = 4

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.platform.publish(1, ["k1"], ROUTES)
        self.desks = [Upstream(f"desk{n}", BASE_PORT + 60 + n, "desk") for n in range(2)]
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1", "m2"])
                        for n in range(self.ENGINES)]
        self.upstreams = self.desks + self.engines
        for number, upstream in enumerate(self.upstreams):
            upstream.slots, upstream.event_seconds = 24, 0.03
            upstream.data_centre = DATA_CENTRES[2 * (number % 2)]
            self.platform.serve_upstream(upstream)
        self.gateways, self.links = [], []
        for number, data_centre in enumerate(DATA_CENTRES):
            self.platform.serve_store(BASE_PORT + 90 + number)
            self.links.append(VmLinks(self.platform, number, BASE_PORT + 90 + number, self.upstreams))
            self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, BASE_PORT + 90 + number,
                                         data_centre))
        wait_for(lambda: all(gateway.ready() for gateway in self.gateways))
        self.numbers = itertools.count()
        self.tries = []
        self.drive(self.gateways, WARM_SECONDS)

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        for links in self.links:
            links.close()
        self.platform.close()
        self.folder.cleanup()

    def start_try(self, gateway, kind, deadline=DEADLINE):
        """Sends a request on a thread of its own; returns the try and the thread."""
        number = next(self.numbers)
        attempt = Try(gateway, kind, f"{kind}-{number}")
        self.tries.append(attempt)
        thread = threading.Thread(target=attempt.send, args=(f"a:50,{number + 1:x}:50", deadline))
        thread.start()
        return attempt, thread

    def start_tries(self, gateways, seconds, kinds=KINDS, rate=RATE):
        """Sends requests to each gateway at a steady rate; returns the tries and their threads."""
        started, begun = [], time.monotonic()
        for count in range(int(seconds * rate)):
            time.sleep(max(0.0, begun + count / rate - time.monotonic()))
            started += [self.start_try(gateway, kinds[(count + n) % len(kinds)]) for n, gateway in enumerate(gateways)]
        return started

    def drive(self, gateways, seconds, kinds=KINDS, rate=RATE):
        """Returns the tries of that time when all have ended."""
        return self.join(self.start_tries(gateways, seconds, kinds, rate))

    @staticmethod
    def join(started):
        for _, thread in started:
            thread.join()
        return [attempt for attempt, _ in started]

    def strand(self, numbers, how):
        """Cuts VMs off from all upstreams while callers come to all VMs. Returns those VMs; their callers of that time
        are not judged."""
        for number in numbers:
            self.links[number].cut(how)
        self.start_tries(self.gateways, ADAPT_SECONDS)
        return [self.gateways[number] for number in numbers]

    def check_served(self, tries, seconds=DEADLINE):
        """Checks that callers are served, of each kind as well, and that no answer is wrong."""
        def good(chosen):
            return sum(attempt.end == "whole" and attempt.seconds <= seconds for attempt in chosen) / len(chosen)
        self.assertGreaterEqual(good(tries), SERVED, tries)
        for kind in {attempt.kind for attempt in tries}:
            self.assertGreaterEqual(good([attempt for attempt in tries if attempt.kind == kind]), SERVED_OF_KIND, tries)
        self.check_answers()

    def check_answers(self):
        """Checks that no answer is wrong, that requests that may run once ran once at most, and refused ones not."""
        self.assertEqual([], [t for t in self.tries if t.end not in ("whole", "refused", "broken", "unanswered")])
        for attempt in self.tries:
            if attempt.kind in ("once", "single"):
                runs = self.runs(attempt)
                self.assertLessEqual(runs, 0 if attempt.status in NOT_RUN else 1, attempt)

    def runs(self, attempt):
        return sum(headers["x-request-id"] == attempt.id for upstream in self.upstreams for headers in upstream.seen)

    def paths_of(self, tries):
        """Returns how many of the tries went to upstreams through each VM."""
        counts = {gateway.name: sum(links.passed(attempt.id) for attempt in tries)
                  for gateway, links in zip(self.gateways, self.links)}
        return {name: count for name, count in counts.items() if count}

    def carrier_of(self, tries):
        """Returns the VM that carried most of the tries of the first one."""
        counts = self.paths_of(tries)
        counts.pop("vm0", None)
        self.assertTrue(counts, "no VM carried a request")
        return next(gateway for gateway in self.gateways if gateway.name == max(counts, key=counts.get))
