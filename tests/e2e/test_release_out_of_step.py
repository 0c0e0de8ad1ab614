"""Tests a release during which a VM is out of step: cut off from the store, or standing still, while upstreams of a new
version join. Streams that begin on these through other VMs are taken up at it."""

import functools
import signal
import time
import unittest

from gateway_process import Gateway, wait_for
from stream_calls import at_once, background
from test_software_versions import (APPLY_SECONDS, BASE_PORT, CONTACT_SECONDS, DATA_CENTRES, OWNER_SECONDS,
                                    SoftwareVersionTest)

JOIN_SECONDS = 6   # in which a new version is known to the VMs in step, and streams have begun there
BEGIN_EVENTS = 3   # of a stream, after which its caller has left
NEW_STREAMS = 4    # that begin at the new version
LATE_SECONDS = 0.1  # by which peers answer late; sooner than a VM gives up to wait for them
WATCH_SECONDS = 4  # within which waits at the store end without news


class OutOfStepTest(SoftwareVersionTest):
    """Upstreams of v1 serve. The last VM is out of step, alone in its data centre and not the collector, so that nobody
    tells it of streams unless it asks."""

    def setUp(self):
        super().setUp()
        self.stopped = []
        self.old = [self.add("v1"), self.add("v1")]
        self.start_vms()
        self.vm = self.gateways[-1]
        self.store_port = self.store_ports[-1]
        self.peers = self.gateways[:-1]

    def tearDown(self):
        for gateway in self.stopped:
            gateway.child.send_signal(signal.SIGCONT)
        super().tearDown()

    def start_vms(self, first_start=True):
        for number, port in enumerate(self.store_ports):
            if number == len(self.store_ports) - 1:
                wait_for(lambda: "marigold/order-owner" in self.store.items, OWNER_SECONDS)
            self.gateways.append(Gateway(number, self.folder.name, BASE_PORT + 10 * number, port,
                                         DATA_CENTRES[number], first_start=first_start))
        self.wait_ready()

    def stop(self, *gateways):
        """These VMs stand still from now on."""
        for gateway in gateways:
            gateway.child.send_signal(signal.SIGSTOP)
            self.stopped.append(gateway)

    def wake(self, *gateways):
        for gateway in gateways:
            gateway.child.send_signal(signal.SIGCONT)
            self.stopped.remove(gateway)

    def release(self):
        """An upstream of v2 joins, and streams begin there at the first VM; returns their callers, who have left."""
        self.add("v2")
        return self.begin_new(self.peers[0])

    def begin_new(self, gateway):
        callers = []

        def begun():
            callers.extend(at_once([functools.partial(self.begin, gateway, BEGIN_EVENTS)] * NEW_STREAMS))
            return sum(caller.software() == {"v2"} for caller in callers) >= NEW_STREAMS
        wait_for(begun, JOIN_SECONDS)
        return [caller for caller in callers if caller.software() == {"v2"}]

    def check_all_refused(self, callers):
        for caller in callers:
            self.check_refused(caller)

    def check_refused_or_continued(self, callers):
        self.check(callers)
        for caller in callers:
            if caller.statuses[-1] != 200:
                self.check_refused(caller)


class CutOff(OutOfStepTest):
    def test_take_up_at_a_vm_without_the_store_whose_peers_are_silent_is_refused(self):
        """Guards against streams of a version that joined while the VM was cut off, which it continues at the only
        version that it knows."""
        self.store.severed_ports.add(self.store_port)
        callers = self.release()
        self.stop(*self.peers)
        self.take_up(callers, self.vm)
        self.check_all_refused(callers)

    def test_take_up_at_a_vm_whose_store_does_not_answer_is_refused(self):
        """Guards against the same where calls to the store hang, and against callers that wait for it."""
        self.store.severed_ports.add(self.store_port)
        wait_for(lambda: not self.store.open_watches[self.store_port])
        self.store.unanswered_ports.add(self.store_port)
        self.store.severed_ports.clear()
        callers = self.release()
        self.stop(*self.peers)
        self.take_up(callers, self.vm)
        self.check_all_refused(callers)

    def test_take_up_without_a_name_at_a_vm_without_the_store_is_refused(self):
        """Guards against the same for callers that don't say which try brought their first event."""
        self.store.severed_ports.add(self.store_port)
        callers = self.release()
        for caller in callers:
            caller.attempt(self.vm, headers={"Last-Event-Id": str(caller.events[-1][0])})
        self.check_all_refused(callers)

    def test_take_up_of_a_vm_that_was_killed_is_refused(self):
        """Guards against the same where the VM that began the streams has ended before it told others."""
        self.store.severed_ports.add(self.store_port)
        callers = self.release()
        self.stop(self.peers[1])
        self.peers[0].stop()
        self.take_up(callers, self.vm)
        self.check_all_refused(callers)

    def test_take_up_at_a_vm_whose_peers_answer_late_is_not_joined(self):
        """Guards against the same where the answers of peers come when the VM has asked the store."""
        self.store.severed_ports.add(self.store_port)
        callers = self.release()
        self.stop(*self.peers)
        threads = [background(functools.partial(caller.attempt, self.vm)) for caller in callers]
        time.sleep(LATE_SECONDS)
        self.wake(*self.peers)
        for thread in threads:
            thread.join()
        self.check_refused_or_continued(callers)

    def test_take_up_at_a_vm_that_has_just_reached_the_store_again_is_not_joined(self):
        """Guards against a VM that trusts its view because the store answers again."""
        self.store.severed_ports.add(self.store_port)
        callers = self.release()
        self.stop(*self.peers)
        self.store.severed_ports.clear()
        self.take_up(callers, self.vm)
        self.check_refused_or_continued(callers)

    def test_streams_of_the_only_version_are_taken_up_at_a_vm_without_the_store(self):
        """Guards against take-ups that are refused although a peer knows who began them."""
        self.store.severed_ports.add(self.store_port)
        callers = at_once([functools.partial(self.begin, self.peers[0], BEGIN_EVENTS)] * NEW_STREAMS)
        self.assertEqual(1, self.take_up(callers, self.vm))

    def test_streams_of_a_killed_vm_are_taken_up_while_one_version_serves(self):
        """Guards against take-ups that are refused because no VM remembers who began them, although just one version
        has served."""
        callers = at_once([functools.partial(self.begin, self.peers[0], BEGIN_EVENTS)] * NEW_STREAMS)
        self.peers[0].stop()
        self.assertEqual(1, self.take_up(callers, self.vm))

    def test_streams_of_the_new_version_are_taken_up_at_a_vm_that_is_in_step_again(self):
        """Guards against take-ups that are refused for longer than the VM is cut off."""
        self.store.severed_ports.add(self.store_port)
        callers = self.release()
        self.store.severed_ports.clear()
        time.sleep(CONTACT_SECONDS)
        self.assertEqual(1, self.take_up(callers, self.vm))


