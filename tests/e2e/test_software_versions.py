"""Tests gateways whose upstreams run several versions of their software: a stream goes on only at the version that
began it."""

import functools
import http.client
import itertools
import json
import os
import random
import tempfile
import time
import unittest

import side_by_side
from gateway_process import Gateway, wait_for
from stream_calls import StreamCaller, at_once, background
from users_platform import TOKENS, Platform, Upstream, route

BASE_PORT = int(os.environ.get("MARIGOLD_TEST_PORT", 27200))
DATA_CENTRES = "dc-a", "dc-a", "dc-b"  # of the VMs
SLOTS = 16
TIMEOUT_MS = 15000   # of the route; callers take streams up again for that long
EVENT_SECONDS = 0.04
LONG_EVENT_SECONDS = 0.3  # of streams that outlast what a test does meanwhile
MODELS = "m1", "m2"
ADAPTERS = "a1", "a2", "a3"  # of each model
AT_ONCE = 4          # streams that go on within one answer; the retry budget of a new VM allows no more at once
SILENCE = 2.0        # seconds; longer than a VM waits before it looks for a replacement
VERSION_STREAMS = 20  # of each version that are taken up
GO_ON_SHARE = 0.5    # of the share of new streams that begin, as the users demand
ADAPTER_STREAMS = 12  # that break off with the upstream that has their adapters; enough for the users' bound
OWNER_SECONDS = 15   # until the owner of orders has loaded a model that no upstream has
REFUSAL_SECONDS = 1  # "at once"
LEAVE_SECONDS = 3.2  # without an event, after which callers leave a stream
KNOWN_SECONDS = 1    # after which the other VMs, and the store, may know who began a stream
CONTACT_SECONDS = 4.5  # until VMs are in touch with the store again
APPLY_SECONDS = 1    # until VMs know a record that was written


class Silent(dict):
    """Pauses of an upstream that last: by number of the event, in all its streams."""

    def pop(self, key, default):
        return self.get(key, default)


class SoftwareVersionTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform()
        self.store = self.platform.store
        self.store_ports = [BASE_PORT + 90 + number for number in range(len(DATA_CENTRES))]
        for port in self.store_ports:
            self.platform.serve_store(port)
        chat = {**route("chat", "/chat/", "streaming", "llm", resumable=True), "timeout_ms": TIMEOUT_MS}
        self.platform.publish(1, ["k1"], [chat, {**chat, "name": "open", "prefix": "/", "host": "chat.example"}],
                              len(ADAPTERS))
        self.engines = []
        self.gateways = []
        self.upstream_numbers, self.caller_numbers = itertools.count(), itertools.count()
        self.random = random.Random(1)

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        self.platform.close()
        self.folder.cleanup()

    def add(self, version, listed=True, models=("m1",), adapters=()):
        """Starts an upstream of a version, with adapters of its first model; an unlisted one has no record yet. Its
        record follows the orders that it gets."""
        number = next(self.upstream_numbers)
        engine = Upstream(f"engine{number}", BASE_PORT + 60 + number, "llm", models)
        engine.models[models[0]].update(adapters)
        engine.slots, engine.event_seconds = SLOTS, EVENT_SECONDS
        engine.install(version)
        self.platform.serve_upstream(engine, listed=listed)
        self.engines.append(engine)
        return engine

    def hide(self, engine):
        self.platform.change(self.store.remove, "servers/" + engine.name)

    def show(self, engine, state="ready"):
        self.platform.change(self.store.put, "servers/" + engine.name, engine.record(state))

    def start(self, *versions):
        """Starts an upstream of each of the versions, and all VMs."""
        engines = [self.add(version) for version in versions]
        self.start_vms()
        return engines

    def start_vms(self, first_start=False):
        for number, port in enumerate(self.store_ports):
            self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, port,
                                         DATA_CENTRES[number], first_start=first_start))
        self.wait_ready()

    def wait_ready(self):
        for gateway in self.gateways:
            wait_for(gateway.ready)

    def leave(self, engine):
        """An upstream of the fleet is gone in order: its record is removed, then its process ends."""
        self.hide(engine)
        self.platform.change(engine.crash)

    def caller(self, model="m1"):
        return StreamCaller(next(self.caller_numbers), model=model)

    def begin(self, gateway=None, leave_after=None):
        """A new caller begins a stream, at any VM if none is named."""
        caller = self.caller()
        caller.attempt(gateway or self.random.choice(self.gateways),
                       leave_after or self.random.randrange(2, len(TOKENS) - 3))
        return caller

    def begin_many(self, versions, each=VERSION_STREAMS, gateway=None):
        """Begins streams until each version has begun so many; their callers have left in the middle. Returns them and
        the share of the new streams that began."""
        callers = []

        def lacking():
            return any(sum(caller.software() == {version} for caller in callers) < each for version in versions)
        while lacking():
            self.assertLess(len(callers), 8 * each * len(versions), "hardly any streams of one version")
            callers += at_once([functools.partial(self.begin, gateway)] * 6)
        begun = [caller for caller in callers if caller.events]
        return begun, len(begun) / len(callers)

    def take_up(self, callers, gateway=None, other=False):
        """All callers take their streams up, at the VM, at another one than before, or at any; returns the share of
        them that get more events."""
        def attempt(caller):
            at = gateway or self.random.choice(
                [vm for vm in self.gateways if vm.child.poll() is None and not (other and vm is caller.gateway)])
            return caller.attempt(at) > 0
        more = at_once([functools.partial(attempt, caller) for caller in callers])
        self.check(callers)
        return sum(more) / len(more)

    def check(self, callers):
        faults = [caller.fault() for caller in callers if caller.fault()]
        self.assertFalse(faults, f"{len(faults)} of {len(callers)} streams")

    def check_refused(self, caller):
        """The last try was refused at once, and truly not run."""
        self.assertEqual((503, "not-run"), (caller.statuses[-1], caller.outcomes[-1]))
        self.check([caller])
        self.assertLess(caller.seconds, REFUSAL_SECONDS)

    def arrivals(self, engines):
        return sum(len(engine.arrivals) for engine in engines)

    def kill_all(self):
        """Ends the processes of all VMs at the same moment."""
        for gateway in self.gateways:
            gateway.child.kill()
        for gateway in self.gateways:
            gateway.child.wait()

    def start_all(self):
        for gateway in self.gateways:
            gateway.start()
        self.wait_ready()


