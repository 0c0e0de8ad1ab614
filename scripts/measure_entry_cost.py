#!/usr/bin/env python3
"""Measures the processor time and memory of an entry process per stream.

Usage: scripts/measure_entry_cost.py [--sizes 100,1000,4000]

Starts a deployment on loopback (ports from MARIGOLD_TEST_PORT), opens the given
numbers of streams at one entry process and reads its processor time and
resident memory from /proc. Prints one JSON object per line.
"""

import json
import os
import resource
import selectors
import socket
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "e2e"))

from deployment import HOST, Deployment, chat, wait_until  # noqa: E402

MODEL = "drafting-assistant"
TOKEN_MS = 100
TOKENS = 150
WINDOW_S = 5


def cpu_seconds(pid):
    with open("/proc/%d/stat" % pid, encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_kb(pid):
    with open("/proc/%d/status" % pid, encoding="ascii") as file:
        return int(next(line for line in file if line.startswith("VmRSS")).split()[1])


class Streams:
    """Opens many streams with one selector and counts their events."""

    def __init__(self, port, key, count):
        self.selector = selectors.DefaultSelector()
        self.events = 0
        body = json.dumps({"model": MODEL, "max_tokens": TOKENS, "stream": True,
                           "messages": [{"role": "user", "content": "x" * 200}]})
        request = ("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: "
                   "Bearer %s\r\nContent-Length: %d\r\n\r\n%s" % (key, len(body), body))
        for _ in range(count):
            connection = socket.create_connection((HOST, port))
            connection.sendall(request.encode())
            connection.setblocking(False)
            self.selector.register(connection, selectors.EVENT_READ)
            self.read(0)

    def read(self, timeout):
        for ready, _ in self.selector.select(timeout):
            try:
                data = ready.fileobj.recv(65536)
            except BlockingIOError:
                continue
            if not data:
                self.selector.unregister(ready.fileobj)
                ready.fileobj.close()
                continue
            self.events += data.count(b"data: ")

    def read_for(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.read(0.02)

    def close(self):
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()
        self.selector.close()


def measure_streams(fleet, entry, size):
    pid = fleet.processes[entry].child.pid
    before = resident_kb(pid)
    streams = Streams(fleet.port(entry), fleet.crew_key, size)
    streams.read_for(2)
    open_streams = fleet.status(entry)["open_exchanges"]
    started, events, memory = cpu_seconds(pid), streams.events, resident_kb(pid)
    streams.read_for(WINDOW_S)
    cpu_used, received = cpu_seconds(pid) - started, streams.events - events
    streams.close()
    wait_until(lambda: fleet.status(entry)["open_exchanges"] == 0, 30)
    print(json.dumps({"measure": "streams", "asked": size, "open": open_streams,
                      "events_per_s": round(received / WINDOW_S),
                      "us_per_event": round(cpu_used * 1e6 / max(1, received), 1),
                      "core_share": round(cpu_used / WINDOW_S, 3),
                      "kb_per_stream": round((memory - before) / max(1, open_streams), 1),
                      "resident_mb": round(memory / 1024, 1)}), flush=True)


def measure_requests(fleet, entry, count=400):
    pid = fleet.processes[entry].child.pid
    started = cpu_seconds(pid)
    for _ in range(count):
        chat(fleet.port(entry), fleet.crew_key, 1)
    print(json.dumps({"measure": "requests", "count": count, "us_per_request":
                      round((cpu_seconds(pid) - started) * 1e6 / count, 1)}), flush=True)


def main():
    if "--help" in sys.argv:
        print(__doc__)
        return 0
    sizes = [100, 1000, 4000]
    if "--sizes" in sys.argv:
        sizes = [int(size) for size in sys.argv[sys.argv.index("--sizes") + 1].split(",")]
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    print(json.dumps({"file_descriptors": [soft, hard]}))
    fleet = Deployment("kochi")
    original = fleet.start_engine

    def start_engine(data_centre, number, resident, extra=()):
        return original(data_centre, number, resident, list(extra) + [
            "--capacity", "4000", "--token-ms", str(TOKEN_MS), "--token-growth-us", "0"])

    fleet.start_engine = start_engine
    with fleet:
        fleet.publish(fleet.manifest(rate=100000000, burst=100000000))
        entry = sorted(fleet.entries)[0]
        wait_until(lambda: chat(fleet.port(entry), fleet.crew_key, 1).status == 200, 120)
        measure_requests(fleet, entry)
        for size in sizes:
            measure_streams(fleet, entry, size)
    print("entry cost measured")
    return 0


if __name__ == "__main__":
    sys.exit(main())
