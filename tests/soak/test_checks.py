"""Tests that the checks of the soak detect violations and accept valid records."""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import unittest
import unittest.mock

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../e2e"))

import soak
from brittle import check_falls
from checks import (ANSWER_SLACK, FAULT_FREE, GRACE_CHECKED, IN_FLIGHT, KEY_LIMIT, LEAST_TAKE_UPS, LEAVING_LIMIT,
                    LOSS_SLACK, MOST_BLOCKED, MOST_DEADLY, MOST_JOINED, MOST_WHILE_TURNED_AWAY, PROVEN_CRASHES,
                    RESUME_GRACE, Record, check_answered, check_blocked, check_deadly, check_exit, check_joined, check_orders, check_pauses, check_runs,
                    check_statements, check_strands, check_stream, check_take_ups, check_waits, holds_signal)
from proxy import HOST, Proxy
from stream_calls import StreamCaller
from strands import Strands
from upstream_links import UpstreamLink, VmLinks
from users_platform import Platform, Upstream


class UpstreamRecord:
    def __init__(self, *headers, orders=(), statements=(), arrivals=(), crashes=()):
        self.name, self.seen, self.order_log = "u", list(headers), list(orders)
        self.crashes = list(crashes)
        self.statements, self.arrival_log = list(statements), list(arrivals)


def request_headers(request_id, **more):
    return {"x-request-id": request_id, "x-tenant-name": "team", **more}


