"""Tests that a model without a replica is loaded for its callers beside each fault (P1, P2), in six VMs of three data
centres whose engines crash above their memory. Refusals are compared with what ran at the engines (P8).
The fault hits the owner of orders and an engine; callers ask at another VM while it lasts."""

import base64
import contextlib
import http.client
import json
import os
import signal
import threading
import time

import side_by_side
from gateway_process import wait_for
from placement_fleet import BASE_PORT, COLD, PlacementFleet

FAULT_SECONDS = 1.0
PAUSE_SECONDS = 2.5   # longer than peers and upstreams may be silent
LATE_SECONDS = 2.0    # by which orders are late
SLOW_SECONDS = 0.8    # by which answers of the store are late
LOST_ANSWERS = 3      # of the store
FAULTY_ORDERS = 2     # of each engine
REACHED_SECONDS = 25  # until a caller of the cold model is served
SERVED_SECONDS = 12   # after the fault, until each VM serves a resident model
CALL_SECONDS = 6


class ModelLoad(PlacementFleet):
    vms = ("dc-a", "dc-a", "dc-b", "dc-b", "dc-c", "dc-c")
    data_centres = {"dc-a": "r", "dc-b": "r", "dc-c": "s"}
    engine_places = ("dc-a", "dc-b", "dc-c")
    linked = True

    def setUp(self):
        super().setUp()
        self.wait_for_owner()
        self.victim = self.owner()
        self.engine = self.engines[0]
        self.refused = []  # ids of the requests that were refused as not run
        self.failures = []

    # -- faults ----------------------------------------------------------------

    @contextlib.contextmanager
    def engine_lost(self):
        """Its record stays until its next process writes one."""
        self.platform.change(self.engine.crash)
        yield
        self.platform.change(self.engine.restart_with, ["m1", "m2"])
        self.platform.listen_again(self.engine)
        self.platform.change(self.write_record, self.engine)

    @contextlib.contextmanager
    def killed(self):
        with self.engine_lost():
            self.victim.stop()
            yield
            self.victim.start()

    @contextlib.contextmanager
    def paused(self):
        started = time.monotonic()
        self.victim.child.send_signal(signal.SIGSTOP)
        self.engine.frozen = True
        yield
        time.sleep(max(0.0, started + PAUSE_SECONDS - time.monotonic()))
        self.victim.child.send_signal(signal.SIGCONT)
        self.engine.frozen = False

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
        config, answers = json.loads(base64.b64decode(item["value"])), []
        for key in ("k2", "k3"):
            value = {**config, "version": config["version"] + 1,
                     "tenants": [{**config["tenants"][0], "api_keys": ["k1", key]}]}
            answers.append(self.platform.change(self.platform.store.transact, {
                "expected": [{"key": "op/config", "revision": item["revision"]}], "remove": [],
                "write": [{"key": "op/config", "value": base64.b64encode(json.dumps(value).encode()).decode()}]})[0])
        self.assertEqual([200, 412], answers)
        yield
        for gateway in self.gateways:
            wait_for(lambda gateway=gateway: self.request(gateway, "m1", "k2"), SERVED_SECONDS)
            self.assertFalse(self.request(gateway, "m1", "k3"))

    # -- callers ---------------------------------------------------------------

    def request(self, gateway, model, key="k1"):
        """Returns whether a chat is answered whole; notes refusals. A killed VM breaks connections off."""
        request_id = os.urandom(8).hex()
        try:
            status, body, headers = gateway.call("/chat/x", key=key, timeout=CALL_SECONDS, headers={
                "X-Request-Id": request_id, "X-Model-Name": model, "X-Token-Usage": "100,20", "X-Prompt-Prefix": "a:50,b:50"})
        except (OSError, http.client.HTTPException) as error:
            if gateway is not self.victim:
                self.failures.append(f"{gateway.name}: {error!r}")
            return False
        if headers["Marigold-Outcome"] == "not-run":
            self.refused.append(request_id)
        return status == 200 and "id: 10" in body

    def request_cold_model(self, gateway):
        try:
            wait_for(lambda: self.request(gateway, COLD[0]), REACHED_SECONDS)
        except AssertionError:
            self.failures.append(f"{COLD[0]} was not reached at {gateway.name}")

    def load_beside(self, *faults):
        """Asks for the cold model while the faults last, and checks the promises then and afterwards."""
        other = next(gateway for gateway in self.gateways if gateway is not self.victim)
        caller = threading.Thread(target=self.request_cold_model, args=(other,))
        with contextlib.ExitStack() as stack:
            for fault in faults:
                stack.enter_context(fault)
            caller.start()
            time.sleep(FAULT_SECONDS)
        for gateway in self.gateways:
            wait_for(lambda gateway=gateway: self.request(gateway, "m1"), SERVED_SECONDS)
        caller.join()
        self.assertEqual([], self.failures)
        self.assertNotEqual([], self.holders(COLD[0]))
        self.assertFalse(self.request(other, "m1", "intruder"))
        ran = [headers for engine in self.engines for headers in engine.seen]
        self.assertEqual([], [headers for headers in ran if "authorization" in headers or "intruder" in str(headers)])
        self.assertEqual(set(), set(self.refused) & {headers["x-request-id"] for headers in ran})
        self.check_memory()

    # -- tests -----------------------------------------------------------------

    def test_owner_and_engine_are_killed(self):
        """Guards against a model that nobody loads after the owner of orders was killed beside an engine."""
        self.load_beside(self.killed())

    def test_owner_and_engine_pause(self):
        """Guards against orders of an owner that was suspended beyond its lease, and of an engine that answers late."""
        self.load_beside(self.paused())

    def test_owner_is_cut_off(self):
        """Guards against two owners while one is cut off from the other VMs and the store."""
        self.load_beside(self.cut_off(data_centre=False))

    def test_data_centre_of_the_owner_is_cut_off(self):
        """Guards against a model that is missing because the owner's data centre is cut off."""
        self.load_beside(self.cut_off(data_centre=True))

    def test_store_is_slow(self):
        """Guards against an ownership that is lost because the store answers late."""
        self.load_beside(self.store_is(answer_delay=SLOW_SECONDS))

    def test_store_is_down(self):
        """Guards against a model that isn't loaded once the store is back."""
        self.load_beside(self.store_is_down())

    def test_answers_of_the_store_are_lost(self):
        """Guards against an owner that takes a call of unknown outcome for a failed or a done one."""
        self.load_beside(self.store_is(lost_answers=LOST_ANSWERS))

    def test_record_of_a_lost_engine_stays(self):
        """Guards against orders that go to an engine that has ended and is still listed."""
        self.load_beside(self.engine_lost())

    def test_orders_are_lost(self):
        """Guards against a load that counts as done, or as memory in use for ever, because its order was lost."""
        self.load_beside(self.orders_are(None))

    def test_orders_are_late(self):
        """Guards against memory that is used twice, by a late order and by one that was given in its place."""
        self.load_beside(self.orders_are(LATE_SECONDS))

    def test_operators_race(self):
        """Guards against a configuration that stays out of force when two operators write at once."""
        self.load_beside(self.operators_race())

    def test_store_is_down_and_owner_killed(self):
        """Guards against a model that isn't loaded after the owner was killed while the store was down."""
        self.load_beside(self.store_is_down(), self.killed())

    def test_data_centre_is_cut_off_and_owner_pauses(self):
        """Guards against orders of an owner that is cut off and suspended at once."""
        self.load_beside(self.cut_off(data_centre=True), self.paused())

    def test_answers_are_lost_beside_a_race_of_operators(self):
        """Guards against VMs that miss a configuration because answers of the store were lost."""
        self.load_beside(self.store_is(lost_answers=LOST_ANSWERS), self.operators_race())


if __name__ == "__main__":
    side_by_side.main(BASE_PORT, jobs=2)