class OneAnswer(SoftwareVersionTest):
    def break_off(self, *others):
        """Streams at an upstream of v1 break off; upstreams of other versions appear before that."""
        old = self.start_slow()
        old.break_after = 4
        callers = [self.caller() for _ in range(AT_ONCE)]
        threads = [background(functools.partial(caller.attempt, self.gateways[0])) for caller in callers]
        wait_for(lambda: len(old.seen) >= len(callers))
        for version in others:
            self.add(version)
        for thread in threads:
            thread.join()
        self.check(callers)
        return callers

    def start_slow(self):
        """Starts the VMs and an upstream of v1, whose streams last until the next ones are known."""
        [old] = self.start("v1")
        old.event_seconds = LONG_EVENT_SECONDS
        return old

    def test_stream_that_breaks_off_does_not_go_on_at_another_version(self):
        """Guards against an answer that is joined of two versions after its upstream broke off."""
        callers = self.break_off("v2", "v2")
        self.assertEqual([(4, False)] * len(callers), [(len(caller.events), caller.complete) for caller in callers])

    def test_stream_that_breaks_off_goes_on_at_its_version(self):
        """Guards against streams that are given up although another upstream of their version serves."""
        callers = self.break_off("v2", "v2", "v2", "v1")
        self.assertEqual([True] * len(callers), [caller.complete for caller in callers])

    def check_chat(self, streamed):
        old = self.start_slow()
        old.break_after = 4
        answers = []
        thread = background(lambda: answers.append(self.chat(streamed)))
        wait_for(lambda: old.seen)
        new = self.add("v2")
        thread.join()
        self.assertFalse(any("last-event-id" in headers for headers in new.seen))
        return answers[0]

    def test_streamed_chat_is_not_joined_of_two_versions(self):
        """Guards against a streamed chat that is joined of two versions after its upstream broke off."""
        _, text, complete = self.check_chat(streamed=True)
        self.assertEqual((True, False, False), ("v1:token3" in text, "v2:" in text, complete))

    def test_whole_chat_is_not_joined_of_two_versions(self):
        """Guards against a whole chat that is joined of two versions after its upstream broke off. Its caller has
        nothing yet, so that it may be begun anew."""
        status, text, _ = self.check_chat(streamed=False)
        self.assertIn((status, "v1:" in text, "v2:" in text), ((502, False, False), (200, False, True)))

    def chat(self, streamed):
        """Returns the status and text of a chat, and whether it is complete."""
        chat = {"model": "m1", "max_tokens": 20, "messages": [{"role": "user", "content": "Is pod 4 clean?"}]}
        try:
            status, text, _ = self.gateways[0].call(
                "/v1/chat/completions", body=json.dumps({**chat, "stream": streamed}).encode(),
                headers={"Host": "chat.example", "Content-Type": "application/json"})
            return status, text, True
        except http.client.IncompleteRead as broken:
            return 200, broken.partial.decode(), False

    def test_stream_that_breaks_off_before_its_first_event_is_begun_anew_at_any_version(self):
        """Guards against a request that is given up for its version although its caller has no event yet."""
        self.start("v1", "v2")[0].break_after = 0
        callers = []
        while len(callers) < 6 or (not self.engines[0].seen and len(callers) < 60):  # Each goes to either one.
            callers.append(self.caller())
            callers[-1].attempt(self.gateways[0])
        self.check(callers)
        self.assertEqual([{"v2"}] * len(callers), [caller.software() for caller in callers])
        self.assertTrue(self.engines[0].seen)

    def fall_silent(self, event, others):
        """Streams at an upstream of v1 fall silent before an event; upstreams of other versions appear before that."""
        [silent] = self.start("v1")
        silent.pauses = Silent({event: SILENCE})
        added = [self.add(version, listed=False) for version in others]
        callers = [self.caller() for _ in range(AT_ONCE)]
        threads = [background(functools.partial(caller.attempt, self.gateways[0])) for caller in callers]
        wait_for(lambda: len(silent.seen) >= len(callers))
        for engine in added:
            self.show(engine)
        for thread in threads:
            thread.join()
        self.check(callers)
        self.assertEqual([True] * len(callers), [caller.complete for caller in callers])
        return added, callers

    def test_silent_stream_is_not_replaced_by_another_version(self):
        """Guards against an answer that is joined of two versions after its upstream fell silent for a while."""
        added, callers = self.fall_silent(5, ["v2", "v2", "v2"])
        self.assertEqual([{"v1"}] * len(callers), [caller.software() for caller in callers])
        self.assertEqual(0, self.arrivals(added))

    def test_silent_stream_is_replaced_by_its_version(self):
        """Guards against a replacement at another version although one of the same version serves."""
        added, _ = self.fall_silent(5, ["v2", "v2", "v1"])
        self.assertEqual(0, self.arrivals(added[:2]))
        self.assertGreater(self.arrivals(added[2:]), 0)

    def test_stream_that_is_silent_before_its_first_event_is_replaced_by_any_version(self):
        """Guards against a request that waits for its version although its caller has no event yet."""
        added, _ = self.fall_silent(1, ["v2", "v2", "v2"])
        self.assertGreater(self.arrivals(added), 0)

    def test_upstream_that_restarts_with_another_version_does_not_go_on_with_its_streams(self):
        """Guards against an answer that goes on at the name that began it, where another version runs now."""
        engine = self.start("v1")[0]
        callers = [self.caller() for _ in range(4)]
        threads = [background(functools.partial(caller.attempt, self.gateways[0])) for caller in callers]
        wait_for(lambda: all(caller.events for caller in callers))
        self.platform.restart(engine, "v2")
        for thread in threads:
            thread.join()
        self.check(callers)

    def test_stream_does_not_go_on_where_another_version_was_started_under_an_old_record(self):
        """Guards against an answer that goes on at an upstream whose record names the version before its restart."""
        first = self.start_slow()
        callers = [self.caller() for _ in range(6)]
        threads = [background(functools.partial(caller.attempt, self.gateways[0])) for caller in callers]
        wait_for(lambda: all(caller.events for caller in callers))
        second = self.add("v1")
        time.sleep(APPLY_SECONDS)
        self.platform.restart(second, "v2")
        first.break_after = 0  # all its streams break off now
        for thread in threads:
            thread.join()
        self.check(callers)