class ChecksTest(unittest.TestCase):
    def setUp(self):
        self.record = Record()

    def found(self):
        return [text.split()[0] for _, text in self.record.violations]

    def test_second_run_of_a_booking(self):
        self.record.request("a", "once", "k1", "vm0")
        check_runs(self.record, [UpstreamRecord(request_headers("a")), UpstreamRecord(request_headers("a"))])
        self.assertEqual(["TWICE"], self.found())

    def test_sound_requests_refused_as_deadly(self):
        for number in range(MOST_BLOCKED + 1):
            self.assertEqual([], self.found())
            self.record.request(str(number), "rack", "k1", "vm0")
            self.record.blocked.append((str(number), "vm0", time.monotonic()))
            check_blocked(self.record)
        self.assertEqual(["LOST"], self.found())

    def strand(self, served_there, served_elsewhere, of=60):
        """Requests at VMs with and without a path, in a cut that is old enough."""
        now = time.monotonic()
        self.record.strands.append(("vm0", now - FAULT_FREE - 1, now + 1))
        for vm, served in (("vm0", served_there), ("vm1", served_elsewhere)):
            for number in range(of):
                self.record.request(f"{vm} {number}", "again", "k1", vm)
                self.record.answer(f"{vm} {number}", 200 if number < served else 503)
        check_strands(self.record, ["again"])
        return self.found()

    def test_callers_of_a_vm_without_a_path_are_served_less(self):
        self.assertEqual(["RECOVER"], self.strand(33, 60))

    def test_callers_of_a_vm_without_a_path_are_served_two_thirds_as_often(self):
        self.assertEqual([], self.strand(40, 60))

    def test_nobody_is_served_anywhere(self):
        self.assertEqual([], self.strand(0, 0))

    def test_moments_without_an_upstream_that_serves_tell_nothing_of_a_path(self):
        """Guards against a service whose upstreams are silent for all VMs being counted as the lost path of one whose
        callers sent more then."""
        now = time.monotonic()
        self.record.strands.append(("vm0", now - FAULT_FREE - 4, now + 1))
        for vm, at, count, served in (("vm0", now - 2, 60, False), ("vm1", now - 2, 10, False),
                                      ("vm0", now, 20, True), ("vm1", now, 60, True)):
            for number in range(count):
                request_id = f"{vm} {at} {number}"
                self.record.request(request_id, "again", "k1", vm)
                self.record.sent[request_id] = ("again", "k1", vm, at)
                self.record.answer(request_id, 200 if served else 503)
        check_strands(self.record, ["again"])
        self.assertEqual([], self.found())
        self.record.request("vm1 served", "again", "k1", "vm1")
        self.record.sent["vm1 served"] = ("again", "k1", "vm1", now - 2)
        self.record.answer("vm1 served", 200)
        check_strands(self.record, ["again"])
        self.assertEqual(["RECOVER"], self.found())

    def test_first_seconds_of_a_cut_and_faults_of_the_vm_excuse(self):
        self.record.fault("vm0", time.monotonic() - 1, time.monotonic())
        self.assertEqual([], self.strand(0, 60))
        self.record.faults.clear()
        self.record.strands[:] = [("vm0", time.monotonic() - FAULT_FREE + 1, time.monotonic() + 1)]
        check_strands(self.record, ["again"])
        self.assertEqual([], self.found())

    def test_lookup_may_run_twice(self):
        self.record.request("a", "again", "k1", "vm0")
        check_runs(self.record, [UpstreamRecord(request_headers("a")), UpstreamRecord(request_headers("a"))])
        self.assertEqual([], self.found())

    def test_refusal_of_a_request_that_ran(self):
        self.record.request("a", "once", "k1", "vm0")
        self.record.answer("a", 503)
        check_runs(self.record, [UpstreamRecord(request_headers("a"))])
        self.assertEqual(["REFUSED"], self.found())

    def test_request_that_nobody_sent_and_a_key_that_was_passed_on(self):
        self.record.request("a", "again", "k1", "vm0")
        check_runs(self.record, [UpstreamRecord(request_headers("b"), request_headers("a", authorization="Bearer k1"))])
        self.assertEqual(["UNASKED", "UNASKED"], self.found())

    def test_withdrawn_key_counts_only_at_vms_without_faults(self):
        now = time.monotonic()
        self.record.withdrawn["k3"] = now - KEY_LIMIT - 1
        for vm in ("vm0", "vm1"):
            self.record.request(vm, "again", "k3", vm)
        self.record.fault("vm1", now - 1, now)
        check_runs(self.record, [UpstreamRecord(request_headers("vm0"), request_headers("vm1"))])
        self.assertEqual(["CONFIG"], self.found())

    def test_streams(self):
        check_stream(self.record, "a", "id: 1\nid: 3\n", False)
        check_stream(self.record, "b", "id: 1\nid: 2\n", True)
        check_stream(self.record, "c", "id: 1\nid: 2\n", False)
        self.assertEqual(["ORDER", "ORDER"], self.found())

    def check_arrivals(self, statement, seconds_after, count, process=1, vm="vm0"):
        """Checks requests of a VM some time after it was told something by process 1."""
        now = time.monotonic()
        self.record.request("told", "again", "k1", "vm0")
        arrivals = []
        for number in range(count):
            self.record.sent[f"r{number}"] = ("again", "k1", vm, now + seconds_after)
            arrivals.append((now + seconds_after, f"r{number}", process))
        check_statements(self.record, [UpstreamRecord(statements=[(now, "told", 1, statement)], arrivals=arrivals)])

    def test_requests_to_an_upstream_that_turns_them_away(self):
        self.check_arrivals("3", IN_FLIGHT / 2, 9)
        self.check_arrivals("3", 1, MOST_WHILE_TURNED_AWAY)
        self.check_arrivals("3", 4, 9)
        self.check_arrivals("3", 1, 9, vm="vm1")
        self.assertEqual([], self.found())
        self.check_arrivals("3", 1, MOST_WHILE_TURNED_AWAY + 1)
        self.assertEqual(["BUDGET"], self.found())

    def test_requests_to_an_upstream_that_leaves(self):
        self.check_arrivals(None, LEAVING_LIMIT / 2, 9)
        self.check_arrivals(None, LEAVING_LIMIT + 1, 9, process=2)
        self.assertEqual([], self.found())
        self.check_arrivals(None, LEAVING_LIMIT + 1, 1)
        self.assertEqual(["DRAIN"], self.found())

    def test_statements_count_without_faults_only(self):
        self.record.fault("u", time.monotonic(), time.monotonic() + 1)
        self.check_arrivals("3", 1, 9)
        self.assertEqual([], self.found())

    def test_orders_of_two_owners(self):
        check_orders(self.record, [UpstreamRecord(orders=[(1, "vm0", 5), (2, "vm1", 6)])])
        check_orders(self.record, [UpstreamRecord(orders=[(1, "vm0", 5), (9, "vm1", 4)])])
        check_orders(self.record, [UpstreamRecord(orders=[(1, "vm0", 5), (9, "vm1", 6)])])
        self.assertEqual(["ONE", "ONE"], self.found())

    def test_orders_that_a_cut_held_up_count_after_the_slack(self):
        self.record.healed["u"] = [9]
        check_orders(self.record, [UpstreamRecord(orders=[(1, "vm0", 5), (5, "vm1", 6),
                                                          (9 + RESUME_GRACE / 2, "vm0", 5)])])
        self.assertEqual([], self.found())
        check_orders(self.record, [UpstreamRecord(orders=[(1, "vm0", 5), (5, "vm1", 6),
                                                          (9 + RESUME_GRACE * 2, "vm0", 5)])])
        self.assertEqual(["ONE"], self.found())

    def test_request_without_an_answer(self):
        self.record.waits = [("a", "vm0", 100, 3, 103 + ANSWER_SLACK - 0.1)]
        check_waits(self.record)
        self.assertEqual([], self.found())
        self.record.waits = [("a", "vm0", 100, 3, 103 + ANSWER_SLACK + 0.1)]
        check_waits(self.record)
        self.assertEqual(["CONFIG"], self.found())

    def test_request_at_a_paused_vm_is_due_when_it_is_in_touch(self):
        self.record.fault("vm0", 101, 105)
        self.record.waits = [("a", "vm0", 100, 3, 105 + FAULT_FREE + ANSWER_SLACK - 0.1)]
        check_waits(self.record)
        self.assertEqual([], self.found())
        self.record.waits = [("a", "vm0", 100, 3, 105 + FAULT_FREE + ANSWER_SLACK + 0.1)]
        check_waits(self.record)
        self.assertEqual(["CONFIG"], self.found())

    def check_close(self, ended, ran=False):
        self.record.request("a", "once", "k1", "vm0")
        self.record.unanswered = [("a", "vm0", 100, ended)]
        check_answered(self.record, [UpstreamRecord(*[request_headers("a")] * ran)])
        return self.found()

    def test_whole_request_that_was_held_gets_no_answer(self):
        self.assertEqual(["LOST"], self.check_close(100 + LOSS_SLACK + 0.044))

    def test_request_that_was_sent_on_gets_no_answer(self):
        self.assertEqual(["LOST"], self.check_close(100.05, ran=True))

    def test_request_that_crosses_a_close(self):
        self.assertEqual([], self.check_close(100 + LOSS_SLACK - 0.01))

    def test_faults_excuse_a_request_without_an_answer(self):
        self.record.fault("vm0", 99, 100.1)
        self.assertEqual([], self.check_close(100.3, ran=True))

    def test_planned_stop_excuses_a_request_without_an_answer_at_its_end_only(self):
        self.record.planned_stop("vm0", 101, 115)
        self.assertEqual([], self.check_close(101 + GRACE_CHECKED + 0.1, ran=True))
        self.assertEqual(["LOST"], self.check_close(101 + GRACE_CHECKED - 0.1, ran=True))

    def check_pause(self, ended, complete=False, ran=True):
        self.record.pauses = [("a", "vm0", 100, ended, complete)]
        check_pauses(self.record, [UpstreamRecord(*[request_headers("a")] * ran)], 12)

    def test_answer_cut_while_its_caller_pauses(self):
        self.check_pause(104)  # no planned stop
        self.record.planned_stop("vm0", 101, 115)
        self.check_pause(104, complete=True)
        self.check_pause(104, ran=False)
        self.check_pause(101 + GRACE_CHECKED + 0.1)
        self.assertEqual([], self.found())
        self.check_pause(104)
        self.assertEqual(["LOST"], self.found())

    def test_answer_cut_by_a_fault_is_no_loss_of_the_planned_stop(self):
        self.record.planned_stop("vm0", 101, 115)
        self.record.fault("vm0", 90, 100 - FAULT_FREE + 1)
        self.check_pause(104)
        self.assertEqual([], self.found())

    def check_deadly_part(self, sent, count, crashes=PROVEN_CRASHES):
        arrivals = []
        for number in range(count):
            self.record.sent[f"d{number}"] = ("deadly", "k1", "vm0", sent)
            arrivals.append((sent, f"d{number}", 1))
        check_deadly(self.record, [UpstreamRecord(arrivals=arrivals, crashes=[100] * crashes)])

    def test_deadly_part_that_reaches_upstreams_again(self):
        self.check_deadly_part(100 + FAULT_FREE + 1, MOST_DEADLY)
        self.check_deadly_part(100 + FAULT_FREE - 1, MOST_DEADLY + 1)
        self.check_deadly_part(100 + FAULT_FREE + 1, MOST_DEADLY + 1, PROVEN_CRASHES - 1)
        self.record.restored = [100 + FAULT_FREE]
        self.check_deadly_part(100 + FAULT_FREE + 1, MOST_DEADLY + 1)
        self.assertEqual([], self.found())
        self.check_deadly_part(100 + 3 * FAULT_FREE, MOST_DEADLY + 1)
        self.assertEqual(["BUDGET"], self.found())

    def test_deadly_part_counts_at_vms_without_faults_only(self):
        self.record.fault("vm0", 108, 109)
        self.check_deadly_part(110, MOST_DEADLY + 1)
        self.assertEqual([], self.found())


    @staticmethod
    def stream(*events, complete=False):
        caller = StreamCaller(1)
        caller.events, caller.complete = list(events), complete
        return caller

    def test_streams_of_two_versions(self):
        joined = self.stream((1, "v1"), (2, "v2"))
        check_joined(self.record, [joined] * MOST_JOINED + [self.stream((1, "v1"), (2, "v1"))] * 3)
        self.assertEqual([], self.found())
        check_joined(self.record, [joined] * (MOST_JOINED + 1))
        self.assertEqual(["ORDER"], self.found())

    def test_stream_that_was_taken_up_wrongly(self):
        check_joined(self.record, [self.stream((1, "v1"), (3, "v1"))])
        check_joined(self.record, [self.stream((1, "v1"), (1, "v1"))])
        check_joined(self.record, [self.stream((1, "v1"), complete=True)])
        self.assertEqual(["ORDER"] * 3, self.found())

    def check_shares(self, gone_on, of, begun=8, at=100):
        self.record.new_streams = [("vm0", 100, number < begun) for number in range(8)]
        self.record.take_ups = [("vm0", at, number < gone_on) for number in range(of)]
        check_take_ups(self.record)

    def test_streams_that_are_taken_up_go_on_about_as_often_as_new_ones_begin(self):
        self.check_shares(0, LEAST_TAKE_UPS - 1)
        self.check_shares(10, 20)
        self.check_shares(5, 20, begun=4)
        self.check_shares(0, 0)
        self.assertEqual([], self.found())
        self.check_shares(9, 20)
        self.check_shares(4, 20, begun=4)
        self.assertEqual(["LOST"] * 2, self.found())

    def test_streams_that_are_taken_up_count_at_vms_without_faults_only(self):
        self.record.fault("vm0", 198, 199)
        self.check_shares(0, 20, at=200)
        self.record.restored = [298]
        self.check_shares(0, 20, at=300)
        self.assertEqual([], self.found())
        self.check_shares(0, 20, at=400)
        self.assertEqual(["LOST"], self.found())


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.arrived, self.accepted = b"", 0
        self.target = await asyncio.start_server(self.accept, HOST, 0)
        self.proxy = Proxy(self.target.sockets[0].getsockname()[1])
        self.server = await self.proxy.listen(0)

    async def asyncTearDown(self):
        self.proxy.close()
        self.server.close()
        self.target.close()
        await asyncio.sleep(0.05)

    async def accept(self, reader, writer):
        self.accepted += 1
        try:
            while data := await reader.read(100):
                self.arrived += data
                writer.write(b"answer")
        except ConnectionError:
            pass  # The proxy ended the connection.
        writer.close()

    async def connect(self):
        return await asyncio.open_connection(HOST, self.server.sockets[0].getsockname()[1])

    async def send_in_a_cut(self, linger, ends_first=False):
        """Sends bytes during a cut, closes the connection and lets the link heal."""
        self.proxy.stalled = {"up"}
        _, writer = await self.connect()
        writer.write(b"held")
        await asyncio.sleep(0.1)
        if ends_first:
            writer.write_eof()
            await asyncio.sleep(0.1)
        if linger is not None:
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()
        await asyncio.sleep(0.15)
        self.assertEqual(b"", self.arrived)
        self.proxy.heal()
        await asyncio.sleep(0.6)

    # Guards against a cut that loses what its sender's kernel still resends.
    async def test_held_bytes_arrive_although_their_sender_has_closed(self):
        await self.send_in_a_cut(None)
        self.assertEqual(b"held", self.arrived)

    # Guards against the delivery of bytes that a reset has taken back.
    async def test_held_bytes_of_a_reset_connection_are_lost(self):
        await self.send_in_a_cut(struct.pack("ii", 1, 0))
        self.assertEqual(b"", self.arrived)

    # Guards against a reset that is missed because the sender shut its side down before it closed, as evhttp does.
    async def test_held_bytes_are_lost_also_if_a_reset_follows_an_orderly_end(self):
        await self.send_in_a_cut(struct.pack("ii", 1, 0), ends_first=True)
        self.assertEqual(b"", self.arrived)

    # Guards against a cut that begins with another call than an order.
    async def test_cut_begins_with_an_order_and_tells_its_holder(self):
        self.proxy.cut_at_order = True
        reader, writer = await self.connect()
        writer.write(b"GET /-/report")
        self.assertEqual(b"answer", await reader.read(100))
        writer.write(b'POST /-/order {"holder": "vm3"}')
        await asyncio.sleep(0.1)
        self.assertEqual((b"GET /-/report", "vm3", {"up"}), (self.arrived, self.proxy.holder, self.proxy.stalled))
        self.proxy.heal()
        writer.close()
        await asyncio.sleep(0.4)

    # Guards against silent connections that still answer, and against new ones that do not.
    async def test_open_connections_go_silent_and_new_ones_work(self):
        reader, writer = await self.connect()
        writer.write(b"a")
        self.assertEqual(b"answer", await reader.read(100))
        self.assertEqual(1, self.proxy.silence(["up", "down"]))
        writer.write(b"b")
        with self.assertRaises(asyncio.TimeoutError):
            await asyncio.wait_for(reader.read(100), 0.3)
        other_reader, other = await self.connect()
        other.write(b"c")
        self.assertEqual(b"answer", await other_reader.read(100))
        self.assertEqual((b"ac", 2), (self.arrived, self.accepted))
        writer.transport.abort()
        other.close()


