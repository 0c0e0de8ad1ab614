"""Steps of the fault matrix; each runs while a fault is active."""

import time

from deployment import call, chat
from fault_fleet import SETTLE_SECONDS

RECOVERY_SECONDS = 12
"""Longest backoff of an ejected upstream (two doublings) plus a delayed list of VMs."""


class Step:
    """Base class of the steps; `upstreams` names the kind that the fault may affect."""

    upstreams = "engines"

    def prepare(self, cell):
        """Runs before the fault is injected."""

    def during(self, cell):
        """Runs while the fault is active."""

    def after(self, cell):
        """Runs after the fault is healed."""
        self.check_service(cell)

    def check_service(self, cell):
        """Checks that each VM serves again soon after the fault (P2)."""
        fleet = cell.fleet
        for name in fleet.entries:
            fleet.wait_for(lambda name=name: chat(
                fleet.port(name), fleet.crew_key, 2, timeout=5).status == 200,
                "%s does not serve a chat (P2)" % name, RECOVERY_SECONDS)


class Chats(Step):
    """Sends chats to every VM before, during and after the fault."""

    def __init__(self, stream):
        self.stream = stream

    def send_chats(self, cell, label, tokens):
        for number, entry in enumerate(cell.fleet.entries):
            cell.fleet.in_background(
                cell.fleet.chat, entry, "%s%d" % (label, number), None, tokens,
                self.stream)

    def prepare(self, cell):
        self.send_chats(cell, "before", 120)
        time.sleep(0.2)

    def during(self, cell):
        for number in range(3):
            self.send_chats(cell, "during%d-" % number, 20)
            time.sleep(0.3)


class Bookings(Step):
    """Sends bookings to pairs of VMs, before and during the fault; each may run once."""

    upstreams = "services"

    def send_pairs(self, cell, label, marker=""):
        entries = sorted(cell.fleet.entries)
        for number in range(4):
            for entry in cell.random.sample(entries, 2):
                key = "%s-%d-%s" % (label, number, entry)
                cell.fleet.in_background(cell.fleet.book, entry, key, marker)
                time.sleep(cell.random.uniform(0, 0.05))

    def prepare(self, cell):
        self.send_pairs(cell, "slow", "[[delay:600]]")
        time.sleep(0.2)

    def during(self, cell):
        self.send_pairs(cell, "during")
        self.send_pairs(cell, "closed", "[[cut]]")
        time.sleep(0.7)
        self.send_pairs(cell, "slow-during", "[[delay:600]]")

    def after(self, cell):
        fleet = cell.fleet
        fleet.join(30)
        fleet.wait_for(lambda: fleet.book(
            sorted(fleet.entries)[0], "after-%d" % int(time.monotonic() * 1000)
        ).status == 200, "no booking is served (P2)", RECOVERY_SECONDS)


class ManifestChange(Step):
    """Publishes a manifest, which must soon be in force on every VM."""

    def during(self, cell):
        cell.fleet.watch_versions()
        code, output, errors = cell.fleet.publish(cell.fleet.manifest(rate=70000))
        self.accepted = "accepted as version" in output
        self.version = int(output.split("version ")[1].split()[0]) if self.accepted else 0
        if code == 0 and not self.accepted:
            cell.fleet.problem("publish exits with 0 without a version (P12)")
        if not self.accepted and "unknown" in errors:
            cell.fleet.problem("the outcome of publishing stays unknown: " + errors.strip())

    def after(self, cell):
        fleet = cell.fleet
        stored = call(fleet.platform_port, "GET", "/v1/kv/config/manifest").json()["value"]
        in_platform = "rate: 70000" in stored
        if in_platform != self.accepted:
            fleet.problem("publish said %s, the platform holds %s (P12)" % (
                "accepted" if self.accepted else "refused",
                "the new manifest" if in_platform else "the old manifest"))
        if not self.accepted:
            code, output, errors = fleet.publish(fleet.manifest(rate=70000))
            if "accepted as version" not in output:
                fleet.problem("no manifest can be published after the fault: " + errors)
                return
            self.version = int(output.split("version ")[1].split()[0])
        for name in fleet.entries:
            fleet.wait_for(lambda name=name: fleet.status(name)["versions"].get(
                "config/manifest", 0) >= self.version,
                "%s lacks manifest %d (P12)" % (name, self.version))
        self.check_service(cell)


class KeyWithdrawal(Step):
    """Withdraws a key while streams opened with it run."""

    def prepare(self, cell):
        self.streams = []
        for number, entry in enumerate(cell.fleet.entries):
            cell.fleet.in_background(self.stream, cell, entry, number)
        time.sleep(0.3)

    def stream(self, cell, entry, number):
        reply = cell.fleet.chat(entry, "open%d" % number, cell.fleet.desk_key, 1500, True)
        self.streams.append(reply)

    def during(self, cell):
        fleet = cell.fleet
        self.withdrawn_at = time.monotonic()
        code, self.output, errors = fleet.ctl("keys", "withdraw", fleet.desk_id)
        self.confirmed = [line.split()[-1] for line in self.output.splitlines()
                          if line.startswith("confirmed by")]
        if code == 0 and len(self.confirmed) < len(fleet.entries):
            fleet.problem("withdraw succeeded, but only %d VMs confirmed (P5)" %
                          len(self.confirmed))
        for name in self.confirmed:
            if name in fleet.entries and name not in fleet.killed_entries:
                answer = chat(fleet.port(name), fleet.desk_key, 2, timeout=10)
                if answer.status == 200:
                    fleet.problem("%s confirmed and still takes the key (P5)" % name)

    def after(self, cell):
        fleet = cell.fleet
        for name in fleet.entries:
            fleet.wait_for(lambda name=name: chat(
                fleet.port(name), fleet.desk_key, 2, timeout=5).status in (401, 403),
                "%s takes the withdrawn key (P5)" % name)
        fleet.join(20)
        for reply in self.streams:
            late = reply.ended and reply.ended - self.withdrawn_at > SETTLE_SECONDS
            if late and reply.entry in self.confirmed and reply.status == 200:
                fleet.problem("%s: a stream went on %.1f s after the withdrawal (P5)" %
                              (reply.entry, reply.ended - self.withdrawn_at))
        self.check_service(cell)


ROWS = {
    "request": lambda: Chats(False),
    "stream": lambda: Chats(True),
    "non-idempotent": Bookings,
    "manifest-change": ManifestChange,
    "key-withdrawal": KeyWithdrawal,
}