class TakeUps(SoftwareVersionTest):
    TWO_OF_EACH = "v1", "v1", "v2", "v2"

    def check_share(self, callers, begin_share, share):
        """The users' bound for streams that are taken up while two upstreams of their version serve."""
        self.assertGreaterEqual(share, GO_ON_SHARE * begin_share,
                                f"of {len(callers)} streams; answers {[c.statuses[-1] for c in callers]}")

    def test_streams_are_taken_up_at_their_version_at_the_same_vm(self):
        """Guards against streams that are joined of two versions when their callers come back to the VM."""
        self.start(*self.TWO_OF_EACH)
        callers, begun = self.begin_many(("v1", "v2"), gateway=self.gateways[0])
        self.check_share(callers, begun, self.take_up(callers, self.gateways[0]))

    def test_streams_are_taken_up_where_their_version_serves_now(self):
        """Guards against streams that are joined of two versions because the upstreams that began them were replaced,
        so that no cache leads their callers back."""
        first = self.start(*self.TWO_OF_EACH)
        callers, begun = self.begin_many(("v1", "v2"))
        for version in self.TWO_OF_EACH:
            self.add(version)
        time.sleep(APPLY_SECONDS)
        for engine in first:
            self.leave(engine)
        time.sleep(APPLY_SECONDS)
        self.check_share(callers, begun, self.take_up(callers))

    def test_streams_are_taken_up_at_their_version_at_another_vm(self):
        """Guards against streams that are joined of two versions, or refused, at a VM that did not begin them."""
        self.start(*self.TWO_OF_EACH)
        callers, begun = self.begin_many(("v1", "v2"))
        self.check_share(callers, begun, self.take_up(callers, other=True))

    def test_streams_of_a_vm_that_died_are_taken_up_at_their_version(self):
        """Guards against streams that are joined or refused because the VM that began them has died."""
        self.start(*self.TWO_OF_EACH)
        callers, begun = self.begin_many(("v1", "v2"), gateway=self.gateways[0])
        time.sleep(KNOWN_SECONDS)
        self.gateways[0].stop()
        self.check_share(callers, begun, self.take_up(callers))

    def test_stream_is_taken_up_more_than_once(self):
        """Guards against a version that is forgotten, or taken from the upstream of the take-up, at a second one."""
        self.start(*self.TWO_OF_EACH)
        callers, begun = self.begin_many(("v1", "v2"))
        for caller in callers:
            caller.attempt(self.random.choice(self.gateways), leave_after=1)
        self.check(callers)
        self.check_share(callers, begun, self.take_up(callers, other=True))

    def test_three_versions_each_take_up_their_streams(self):
        """Guards against streams of one of three versions that are joined with another one."""
        self.start(*self.TWO_OF_EACH, "v3", "v3")
        callers, begun = self.begin_many(("v1", "v2", "v3"))
        self.check_share(callers, begun, self.take_up(callers))

    def test_version_that_has_left_is_not_guessed_and_serves_again_when_it_returns(self):
        """Guards against streams that go on at the version that is left, and against those that are lost for good when
        upstreams of their version come back under other names."""
        old = self.start(*self.TWO_OF_EACH)[:2]
        callers, begun = self.begin_many(("v1", "v2"))
        for engine in old:
            self.leave(engine)
        time.sleep(APPLY_SECONDS)
        left = [caller for caller in callers if caller.software() == {"v1"}]
        self.take_up(left)
        for caller in left:
            self.check_refused(caller)
        self.add("v1")
        self.add("v1")
        time.sleep(APPLY_SECONDS)
        self.check_share(left, begun, self.take_up(left))

    def test_version_whose_upstreams_all_leave_in_order_is_not_guessed(self):
        """Guards against streams that go on at the new version while the last upstreams of the old one leave."""
        old = self.start(*self.TWO_OF_EACH)[:2]
        callers, _ = self.begin_many(("v1", "v2"), each=6)
        for engine in old:
            self.show(engine, "draining")
        time.sleep(APPLY_SECONDS)
        left = [caller for caller in callers if caller.software() == {"v1"}]
        self.take_up(left)
        for caller in left:
            self.check_refused(caller)

    def test_take_up_does_not_reach_an_upstream_that_was_restarted_with_another_version(self):
        """Guards against a stream that is joined because the record of the upstream that began it is out of date."""
        [old] = self.start("v1")
        callers = at_once([self.begin] * 8)
        self.assertEqual([{"v1"}] * 8, [caller.software() for caller in callers])
        self.add("v2")
        time.sleep(APPLY_SECONDS)
        self.platform.restart(old, "v2")
        self.take_up(callers)
        self.show(old)
        time.sleep(APPLY_SECONDS)
        self.take_up([caller for caller in callers if not caller.complete])

    def test_take_ups_without_the_store_are_not_joined(self):
        """Guards against streams that are joined, or callers that wait, because a VM asks the store who began them."""
        self.start(*self.TWO_OF_EACH)
        for unreachable in (self.store.severed_ports, self.store.unanswered_ports):
            unreachable.update(self.store_ports)
            callers, _ = self.begin_many(("v1", "v2"), each=8)
            self.take_up(callers, other=True)
            self.assertLess(max(caller.seconds for caller in callers), 4)
            unreachable.clear()
            time.sleep(CONTACT_SECONDS)
        callers, begun = self.begin_many(("v1", "v2"))
        self.check_share(callers, begun, self.take_up(callers, other=True))


