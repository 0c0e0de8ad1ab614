"""Tests at-most-once execution by comparing the service's run records with the answers."""

import threading
import time
import unittest

from deployment import Deployment, bearer, call, wait_until


class Claims(unittest.TestCase):
    def setUp(self):
        self.fleet = Deployment("kochi").start()
        self.addCleanup(self.fleet.stop)
        wait_until(self.groups_complete)
        self.home = self.fleet.data_centres[0]
        self.members = ["entry-%s-%d" % (self.home, number) for number in (1, 2)]
        self.others = [name for name in self.fleet.entries if name not in self.members]
        self.keys = 0

    def voter(self, name):
        return self.fleet.dump(name)["claims"]["voter"]

    def groups_complete(self):
        voters = [self.voter(name) for name in self.fleet.entries]
        return all(voter["voting"] and len(voter["members"]) == 2 for voter in voters)

    def new_key(self):
        """Returns a new idempotency key whose home is the first data centre."""
        self.keys += 1
        return "%s/%s-%d" % (self.home, self.id(), self.keys)

    def book(self, name, key, behaviour=None, timeout=10):
        headers = {**bearer(self.fleet.crew_key), "Idempotency-Key": key}
        body = "%s %s" % (key, "[[%s]]" % behaviour if behaviour else "")
        return call(self.fleet.port(name), "POST", "/bookings", body, headers, timeout)

    def runs(self, key):
        return sum(run["body"].startswith(key + " ")
                   for run in self.fleet.run_records(self.fleet.services))

    def platform_writes(self):
        return sum(self.fleet.dump(name)["claims"]["platform"]["writes"]
                   for name in self.fleet.entries)

    def in_background(self, *arguments, **options):
        """Sends a booking on a thread; the returned list gets its answer, if any."""
        answers = []

        def send():
            try:
                answers.append(self.book(*arguments, **options))
            except OSError:
                pass  # the VM was killed
        thread = threading.Thread(target=send)
        thread.start()
        self.addCleanup(thread.join)
        return thread, answers

    def test_repeats_get_the_stored_answer(self):
        """Guards against a second run of a key through another VM or data centre, and
        against a stored answer that belongs to another request."""
        for key in (self.new_key(), "without-home-%s" % self.id()):
            first = self.book(self.members[0], key)
            self.assertEqual((first.status, first.outcome), (200, "ran"))
            for name in self.fleet.entries:
                again = self.book(name, key)
                self.assertEqual((again.status, again.outcome, again.body),
                                 (200, "ran", first.body), name)
            self.assertEqual(self.runs(key), 1)
        # Claims need no platform write while both members answer.
        self.assertEqual(self.platform_writes(), 0)

    def test_concurrent_repeats(self):
        """Guards against two runs of a key that is sent to all VMs concurrently."""
        for _ in range(5):
            key = self.new_key()
            started = [self.in_background(name, key, behaviour="delay:100")
                       for name in self.fleet.entries]
            for thread, _ in started:
                thread.join()
            answers = [answers[0] for _, answers in started]
            self.assertLessEqual(self.runs(key), 1)
            ran = sum(answer.outcome == "ran" for answer in answers)
            self.assertEqual(ran, self.runs(key))
            for answer in answers:
                if answer.outcome == "unknown":
                    self.assertIn(answer.code(), ("claim-in-progress", "outcome-unknown"))

    def test_repeat_while_running(self):
        """Guards against a repeat that waits, runs again or is reported as not run while the
        first request of its key still runs."""
        key = self.new_key()
        thread, answers = self.in_background(self.members[0], key, behaviour="delay:800")
        wait_until(lambda: self.runs(key) == 1)
        again = self.book(self.others[0], key)
        self.assertEqual((again.status, again.code(), again.outcome),
                         (409, "claim-in-progress", "unknown"))
        thread.join()
        self.assertEqual(answers[0].outcome, "ran")
        self.assertEqual(self.book(self.others[1], key).body, answers[0].body)
        self.assertEqual(self.runs(key), 1)

    def test_caller_that_disconnects(self):
        """Guards against a claim that is released when the caller disconnects, although the
        request still runs."""
        key = self.new_key()
        with self.assertRaises(OSError):
            self.book(self.others[0], key, behaviour="delay:600", timeout=0.2)
        again = self.book(self.others[1], key)
        self.assertEqual(again.outcome, "unknown")
        wait_until(lambda: self.book(self.others[1], key).outcome == "ran", 3)
        self.assertEqual(self.runs(key), 1)

    def test_lost_answer_of_the_service(self):
        """Guards against a second run after the service's answer was lost and the outcome is
        unknown."""
        key = self.new_key()
        first = self.book(self.members[0], key, behaviour="cut")
        self.assertEqual(first.outcome, "unknown")
        for name in self.fleet.entries:
            self.assertEqual(self.book(name, key).outcome, "unknown")
        self.assertEqual(self.runs(key), 1)

    def test_coordinator_killed_after_the_first_byte(self):
        """Guards against a second run of a key after the VM that forwarded it was killed."""
        key = self.new_key()
        thread, answers = self.in_background(self.others[0], key, behaviour="delay:500")
        wait_until(lambda: self.runs(key) == 1)
        self.fleet.processes[self.others[0]].kill()
        thread.join()
        self.assertEqual(answers, [])
        deadline = time.monotonic() + 8  # beyond the deadline of the route
        while time.monotonic() < deadline:
            self.assertEqual(self.book(self.others[1], key).outcome, "unknown")
            time.sleep(0.5)
        self.assertEqual(self.runs(key), 1)

    def test_platform_down(self):
        """Guards against claims that need the platform although both members of the group
        are alive."""
        self.fleet.control(mode="down")
        for name in self.fleet.entries:
            key = self.new_key()
            self.assertEqual(self.book(name, key).outcome, "ran", name)
            self.assertEqual(self.book(self.others[0], key).outcome, "ran", name)
            self.assertEqual(self.runs(key), 1)
        # Without a member as well there is no majority.
        self.fleet.processes[self.members[0]].kill()
        key = self.new_key()
        refused = self.book(self.others[0], key)
        self.assertEqual((refused.code(), refused.outcome),
                         ("claim-quorum-missing", "not-run"))
        self.assertEqual(self.runs(key), 0)

    def test_lost_answers_of_the_platform(self):
        """Guards against a claim that is taken twice or refused because the platform's
        answer to its write was lost."""
        self.fleet.processes[self.members[0]].kill()
        ran = 0
        for number in range(6):
            self.fleet.control(lose_answers=1)
            key = self.new_key()
            first = self.book(self.others[number % 4], key)
            again = self.book(self.others[(number + 1) % 4], key)
            self.assertEqual(self.runs(key), 1 if first.outcome == "ran" else 0)
            if first.outcome == "ran":
                ran += 1
                self.assertEqual(again.body, first.body)
        self.assertGreaterEqual(ran, 4)

    def test_one_member_killed_and_restarted(self):
        """Guards against claims that are lost with one member, and against a restarted
        member that votes without them."""
        old = self.new_key()
        first = self.book(self.others[0], old)
        self.fleet.processes[self.members[0]].kill()
        new = self.new_key()
        self.assertEqual(self.book(self.others[0], new).outcome, "ran")
        self.fleet.processes[self.members[0]].start()
        wait_until(self.groups_complete, 15)
        self.fleet.processes[self.members[1]].kill()
        for key in (old, new):
            self.assertEqual(self.book(self.others[1], key).outcome, "ran")
            self.assertEqual(self.runs(key), 1)
        self.assertEqual(self.book(self.others[1], old).body, first.body)

    def cut_links(self, name, peers, platform):
        call(self.fleet.entries[name]["operator"], "POST", "/fault",
             {"peers": peers, "platform": platform})

    def test_data_centre_cut_off(self):
        """Guards against a key that runs on both sides of a network partition."""
        for name in self.members:
            self.cut_links(name, self.others, True)
        for name in self.others:
            self.cut_links(name, self.members, False)
        key = self.new_key()
        outside = self.book(self.others[0], key)
        self.assertEqual((outside.code(), outside.outcome),
                         ("claim-quorum-missing", "not-run"))
        inside = self.book(self.members[0], key)
        self.assertEqual(inside.outcome, "ran")
        self.assertEqual(self.book(self.others[1], key).outcome, "not-run")
        for name in self.fleet.entries:
            self.cut_links(name, [], False)
        wait_until(lambda: self.book(self.others[1], key).body == inside.body)
        self.assertEqual(self.runs(key), 1)

    def test_member_paused_and_replaced(self):
        """Guards against votes of a member that resumes after it was paused and replaced."""
        key = self.new_key()
        paused = self.fleet.processes[self.members[0]]
        paused.pause()
        spare = self.fleet.start_entry(self.home, 3)
        wait_until(lambda: spare in self.voter(self.members[1])["members"], 15)
        first = self.book(self.others[0], key)
        self.assertEqual(first.outcome, "ran")
        paused.resume()
        for name in self.members + self.others + [spare]:
            again = self.book(name, key)
            self.assertEqual((again.outcome, again.body), ("ran", first.body), name)
        self.assertEqual(self.runs(key), 1)

    def test_both_members_killed(self):
        """Guards against a new group that has no record of a claim and lets its key run again."""
        key = self.new_key()
        first = self.book(self.others[0], key)
        self.assertEqual(first.outcome, "ran")
        for name in self.members:
            self.fleet.processes[name].kill()
        refused = self.book(self.others[0], key)
        self.assertEqual(refused.outcome, "not-run")
        for name in self.members:
            self.fleet.processes[name].start()
        wait_until(self.groups_complete, 20)
        self.assertGreater(self.voter(self.members[0])["lost_for_ms"], 24 * 3600 * 1000)
        # A settlement that was not acknowledged before the kill is retransmitted, so
        # the new group may hold the answer of the first run, but no other one.
        answer = self.book(self.others[0], key)
        self.assertIn((answer.code(), answer.outcome, answer.status == 200 and answer.body),
                      [("outcome-unknown", "unknown", False), (None, "ran", first.body)])
        answer = self.book(self.others[0], self.new_key())
        self.assertEqual((answer.code(), answer.outcome), ("outcome-unknown", "unknown"))
        self.assertEqual(self.runs(key), 1)
        # Keys whose home is another data centre are still served.
        other = "%s/%s" % (self.fleet.data_centres[1], self.id())
        self.assertEqual(self.book(self.others[0], other).outcome, "ran")


if __name__ == "__main__":
    unittest.main()
