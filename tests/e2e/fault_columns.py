"""Faults of the matrix; each is injected before a step and healed after it."""

import time

PAUSE_SECONDS = 2.5
"""Longer than the failure detection timeout (1.5 s)."""


class Fault:
    """Base class of the faults; injects nothing."""

    def inject(self, cell):
        pass

    def heal(self, cell):
        pass


class Kill(Fault):
    """Kills an entry process and an upstream, and restarts them."""

    def inject(self, cell):
        cell.fleet.killed_entries.add(cell.victim)
        for name in (cell.upstream, cell.victim):
            cell.fleet.processes[name].kill()

    def heal(self, cell):
        for name in (cell.upstream, cell.victim):
            cell.fleet.restart(name)


class Pause(Fault):
    """Pauses an entry process and an upstream for PAUSE_SECONDS."""

    def inject(self, cell):
        self.started = time.monotonic()
        for name in (cell.upstream, cell.victim):
            cell.fleet.processes[name].pause()

    def heal(self, cell):
        time.sleep(max(0, self.started + PAUSE_SECONDS - time.monotonic()))
        for name in (cell.upstream, cell.victim):
            cell.fleet.processes[name].resume()


class PartitionVm(Fault):
    """Partitions one VM from all other VMs and from the platform."""

    def inject(self, cell):
        cell.fleet.partition([cell.victim])

    def heal(self, cell):
        cell.fleet.heal_links()


class PartitionDataCentre(Fault):
    """Partitions all VMs of a data centre from the others and from the platform."""

    def inject(self, cell):
        centre = cell.fleet.entries[cell.victim]["data_centre"]
        cell.fleet.partition([name for name, entry in cell.fleet.entries.items()
                              if entry["data_centre"] == centre])

    def heal(self, cell):
        cell.fleet.heal_links()


class PlatformFault(Fault):
    """Sets a fault of the platform stand-in and clears it."""

    def __init__(self, faulty, healthy):
        self.faulty = faulty
        self.healthy = healthy

    def inject(self, cell):
        cell.fleet.control(**self.faulty)

    def heal(self, cell):
        cell.fleet.control(**self.healthy)


class StaleVmList(Fault):
    """Delays the list of VMs: a dead upstream is still listed as live, a new one is missing."""

    def inject(self, cell):
        cell.fleet.control(list_lag_ms=6000)
        cell.fleet.processes[cell.upstream].kill()
        cell.fleet.unlist_vm(cell.upstream)

    def heal(self, cell):
        cell.fleet.control(list_lag_ms=200)
        cell.fleet.restart(cell.upstream)
        if cell.upstream in cell.fleet.engines:
            engine = cell.fleet.engines[cell.upstream]
            cell.fleet.list_vm({
                "name": cell.upstream, "role": "engine", "state": "live",
                "data_centre": engine["data_centre"], "memory_mb": 80000,
                "address": "127.0.0.1:%d" % engine["port"], "fencing": True})
        else:
            service = cell.fleet.services[cell.upstream]
            cell.fleet.list_vm({
                "name": cell.upstream, "role": "service", "state": "live",
                "data_centre": service["data_centre"], "serves": ["crew-desk"],
                "address": "127.0.0.1:%d" % service["port"]})


class OperatorsRace(Fault):
    """Two operators grant keys concurrently during the step."""

    def inject(self, cell):
        for number in (1, 2):
            cell.fleet.in_background(self.grant, cell, number)

    def grant(self, cell, number):
        # FaultFleet.write() gives each call of ctl() its own settings file, as if the
        # operators used separate computers.
        code, output, errors = cell.fleet.ctl("keys", "grant", "desk")
        lost = "another operator published" in errors
        if code != 0 and not lost and "not confirmed" not in errors:
            cell.operator_failures.append("operator %d: %s" % (number, errors.strip()))


class CombinedFault(Fault):
    """Injects two faults together."""

    def __init__(self, first, second):
        self.faults = (first, second)

    def inject(self, cell):
        for fault in self.faults:
            fault.inject(cell)

    def heal(self, cell):
        for fault in reversed(self.faults):
            fault.heal(cell)


def platform_down():
    return PlatformFault({"mode": "down"}, {"mode": "up"})


def platform_slow():
    return PlatformFault({"delay_ms": 800}, {"delay_ms": 0})


def answer_lost():
    return PlatformFault({"lose_answers": 3, "lose_prefix": ""}, {"lose_answers": 0})


COLUMNS = {
    "kill": Kill,
    "pause": Pause,
    "partition-vm": PartitionVm,
    "partition-dc": PartitionDataCentre,
    "platform-slow": platform_slow,
    "platform-down": platform_down,
    "answer-lost": answer_lost,
    "list-late": StaleVmList,
    "operators-race": OperatorsRace,
    "down+kill": lambda: CombinedFault(platform_down(), Kill()),
    "partition-dc+pause": lambda: CombinedFault(PartitionDataCentre(), Pause()),
    "lost+race": lambda: CombinedFault(answer_lost(), OperatorsRace()),
}