class MissingAdapters(SoftwareVersionTest):
    """Of two upstreams of the old version, both with the model, the one that has the adapters of its callers ends."""

    def add(self, *arguments, **options):
        engine = super().add(*arguments, **options)
        # A stand-in writes no record by itself. VMs read there what it has loaded.
        engine.after_order = lambda: self.store.put("servers/" + engine.name, engine.record())
        return engine

    def break_off(self, needed, vms=len(DATA_CENTRES), before_end=lambda: None, **held):
        """Streams of these models begin at the first VMs, at two upstreams that hold what they need, one of each
        version. Then the old one ends, and one of its version that holds just m1 is left. Returns the callers of the
        streams that broke off, the share of the streams that began, and the upstreams that are left, the old one
        first."""
        ends, left, new = self.add("v1", **held), self.add("v1"), self.add("v2", **held)
        ends.event_seconds = new.event_seconds = LONG_EVENT_SECONDS
        self.start_vms()
        wait_for(lambda: "marigold/order-owner" in self.store.items and
                 all(any(engine.serves(model) for engine in self.engines) for model in MODELS), OWNER_SECONDS)
        callers, threads = [], []

        def broken():
            return [caller for caller in callers if caller.software() == {"v1"} and not caller.complete]
        while len(broken()) < ADAPTER_STREAMS:
            self.assertLess(len(callers), 8 * ADAPTER_STREAMS, "hardly any streams of the old version")
            callers += [self.caller(model) for model in needed]
            threads += [background(functools.partial(caller.attempt, self.random.choice(self.gateways[:vms])))
                        for caller in callers[-len(needed):]]
            wait_for(lambda: all(caller.events or caller.statuses for caller in callers))
        self.assertFalse([model for model in needed if left.serves(model)], "loaded before it was missing")
        before_end()
        self.platform.change(ends.crash)
        for thread in threads:
            thread.join()
        self.check(callers)
        begun = sum(bool(caller.events) for caller in callers) / len(callers)
        return broken(), begun, left, new

    def check_goes_on(self, adapters, vms=len(DATA_CENTRES), other=False):
        """Take-ups go on at the upstream that is left of their version, which gets their adapters for it."""
        callers, begun, left, new = self.break_off([f"m1/{adapter}" for adapter in adapters], vms, adapters=adapters)
        self.assertEqual(set(adapters), {caller.model.partition("/")[2] for caller in callers})
        share = self.take_up(callers, self.gateways[0] if vms == 1 else None, other)
        self.assertGreaterEqual(share, GO_ON_SHARE * begun, f"of {len(callers)} streams; answers "
                                f"{[(caller.model, caller.statuses[-1]) for caller in callers]}")
        self.assertLessEqual(set(adapters), left.models["m1"])
        self.assertFalse(any("last-event-id" in headers for headers in new.seen))

    def test_stream_is_taken_up_where_its_version_lacks_just_the_adapter(self):
        """Guards against take-ups that are refused at once although the owner of orders could load their adapter at an
        upstream of their version."""
        self.check_goes_on(ADAPTERS[:1], vms=1)

    def test_stream_is_taken_up_at_another_vm_where_its_version_lacks_just_the_adapter(self):
        """Guards against take-ups that wait for their adapter only at the VM that began them."""
        self.check_goes_on(ADAPTERS[:1], other=True)

    def test_streams_of_several_adapters_are_taken_up_where_their_version_lacks_them(self):
        """Guards against take-ups of which just those of one adapter go on."""
        self.check_goes_on(ADAPTERS)

    def test_take_up_whose_adapter_is_not_loaded_is_refused_before_its_caller_leaves(self):
        """Guards against take-ups that wait until their deadline for an upstream that takes no orders."""
        def take_no_orders():
            self.engines[1].turn_control_away = "20"
        callers, _, left, _ = self.break_off(["m1/a1"], adapters=ADAPTERS[:1], before_end=take_no_orders)
        self.take_up(callers)
        self.assertFalse(left.serves("m1/a1"))
        for caller in callers:
            self.assertEqual((503, "not-run"), (caller.statuses[-1], caller.outcomes[-1]))
            self.assertLess(caller.seconds, LEAVE_SECONDS)

    def test_stream_whose_version_lacks_the_model_does_not_wait_in_vain_and_is_not_joined(self):
        """Guards against take-ups that wait for a load that cannot be in time, or go on at the other version."""
        callers, _, _, new = self.break_off(["m2"], models=("m2", "m1"))
        self.take_up(callers)
        for caller in callers:
            if not caller.complete:
                self.check_refused(caller)
        self.assertFalse(any("last-event-id" in headers for headers in new.seen))


