"""Tests of what VMs take for a lost path to the upstreams, and of peers that don't carry what they are asked to."""

import base64
import http.client
import json
import tempfile
import threading
import time
import unittest

from gateway_process import PEERS, Gateway, wait_for
from stranded_fleet import ADAPT_SECONDS, BASE_PORT, DEADLINE, JUDGED_SECONDS, RATE, SERVED, StrandedTest, Try
from users_platform import ROUTES, Platform, Upstream

KNOWN_SECONDS = 1.0   # until all VMs know of a change in the store
PIECE_SECONDS = 0.5   # between looks at the readiness of the VMs
SLOW_ANSWER = 1.2     # seconds
CONNECTIONS = 16      # to an upstream from all VMs, four from each
DECLINED = "Marigold-Carry-Declined"
NOT_PASSED_ON = "not passed on by a peer"


class PowerCutTest(StrandedTest):
    """Base of tests in which upstreams end together, for all VMs at once."""

    def check_no_path_is_lost(self, ended, rate):
        self.drive(self.gateways, PIECE_SECONDS, rate=rate)
        for links in self.links:
            links.cut("reset", ended)
        started, begun = [], time.monotonic()
        for number in range(int((ADAPT_SECONDS + JUDGED_SECONDS) / PIECE_SECONDS)):
            time.sleep(max(0.0, begun + number * PIECE_SECONDS - time.monotonic()))
            started.append(self.start_tries(self.gateways, PIECE_SECONDS, rate=rate))
            self.assertEqual([], [gateway.name for gateway in self.gateways if not gateway.ready()], "not ready")
        pieces = [self.join(piece) for piece in started]
        self.assertEqual([], [gateway.name for gateway in self.gateways
                              if "path to the upstreams lost" in gateway.log()])
        self.check_served(sum(pieces[int(ADAPT_SECONDS / PIECE_SECONDS):], []))


class PowerCut(PowerCutTest):
    def test_engines_that_lose_power_together_are_no_lost_path(self):
        """Guards against VMs that take upstreams which end together for a lost path and refuse their callers."""
        self.check_no_path_is_lost(self.desks[1:] + self.engines[1:3], RATE)


