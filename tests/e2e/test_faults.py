"""Tests requests and changes of the configuration beside each fault, in six VMs of three data centres. The fault hits
the owner of orders, an engine and a plain service."""

import contextlib
import json
import re
import threading
import time

import side_by_side
from fault_case import FAULT_SECONDS, LOST_ANSWERS, SERVED_SECONDS, SLOW_SECONDS, FaultCase
from gateway_process import wait_for
from placement_fleet import BASE_PORT
from users_platform import TOKENS

OUTCOMES = ("not-run", "unknown", "ran")
EVENT_SECONDS = 0.05    # streams take half a second
SLOW_DESK_SECONDS = 0.6
PART_SECONDS = 0.3      # of the time of a fault
IN_FORCE_SECONDS = 3    # until a configuration is in force on a VM that is ready
SAMPLE_SECONDS = 0.1


class Beside(FaultCase):
    """A test for each fault. Subclasses say what happens before, beside and after it."""

    def setUp(self):
        super().setUp()
        for engine in self.engines:
            engine.event_seconds, engine.names_requests = EVENT_SECONDS, True
        self.threads = []

    def start(self, function, *arguments):
        self.threads.append(threading.Thread(target=function, args=arguments))
        self.threads[-1].start()

    def play(self, *faults):
        self.before()
        with contextlib.ExitStack() as stack:
            for fault in faults:
                stack.enter_context(fault)
            self.beside()
        self.after()
        for thread in self.threads:
            thread.join()
        for gateway in self.gateways:
            wait_for(lambda gateway=gateway: self.is_served(gateway), SERVED_SECONDS)
        self.check()
        self.check_promises()

    def test_kill(self):
        """Guards against harm of a killed VM, engine and service."""
        self.play(self.killed())

    def test_pause(self):
        """Guards against harm of a VM, an engine and a service that are suspended and go on."""
        self.play(self.paused())

    def test_vm_is_cut_off(self):
        """Guards against harm of a VM without the store and the other VMs."""
        self.play(self.cut_off(data_centre=False))

    def test_data_centre_is_cut_off(self):
        """Guards against harm of a data centre without the store and the others."""
        self.play(self.cut_off(data_centre=True))

    def test_store_is_slow(self):
        """Guards against requests that wait for the store."""
        self.play(self.store_is(answer_delay=SLOW_SECONDS))

    def test_store_is_down(self):
        """Guards against requests that need the store."""
        self.play(self.store_is_down())

    def test_answers_of_the_store_are_lost(self):
        """Guards against calls of unknown outcome that are taken for failed or done."""
        self.play(self.store_is(lost_answers=LOST_ANSWERS))

    def test_records_of_lost_upstreams_stay(self):
        """Guards against requests that go to upstreams that have ended and are still listed."""
        self.play(self.upstreams_lost())

    def test_operators_race(self):
        """Guards against harm of two operators who write at once."""
        self.play(self.operators_race())

    def test_store_is_down_and_vm_killed(self):
        """Guards against harm of a kill while the store is down."""
        self.play(self.store_is_down(), self.killed())

    def test_data_centre_is_cut_off_and_vm_pauses(self):
        """Guards against harm of a VM that is cut off and suspended at once."""
        self.play(self.cut_off(data_centre=True), self.paused())

    def test_answers_are_lost_beside_a_race_of_operators(self):
        """Guards against VMs that miss one of two changes because answers of the store were lost."""
        self.play(self.store_is(lost_answers=LOST_ANSWERS), self.operators_race())