class AllKilled(SoftwareVersionTest):
    """All VMs are killed at once while streams of two versions run through them."""

    def interrupt(self, meanwhile=lambda: None):
        """Breaks streams off by the end of all VMs, which then start again; some streams have just begun. Returns the
        callers of old streams and those of new ones."""
        for engine in self.start(*TakeUps.TWO_OF_EACH):
            engine.event_seconds = LONG_EVENT_SECONDS
        callers = []

        def begin(count):
            callers.extend(self.caller() for _ in range(count))
            return [background(functools.partial(caller.attempt, self.random.choice(self.gateways)))
                    for caller in callers[-count:]]
        threads = begin(24)
        wait_for(lambda: all(caller.events for caller in callers))
        time.sleep(KNOWN_SECONDS)
        threads += begin(6)
        wait_for(lambda: sum(bool(caller.events) for caller in callers) > 26)
        self.kill_all()
        for thread in threads:
            thread.join()
        self.check(callers)
        self.assertFalse(any(caller.complete for caller in callers))
        meanwhile()
        for engine in self.engines:
            engine.event_seconds = EVENT_SECONDS
        self.start_all()
        return callers[:24], [caller for caller in callers[24:] if caller.events]

    def test_streams_go_on_at_their_version(self):
        """Guards against take-ups that are joined of two versions because no VM remembers who began them, and against
        those that are all refused for it."""
        old, new = self.interrupt()
        self.take_up(new)
        share = self.take_up(old)
        self.assertGreaterEqual(share, GO_ON_SHARE, f"answers {[caller.statuses[-1] for caller in old]}")

    def test_version_that_has_left_meanwhile_is_not_guessed(self):
        """Guards against streams of the old version that go on at the new one, the only one in service now."""
        old, new = self.interrupt(lambda: [self.leave(engine) for engine in self.engines[:2]])
        self.take_up(old + new)
        for caller in old + new:
            if caller.software() == {"v1"}:
                self.check_refused(caller)

    def test_upstream_that_restarted_meanwhile_does_not_go_on(self):
        """Guards against a stream that goes on at the name that began it, where another version runs now."""
        def restart():
            for engine in self.engines[:2]:
                self.platform.restart(engine, "v2")
                self.show(engine)
        old, new = self.interrupt(restart)
        self.take_up(old + new)