class EndTest(unittest.TestCase):
    """The end of a process after SIGTERM."""

    def status(self, prepare):
        """Returns whether a process that prepares itself so holds SIGTERM, and its status after the signal."""
        program = f"import signal, sys, time; {prepare}; print(flush=True); time.sleep(0.5)"
        with subprocess.Popen([sys.executable, "-c", program], stdout=subprocess.PIPE) as child:
            child.stdout.readline()
            began = holds_signal(child.pid, signal.SIGTERM)
            child.send_signal(signal.SIGTERM)
            return began, child.wait()

    def violations(self, began, status):
        record = Record()
        check_exit(record, "vm0", status, began)
        return len(record.violations)

    # Guards against a violation for a process that SIGTERM ended while its libraries were loaded.
    def test_process_that_has_not_begun_may_end_by_the_signal(self):
        self.assertEqual((False, -signal.SIGTERM), self.status("pass"))
        self.assertEqual(0, self.violations(False, -signal.SIGTERM))

    # Guards against an end by the signal that is overlooked once main() runs.
    def test_process_that_holds_the_signal_must_end_in_order(self):
        held = "signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGTERM])"
        handled = "signal.signal(signal.SIGTERM, lambda *_: sys.exit(3))"
        self.assertEqual((True, 0), self.status(held))
        self.assertEqual((True, 3), self.status(handled))
        self.assertEqual(1, self.violations(True, -signal.SIGTERM))
        for began in (False, True):
            self.assertEqual(0, self.violations(began, 0))
            self.assertEqual(1, self.violations(began, 3))
            self.assertEqual(1, self.violations(began, -signal.SIGSEGV))


