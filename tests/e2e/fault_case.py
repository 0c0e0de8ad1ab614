"""Faults of VMs, upstreams, links, the store and operators, for a fleet of six VMs in three data centres. The VM that
they hit is the owner of orders."""

import base64
import contextlib
import http.client
import json
import os
import signal
import time

from gateway_process import wait_for
from placement_fleet import BASE_PORT, PlacementFleet
from users_platform import ROUTES, Upstream, route

FAULT_SECONDS = 1.0
PAUSE_SECONDS = 2.5  # longer than peers and upstreams may be silent
SLOW_SECONDS = 0.8   # by which answers of the store are late
LOST_ANSWERS = 3     # of the store
FAULTY_ORDERS = 2    # of each engine
SERVED_SECONDS = 12  # after the fault, until each VM serves again
CALL_SECONDS = 15    # longer than any deadline and pause together


class FaultCase(PlacementFleet):
    vms = ("dc-a", "dc-a", "dc-b", "dc-b", "dc-c", "dc-c")
    data_centres = {"dc-a": "r", "dc-b": "r", "dc-c": "s"}
    engine_places = ("dc-a", "dc-b", "dc-c")
    routes = ROUTES + [route("chat-api", "/v1/", "streaming", "llm", resumable=True)]
    linked = True

    def setUp(self):
        super().setUp()
        self.desks = [Upstream(f"desk{number}", BASE_PORT + 80 + number, "desk") for number in (0, 1)]
        for desk in self.desks:
            self.platform.serve_upstream(desk)
        self.wait_for_owner()
        self.victim = self.owner()
        self.lost = [self.engines[0], self.desks[0]]  # upstreams that faults hit
        for gateway in self.gateways:
            wait_for(lambda gateway=gateway: self.takes(gateway, "k1"))
        self.refused = []   # ids of requests that were refused as not run
        self.failures = []

    # -- faults ----------------------------------------------------------------

    @contextlib.contextmanager
    def upstreams_lost(self):
        """Their records stay until their next processes write some."""
        for upstream in self.lost:
            self.platform.change(upstream.crash)
        yield
        for upstream in self.lost:
            self.platform.change(upstream.restart_with, ["m1", "m2"] if upstream in self.engines else [])
            self.platform.listen_again(upstream)
            self.platform.change(self.write_record, upstream)

    @contextlib.contextmanager
    def killed(self):
        with self.upstreams_lost():
            self.victim.stop()
            yield
            self.victim.start()

    @contextlib.contextmanager
    def paused(self):
        started = time.monotonic()
        self.victim.child.send_signal(signal.SIGSTOP)
        for upstream in self.lost:
            upstream.frozen = True
        yield
        time.sleep(max(0.0, started + PAUSE_SECONDS - time.monotonic()))
        self.victim.child.send_signal(signal.SIGCONT)
        for upstream in self.lost:
            upstream.frozen = False

    @contextlib.contextmanager
    def cut_off(self, data_centre):
        """Cuts the owner, or all VMs of its data centre, from the other VMs and from the store."""
        place = self.vms[self.gateways.index(self.victim)]
        inside = [number for number, gateway in enumerate(self.gateways)
                  if gateway is self.victim or (data_centre and self.vms[number] == place)]
        self.platform.change(self.links.cut, [self.gateways[number].name for number in inside])
        self.platform.store.severed_ports.update(self.store_ports[number] for number in inside)
        yield
        self.platform.change(self.links.heal)
        self.platform.store.severed_ports.clear()

    @contextlib.contextmanager
    def store_is(self, **faults):
        store, before = self.platform.store, {}
        for name, value in faults.items():
            before[name] = getattr(store, name)
            setattr(store, name, value)
        yield
        for name, value in before.items():
            setattr(store, name, value)

    def store_is_down(self):
        return self.store_is(severed_ports=set(self.store_ports))

    @contextlib.contextmanager
    def orders_are(self, fate):
        for engine in self.engines:
            engine.order_fates = [fate] * FAULTY_ORDERS
        yield
        for engine in self.engines:
            engine.order_fates = []

    @contextlib.contextmanager
    def operators_race(self):
        """Two operators add a key each, upon the same version; the store takes one of them."""
        item = self.platform.change(self.platform.store.items.get, "op/config")
        answers = [self.write_keys(item, lambda keys, key=key: keys + [key]) for key in ("race1", "race2")]
        self.assertEqual([200, 412], answers)
        yield
        for gateway in self.gateways:
            wait_for(lambda gateway=gateway: self.takes(gateway, "race1"), SERVED_SECONDS)
            self.assertFalse(self.takes(gateway, "race2"))

    def write_keys(self, item, change):
        """Writes the next version of a configuration with changed keys; returns the store's status."""
        config = json.loads(base64.b64decode(item["value"]))
        [team] = config["tenants"]
        value = {**config, "version": config["version"] + 1,
                 "tenants": [{**team, "api_keys": change(team["api_keys"])}]}
        return self.platform.change(self.platform.store.transact, {
            "expected": [{"key": "op/config", "revision": item["revision"]}], "remove": [],
            "write": [{"key": "op/config", "value": base64.b64encode(json.dumps(value).encode()).decode()}]})[0]

    def takes(self, gateway, key):
        """Returns whether a VM takes a key; it refuses keys before anything else."""
        try:
            return gateway.call("/again/x", key=key)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    # -- callers ---------------------------------------------------------------

    def call(self, gateway, path, headers, body=b"x", key="k1"):
        """Returns id, status, body and outcome of a request; status None if its connection ended early, which counts
        as a failure unless the VM was hit. Notes refusals."""
        request_id = os.urandom(8).hex()
        try:
            status, text, answered = gateway.call(path, key=key, body=body, timeout=CALL_SECONDS,
                                                  headers={"X-Request-Id": request_id, **headers})
        except (OSError, http.client.HTTPException) as error:
            if gateway is not self.victim:
                self.failures.append(f"{gateway.name}, {path}: {error!r}")
            return request_id, None, "", None
        outcome = answered["Marigold-Outcome"]
        if outcome == "not-run":
            self.refused.append(request_id)
        return request_id, status, text, outcome

    def stream(self, gateway, model, key="k1"):
        """Returns id, status, body and outcome of a stream."""
        return self.call(gateway, "/chat/x", {"X-Model-Name": model, "X-Token-Usage": "100,20",
                                              "X-Prompt-Prefix": "a:50,b:50"}, key=key)

    def is_served(self, gateway, model="m1", key="k1"):
        """Returns whether a stream is served whole."""
        _, status, text, _ = self.stream(gateway, model, key)
        return status == 200 and "id: 10" in text

    # -- checks ----------------------------------------------------------------

    def check_promises(self):
        """Checks what holds beside every fault: wrong keys are refused (P3), upstreams see no key (P4), nothing that
        was refused as not run has run (P8), and no engine holds more than it can (P1)."""
        self.assertFalse(self.is_served(self.gateways[-1], key="intruder"))
        ran = [headers for upstream in self.engines + self.desks for headers in upstream.seen]
        self.assertEqual([], [headers for headers in ran if "authorization" in headers or "intruder" in str(headers)])
        self.assertEqual(set(), set(self.refused) & {headers["x-request-id"] for headers in ran})
        self.assertEqual([], self.failures)
        self.assertEqual([[]] * len(self.engines), [engine.overcommits for engine in self.engines])
