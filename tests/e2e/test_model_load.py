"""Tests that a model without a replica is loaded for its callers beside each fault (P1, P2), in six VMs of three data
centres whose engines crash above their memory. The fault hits the owner of orders and an engine; callers ask at another
VM while it lasts."""

import contextlib
import threading
import time

import side_by_side
from fault_case import FAULT_SECONDS, LOST_ANSWERS, SERVED_SECONDS, SLOW_SECONDS, FaultCase
from gateway_process import wait_for
from placement_fleet import BASE_PORT, COLD

LATE_SECONDS = 2.0    # by which orders are late
REACHED_SECONDS = 25  # until a caller of the cold model is served


class ModelLoad(FaultCase):
    def request_cold_model(self, gateway):
        try:
            wait_for(lambda: self.is_served(gateway, COLD[0]), REACHED_SECONDS)
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
            wait_for(lambda gateway=gateway: self.is_served(gateway), SERVED_SECONDS)
        caller.join()
        self.assertNotEqual([], self.holders(COLD[0]))
        self.check_promises()
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
        self.load_beside(self.upstreams_lost())

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