class FallTest(unittest.TestCase):
    def violations(self, falls, fault=None):
        """Checks upstreams one of which turned requests of two VMs away before each of its falls."""
        record, upstreams = Record(), [UpstreamRecord() for _ in range(4)]
        for upstream in upstreams:
            upstream.falls = []
        for request_id, vm in (("a", "vm1"), ("b", "vm1"), ("c", "vm2")):
            record.request(request_id, "brittle", "k1", vm)
        if fault is not None:
            record.fault("vm1", *fault)
        upstreams[0].falls = [(at, ["a", "b", "c"]) for at in falls]
        check_falls(record, [(100, 110)], upstreams)
        return len(record.violations)

    # Guards against falls that are overlooked, and against more than the users allow.
    def test_upstreams_may_fall_twice_and_a_tenth_of_their_number(self):
        self.assertEqual(0, self.violations([101, 105]))
        self.assertEqual(1, self.violations([101, 105, 109]))
        self.assertEqual(0, self.violations([101, 105, 111]))

    # Guards against falls that count although most rejected requests came from VMs out of touch.
    def test_falls_by_vms_out_of_touch_do_not_count(self):
        self.assertEqual(0, self.violations([101, 105, 109], fault=(108 - FAULT_FREE, 108)))
        self.assertEqual(1, self.violations([101, 105, 109], fault=(90, 101 - FAULT_FREE)))