class Requests(Beside):
    """Answers are whole and the caller's own, or say what happened (P7, P8); bookings run at most once (P9)."""

    def setUp(self):
        super().setUp()
        self.bookings = []  # (id, outcome)

    def refusal(self, request_id, status, outcome):
        """Returns whether a request was refused, which must say its outcome."""
        if status not in (None, 200) and outcome not in OUTCOMES:
            self.failures.append(f"{request_id}: {status} without an outcome")
        return status != 200

    def check_stream(self, gateway):
        request_id, status, text, outcome = self.stream(gateway, "m1")
        tokens = re.findall(r"^data: (.*)$", text, re.MULTILINE)
        if not self.refusal(request_id, status, outcome) and tokens != [f"{request_id}.{token}" for token in TOKENS]:
            self.failures.append(f"stream {request_id} at {gateway.name}: {tokens}")

    def check_chat(self, gateway):
        body = {"model": "m1", "max_tokens": 20, "messages": [{"role": "user", "content": "Is pod 7 clean?"}]}
        request_id, status, text, outcome = self.call(gateway, "/v1/chat/completions",
                                                      {"Content-Type": "application/json"}, json.dumps(body))
        if self.refusal(request_id, status, outcome):
            return
        content = json.loads(text)["choices"][0]["message"]["content"]
        if content != "".join(f"{request_id}.token{number} " for number in range(1, 10)):
            self.failures.append(f"chat {request_id} at {gateway.name}: {content}")

    def check_booking(self, gateway):
        request_id, status, text, outcome = self.call(gateway, "/once/x", {})
        self.bookings.append((request_id, outcome))
        if not self.refusal(request_id, status, outcome) and not text.endswith(request_id):
            self.failures.append(f"booking {request_id} at {gateway.name}: {text}")

    def send_all(self):
        for gateway in self.gateways:
            for function in (self.check_stream, self.check_chat, self.check_booking):
                self.start(function, gateway)

    def set_desks(self, **fields):
        for desk in self.desks:
            for name, value in fields.items():
                setattr(desk, name, value)

    def before(self):
        self.set_desks(delay=SLOW_DESK_SECONDS)
        self.send_all()
        time.sleep(PART_SECONDS)

    def beside(self):
        for fields in ({"delay": 0.01}, {"drop_requests": True}, {"drop_requests": False, "delay": SLOW_DESK_SECONDS}):
            self.set_desks(**fields)
            self.send_all()
            time.sleep(PART_SECONDS)

    def after(self):
        self.set_desks(delay=0.01)
        for gateway in self.gateways:
            wait_for(lambda gateway=gateway: self.call(gateway, "/once/x", {})[1] == 200, SERVED_SECONDS)

    def check(self):
        ran = [headers["x-request-id"] for desk in self.desks for headers in desk.seen]
        self.assertEqual([], [request_id for request_id, _ in self.bookings if ran.count(request_id) > 1])
        self.assertEqual([], [request_id for request_id, outcome in self.bookings
                              if outcome == "ran" and request_id not in ran])


class Changes(Beside):
    """A change of the keys is in force on each VM soon after the fault and is never taken back (P5, P12)."""

    def setUp(self):
        super().setUp()
        self.ended = threading.Event()
        self.addCleanup(self.ended.set)

    def change_keys(self, change):
        item = self.platform.change(self.platform.store.items.get, "op/config")
        self.assertEqual(200, self.write_keys(item, change))

    def before(self):
        self.change_keys(lambda keys: keys + ["old"])
        for gateway in self.gateways:
            wait_for(lambda gateway=gateway: self.takes(gateway, "old"), IN_FORCE_SECONDS)

    def beside(self):
        self.change_keys(lambda keys: [key for key in keys if key != "old"] + ["new"])
        for gateway in self.gateways:
            self.start(self.sample, gateway)
        time.sleep(FAULT_SECONDS)

    def sample(self, gateway):
        """Watches which key a VM takes."""
        taken = False
        while not self.ended.wait(SAMPLE_SECONDS):
            taken = taken or self.takes(gateway, "new")
            if taken and self.takes(gateway, "old"):
                self.failures.append(f"{gateway.name} took the withdrawn key again")

    def after(self):
        for gateway in self.gateways:
            wait_for(gateway.ready)
            wait_for(lambda gateway=gateway: self.takes(gateway, "new"), IN_FORCE_SECONDS)
            self.assertFalse(self.takes(gateway, "old"))
        time.sleep(FAULT_SECONDS)
        self.ended.set()

    def check(self):
        """All is checked after the fault and by the samples."""


del Beside  # the base class has no steps

if __name__ == "__main__":
    side_by_side.main(BASE_PORT, jobs=2)