class OddRequests(SoftwareVersionTest):
    def check_not_run(self, caller, headers):
        before = self.arrivals(self.engines)
        caller.attempt(self.random.choice(self.gateways), headers=headers)
        self.check_refused(caller)
        self.assertEqual(before, self.arrivals(self.engines))

    ODD_IDS = "0123456789abcdef", "", "no hexadecimal", "x" * 2000, "a,b", "%00", "\"'{}"

    def test_take_up_that_names_no_known_stream_is_refused_while_two_versions_serve(self):
        """Guards against a guess where nothing says who began a stream."""
        self.start("v1", "v2")
        for odd in self.ODD_IDS:
            with self.subTest(odd[:20]):
                self.check_not_run(self.caller(), {"Last-Event-Id": "3", "Resumes": odd})
        self.check_not_run(self.caller(), {"Last-Event-Id": "3"})

    def test_take_up_without_its_first_try_is_not_joined(self):
        """Guards against a stream that goes on at the version that is left because its caller names no try."""
        old, _ = self.start("v1", "v2")
        callers = [caller for caller in at_once([self.begin] * 12) if caller.software() == {"v1"}]
        self.assertTrue(callers)
        self.leave(old)
        time.sleep(APPLY_SECONDS)
        for caller in callers:
            caller.attempt(caller.gateway, headers={"Last-Event-Id": str(caller.events[-1][0])})
        self.check(callers)

    def test_take_up_that_names_no_known_stream_is_served_or_refused_while_one_version_serves(self):
        """Guards against an error, which no caller may repeat, for a name that a VM does not know."""
        self.start("v1", "v1")
        for headers in [{"Resumes": odd} for odd in self.ODD_IDS] + [{}]:
            caller = self.caller()
            caller.attempt(self.gateways[0], headers={"Last-Event-Id": "3", **headers})
            self.assertIn((caller.statuses[-1], caller.outcomes[-1]), ((200, None), (503, "not-run")))
            self.assertIn([number for number, _ in caller.events], ([], list(range(4, len(TOKENS) + 1))))

    def take_up_without_a_name(self, first_start):
        """Callers that name no try take up streams of the only version that serves, at another VM, soon after the
        start of all VMs; returns the statuses of their last tries."""
        self.add("v1"), self.add("v1")
        self.start_vms(first_start)
        callers = at_once([self.begin] * 6)
        for caller in callers:
            other = next(vm for vm in self.gateways if vm is not caller.gateway)
            caller.attempt(other, headers={"Last-Event-Id": str(caller.events[-1][0])})
        self.check(callers)
        return [caller.statuses[-1] for caller in callers]

    def test_take_ups_without_a_name_go_on_after_the_first_start_of_the_system(self):
        """Guards against take-ups that are refused for half a minute although nothing can have served before."""
        self.assertEqual([200] * 6, self.take_up_without_a_name(first_start=True))

    def test_take_ups_without_a_name_are_refused_after_a_start_that_knows_nothing(self):
        """Guards against a guess by VMs that start without a record of what has served before."""
        self.assertEqual([503] * 6, self.take_up_without_a_name(first_start=False))

    def test_request_for_a_whole_stream_is_served_whatever_it_resumes(self):
        """Guards against new streams that are refused for a name of an earlier try without events."""
        self.start("v1", "v2")
        for odd in self.ODD_IDS:
            caller = self.caller()
            caller.attempt(self.gateways[0], headers={"Resumes": odd})
            self.check([caller])
            self.assertTrue(caller.complete)