class CommandLineTest(unittest.TestCase):
    # Guards against a traceback for each seed whose logs cannot be kept.
    def test_folder_of_logs_is_made(self):
        with tempfile.TemporaryDirectory() as folder:
            kept = os.path.join(folder, "new", "logs")
            program = os.path.join(os.path.dirname(os.path.abspath(__file__)), "soak.py")
            subprocess.run([sys.executable, program, "--skip-known", "--runs", "0", "--keep", kept], check=True,
                           capture_output=True)
            self.assertTrue(os.path.isdir(kept))


class LinkTest(unittest.TestCase):
    # Guards against a soak whose thread of cuts ends with an error, so that its cuts are neither mended nor recorded.
    def test_connection_that_is_accepted_in_the_moment_of_a_silent_cut(self):
        async def play():
            link = UpstreamLink("127.0.2.1", int(os.environ.get("MARIGOLD_TEST_PORT", 28000)) + 99)
            with socket.create_connection(link.address):
                link.accept()
                link.cut("silent")
                silenced = link.open_sockets()
                await asyncio.sleep(0.1)
                link.mend()
            await asyncio.sleep(0.1)
            link.close()
            return len(silenced)
        self.assertEqual(1, asyncio.run(play()))

    # Guards against an order that waits unread in a silent cut and arrives when the path is mended, although its sender
    # has reset the connection.
    def test_connection_that_comes_while_others_are_silenced(self):
        class Link(UpstreamLink):
            def open_sockets(self):
                if not late:
                    late.append(socket.socket())
                    late[0].setblocking(False)
                    late[0].connect_ex(self.address)
                return super().open_sockets()

        def acknowledged():
            try:
                late[0].getpeername()
                return True
            except OSError:
                return False

        async def play():
            link = Link("127.0.2.1", int(os.environ.get("MARIGOLD_TEST_PORT", 28000)) + 99)
            link.cut("silent")
            await asyncio.sleep(0.1)
            seen = acknowledged()
            link.mend()
            late[0].close()
            await asyncio.sleep(0.1)
            link.close()
            return seen
        late = []
        self.assertFalse(asyncio.run(play()))


