"""Tests of VMs that send requests to upstreams for a VM without a path to them."""

import http.client
import signal
import threading
import time
import unittest

import side_by_side
from gateway_process import PEERS, wait_for
from stranded_fleet import ADAPT_SECONDS, BASE_PORT, DEADLINE, JUDGED_SECONDS, KINDS, SERVED_OF_KIND, StrandedTest

SLOW_EVENTS = 0.25    # seconds between events of streams that a test watches
GONE_SECONDS = 0.5    # until the work for a caller that left ends
LEAVING_SECONDS = 2.5  # until an upstream that says that it leaves gets nothing from a VM that passed the answer on
IN_FLIGHT = 0.5       # seconds in which requests may reach an upstream that has turned one away
OVERDUE_DEADLINE = 0.5
OVERDUE_SECONDS = 1.5  # after its deadline, a request has been given up
ASIDE_SECONDS = 0.6   # a peer that is set aside gets nothing for longer
MOST_WHILE_TURNED_AWAY = 2  # requests of a VM afterwards


class Carried(StrandedTest):
    def setUp(self):
        super().setUp()
        self.stranded = self.strand([0], "silent")

    def start_streams(self, count=12):
        """Starts streams that last; returns them as they run, with their threads."""
        for engine in self.engines:
            engine.event_seconds = SLOW_EVENTS
        started = [self.start_try(self.gateways[0], "chat", 3.9) for _ in range(count)]
        time.sleep(3 * SLOW_EVENTS)
        return started

    def test_caller_of_a_carried_stream_leaves(self):
        """Guards against upstreams that work on for callers that have left, because a carrier isn't told."""
        for engine in self.engines:
            engine.event_seconds = SLOW_EVENTS
        calls = {}
        for number in range(6):
            request_id = f"left-{number}"
            calls[request_id] = self.gateways[0].open_call(
                "/chat/x", {"X-Model-Name": "m1", "X-Token-Usage": "100,20", "X-Request-Id": request_id,
                            "X-Prompt-Prefix": f"a:50,{number + 0xf000:x}:50", "X-Deadline-Ms": "3900"})
        time.sleep(3 * SLOW_EVENTS)
        at_work = [request_id for request_id in calls if self.last_event(request_id)]
        for connection in calls.values():
            connection.close()
        left = time.monotonic()
        self.assertGreaterEqual(len(at_work), SERVED_OF_KIND * len(calls), "carried streams run")
        time.sleep(4 * SLOW_EVENTS)
        self.assertEqual([], [request_id for request_id in at_work
                              if self.last_event(request_id) > left + GONE_SECONDS])

    def last_event(self, request_id):
        return max(engine.last_events.get(request_id, 0) for engine in self.engines)

    def test_carrier_is_killed(self):
        """Guards against streams that look complete because their carrier ended, and a VM that stays with it."""
        started = self.start_streams()
        carrier = self.carrier_of([attempt for attempt, _ in started])
        carrier.stop()
        streams = self.join(started)
        self.assertEqual([], [stream for stream in streams if stream.end not in ("whole", "broken")])
        tries = self.drive(self.stranded, JUDGED_SECONDS)
        self.check_served(tries)
        self.assertNotIn(carrier.name, self.paths_of(tries))

    def test_carrier_stands_still(self):
        """Guards against requests that wait for a carrier that takes them and does nothing."""
        carrier = self.carrier_of(self.drive(self.stranded, 1))
        carrier.child.send_signal(signal.SIGSTOP)
        try:
            self.start_tries(self.stranded, ADAPT_SECONDS)
            self.check_served(self.drive(self.stranded, JUDGED_SECONDS))
        finally:
            carrier.child.send_signal(signal.SIGCONT)

    def test_carrier_that_leaves_a_request_unanswered_is_set_aside(self):
        """Guards against a VM that stays with a peer which has not ended a request in time: the peer answers that
        itself now, late, and counted as sound."""
        carrier = self.carrier_of(self.drive(self.stranded, 1))
        for desk in self.desks:
            desk.delay = DEADLINE
        waiting = threading.Thread(target=self.gateways[0].call, args=("/once/x",),
                                   kwargs={"headers": {"X-Request-Id": "overdue",
                                                       "X-Deadline-Ms": str(int(OVERDUE_DEADLINE * 1000))}})
        waiting.start()
        wait_for(lambda: any(headers["x-request-id"] == "overdue" for desk in self.desks for headers in desk.seen), 1)
        # Else the VM gives the request up before the peer does.
        self.gateways[0].child.send_signal(signal.SIGSTOP)
        time.sleep(OVERDUE_DEADLINE + OVERDUE_SECONDS)
        self.gateways[0].child.send_signal(signal.SIGCONT)
        waiting.join()
        tries = self.drive(self.stranded, ASIDE_SECONDS, ("chat",))
        self.assertTrue([attempt for attempt in tries if attempt.end == "whole"], tries)
        self.assertNotIn(carrier.name, self.paths_of(tries))

    def test_carrier_loses_its_path_too(self):
        """Guards against requests to a carrier that has no path itself any more."""
        carrier = self.carrier_of(self.drive(self.stranded, 1))
        self.stranded += self.strand([self.gateways.index(carrier)], "reset")
        self.check_served(self.drive(self.stranded, JUDGED_SECONDS))

    def test_carrier_is_stopped_as_planned(self):
        """Guards against a planned stop that cuts what a VM carries for others, and against new requests to it."""
        started = self.start_streams()
        carrier = self.carrier_of([attempt for attempt, _ in started])
        carrier.child.send_signal(signal.SIGTERM)
        time.sleep(1)  # others know of the stop
        tries = self.drive(self.stranded, JUDGED_SECONDS)
        self.assertEqual([], [stream for stream in self.join(started) if stream.end != "whole"])
        self.check_served(tries)
        self.assertNotIn(carrier.name, self.paths_of(tries))
        self.assertEqual(0, carrier.child.wait(timeout=9))

    def test_carrying_does_not_show(self):
        """Guards against headers of the carrying, keys or longer deadlines that reach upstreams or callers."""
        direct = self.join(self.start_tries(self.gateways[1:], 1))
        carried = self.drive(self.stranded, 1)
        self.check_served(carried)
        seen = {headers["x-request-id"]: headers for upstream in self.upstreams for headers in upstream.seen}
        for kind in KINDS:
            answers, requests = [], []
            for tries in (direct, carried):
                whole = [attempt for attempt in tries if attempt.kind == kind and attempt.end == "whole"]
                answers.append({name.lower() for attempt in whole for name in attempt.headers.keys()})
                requests.append({name for attempt in whole for name in seen[attempt.id]})
                for attempt in whole:
                    self.assertEqual("team", seen[attempt.id]["x-tenant-name"])
                    self.assertLessEqual(int(seen[attempt.id]["x-deadline-ms"]), 1000 * DEADLINE)
            self.assertEqual(*answers)
            self.assertEqual(*requests)
            self.assertNotIn("authorization", requests[1])

    def ask_to_carry(self, source):
        """Asks a VM to pass a request on, from an address. Returns the status and why the VM
        declines."""
        desk = self.desks[0]
        connection = http.client.HTTPConnection("127.0.0.1", self.gateways[1].port + PEERS, timeout=2,
                                                source_address=(source, 0))
        try:
            connection.request("POST", "/again/x", b"x", {
                "Host": "h.example", "X-Request-Id": f"from-{source}", "X-Tenant-Name": "team", "X-Deadline-Ms": "2000",
                "Marigold-Carry-To": desk.name, "Marigold-Carry-Process": str(desk.born)})
            answer = connection.getresponse()
            return answer.status, answer.headers.get("Marigold-Carry-Declined")
        finally:
            connection.close()

    def test_vms_carry_for_registered_vms_only(self):
        """Guards against others that reach upstreams through the port of the peers, without a key."""
        self.assertEqual((200, None), self.ask_to_carry("127.0.0.1"), "the address of the VMs")
        self.assertEqual((503, "not-asked"), self.ask_to_carry("127.0.9.9"))
        for upstream in self.upstreams:
            self.assertNotIn("from-127.0.9.9", [request_id for _, request_id, _ in upstream.arrival_log])

    def test_carriers_learn_of_the_vm_after_it_has_asked(self):
        """Guards against connections on which a VM stays unknown that asked before its registration was read."""
        for gateway in self.gateways:
            gateway.stop()
        late = {BASE_PORT + 90 + number for number in range(1, len(self.gateways))}
        self.platform.store.unanswered_ports |= late
        for gateway in self.gateways:
            gateway.start()
        self.start_tries(self.stranded, 1)
        self.assertIn("not passed on by a peer", self.last_log(self.gateways[0]))
        self.platform.store.unanswered_ports -= late
        wait_for(lambda: all(gateway.ready() for gateway in self.gateways[1:]))
        self.start_tries(self.stranded, ADAPT_SECONDS)
        self.check_served(self.drive(self.stranded, JUDGED_SECONDS))

    @staticmethod
    def last_log(gateway):
        """Returns the log of the latest process."""
        return gateway.log().rpartition('"message": "start"')[2]

    def busiest_engine(self):
        """Returns the engine that gets most of what is carried."""
        carried = {attempt.id for attempt in self.drive(self.stranded, 1)}
        return max(self.engines,
                   key=lambda engine: sum(request_id in carried for _, request_id, _ in engine.arrival_log))

    def told(self, upstream, links):
        """Returns when an upstream first said something of itself in an answer on one of these paths, or None."""
        return next((at for at, request_id, *_ in upstream.statements if links.passed(request_id)), None)

    def carry_statement(self, name, value):
        """Lets an engine say something of itself in its answers. Returns it when an answer to a carried request has
        said so."""
        for _ in range(4):
            engine = self.busiest_engine()
            before = getattr(engine, name)
            setattr(engine, name, value)
            carried = {attempt.id for attempt in self.drive(self.stranded, 1)}
            if any(request_id in carried for _, request_id, *_ in engine.statements):
                return engine
            setattr(engine, name, before)
        self.fail("no request was carried to the engine that got most before")

    def test_upstream_that_leaves_gets_no_more_from_carriers(self):
        """Guards against a carrier that passes a Server-Leaving on and goes on sending to that upstream."""
        engine = self.carry_statement("leaving", True)
        self.drive(self.stranded, LEAVING_SECONDS)
        late = self.drive([gateway for gateway, links in zip(self.gateways, self.links)
                           if gateway in self.stranded or self.told(engine, links)], JUDGED_SECONDS)
        self.check_served(late)
        arrived = {request_id for _, request_id, _ in engine.arrival_log}
        self.assertEqual([], [attempt for attempt in late if attempt.id in arrived])

    def test_upstream_that_turns_away_is_left_alone_by_carriers(self):
        """Guards against a carrier and the VM behind it that both ask an upstream that wants no requests."""
        engine = self.carry_statement("turn_away", "4")
        self.check_served(self.drive(self.gateways, JUDGED_SECONDS))
        for links in self.links:
            first = self.told(engine, links)
            if first is None:
                continue  # It has told nothing there.
            late = [request_id for at, request_id, _ in engine.arrival_log
                    if links.passed(request_id) and first + IN_FLIGHT < at < first + 4]
            self.assertLessEqual(len(late), MOST_WHILE_TURNED_AWAY)


if __name__ == "__main__":
    side_by_side.main(BASE_PORT, jobs=2)