class PowerCutOfMany(PowerCutTest):
    ENGINES = 12

    def test_some_of_many_engines_that_lose_power_are_no_lost_path(self):
        """Guards against the same where the few requests of a VM have met only the upstreams that ended."""
        self.check_no_path_is_lost(self.engines[:4], RATE // 3)


class Evidence(StrandedTest):
    def close_after_each_stream(self, engine):
        """Lets each request need a new connection."""
        stream = engine.stream

        async def closing(*arguments):
            await stream(*arguments)
            return False
        engine.stream = closing

    def start_with_part(self, part, count=6):
        """Starts streams of one VM that share a part of their prompts; returns them and their threads."""
        started = []
        for _ in range(count):
            number = next(self.numbers)
            attempt = Try(self.gateways[0], "chat", f"chat-{number}")
            self.tries.append(attempt)
            started.append((attempt, threading.Thread(
                target=attempt.send, args=(f"a:50,{part}:50,{number + 0x5000:x}:20", DEADLINE))))
            started[-1][1].start()
        return started

    def test_connects_that_fail_right_after_one_that_succeeded_are_no_crashes(self):
        """Guards against parts of prompts that are held to crash upstreams, since a VM had requests with these parts
        there when its connections were reset and new ones refused."""
        for engine in self.engines:
            engine.delay = 0.3
            self.close_after_each_stream(engine)
        started = self.start_tries(self.gateways[:1], 1.0, ("chat",), rate=2 * RATE)
        started += self.start_with_part("beef01")
        time.sleep(0.15)  # the requests have reached the engines
        self.links[0].cut("reset")
        self.join(started)
        later = self.join(self.start_with_part("beef01"))
        self.assertEqual([], [attempt for attempt in self.tries
                              if attempt.headers.get("Marigold-Code") == "request-blocked"])
        self.assertGreaterEqual(sum(attempt.end == "whole" for attempt in later), SERVED * len(later), later)
        self.check_answers()


class Start(unittest.TestCase):
    def test_vm_without_a_configuration_survives_a_carried_request(self):
        """Guards against a new process that ends because a peer lets it carry before it has its configuration."""
        platform = Platform()
        desk = Upstream("desk0", BASE_PORT + 60, "desk")
        platform.serve_upstream(desk)
        with tempfile.TemporaryDirectory() as folder:
            gateways = []
            for number in range(2):
                platform.serve_store(BASE_PORT + 90 + number)
                gateways.append(Gateway(number, folder, BASE_PORT + 10 * number, BASE_PORT + 90 + number))
            try:
                wait_for(lambda: all(any(key.startswith("marigold/vm/" + gateway.name) for key in platform.store.items)
                                     for gateway in gateways))
                time.sleep(KNOWN_SECONDS)
                connection = http.client.HTTPConnection("127.0.0.1", BASE_PORT + PEERS, timeout=2)
                connection.request("POST", "/once/x", b"x", {
                    "Host": "h.example", "X-Request-Id": "r1", "X-Deadline-Ms": "2000",
                    "Marigold-Carry-To": desk.name, "Marigold-Carry-Process": str(desk.born)})
                answer = connection.getresponse()
                self.assertEqual(503, answer.status)
                self.assertTrue(answer.headers.get(DECLINED), answer.headers)
                connection.close()
                time.sleep(KNOWN_SECONDS)
                self.assertIsNone(gateways[0].child.poll(), gateways[0].log()[-2000:])
            finally:
                for gateway in gateways:
                    gateway.stop()
                platform.close()


class Declined(StrandedTest):
    def configure(self, change):
        """Publishes a configuration in which this function has changed something."""
        content = json.loads(self.platform.configuration(2, ["k1"], ROUTES))
        change(content)
        self.platform.change(self.platform.store.put, "op/config", json.dumps(content).encode())
        time.sleep(KNOWN_SECONDS)

    def misinform(self, number, prefix, old, new):
        """Lets a VM find something else in the values of items with this prefix."""
        port = BASE_PORT + 90 + number
        view = self.platform.store.views[port]

        def another(item):
            item = view(item)
            if not item["key"].startswith(prefix) or "value" not in item:
                return item
            value = base64.b64decode(item["value"]).replace(old.encode(), new.encode())
            return {**item, "value": base64.b64encode(value).decode()}
        self.platform.store.views[port] = another

    def test_full_upstream_does_not_shut_the_carriers(self):
        """Guards against refusals of all callers of a VM without a path, because its peers have no connection left to
        one service."""
        def limit(content):
            for service in content["services"]:
                service["max_connections"] = CONNECTIONS
        self.configure(limit)
        self.strand([0], "silent")
        for desk in self.desks:
            desk.delay = SLOW_ANSWER
        started = self.start_tries(self.gateways[:1], 1.0, ("again",), rate=30)
        started += self.start_tries(self.gateways[:1], JUDGED_SECONDS, ("again",) * 4 + ("chat",), rate=40)
        tries = self.join(started)
        plain, streams = ([attempt for attempt in tries if attempt.kind == kind] for kind in ("again", "chat"))
        self.assertTrue([attempt for attempt in plain if attempt.status == 503], "the plain service was full")
        self.assertGreaterEqual(sum(attempt.end == "whole" for attempt in streams), SERVED * len(streams), streams)
        self.check_answers()

    def test_declined_second_way_uses_no_further_attempt(self):
        """Guards against a request that runs at more upstreams than its route allows, because the peer that was to
        carry it to the same upstream once more declined."""
        def allow_one_attempt(content):
            for route in content["routes"]:
                route["attempts"] = 1
        self.configure(allow_one_attempt)
        desk = self.desks[0]
        for upstream in self.desks:
            upstream.delay = SLOW_ANSWER
        for number in (1, 2, 3):  # they know a newer process only
            self.misinform(number, "servers/" + desk.name, str(desk.born), str(desk.born + 1))
        desk.heartbeats += 1
        self.platform.change(self.platform.store.put, "servers/" + desk.name, desk.record())
        time.sleep(KNOWN_SECONDS)
        started = [self.start_try(self.gateways[0], "again", 3.9) for _ in range(16)]
        time.sleep(0.4)  # all have reached their upstreams
        self.links[0].cut("silent")
        self.start_tries(self.gateways[:1], 1.5, ("chat",), rate=2 * RATE)
        tries = self.join(started)
        self.assertIn(NOT_PASSED_ON, self.gateways[0].log())
        self.assertEqual([], [attempt for attempt in tries if self.upstreams_of(attempt) > 1])

    def upstreams_of(self, attempt):
        return sum(any(headers["x-request-id"] == attempt.id for headers in upstream.seen)
                   for upstream in self.upstreams)

    def test_carrier_that_does_not_know_the_sender(self):
        """Guards against requests that end, or go on to the same peer, because it has not heard of the VM that asks:
        the peer is new, or the store was restored."""
        carrier = self.gateways[1]
        self.misinform(1, "marigold/vm/", "127.0.0.1", "127.0.0.9")
        carrier.stop()
        carrier.start()
        wait_for(carrier.ready)
        time.sleep(KNOWN_SECONDS)
        stranded = self.strand([0], "silent")
        tries = self.drive(stranded, JUDGED_SECONDS)
        self.assertEqual([], [attempt for attempt in tries if attempt.status == 502])
        self.check_served(tries)
        self.assertNotIn(carrier.name, self.paths_of(tries))
        declined = [row for row in self.gateways[0].log().splitlines() if NOT_PASSED_ON in row and carrier.name in row]
        self.assertTrue(declined, "the peer was asked")


if __name__ == "__main__":
    unittest.main()