class Restored(OutOfStepTest):
    def test_take_up_behind_a_restored_store_that_lacks_the_new_version_is_refused(self):
        """Guards against a VM that was cut off and trusts a store which came back from a copy from before the release."""
        self.store.take_copy()
        self.store.severed_ports.add(self.store_port)
        callers = self.release()
        self.stop(*self.peers)
        self.platform.change(self.store.restore, ())
        self.store.severed_ports.clear()
        wait_for(lambda: self.store.open_watches[self.store_port])
        time.sleep(LATE_SECONDS)
        self.take_up(callers, self.vm)
        self.check_all_refused(callers)


class StandingStill(OutOfStepTest):
    def take_up_on_waking(self, callers):
        """The take-ups wait at the VM when it goes on."""
        threads = [background(functools.partial(caller.attempt, self.vm)) for caller in callers]
        time.sleep(LATE_SECONDS)
        self.wake(self.vm)
        for thread in threads:
            thread.join()
        self.check(callers)

    def test_take_up_that_waits_for_a_vm_that_stands_still_is_not_joined(self):
        """Guards against streams that go on at the only version that a VM knew before it stood still."""
        self.stop(self.vm)
        wait_for(lambda: not self.store.open_watches[self.store_port], WATCH_SECONDS)
        callers = self.release()
        self.take_up_on_waking(callers)

    def test_take_up_at_a_vm_that_wakes_beside_silent_peers_is_not_joined(self):
        """Guards against the same where the peers that could say who began the streams don't answer."""
        self.stop(self.vm)
        wait_for(lambda: not self.store.open_watches[self.store_port], WATCH_SECONDS)
        callers = self.release()
        self.stop(*self.peers)
        self.take_up_on_waking(callers)

    def test_take_up_at_a_vm_that_wakes_without_the_store_is_refused(self):
        """Guards against the same where the VM has lost the store, too."""
        self.stop(self.vm)
        self.store.severed_ports.add(self.store_port)
        callers = self.release()
        self.stop(*self.peers)
        self.take_up_on_waking(callers)
        for caller in callers:
            self.assertEqual((503, "not-run"), (caller.statuses[-1], caller.outcomes[-1]))


class Restarted(OutOfStepTest):
    def restart(self):
        """An upstream of v1 starts again under its name, at its address, with v2; the VM doesn't hear of it."""
        self.store.severed_ports.add(self.store_port)
        self.platform.restart(self.old[0], "v2")
        self.show(self.old[0])
        time.sleep(APPLY_SECONDS)

    def test_stream_that_begins_at_a_vm_without_the_store_is_not_joined(self):
        """Guards against a stream of an upstream whose record names the version before its restart, which goes on at an
        upstream of that version."""
        self.restart()
        callers = self.begin_new(self.vm)
        self.take_up(callers, self.vm)

    def test_stream_that_begins_at_a_vm_without_the_store_is_not_joined_at_another_one(self):
        """Guards against the same where another VM asks who began the stream."""
        self.restart()
        callers = self.begin_new(self.vm)
        self.take_up(callers, self.peers[0])

    def test_stream_that_began_elsewhere_does_not_go_on_at_an_upstream_that_was_restarted(self):
        """Guards against a stream of the old version that goes on at the name that began it."""
        callers = at_once([functools.partial(self.begin, self.peers[0], BEGIN_EVENTS)] * NEW_STREAMS)
        self.restart()
        self.take_up(callers, self.vm)


if __name__ == "__main__":
    unittest.main()
