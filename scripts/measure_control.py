"""Measures the control-plane cost of an idle entry VM, and how it scales.

Runs entry processes on loopback at several sizes of one dimension (VMs, data
centres, models, upstreams) with the others fixed, and prints one JSON
object per run: processor share, resident memory, mesh bytes and messages and
platform calls per second and VM. Usage: measure_control.py [--seconds N] [DIMENSION...]
"""

import argparse
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                "tests", "e2e"))
from deployment import Deployment, call, wait_until  # noqa: E402

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

# Dimension: sizes of (data centres, entry VMs per data centre, models, engines).
SIZES = {
    "vms": [(3, 2, 15, 3), (3, 4, 15, 3), (3, 8, 15, 3), (3, 16, 15, 3)],
    "data_centres": [(3, 2, 15, 3), (6, 2, 15, 3), (12, 2, 15, 3)],
    "models": [(3, 2, 15, 3), (3, 2, 150, 3), (3, 2, 1700, 3)],
    "upstreams": [(3, 2, 15, 3), (3, 2, 15, 12), (3, 2, 15, 48)],
}


def processor_seconds(pid):
    with open("/proc/%d/stat" % pid, encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid):
    with open("/proc/%d/statm" % pid, encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


class Fleet(Deployment):
    """A deployment with the given numbers of data centres, VMs, models and engines."""

    def __init__(self, data_centres, entries, models, engines):
        super().__init__("kochi")
        self.data_centres = ["dc-%02d" % number for number in range(data_centres)]
        self.entries_per_data_centre = entries
        self.models = models
        self.engine_count = engines

    def manifest(self, *_, **__):
        text = super().manifest()
        models = "\n".join(
            "  - {name: model-%04d, version: v1, memory_mb: 8000, deadline: 20s}" % number
            for number in range(self.models))
        text = text.replace("region: dc}", "region: dc, entry_slots: %d}" %
                            self.entries_per_data_centre)
        return text.replace("services:", models + "\nservices:")

    def start_components(self, resident):
        self.start_platform()
        for number in range(self.engine_count):
            data_centre = self.data_centres[number % len(self.data_centres)]
            self.start_engine(data_centre, number, resident)
        for data_centre in self.data_centres:
            for number in range(self.entries_per_data_centre):
                self.start_entry(data_centre, number)
        peers = len(self.entries) - 1
        wait_until(lambda: all(len(self.dump(name)["membership"]["peers"]) == peers
                               for name in self.entries), 60, 0.5)
        code, output, errors = self.publish(self.manifest())
        if code != 0:
            raise RuntimeError(output + errors)
        self.grant("crew")
        return self


def sample(fleet):
    mesh = {"sent": 0, "sent_bytes": 0, "received_bytes": 0}
    processor = 0.0
    for name in fleet.entries:
        counts = fleet.dump(name)["mesh"]
        for key in mesh:
            mesh[key] += counts[key]
        processor += processor_seconds(fleet.processes[name].child.pid)
    platform = call(fleet.platform_port, "GET", "/stats").json()
    calls = platform.get("reads", 0) + platform.get("writes", 0)
    return time.monotonic(), processor, mesh, calls, platform["watchers"]


def measure(dimension, size, seconds):
    fleet = Fleet(*size)
    try:
        fleet.start()
        time.sleep(3)
        start, processor, mesh, calls, _ = sample(fleet)
        time.sleep(seconds)
        end, processor_end, mesh_end, calls_end, watchers = sample(fleet)
        memory = max(resident_bytes(fleet.processes[name].child.pid)
                     for name in fleet.entries)
    finally:
        fleet.stop()
    vms = len(fleet.entries)
    vm_seconds = (end - start) * vms
    print(json.dumps({
        "dimension": dimension, "data_centres": size[0], "vms": vms, "models": size[2],
        "upstreams": size[3],
        "processor_percent": round(100 * (processor_end - processor) / vm_seconds, 3),
        "memory_mb": round(memory / 1e6, 1),
        "mesh_messages_per_s": round((mesh_end["sent"] - mesh["sent"]) / vm_seconds, 2),
        "mesh_bytes_per_s": round((mesh_end["sent_bytes"] - mesh["sent_bytes"] +
                                   mesh_end["received_bytes"] - mesh["received_bytes"]) /
                                  vm_seconds),
        "platform_calls_per_s_fleet": round((calls_end - calls) / (end - start) + watchers, 1),
    }), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("dimensions", nargs="*", default=list(SIZES))
    options = parser.parse_args()
    for dimension in options.dimensions:
        for size in SIZES[dimension]:
            measure(dimension, size, options.seconds)
    print("measured %d dimensions" % len(options.dimensions))


if __name__ == "__main__":
    main()
