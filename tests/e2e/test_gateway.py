"""Tests the gateway process against a stand-in for the users' platform."""

import base64
import http.client
import json
import os
import select
import signal
import socket
import tempfile
import threading
import time
import unittest

import side_by_side
from gateway_process import OPERATOR, ORDER_PAUSE, Gateway, wait_for
from users_platform import HOST, ROUTES, Platform, Upstream, route

# Seconds of the pause that an owner at least grants before its ownership ends. What it grants is
# in residency/order_ownership.cpp, with the tests of both sides together.
OWNER_HEAD_START = 0.7

REGISTRATION_TERM = 6.0  # seconds; of the gateways' leases

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27000))


class GatewayTest(unittest.TestCase):
    CHAT = {"X-Model-Name": "m1", "X-Token-Usage": "100,20", "X-Prompt-Prefix": "a:50,b:50"}

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.store_ports = [BASE_PORT + 90, BASE_PORT + 91]
        for port in self.store_ports:
            self.platform.serve_store(port)
        self.desks = [Upstream(f"desk{n}", BASE_PORT + 60 + n, "desk") for n in (0, 1)]
        self.engines = [Upstream(f"engine{n}", BASE_PORT + 70 + n, "llm", ["m1"]) for n in (0, 1)]
        self.platform.publish(1, ["k1", "k2"], ROUTES)
        for upstream in self.desks + self.engines:
            self.platform.serve_upstream(upstream)
        self.gateways = []
        self.start()

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def start(self):
        number = len(self.gateways)
        self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, self.store_ports[number]))
        wait_for(self.gateways[-1].ready)

    def runs(self):
        return sum(len(upstream.seen) for upstream in self.desks + self.engines)

    def test_passes_requests_with_the_team_and_without_the_key(self):
        status, body, headers = self.gateways[0].call("/again/x?q=1", headers={"X-Tenant-Name": "other"})
        self.assertEqual(200, status)
        self.assertTrue(body.startswith("done by desk"))
        self.assertEqual("sig", headers["X-Server-Signature"])
        seen = [h for desk in self.desks for h in desk.seen][0]
        self.assertEqual("team", seen["x-tenant-name"])
        self.assertNotIn("authorization", seen)
        self.assertLessEqual(int(seen["x-deadline-ms"]), 3000)

    def test_refuses_unknown_keys_and_routes(self):
        self.assertEqual(401, self.gateways[0].call("/again/x", key="wrong")[0])
        self.assertEqual(401, self.gateways[0].call("/again/x", key=None)[0])
        self.assertEqual(404, self.gateways[0].call("/none/x")[0])
        self.assertEqual(0, self.runs())

    def test_once_runs_at_most_once_when_the_answer_is_lost(self):
        for desk in self.desks:
            desk.drop_requests = True
        status, _, headers = self.gateways[0].call("/once/x")
        self.assertEqual(502, status)
        self.assertEqual("unknown", headers["Marigold-Outcome"])
        self.assertEqual(1, self.runs())

    def test_idempotent_request_is_tried_elsewhere_when_an_answer_is_lost(self):
        self.desks[0].drop_requests = True
        for _ in range(6):
            self.assertEqual(200, self.gateways[0].call("/again/x", method="GET", body=None)[0])

    def test_request_without_time_for_an_answer_is_not_sent(self):
        """Guards against requests that reach an upstream when their callers have already left."""
        started = time.monotonic()
        for path in ("/once/x", "/again/x"):
            status, _, headers = self.gateways[0].call(path, headers={"X-Deadline-Ms": "80"})
            self.assertEqual((503, "not-run"), (status, headers["Marigold-Outcome"]))
        self.assertLess(time.monotonic() - started, 0.08)
        self.assertEqual(0, self.runs())

    def test_refusals_log_the_figures_that_decided(self):
        """Guards against refusals whose reason cannot be told from their line: the missing part of
        a team's bucket, and the time that a load needs against the time that is left."""
        gateway = self.gateways[0]
        status, _, _ = gateway.call("/chat/x", headers={**self.CHAT, "X-Model-Name": "m1/a9", "X-Deadline-Ms": "500"})
        self.assertEqual(503, status)
        status, _, _ = gateway.call("/chat/x", headers={**self.CHAT, "X-Token-Usage": "1000000,20"})
        self.assertEqual(429, status)
        wait_for(lambda: "cost 1000020" in gateway.log(), 2)
        self.assertRegex(gateway.log(), r"cost 1000020, missing \d+, (level|debt) \d+ of \d+, refilled at \d+% of the rate")
        self.assertRegex(gateway.log(), r"a load takes \d+ ms with its order, \d+ ms remain")

    def test_head_that_stops_in_its_middle_is_no_answer(self):
        """Guards against a 200 with an empty body, framed as whole, when an upstream closes in its head."""
        for desk in self.desks:
            desk.endless = ("HTTP/1.1 200 OK\r\nSIGNATURE\r\nContent-Le", b"", 0)
            desk.endless_limit = 0
        status, _, headers = self.gateways[0].call("/once/x")
        self.assertEqual((502, "unknown"), (status, headers["Marigold-Outcome"]))
        self.assertEqual(1, self.runs())
        self.desks[1].endless = None
        for _ in range(4):
            self.assertEqual(200, self.gateways[0].call("/again/x", method="GET", body=None)[0])

    def test_stream_is_resumed_without_a_gap_or_a_repeat(self):
        self.engines[0].break_after = 4
        for number in range(16):
            prompt = {"X-Prompt-Prefix": f"{number:x}:100"}
            status, body, _ = self.gateways[0].call("/chat/x", headers={**self.CHAT, **prompt})
            self.assertEqual(200, status)
            ids = [int(line[4:]) for line in body.splitlines() if line.startswith("id: ")]
            self.assertEqual(list(range(1, 11)), ids)
        self.assertTrue(any("last-event-id" in h for h in self.engines[1].seen))

    def test_error_after_a_resumption_does_not_end_the_stream_as_complete(self):
        """Fails if the end of an error answer to a resumed stream reaches the caller as the
        regular end of that stream."""
        for engine in self.engines:
            engine.break_after = 4
            engine.fail_resumed = True
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            self.gateways[0].call("/chat/x", headers=self.CHAT)

    def test_broken_stream_that_cannot_be_resumed_looks_incomplete(self):
        for engine in self.engines:
            engine.break_after = 4
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            self.gateways[0].call("/single/x", headers=self.CHAT)
        self.assertEqual(1, self.runs())

    def remove_second_engine(self):
        self.platform.change(self.platform.store.remove, "servers/engine1")
        wait_for(lambda: '"gone"' in self.gateways[0].log())

    def chat(self):
        status, body, _ = self.gateways[0].call("/chat/x", headers=self.CHAT)
        self.assertEqual(200, status)
        return [int(line[4:]) for line in body.splitlines() if line.startswith("id: ")]

    def test_broken_stream_without_event_ids_is_not_joined_with_another_run(self):
        """Guards against events of two runs in one answer: without ids nothing says where the second goes on."""
        for engine in self.engines:
            engine.event_ids = False
            engine.break_after = 4
        with self.assertRaises(http.client.IncompleteRead) as broken:
            self.gateways[0].call("/chat/x", headers=self.CHAT)
        events = broken.exception.partial.decode().split("\n\n")
        self.assertEqual([f"data: token{n}" for n in range(1, 5)] + [""], events)
        self.assertEqual(1, self.runs())

    def test_slow_first_event_of_the_only_holder_is_waited_for(self):
        """Guards against a 502 for a slow first event when no other upstream can serve the
        request: the first-event timeout must not abandon the only holder."""
        self.remove_second_engine()
        self.engines[0].pauses = {1: 1.8}
        self.assertEqual(list(range(1, 11)), self.chat())
        self.assertEqual(1, len(self.engines[0].seen))

    def test_pause_inside_a_stream_of_the_only_holder_is_waited_for(self):
        """Guards against a stream that is aborted because of a pause between events although
        no other upstream could resume it."""
        self.remove_second_engine()
        self.engines[0].pauses = {5: 2.0}
        self.assertEqual(list(range(1, 11)), self.chat())
        self.assertEqual(1, len(self.engines[0].seen))

    def test_silent_upstream_is_left_for_one_that_becomes_able_to_serve(self):
        """Guards against a stalled upstream that is checked for a replacement only once, before
        another upstream becomes available."""
        self.remove_second_engine()
        self.engines[0].pauses = {5: 2.9}
        reappearance = threading.Timer(1.5, self.platform.change,
                                       (self.platform.store.put, "servers/engine1", self.engines[1].record()))
        reappearance.start()
        began = time.monotonic()
        self.assertEqual(list(range(1, 11)), self.chat())
        reappearance.join()
        self.assertLess(time.monotonic() - began, 2.9)
        self.assertEqual(["4"], [headers.get("last-event-id") for headers in self.engines[1].seen])

    def test_silent_upstream_is_kept_where_its_replacement_cannot_be_reached(self):
        """Guards against a stalled call that is abandoned before the connection to its replacement
        is established: the replacement here has crashed and refuses connections."""
        self.remove_second_engine()
        self.engines[0].pauses = {5: 2.5}
        crashed = Upstream("crashed", BASE_PORT + 79, "llm", ["m1"])  # no process listens on this port
        appearance = threading.Timer(0.3, self.platform.change,
                                     (self.platform.store.put, "servers/crashed", crashed.record()))
        appearance.start()
        self.assertEqual(list(range(1, 11)), self.chat())
        appearance.join()
        self.assertIn("unreachable upstream", self.gateways[0].log())
        self.assertEqual(1, len(self.engines[0].seen))

    def test_refusal_by_the_only_holder_before_a_run_is_followed_by_a_second_try(self):
        """Guards against a refused request that waits for its model to be loaded, until its
        deadline, although the engine that refused it holds the model."""
        self.remove_second_engine()
        self.engines[0].refusals = 1
        began = time.monotonic()
        self.assertEqual(list(range(1, 11)), self.chat())
        self.assertLess(time.monotonic() - began, 2)

    def test_refusal_after_a_silence_does_not_end_the_request(self):
        """Guards against a 502 when the replacement of a stalled upstream refuses the request:
        the refusal must not use up the attempts while the first call still runs."""
        self.remove_second_engine()
        self.engines[0].pauses = {1: 2.9}
        self.engines[1].refusals = 1
        reappearance = threading.Timer(0.3, self.platform.change,
                                       (self.platform.store.put, "servers/engine1", self.engines[1].record()))
        reappearance.start()
        self.assertEqual(list(range(1, 11)), self.chat())
        reappearance.join()
        self.assertEqual(0, self.engines[1].refusals)

    def test_withdrawn_key_stops_working(self):
        self.assertEqual(200, self.gateways[0].call("/again/x")[0])
        self.platform.publish(3, ["k2"], ROUTES)
        wait_for(lambda: self.gateways[0].call("/again/x")[0] == 401, 2.5)
        self.assertEqual(200, self.gateways[0].call("/again/x", key="k2")[0])
        self.platform.publish(2, ["k1", "k2"], ROUTES)  # an older version must not be applied
        time.sleep(0.3)
        self.assertEqual(401, self.gateways[0].call("/again/x")[0])

    def test_configuration_is_in_force_soon_after_the_store_is_back(self):
        """Fails if a watch request that was sent during the outage, and stays unanswered, delays
        by 5 s the discovery that the store is back."""
        gateway = self.gateways[0]
        self.platform.store.unanswered_ports.add(self.store_ports[0])
        wait_for(lambda: "configuration store lost" in gateway.log(), 12)
        time.sleep(0.5)
        self.platform.store.unanswered_ports.clear()
        self.platform.publish(2, ["k2"], ROUTES)
        wait_for(lambda: gateway.call("/again/x")[0] == 401, 2.5)

    def test_requests_of_the_first_moments_wait_for_the_configuration(self):
        """All VMs restart at once and their callers are back. Guards against a refusal, which uses up the last
        try of a caller, although the configuration is there within a fraction of a second."""
        gateway = self.gateways[0]
        gateway.stop()
        self.platform.change(self.platform.store.remove, "op/config")
        gateway.start()
        answers = []

        def call():
            while not answers:
                try:
                    answers.append(gateway.call("/again/x")[0])
                except ConnectionError:
                    time.sleep(0.005)  # The process is not listening yet.

        caller = threading.Thread(target=call)
        caller.start()
        wait_for(lambda: "held by a new process" in gateway.log(), 1)
        self.platform.publish(2, ["k1"], ROUTES)
        caller.join()
        self.assertEqual([200], answers)

    def test_restart_without_the_store_takes_nothing_old_into_use(self):
        """Guards against a restarted process that uses a withdrawn key or an upstream that has left,
        from whatever it finds before it reaches the store again."""
        gateway = self.gateways[0]
        self.start()  # the other VM keeps serving; it has the newest configuration
        self.platform.publish(2, ["k2"], ROUTES)
        self.platform.change(self.platform.store.remove, "servers/" + self.desks[0].name)
        for other in self.gateways:
            wait_for(lambda: other.call("/again/x")[0] == 401, 2.5)
        seen = len(self.desks[0].seen)
        self.platform.store.unanswered_ports.add(self.store_ports[0])
        gateway.stop()
        gateway.start()
        end = time.monotonic() + 3
        while time.monotonic() < end:
            try:
                self.assertIn(gateway.call("/again/x", key="k1")[0], (401, 503))
                self.assertIn(gateway.call("/again/x", key="k2")[0], (200, 503))
            except ConnectionError:
                pass  # The process is not listening yet.
            time.sleep(0.05)
        self.platform.store.unanswered_ports.clear()
        wait_for(lambda: gateway.call("/again/x", key="k2")[0] == 200, 5)
        self.assertEqual(401, gateway.call("/again/x", key="k1")[0])
        self.assertEqual(seen, len(self.desks[0].seen))

    def test_leaving_upstream_gets_no_new_requests(self):
        leaving = self.desks[0]
        self.platform.change(self.platform.store.put, "servers/" + leaving.name, leaving.record("draining"))
        time.sleep(1)
        before = len(leaving.seen)
        for _ in range(8):
            self.assertEqual(200, self.gateways[0].call("/again/x")[0])
        self.assertEqual(before, len(leaving.seen))

    def test_malformed_records_change_nothing(self):
        self.platform.change(self.platform.store.put, "servers/" + self.desks[0].name, b"\xff not json")
        self.platform.change(self.platform.store.put, "servers/ghost", b'{"service":"desk"}')
        self.platform.change(self.platform.store.put, "op/config", b"{")
        time.sleep(0.5)
        for _ in range(4):
            self.assertEqual(200, self.gateways[0].call("/again/x")[0])

    def odd_records(self):
        """Returns odd values of a record of an upstream, by name."""
        address = f"{HOST}:{self.desks[0].port}"
        good = {"service": "desk", "address": address, "zone": "dc-a", "slots": 6, "state": "ready", "sequence": 1}

        def with_field(name, text):
            return (json.dumps(good)[:-1] + f', "{name}": {text}}}').encode()

        deep = "[" * 100_000 + "]" * 100_000
        records = {"deep": deep.encode(), "open": b"[" * 500_000, "deep-field": with_field("other", deep),
                   "objects": b'{"a":' * 100_000 + b"1" + b"}" * 100_000, "array": b"[]", "text": b'"x"',
                   "number": b"7", "null": b"null", "empty": b"", "bytes": b"\xff\xfe\x00"}
        for field in ("slots", "sequence", "born", "remaining_ms"):
            for number in ("1e400", "18446744073709551615", "18446744073709551616", "4294967297", "-1"):
                records[f"{field}{number}"] = with_field(field, number)
        for port in ("0", "65536", "99999", "4294967376"):
            records["port" + port] = with_field("address", f'"{HOST}:{port}"')
        return records

    def check_odd_records(self, prefix):
        """Checks that odd entries end no process and that a record written after them is followed."""
        self.store_ports.append(BASE_PORT + 92)
        self.platform.serve_store(self.store_ports[2])
        self.start()
        self.start()
        # Two VMs of a data centre read the store, the third one reads from them.
        watches = self.platform.store.open_watches
        wait_for(lambda: 0 in [watches.get(port) for port in self.store_ports])
        children = [gateway.child.pid for gateway in self.gateways]
        memory = [gateway.memory() for gateway in self.gateways]
        put, store = self.platform.change, self.platform.store.put
        for name, value in self.odd_records().items():
            put(store, prefix + name, value)
        time.sleep(1)
        late = Upstream("late", BASE_PORT + 62, "desk")
        self.platform.serve_upstream(late)

        def reaches_late(gateway):
            before = len(late.seen)
            return gateway.child.poll() is not None or (gateway.call("/again/x")[0] and len(late.seen) > before)

        for gateway, child, before in zip(self.gateways, children, memory):
            wait_for(lambda g=gateway: reaches_late(g), 6)
            self.assertIsNone(gateway.child.poll(), gateway.log()[-2000:])
            self.assertEqual(child, gateway.child.pid)
            self.assertLess(gateway.memory() - before, 48 << 20)

    def test_odd_records_of_upstreams_end_no_process_and_hide_no_later_record(self):
        """Guards against processes that end or stop following the list because of one odd entry."""
        self.check_odd_records("servers/odd-")

    def test_odd_record_of_an_upstream_takes_little_memory(self):
        """Guards against a deeply nested record of one megabyte that takes most of a VM's memory."""
        gateway = self.gateways[0]
        before = gateway.memory("VmHWM")
        self.platform.change(self.platform.store.put, "servers/odd", b"[" * 1_000_000)
        wait_for(lambda: '"upstream": "odd"' in gateway.log())
        self.assertLess(gateway.memory("VmHWM") - before, 32 << 20)

    def test_odd_registrations_of_vms_end_no_process(self):
        """Guards against processes that end because of one odd entry among the registrations."""
        self.check_odd_records("marigold/vm/odd-")

    def test_odd_owner_of_orders_ends_no_process(self):
        """Guards against processes that end because of an odd record of the owner of orders."""
        gateway = self.gateways[0]
        for value in (b"[]", b'"x"', b"{", b'{"vm": 7}', b'{"vm": "v", "settled": "no"}', b"[" * 100_000,
                      b'{"vm": "v", "incarnation": 1e400}'):
            self.platform.change(self.platform.store.put, "marigold/order-owner", value)
            time.sleep(0.3)
        self.assertIsNone(gateway.child.poll(), gateway.log()[-2000:])
        self.assertEqual(200, gateway.call("/again/x")[0])

    def check_ownership_is_replaced(self, change, seconds):
        """Writes a changed record in place of the ownership of orders, which a VM then takes over."""
        self.start()
        wait_for(lambda: any(engine.order_log for engine in self.engines), 12)  # the model that nobody holds
        last_fence = max(row[2] for engine in self.engines for row in engine.order_log)
        record = json.loads(base64.b64decode(self.platform.store.items["marigold/order-owner"]["value"]))
        self.platform.change(self.platform.store.put, "marigold/order-owner", json.dumps(change(record)).encode())
        written = time.monotonic()
        time.sleep(0.5)  # the former owner has heard of it
        before = [len(engine.order_log) for engine in self.engines]
        for engine in self.engines:
            self.platform.change(engine.restart_empty, self.platform.store)

        def later_orders():
            return [row for engine, count in zip(self.engines, before) for row in engine.order_log[count:]]
        wait_for(later_orders, seconds)
        self.assertGreaterEqual(min(row[0] for row in later_orders()) - written, ORDER_PAUSE)
        self.assertGreater(min(row[2] for row in later_orders()), last_fence)

    def test_unreadable_ownership_of_orders_is_replaced_after_the_pause(self):
        """Guards against a fleet without orders for as long as a record that another writer left in place of the
        ownership exists."""
        self.check_ownership_is_replaced(lambda record: [], 3 * ORDER_PAUSE + 2)

    def test_ownership_of_orders_of_a_vm_that_does_not_exist_is_replaced(self):
        """Guards against the same if the record can be read, but names a VM that is not registered."""
        self.check_ownership_is_replaced(lambda record: {**record, "vm": "vm9", "address": f"{HOST}:1"},
                                         REGISTRATION_TERM + 3 * ORDER_PAUSE + 2)

    def test_missing_adapter_is_loaded_while_its_request_waits(self):
        wait_for(lambda: any(e.order_log for e in self.engines), 12)  # the order owner loads the absent model m2
        status, body, _ = self.gateways[0].call("/chat/x", headers={**self.CHAT, "X-Model-Name": "m1/a1"})
        self.assertEqual(200, status)
        self.assertIn("id: 10", body)

    def test_waiting_requests_do_not_make_the_owner_plan_all_the_time(self):
        """Guards against one plan for each request that begins to wait, which overloads the
        owner of orders and delays all its other work."""
        gateway = self.gateways[0]
        wait_for(lambda: any(e.order_log for e in self.engines), 12)
        before, began = gateway.metric("marigold_plan_seconds_count"), time.monotonic()
        callers = []
        for number in range(150):
            callers.append(gateway.open_call("/chat/x", {**self.CHAT, "X-Model-Name": f"m1/none{number}"}))
            time.sleep(0.01)
        plans = gateway.metric("marigold_plan_seconds_count") - before
        passed = time.monotonic() - began
        for caller in callers:
            caller.close()
        self.assertGreater(plans, 0)
        self.assertLessEqual(plans / passed, 12)  # a plan is followed by a pause of at least 100 ms

    def test_two_owners_never_order_within_the_pause(self):
        """Guards against two owners at once: an owner that was disconnected from the store must
        not keep its ownership under a new lease."""
        self.start()
        wait_for(lambda: any(e.order_log for e in self.engines), 12)
        owner = [e.order_log[0][1] for e in self.engines if e.order_log][0]
        number = int(owner[2:])
        self.platform.store.severed_ports.add(self.store_ports[number])
        other = self.gateways[1 - number]
        until = time.monotonic() + 9
        adapter = 0
        while time.monotonic() < until:
            adapter = adapter % 2 + 1
            for gateway in self.gateways:
                try:
                    gateway.call("/chat/x", headers={**self.CHAT, "X-Model-Name": f"m1/a{adapter}"}, timeout=1)
                except OSError:
                    pass  # The request waits for an adapter; the test checks only the orders.
            if time.monotonic() > until - 3:
                self.platform.store.severed_ports.clear()
        self.assertTrue(other.ready())
        for engine in self.engines:
            log = engine.order_log
            for (at, vm, fence, *_), (later, next_vm, next_fence, *_) in zip(log, log[1:]):
                self.assertGreaterEqual(next_fence, fence)
                if vm != next_vm:
                    self.assertGreater(next_fence, fence)
                    self.assertGreaterEqual(later - at, ORDER_PAUSE)

    def test_restarted_owner_orders_again_before_its_former_lease_has_ended(self):
        """Guards against seconds without orders after the crash of the owner, while its next process waits for
        the end of the former one's lease and then for a pause between two owners that are the same VM."""
        engine, gateway = self.engines[0], self.gateways[0]
        self.remove_second_engine()
        wait_for(lambda: engine.order_log, 12)  # the model that nobody holds

        def want():
            try:
                gateway.call("/chat/x", timeout=1, headers={**self.CHAT, "X-Model-Name": "m1/a1",
                                                            "X-Deadline-Ms": "900"})
            except OSError:
                pass  # The test checks only the orders.
        engine.models["m1"].clear()
        before = len(engine.order_log)
        gateway.child.kill()
        gateway.child.wait()
        time.sleep(0.3)
        gateway.start()
        started = time.monotonic()
        wait_for(gateway.ready)
        calls = []
        while len(engine.order_log) == before and time.monotonic() - started < 8:
            calls.append(threading.Thread(target=want))
            calls[-1].start()
            time.sleep(0.1)
        for call in calls:
            call.join()
        first, second = engine.order_log[before - 1], engine.order_log[before]
        self.assertGreater(second[2], first[2])
        self.assertEqual(second[1], first[1])
        self.assertLess(second[0] - started, 2.5)

    def test_next_owner_waits_the_pause_after_a_planned_stop(self):
        """Guards against two owners that order an engine within the pause: an owner that stops releases its
        ownership right after an order, while one that fails sends none for a while before its lease ends."""
        self.start()
        self.remove_second_engine()
        engine = self.engines[0]

        def want(gateway, adapter):
            headers = {**self.CHAT, "X-Model-Name": f"m1/a{adapter}", "X-Deadline-Ms": "900"}
            try:
                gateway.call("/chat/x", headers=headers, timeout=1)
            except OSError:
                pass  # The test checks only the orders.

        def wait_for_order(gateway, adapter):
            calls = []
            until = time.monotonic() + 12
            before = len(engine.order_log)
            while len(engine.order_log) == before and time.monotonic() < until:
                calls.append(threading.Thread(target=want, args=(gateway, adapter)))
                calls[-1].start()
                wait_until = time.monotonic() + 0.3
                while len(engine.order_log) == before and time.monotonic() < wait_until:
                    time.sleep(0.005)
            return calls
        calls = wait_for_order(self.gateways[0], 1)
        first = engine.order_log[-1]
        stopped = self.gateways[int(first[1][2:])]
        stopped.child.send_signal(signal.SIGTERM)
        calls += wait_for_order(self.gateways[1 - int(first[1][2:])], 2)
        for call in calls:
            call.join()
        second = engine.order_log[-1]
        self.assertNotEqual(first[1], second[1])
        self.assertGreater(second[2], first[2])
        self.assertGreaterEqual(second[0] - first[0], ORDER_PAUSE)
        # The next owner may order this much earlier than a whole pause after its claim. The rest has to
        # pass before the claim; how long a claim takes by chance must not matter.
        released = self.platform.store.removed_at["marigold/order-owner"] - first[0]
        self.assertGreaterEqual(released, OWNER_HEAD_START)

    def test_planned_stop_answers_open_requests(self):
        for desk in self.desks:
            desk.delay = 1.0
        gateway = self.gateways[0]
        caller = socket.create_connection((HOST, gateway.port))
        caller.sendall(b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                       b"X-Request-Id: r\r\nX-Deadline-Ms: 3000\r\nContent-Length: 1\r\n\r\nx")
        time.sleep(0.3)
        gateway.child.send_signal(signal.SIGTERM)
        wait_for(lambda: not gateway.ready(), 1)
        caller.settimeout(5)
        received = b""
        while chunk := caller.recv(4096):
            received += chunk
        self.assertTrue(received.startswith(b"HTTP/1.1 200"))
        self.assertEqual(0, gateway.child.wait(timeout=9))

    def test_signal_right_after_the_start_ends_the_process_in_order(self):
        """Guards against a signal that kills the process by its default action because the
        listeners open before the signal handlers are installed."""
        for _ in range(10):
            gateway = Gateway(1, self.folder.name, BASE_PORT + 10, self.store_ports[1])
            self.gateways.append(gateway)
            until = time.monotonic() + 5
            while time.monotonic() < until:
                try:
                    socket.create_connection((HOST, gateway.port + OPERATOR)).close()
                    break
                except ConnectionRefusedError:
                    pass
            gateway.child.send_signal(signal.SIGHUP)
            gateway.child.send_signal(signal.SIGTERM)
            time.sleep(0.3)
            self.assertIsNone(gateway.child.poll())
            gateway.stop()

    def start_with_settings_that_wait(self):
        """Starts a gateway that waits in main() for its settings; returns it and the file to write them to."""
        gateway = Gateway(1, self.folder.name, BASE_PORT + 10, self.store_ports[1])
        self.gateways.append(gateway)
        gateway.stop()
        with open(gateway.settings, encoding="utf-8") as file:
            settings = file.read()
        os.remove(gateway.settings)
        os.mkfifo(gateway.settings)
        gateway.start()
        file = open(gateway.settings, "w", encoding="utf-8")  # waits until the process reads
        file.write(settings)
        os.remove(gateway.settings)
        with open(gateway.settings, "w", encoding="utf-8") as regular:  # for SIGHUP
            regular.write(settings)
        return gateway, file

    def test_signals_while_the_settings_are_read_end_the_process_in_order(self):
        """Guards against a signal that kills the process by its default action in its first milliseconds, before its
        signal handlers are installed."""
        gateway, file = self.start_with_settings_that_wait()
        gateway.child.send_signal(signal.SIGHUP)
        gateway.child.send_signal(signal.SIGTERM)
        time.sleep(0.05)
        file.close()
        self.assertEqual(0, gateway.child.wait(timeout=9))

    def test_signal_in_the_first_milliseconds_ends_the_process_in_order(self):
        """Sends the signal at many moments between main() and the open listeners."""
        for delay_ms in range(0, 40, 4):
            gateway, file = self.start_with_settings_that_wait()
            file.close()
            time.sleep(delay_ms / 1000)
            gateway.child.send_signal(signal.SIGTERM)
            self.assertEqual(0, gateway.child.wait(timeout=9), f"{delay_ms} ms")

    def test_request_read_late_in_a_planned_stop_is_not_begun(self):
        """Guards against a request whose body arrives late in a planned stop and that is still
        sent upstream: the end of the process would cut its answer."""
        for desk in self.desks:
            desk.delay = 9
        gateway = self.gateways[0]
        caller = socket.create_connection((HOST, gateway.port))
        caller.sendall(b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                       b"X-Request-Id: r\r\nContent-Length: 2\r\n\r\nx")
        time.sleep(0.2)
        gateway.child.send_signal(signal.SIGTERM)
        time.sleep(3.1)
        caller.sendall(b"y")
        caller.settimeout(9)
        self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 503"))
        self.assertEqual(0, self.runs())

    def send_raw(self, caller, path, request_id, headers=b""):
        caller.sendall(b"POST " + path + b" HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                       b"X-Request-Id: " + request_id.encode() + b"\r\n" + headers
                       + b"Content-Length: 1\r\n\r\nx")

    def read_whole(self, caller):
        """Returns the status of a whole answer; "reset", "closed" or "cut" without one."""
        answer = http.client.HTTPResponse(caller)
        try:
            answer.begin()
            answer.read()
            return answer.status
        except (ConnectionResetError, BrokenPipeError):
            return "reset"
        except http.client.RemoteDisconnected:
            return "closed"
        except http.client.IncompleteRead:
            return "cut"

    def test_requests_throughout_the_grace_of_a_planned_stop_end_with_a_whole_answer(self):
        """Guards against requests that are read in a planned stop and cut at its end without an
        answer, and against requests that begin after the notice."""
        for service, delay in ((self.desks, 3.0), (self.engines, 3.0)):
            for upstream in service:
                upstream.delay = delay
        gateway = self.gateways[0]
        kinds = {"once": (b"/once/x", b""), "again": (b"/again/x", b""),
                 "chat": (b"/chat/x", b"X-Model-Name: m1\r\nX-Token-Usage: 100,20\r\nX-Prompt-Prefix: a:50\r\n")}
        kept = [(k, step, socket.create_connection((HOST, gateway.port))) for step in range(80) for k in kinds]
        stopped = time.monotonic()
        gateway.child.send_signal(signal.SIGTERM)
        ends, threads, asked = {}, [], {}

        def ask(label, caller, kind):
            caller.settimeout(9)
            asked[label] = time.monotonic() - stopped
            try:
                self.send_raw(caller, kinds[kind][0], label, kinds[kind][1])
                ends[label] = self.read_whole(caller)
            except OSError:
                ends[label] = "reset"  # nothing was read
            caller.close()

        def run(label, caller, kind):
            threads.append(threading.Thread(target=ask, args=(label, caller, kind)))
            threads[-1].start()

        for kind, step, caller in kept:
            time.sleep(max(0.0, stopped + step / 10 - time.monotonic()))
            run(f"kept-{kind}-{step}", caller, kind)
            try:
                run(f"new-{kind}-{step}", socket.create_connection((HOST, gateway.port)), kind)
            except ConnectionRefusedError:
                pass
        for thread in threads:
            thread.join(10)
        self.assertEqual({}, {label: end for label, end in ends.items() if end in ("closed", "cut")})
        arrivals = sorted((at - stopped, label) for u in self.desks + self.engines for at, label, _ in u.arrival_log)
        begun = {label: at for at, label in reversed(arrivals)}  # the first arrival of each request
        self.assertEqual({}, {label: end for label, end in ends.items() if end == "reset" and label in begun})
        # The notice is 2.6 s. A stream that was begun before its end may be sent to another upstream later.
        self.assertEqual({}, {label: at for label, at in asked.items() if at > 2.7 and label in begun})
        self.assertEqual({}, {label: at for label, at in begun.items() if at > 3.2})
        once = [label for _, label in arrivals if "-once-" in label]
        self.assertEqual(len(set(once)), len(once))
        self.assertEqual(0, gateway.child.wait(timeout=9))

    def publish_slow_route(self):
        """Publishes a route with a long timeout."""
        slow = {**route("slow", "/slow/", "non_idempotent", "desk", attempts=60), "timeout_ms": 30000,
                "target_latency_ms": 20000}
        self.platform.publish(2, ["k1", "k2"], [*ROUTES, slow])
        wait_for(lambda: '"version": "2"' in self.gateways[0].log())

    def end_of_late_send(self, seconds):
        """Sends a request before the notice of a planned stop ends; the upstreams turn it away until
        so many seconds after the signal, when they take it. Returns its end."""
        gateway = self.gateways[0]
        for desk in self.desks:
            desk.delay, desk.turn_away = 1.0, "0.4"
        stopped = time.monotonic()
        gateway.child.send_signal(signal.SIGTERM)
        caller = socket.create_connection((HOST, gateway.port))
        self.send_raw(caller, b"/slow/x", "slow")
        caller.settimeout(9)
        time.sleep(stopped + seconds - 0.45 - time.monotonic())
        while (now := time.monotonic()) < stopped + seconds - 0.03:
            for desk in self.desks:
                desk.turn_away = f"{min(0.4, stopped + seconds - now):.3f}"
            time.sleep(0.004)
        for desk in self.desks:
            desk.turn_away = None
        return self.read_whole(caller)

    # Requests are ended 6.8 s after the signal, and the upstreams take a second.
    def test_send_at_the_very_end_of_a_planned_stop_is_not_begun(self):
        """Guards against a request that was read in time but is sent so late in a planned stop
        that its end cuts the answer: a request that may run only once then ends as unknown."""
        self.publish_slow_route()
        self.assertEqual(503, self.end_of_late_send(6.75))
        self.assertEqual(0, self.runs())

    def test_send_too_late_for_its_usual_answer_in_a_planned_stop_is_not_begun(self):
        """Guards against a request that is sent later than its service usually takes before the end."""
        self.publish_slow_route()
        for desk in self.desks:
            desk.delay = 1.0
        for _ in range(2):  # the time that the service takes is learned
            callers = [self.gateways[0].open_call("/slow/x", {"X-Deadline-Ms": "9000"}) for _ in range(20)]
            self.assertEqual({200}, {caller.getresponse().status for caller in callers})
        ran = self.runs()
        self.assertEqual(503, self.end_of_late_send(6.3))
        self.assertEqual(ran, self.runs())

    def test_request_that_waits_for_a_model_is_refused_before_a_planned_stop(self):
        """Guards against a connection that is closed without an answer at the end of the grace
        period because its request still waits for a model."""
        gateway = self.gateways[0]
        self.platform.store.severed_ports.add(self.store_ports[0])  # no VM can order the model
        caller = socket.create_connection((HOST, gateway.port))
        caller.sendall(b"POST /single/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                       b"X-Request-Id: r\r\nX-Model-Name: m2\r\nX-Token-Usage: 10,10\r\n"
                       b"Content-Length: 1\r\n\r\nx")
        time.sleep(0.2)
        gateway.child.send_signal(signal.SIGTERM)
        caller.settimeout(9)
        self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 503"))

    def disconnect_while_stopped(self, gateway, path, number):
        """Sends requests to a stopped process and disconnects before it can read them."""
        for index in range(number):
            caller = socket.create_connection((HOST, gateway.port))
            caller.sendall(b"POST " + path + b" HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                           b"X-Request-Id: left%d\r\nX-Deadline-Ms: 3000\r\nContent-Length: 1\r\n\r\nx" % index)
            caller.close()

    def test_request_is_not_sent_when_its_caller_left_before_it_was_read(self):
        """Guards against running requests whose callers disconnected while the process was
        delayed and had not read them yet."""
        gateway = self.gateways[0]
        for _ in range(8):  # opens connections to the upstreams
            self.assertEqual(200, gateway.call("/again/x")[0])
        for path in (b"/again/x", b"/once/x"):
            gateway.child.send_signal(signal.SIGSTOP)
            self.disconnect_while_stopped(gateway, path, 6)
            gateway.child.send_signal(signal.SIGCONT)
            wait_for(lambda: gateway.call("/again/x")[0] == 200)
            time.sleep(0.3)
        sent = [h["x-request-id"] for desk in self.desks for h in desk.seen]
        self.assertEqual([], [name for name in sent if name.startswith("left")])

    def test_lost_answer_is_not_retried_when_the_caller_left_meanwhile(self):
        """Guards against a retry that is based on stale caller state: the caller disconnects
        while the process is delayed, before it learns of the lost answer."""
        gateway = self.gateways[0]
        for _ in range(8):  # opens connections to the upstreams
            self.assertEqual(200, gateway.call("/again/x")[0])
        before = self.runs()
        for desk in self.desks:
            desk.drop_requests = True
            desk.delay = 0.5
        # One iteration of the event loop does not read all of these connections.
        others = [socket.create_connection((HOST, gateway.port)) for _ in range(80)]
        caller = socket.create_connection((HOST, gateway.port))
        caller.sendall(b"POST /again/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                       b"X-Request-Id: r\r\nX-Deadline-Ms: 3000\r\nContent-Length: 1\r\n\r\nx")
        wait_for(lambda: self.runs() == before + 1)
        gateway.child.send_signal(signal.SIGSTOP)
        time.sleep(0.6)  # the upstream drops the answer; then the others and the caller disconnect
        for other in others:
            other.close()
        caller.close()
        gateway.child.send_signal(signal.SIGCONT)
        time.sleep(0.7)
        self.assertEqual(before + 1, self.runs())

    def send_and_suspend(self, path, deadline_ms, run_s, suspended_s):
        """Sends a request, lets the gateway run for run_s, then suspends it for suspended_s; returns the caller."""
        gateway = self.gateways[0]
        caller = socket.create_connection((HOST, gateway.port))
        caller.settimeout(3)
        caller.sendall(f"POST {path} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nX-Request-Id: r\r\n"
                       f"X-Deadline-Ms: {deadline_ms}\r\nContent-Length: 1\r\n\r\nx".encode())
        time.sleep(run_s)
        gateway.child.send_signal(signal.SIGSTOP)
        time.sleep(suspended_s)
        gateway.child.send_signal(signal.SIGCONT)
        return caller

    def test_answer_that_arrived_during_a_suspension_is_delivered_after_the_deadline(self):
        """Guards against a 504, or a reset, for a request whose whole answer waits in the socket of its upstream when
        the gateway goes on after the deadline."""
        for desk in self.desks:
            desk.delay = 0.4
        caller = self.send_and_suspend("/once/x", 1000, run_s=0.2, suspended_s=2.5)
        self.assertIn(b"HTTP/1.1 200", caller.recv(4096))
        caller.close()

    def test_request_without_an_answer_ends_soon_after_a_suspension(self):
        """Guards against a deadline that a suspension of the gateway extends."""
        for desk in self.desks:
            desk.delay = 9
        caller = self.send_and_suspend("/once/x", 1000, run_s=0.2, suspended_s=2.5)
        began = time.monotonic()
        self.assertIn(b"HTTP/1.1 504", caller.recv(4096))
        self.assertLess(time.monotonic() - began, 0.5)
        caller.close()

    def test_answer_that_arrived_during_a_suspension_is_taken_before_a_replacement(self):
        """Guards against a second run of a request whose answer waits in the socket of its upstream when the gateway
        goes on after the time in which an answer is expected."""
        gateway = self.gateways[0]
        for _ in range(8):  # opens connections to the upstreams
            self.assertEqual(200, gateway.call("/again/x")[0])
        before = self.runs()
        for desk in self.desks:
            desk.delay = 0.4
        caller = self.send_and_suspend("/again/x", 3500, run_s=0.2, suspended_s=1.2)
        self.assertIn(b"HTTP/1.1 200", caller.recv(4096))
        caller.close()
        time.sleep(0.6)
        self.assertEqual(before + 1, self.runs())

    def test_probe_whose_connection_is_established_during_a_suspension_is_accepted(self):
        """Guards against an upstream that counts as gone because the gateway was suspended while it probed it."""
        gateway, slow = self.gateways[0], self.desks[0]
        slow.public_port = BASE_PORT + 80
        with socket.socket() as listener:
            listener.bind((HOST, slow.public_port))
            listener.listen(0)
            queue = [socket.socket() for _ in range(3)]
            for waiting in queue:  # fills the accept queue, so that further connections hang
                waiting.setblocking(False)
                waiting.connect_ex((HOST, slow.public_port))
            self.platform.change(self.platform.store.put, "servers/" + slow.name, slow.record())
            self.platform.change(self.platform.store.remove, "servers/" + self.desks[1].name)
            time.sleep(0.5)
            caller = socket.create_connection((HOST, gateway.port))
            caller.sendall(b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                           b"X-Request-Id: r\r\nX-Deadline-Ms: 3000\r\nContent-Length: 1\r\n\r\nx")
            wait_for(lambda: "unreachable upstream" in gateway.log(), 2)  # the probe follows
            time.sleep(0.1)
            gateway.child.send_signal(signal.SIGSTOP)
            self.assertNotIn("probe without an answer", gateway.log())
            listener.listen(64)
            time.sleep(1.6)  # the kernel tries to connect again after 1 s
            gateway.child.send_signal(signal.SIGCONT)
            time.sleep(0.3)
            self.assertNotIn("probe without an answer", gateway.log())
            caller.close()
            for waiting in queue:
                waiting.close()

    def test_once_is_not_sent_when_its_caller_left_during_a_connect(self):
        """Guards against a request that counts as started while its connection to the upstream is
        still being established, and is then sent to another upstream."""
        gateway, unresponsive = self.gateways[0], self.desks[0]
        unresponsive.public_port = BASE_PORT + 80
        with socket.socket() as listener:
            listener.bind((HOST, unresponsive.public_port))
            listener.listen(0)
            queue = [socket.socket() for _ in range(3)]
            for waiting in queue:  # fills the accept queue, so that further connections hang
                waiting.setblocking(False)
                waiting.connect_ex((HOST, unresponsive.public_port))
            self.platform.change(self.platform.store.put, "servers/" + unresponsive.name, unresponsive.record())
            time.sleep(0.5)
            callers = [socket.create_connection((HOST, gateway.port)) for _ in range(6)]
            for index, caller in enumerate(callers):
                caller.sendall(b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                               b"X-Request-Id: r%d\r\nX-Deadline-Ms: 3000\r\nContent-Length: 1\r\n\r\nx" % index)
            # A connect that has failed lets its request go to the other upstream, rightly until its caller leaves. A
            # frozen gateway sends nothing, and what it has sent before arrives.
            wait_for(lambda: gateway.freeze_in_connect(unresponsive.public_port), 2)
            time.sleep(0.3)
            before = self.runs()
            self.assertLess(before, len(callers))
            for caller in callers:
                caller.close()
            gateway.child.send_signal(signal.SIGCONT)
            time.sleep(1)
            self.assertEqual(before, self.runs())
            for waiting in queue:
                waiting.close()

    def test_call_of_a_caller_that_left_is_reset_behind_an_unread_request(self):
        """Guards against a request that an upstream reads after its caller has left: the upstream
        does not read, and the close of the call waits behind the request."""
        silent = self.desks[0]
        silent.public_port = BASE_PORT + 80
        self.platform.change(self.platform.store.remove, "servers/" + self.desks[1].name)
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((HOST, silent.public_port))
            listener.listen(8)
            self.platform.change(self.platform.store.put, "servers/" + silent.name, silent.record())
            time.sleep(0.5)
            caller = socket.create_connection((HOST, self.gateways[0].port))
            caller.sendall(b"POST /again/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                           b"X-Request-Id: left\r\nX-Deadline-Ms: 3000\r\nContent-Length: 1\r\n\r\nx")
            listener.settimeout(2)
            connection = listener.accept()[0]
            poll = select.poll()
            poll.register(connection, select.POLLIN)
            self.assertEqual([(connection.fileno(), select.POLLIN)], poll.poll(2000))  # the request, not read
            caller.close()
            wait_for(lambda: poll.poll(0)[0][1] & select.POLLERR, 1)
            connection.close()

    def test_call_of_a_caller_that_left_behind_a_pipelined_request_is_reset(self):
        """Guards against work for a caller that has left: the gateway has paused reading from it, because its next
        request waits, and so does not see the close."""
        self.platform.change(self.platform.store.remove, "servers/" + self.desks[1].name)
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((HOST, BASE_PORT + 80))
            listener.listen(8)
            self.desks[0].public_port = BASE_PORT + 80
            self.platform.change(self.platform.store.put, "servers/desk0", self.desks[0].record())
            time.sleep(0.5)
            caller = socket.create_connection((HOST, self.gateways[0].port))
            head = (b"POST /again/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                    b"X-Request-Id: left%d\r\nX-Deadline-Ms: 3500\r\nContent-Length: %d\r\n\r\n")
            caller.sendall(head % (1, 1) + b"x")
            listener.settimeout(2)
            connection = listener.accept()[0]
            connection.settimeout(1)
            self.assertTrue(connection.recv(4096))
            caller.sendall(head % (2, 95_000) + b"x" * 95_000)
            time.sleep(0.2)
            caller.close()
            poll = select.poll()
            poll.register(connection, select.POLLIN)
            wait_for(lambda: any(events & select.POLLERR for _, events in poll.poll(0)), 0.5)
            connection.close()

    def test_clear_answers_to_malformed_requests(self):
        for raw, status in ((b"POST /again/x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", b"400"),
                            (b"GET /again/x HTTP/1.1\r\nX: " + b"y" * 20000 + b"\r\n\r\n", b"431"),
                            (b"POST /again/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 200000\r\n\r\n"
                             + b"z" * 150000, b"413"),
                            (b"GET /again/x HT", b"408")):
            caller = socket.create_connection((HOST, self.gateways[0].port))
            caller.sendall(raw)
            caller.settimeout(4)
            self.assertEqual(status, caller.recv(4096).split(b" ")[1])
            caller.close()

    # Invalid or endless answers: (head, bytes that are repeated after it).
    OK = "HTTP/1.1 200 OK\r\nSIGNATURE\r\n"
    ENDLESS_HEADS = {"reason": ("HTTP/1.1 200 ", b"x" * 65536), "field": (OK + "X-Y: ", b"x" * 65536),
                     "provisional": ("", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2000)}
    SMALL_GROWTH = 24 << 20  # bytes; up to 1 MiB of an answer is buffered, the rest is process buffers

    def set_endless_answers(self, endless):
        """Makes every upstream send an endless answer (None for regular ones) and resets its counters."""
        for upstream in self.desks + self.engines:
            upstream.endless = endless
            upstream.endless_sent, upstream.endless_closed = 0, False

    def check_bounded(self, before):
        """Checks that the gateway closed the connections at once and its memory stayed bounded."""
        ran = [u for u in self.desks + self.engines if u.endless_sent]
        wait_for(lambda: all(u.endless_closed for u in ran), 1)
        self.assertTrue(ran)
        self.assertLess(self.gateways[0].memory() - before, self.SMALL_GROWTH)

    def test_head_without_end_ends_as_unknown_once_and_is_tried_elsewhere_if_repeatable(self):
        """Guards against an endless answer head, such as repeated provisional answers, that is
        read until the deadline instead of being rejected at its size limit."""
        gateway = self.gateways[0]
        for name, (head, chunk) in self.ENDLESS_HEADS.items():
            with self.subTest(name):
                self.set_endless_answers((head, chunk, 0))
                before = gateway.memory()
                began = time.monotonic()
                status, _, headers = gateway.call("/once/x", headers={"X-Request-Id": "once-" + name})
                self.assertEqual((502, "unknown"), (status, headers["Marigold-Outcome"]))
                self.assertLess(time.monotonic() - began, 2)
                self.check_bounded(before)
                wait_for(lambda: any("once-" + name in line and "answer exceeds its limits" in line
                                     for line in gateway.log().splitlines()), 1)
                self.set_endless_answers(None)
                self.desks[0].endless = (head, chunk, 0)
                for _ in range(4):
                    self.assertEqual(200, gateway.call("/again/x", method="GET", body=None)[0])

    def test_dripping_answer_does_not_outlast_the_deadline(self):
        """Guards against an upstream that sends single bytes slowly and so keeps a request or a
        connection open beyond the deadline."""
        for head, chunk in (("HTTP/1.1 200 OK\r\nX: ", b"x"), (self.OK + "\r\n", b"x")):
            self.set_endless_answers((head, chunk, 0.05))
            before = self.gateways[0].memory()
            began = time.monotonic()
            status, _, headers = self.gateways[0].call("/once/x", headers={"X-Deadline-Ms": "1000"})
            self.assertEqual((504, "unknown"), (status, headers["Marigold-Outcome"]))
            self.assertLess(time.monotonic() - began, 1.5)
            self.check_bounded(before)

    SMALL_VM = 160 << 20  # bytes of memory of the smallest VM; a process beyond it is killed

    def test_many_answers_without_end_fit_the_memory_of_a_small_vm(self):
        """Guards against a faulty upstream whose endless answers to many requests take all memory
        of the VM, so that the requests of all other callers end with the process."""
        gateway = self.gateways[0]
        for desk in self.desks:
            desk.slots = 400
            self.platform.change(self.platform.store.put, "servers/" + desk.name, desk.record())
        time.sleep(0.3)
        for name, head in (("unsigned", "HTTP/1.1 200 OK\r\n\r\n"), ("signed", self.OK + "\r\n")):
            with self.subTest(name):
                self.set_endless_answers((head, b"x" * 65536, 0))
                arrived = sum(len(desk.arrivals) for desk in self.desks)
                callers = [socket.create_connection((HOST, gateway.port)) for _ in range(180)]
                for number, caller in enumerate(callers):
                    caller.sendall(f"POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                                   f"X-Request-Id: {name}-{number}\r\nX-Deadline-Ms: 2900\r\n"
                                   f"Content-Length: 0\r\n\r\n".encode())
                time.sleep(3)  # the callers read nothing until their deadlines have passed
                self.assertGreater(sum(len(desk.arrivals) for desk in self.desks) - arrived, 100)
                self.assertLess(gateway.memory("VmHWM"), self.SMALL_VM)
                for caller in callers:
                    caller.close()
        self.set_endless_answers(None)
        wait_for(lambda: gateway.call("/again/x", method="GET", body=None)[0] == 200, 5)

    def test_stream_event_without_end_is_no_event(self):
        """Guards against an incomplete stream event that is buffered without limit until the
        deadline."""
        head = "HTTP/1.1 200 OK\r\nSIGNATURE\r\nContent-Type: text/event-stream\r\n\r\ndata: "
        self.set_endless_answers((head, b"x" * 65536, 0))
        before = self.gateways[0].memory()
        status, _, headers = self.gateways[0].call("/single/x", headers=self.CHAT)
        self.assertEqual((502, "unknown"), (status, headers["Marigold-Outcome"]))
        self.check_bounded(before)
        self.assertTrue("event exceeds its limit" in self.gateways[0].log())

    EVENT_STREAM = OK + "Content-Type: text/event-stream\r\n\r\n"

    def test_stream_without_length_that_ends_inside_an_event_looks_incomplete(self):
        """Guards against a stream without length or chunks that breaks off inside an event and reaches the caller
        as complete. One that ends between events is complete."""
        whole = b"id: 1\ndata: a\n\n"
        self.set_endless_answers((self.EVENT_STREAM, whole, 0))
        for engine in self.engines:
            engine.endless_limit = len(whole)
        self.assertEqual((200, whole.decode()), self.gateways[0].call("/single/x", headers=self.CHAT)[:2])
        self.set_endless_answers((self.EVENT_STREAM, whole + b"id: 2\nda", 0))
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            self.gateways[0].call("/single/x", headers=self.CHAT)

    # More than the sockets' buffers and what a gateway holds for a slow caller.
    LARGE_ANSWER = 24 << 20  # bytes

    def read_after_a_pause(self, path, headers):
        """Sends a request, reads nothing until the gateway has stopped reading the answer, then reads all of it."""
        upstreams = self.desks + self.engines
        caller = self.gateways[0].open_call(path, headers)
        try:
            wait_for(lambda: any(upstream.endless_sent for upstream in upstreams), 2)
            sent = -1
            while sent != (sent := sum(upstream.endless_sent for upstream in upstreams)):
                time.sleep(0.1)
            self.assertLess(sent, self.LARGE_ANSWER)
            return caller.getresponse().read()
        finally:
            caller.close()

    def test_large_answer_goes_on_when_its_caller_reads_again(self):
        """Guards against reading from an upstream that never resumes after a caller was slow: the answer then
        breaks off at the deadline."""
        event = b"data: " + b"x" * 65528 + b"\n\n"
        for name, path, headers, head, part in (
                ("body", "/once/x", {}, self.OK + f"Content-Length: {self.LARGE_ANSWER}\r\n\r\n", b"x" * 65536),
                ("stream", "/single/x", self.CHAT, self.EVENT_STREAM, event)):
            with self.subTest(name):
                self.set_endless_answers((head, part, 0))
                for upstream in self.desks + self.engines:
                    upstream.endless_limit = self.LARGE_ANSWER
                body = self.read_after_a_pause(path, {"X-Deadline-Ms": "3900", **headers})
                self.assertEqual(self.LARGE_ANSWER, len(body))

    def test_unsigned_body_without_end_is_not_passed_on(self):
        """Guards against an unsigned success that is passed to the caller once its body exceeds
        the buffer of 1 MiB."""
        self.set_endless_answers(("HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536, 0))
        before = self.gateways[0].memory()
        status, _, headers = self.gateways[0].call("/once/x")
        self.assertEqual((502, "unknown"), (status, headers["Marigold-Outcome"]))
        self.check_bounded(before)

    def test_signed_body_without_end_breaks_off_at_the_deadline(self):
        """Guards against an endless answer that looks complete to the caller: a long answer is
        passed on as it arrives and must be cut visibly at the deadline."""
        self.set_endless_answers((self.OK + "\r\n", b"x" * 65536, 0.01))
        before = self.gateways[0].memory()
        began = time.monotonic()
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            self.gateways[0].call("/once/x", headers={"X-Deadline-Ms": "1500"})
        self.assertLess(time.monotonic() - began, 2)
        self.check_bounded(before)

    def test_answer_without_end_whose_caller_left_ends_at_the_deadline(self):
        """Guards against a non-idempotent request that outlasts its deadline: it runs on after its
        caller disconnected, so only the deadline ends an endless answer."""
        self.set_endless_answers((self.OK + "\r\n", b"x" * 65536, 0.001))
        gateway = self.gateways[0]
        before = gateway.memory()
        caller = socket.create_connection((HOST, gateway.port))
        caller.sendall(b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                       b"X-Request-Id: left\r\nX-Deadline-Ms: 1500\r\nContent-Length: 1\r\n\r\nx")
        wait_for(self.runs, 2)
        caller.close()
        wait_for(lambda: any(u.endless_sent > (8 << 20) for u in self.desks), 1.4)
        self.assertLess(gateway.memory() - before, self.SMALL_GROWTH)
        time.sleep(1.5)
        self.check_bounded(before)

    def test_refused_request_whose_caller_left_is_not_sent_elsewhere(self):
        """Guards against a retry after a refusal whose caller has already disconnected: the next
        upstream would run a request without a recipient."""
        for desk in self.desks:
            desk.refuse, desk.delay = True, 0.5
        twice = {**ROUTES[0], "name": "twice", "prefix": "/twice/", "attempts": 2}
        self.platform.publish(2, ["k1"], ROUTES + [twice])
        wait_for(lambda: self.gateways[0].call("/twice/x", headers={"X-Deadline-Ms": "900"})[0] != 404, 2.5)
        time.sleep(1)
        before = self.runs()
        caller = socket.create_connection((HOST, self.gateways[0].port))
        caller.sendall(b"POST /twice/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                       b"X-Request-Id: left\r\nX-Deadline-Ms: 2900\r\nContent-Length: 1\r\n\r\nx")
        wait_for(lambda: self.runs() > before, 2)
        caller.close()
        time.sleep(1.5)
        self.assertEqual(before + 1, self.runs())

    def test_answer_that_was_passed_on_in_part_is_not_tried_elsewhere(self):
        """Guards against a retry after part of an answer was passed on: the caller would get that
        part followed by the answer of another upstream."""
        slow = self.desks[0]
        slow.endless = (self.OK + "Content-Length: 99000000\r\n\r\n", b"x" * 65536, 0.01)
        for limit in (slow.endless_limit, 4 << 20):  # the answer times out, or breaks off
            slow.endless_limit, slow.endless_sent = limit, 0
            until = time.monotonic() + 20
            while not slow.endless_sent:
                self.assertLess(time.monotonic(), until)
                try:
                    status, body, _ = self.gateways[0].call("/again/x", method="GET", body=None)
                except (http.client.IncompleteRead, ConnectionError):
                    continue
                self.assertEqual((200, "done by"), (status, body[:7]))


if __name__ == "__main__":
    side_by_side.main(BASE_PORT, jobs=4)