class OddRecords(SoftwareVersionTest):
    ODD_VERSIONS = None, 42, "", ["v1"], "v" * 20000, "v1\n\x00\x7f", "v1 "

    def test_records_without_a_sound_version_harm_nobody(self):
        """Guards against VMs that end or stop serving because of a version that is missing, of another type, very long
        or unprintable; and against streams joined of two upstreams that name no version, whose software is unknown."""
        sound = self.start("v1", "v1")
        for version in self.ODD_VERSIONS:
            with self.subTest(str(version)[:20]):
                pair = [self.add(version) for _ in range(2)]
                self.check_pair(pair, known=isinstance(version, str) and version != "")
                self.assertEqual([None] * len(self.gateways), [gateway.child.poll() for gateway in self.gateways])
        self.assertTrue(all(engine.seen for engine in sound))

    def check_pair(self, pair, known):
        """Streams of two upstreams, the first of which breaks off; their versions are the same, or not known."""
        pair[0].mark, pair[1].mark = "odd0:", "odd0:" if known else "odd1:"
        pair[0].break_after = 4
        time.sleep(APPLY_SECONDS)
        callers = [self.caller() for _ in range(12)]
        at_once([functools.partial(caller.attempt, self.random.choice(self.gateways)) for caller in callers])
        at_once([functools.partial(caller.attempt, self.random.choice(self.gateways))
                 for caller in callers if caller.events and not caller.complete])
        for engine in pair:
            self.leave(engine)
        time.sleep(APPLY_SECONDS)
        self.check(callers)
        self.assertTrue(any(caller.complete for caller in callers))


if __name__ == "__main__":
    side_by_side.main(BASE_PORT, jobs=3)