class PathsTest(unittest.TestCase):
    """The paths of VMs to the upstreams, on ports from PORT on."""

    PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 28000))

    def connect(self, address):
        with socket.socket() as connection:
            connection.settimeout(0.3)
            try:
                connection.connect(address)
                return "accepted"
            except ConnectionRefusedError:
                return "refused"
            except socket.timeout:
                return "silent"

    # Guards against a path that accepts requests for an upstream that has ended, which shows them beside its crash.
    def test_path_to_an_upstream_that_has_ended_refuses_connections(self):
        platform, upstream = Platform(), Upstream("u", self.PORT + 98, "desk")
        platform.serve_upstream(upstream)
        links = VmLinks(platform, 0, self.PORT + 99, [upstream])
        address = links.links[upstream.public_port].address
        seen = [self.connect(address)]
        for change in (upstream.crash, upstream.crash, lambda: links.links[upstream.port].cut("silent"),
                       lambda: links.links[upstream.port].cut("refuse"), lambda: links.links[upstream.port].mend()):
            platform.change(change)
            seen.append(self.connect(address))
        platform.listen_again(upstream)
        seen.append(self.connect(address))
        links.cut("reset")
        platform.restart(upstream, "v2")
        seen.append(self.connect(address))
        links.mend()
        seen.append(self.connect(address))
        links.cut("silent")
        platform.restart(upstream, "v3")
        links.mend()
        seen.append(self.connect(address))
        links.close()
        time.sleep(0.1)  # for the ends of the connections
        platform.close()
        self.assertEqual(["accepted", "refused", "refused", "silent", "refused", "refused", "accepted", "refused",
                          "accepted", "accepted"], seen)

    # Guards against a cut of all upstreams that leaves some of them reachable.
    def test_each_record_names_a_path_of_the_vm(self):
        seed = next(seed for seed in range(soak.APART, 99, len(soak.PACES)) if Strands(unittest.mock.Mock(), seed).played)
        with tempfile.TemporaryDirectory() as folder, unittest.mock.patch("soak.SoakGateway"):
            played = soak.Soak(seed, 1, self.PORT, folder)
            store = played.platform.store
            records = [item for key, item in store.items.items() if key.startswith("servers/")]
            seen = [json.loads(base64.b64decode(view(item)["value"]))
                    for view in store.views.values() for item in records]
            played.close()
        self.assertEqual(soak.VMS * len(records), len(seen))
        self.assertEqual(set(), {record["service"] for record in seen if not record["address"].startswith("127.0.1.")})


if __name__ == "__main__":
    unittest.main()
