"""Tests that models are loaded, moved and replaced within the memory of the engines while callers are served (P1, P2).
The engines count the memory of their models and crash above it."""

import http.client
import json
import signal
import threading
import time
import unittest

from gateway_process import ORDER_PAUSE, wait_for
from placement_fleet import COLD, PlacementFleet, chat
from users_platform import HOST

LEASE_SECONDS = 2.0       # of the ownership of orders
HANDOVER_SECONDS = 2.5    # from a planned stop of the owner until another VM is the owner
PAUSE_SECONDS = 0.1       # of a caller between two calls
LATE_ORDER_SECONDS = 1.5  # longer than an owner waits for an answer


class Callers:
    """Calls models at all VMs until it is stopped."""

    def __init__(self, gateways, models):
        self.answers = []  # (model, status, whether it is whole)
        self.ended = threading.Event()
        self.threads = [threading.Thread(target=self.call, args=(gateway, model))
                        for gateway in gateways for model in models]
        for thread in self.threads:
            thread.start()

    def call(self, gateway, model):
        while not self.ended.is_set():
            try:
                self.answers.append((model, *chat(gateway, model)))
            except (OSError, http.client.HTTPException) as error:
                self.answers.append((model, repr(error), False))
            self.ended.wait(PAUSE_SECONDS)

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()
        return self.answers


class Placement(PlacementFleet):
    def test_engine_crashes_above_its_memory(self):
        """Guards against checks of the memory that hold because the stand-in allows everything."""
        for body in ({"model": COLD[0]}, {"model": "m1", "adapter": "a9"}):
            engine = self.engines[0] if "adapter" not in body else self.engines[1]
            for adapter in ("a1", "a2", "a3", "a4"):
                self.platform.change(engine.models["m1"].add, adapter)
            connection = http.client.HTTPConnection(HOST, engine.port, timeout=2)
            connection.request("POST", "/-/order", json.dumps(
                {"operation": "loading", "holder": "test", "fencing_token": 1 << 52, **body}))
            with self.assertRaises(OSError):
                connection.getresponse()
            self.assertEqual(1, len(engine.overcommits))
            self.assertFalse(engine.listener.is_serving())

    def test_cold_model_is_loaded_on_demand(self):
        """Guards against a declared model or adapter that is never loaded although callers request it, and against
        replicas that nobody needs."""
        self.wait_until_served(COLD[0])
        self.wait_until_served(COLD[0] + "/a1")
        self.assertEqual(1, len(self.holders(COLD[0])))
        self.check_memory()

    def test_only_replica_is_killed_and_comes_back(self):
        """Guards against a model that is not loaded again after its only replica was killed, and against memory that
        counts as used by the process before."""
        self.wait_until_served(COLD[0])
        [engine] = self.holders(COLD[0])
        self.platform.change(engine.crash)
        self.platform.change(engine.restart_with, ["m1"])
        self.platform.listen_again(engine)
        self.platform.change(self.write_record, engine)
        self.wait_until_served(COLD[0])
        self.check_memory()

    def test_another_vm_takes_the_orders_over(self):
        """Guards against a fleet in which nobody orders after the owner was killed, and against an owner that stops
        as planned and keeps the ownership."""
        self.wait_for_owner()
        first = self.owner()
        first.stop()
        self.wait_for_owner(first)
        second = self.owner()
        self.wait_until_served(COLD[0], [second])
        first.start()
        wait_for(first.ready)
        second.child.send_signal(signal.SIGTERM)
        self.assertLess(self.wait_for_owner(second), HANDOVER_SECONDS)
        self.assertEqual(0, second.child.wait(timeout=9))
        self.wait_until_served(COLD[1], [first])
        self.check_memory()

    def test_store_is_away(self):
        """Guards against models that are gone while the store is away, and against orders of an owner whose lease has
        ended."""
        self.wait_for_owner()
        time.sleep(ORDER_PAUSE)
        callers = Callers(self.gateways, ["m1", "m2"])
        self.addCleanup(callers.stop)
        self.platform.store.severed_ports.update(self.store_ports)
        time.sleep(LEASE_SECONDS + 0.5)
        before = self.orders()
        for gateway in self.gateways:
            self.assertNotEqual(200, chat(gateway, COLD[0])[0])
        self.assertEqual(before, self.orders())
        self.platform.store.severed_ports.clear()
        self.wait_until_served(COLD[0])
        self.assertEqual({(200, True)}, {answer[1:] for answer in callers.stop()})
        self.check_memory()

    def test_eviction_cuts_and_refuses_nothing(self):
        """Guards against requests that are cut or refused because their model leaves an engine for another one."""
        callers = Callers(self.gateways, ["m1", "m2"])
        self.addCleanup(callers.stop)
        for model in COLD:
            self.wait_until_served(model)
        answers = callers.stop()
        unloads = [row for engine in self.engines for row in engine.order_log if row[3] == "unloading" and not row[5]]
        self.assertGreaterEqual(len(unloads), len(COLD))
        self.assertGreater(len(answers), 20)
        self.assertEqual({(200, True)}, {answer[1:] for answer in answers})
        self.check_memory()

    def test_late_orders_of_a_killed_owner(self):
        """Guards against memory that is used twice, by the new owner and by an order of the one before that arrives
        late: engines look at the orders of the first owner after it was killed."""
        for engine in self.engines:
            engine.order_fates = [LATE_ORDER_SECONDS] * 20
        self.wait_for_owner()
        first = self.owner()
        [other] = [gateway for gateway in self.gateways if gateway is not first]
        callers = [threading.Thread(target=chat, args=(other, model)) for model in COLD for _ in range(2)]
        for caller in callers:
            caller.start()
        wait_for(lambda: any(path == "/-/order" for engine in self.engines for _, path in engine.control_arrivals))
        first.stop()
        for engine in self.engines:
            engine.order_fates = []
        for caller in callers:
            caller.join()
        for model in COLD:
            self.wait_until_served(model, [other])
        self.assertEqual({first.name, other.name}, {row[1] for engine in self.engines for row in engine.order_log})
        self.check_memory()


if __name__ == "__main__":
    unittest.main()
