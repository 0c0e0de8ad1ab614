"""Records what callers and upstreams observe during a soak, and checks the guarantees."""

import threading
import time

NOT_RUN = {408, 421, 429, 503}
FAULT_FREE = 4.0     # seconds without a fault after which time limits apply to a VM
KEY_LIMIT = 2.5      # seconds until a withdrawn key must be refused
ORDER_PAUSE = 3.0    # seconds between the orders of two owners
LEAVING_LIMIT = 2.5  # seconds until an upstream that leaves gets no new requests
LEAVING_CHECKED = 6.0  # seconds after its statement for which that is checked
IN_FLIGHT = 0.5      # seconds in which requests may reach an upstream that has turned one away
MOST_WHILE_TURNED_AWAY = 2  # requests of a VM afterwards, until the time that the upstream named
RESUME_GRACE = 0.3   # seconds; an order in flight when its sender was paused arrives after it resumes


class Record:
    """Collects requests, answers and faults; all methods may be called from any thread."""

    def __init__(self):
        self.lock = threading.Lock()
        self.sent = {}        # id: (kind, key, vm, time)
        self.answers = {}     # id: status, or None if the connection ended
        self.violations = []
        self.faults = {}      # vm: [(start, end or None)]
        self.stops = {}       # vm: [time of SIGTERM]
        self.withdrawn = {}   # key: time
        self.resume_times = []       # times at which a paused VM was resumed

    def violation(self, text):
        with self.lock:
            self.violations.append((time.monotonic(), text))

    def request(self, request_id, kind, key, vm):
        with self.lock:
            self.sent[request_id] = (kind, key, vm, time.monotonic())

    def answer(self, request_id, status):
        with self.lock:
            self.answers[request_id] = status

    def fault(self, vm, start, end):
        with self.lock:
            self.faults.setdefault(vm, []).append((start, end))

    def fault_free(self, vm, at):
        """True if no fault affected the VM in the FAULT_FREE seconds before a moment."""
        with self.lock:
            return not any(start <= at and end > at - FAULT_FREE for start, end in self.faults.get(vm, []))


def check_stream(record, request_id, body, complete):
    """Checks that events arrive once each, in order, and that a truncated stream does not look complete."""
    ids = [int(line[4:]) for line in body.split("\n") if line.startswith("id: ")]
    if ids != list(range(1, len(ids) + 1)):
        record.violation(f"ORDER stream {request_id} has events {ids}")
    if complete and len(ids) != 10:
        record.violation(f"ORDER stream {request_id} ended as complete after {len(ids)} events")


def check_runs(record, upstreams):
    """Checks that non-idempotent requests run at most once, that refused ones did not run,
    and that upstreams get the team but no withdrawn or forwarded key."""
    runs = {}
    for upstream in upstreams:
        for headers in list(upstream.seen):
            request_id = headers.get("x-request-id", "")
            runs[request_id] = runs.get(request_id, 0) + 1
            if request_id not in record.sent:
                record.violation(f"UNASKED {upstream.name} ran {request_id!r}, which no caller sent")
            if "authorization" in headers or headers.get("x-tenant-name") != "team":
                record.violation(f"UNASKED {upstream.name} ran {request_id} with {headers}")
    for request_id, (kind, key, vm, at) in record.sent.items():
        count = runs.get(request_id, 0)
        if kind in ("once", "single") and count > 1:
            record.violation(f"TWICE {kind} {request_id} ran {count} times")
        if record.answers.get(request_id) in NOT_RUN and kind in ("once", "single") and count:
            record.violation(f"REFUSED {request_id} was answered {record.answers[request_id]} and ran")
        late = key in record.withdrawn and at > record.withdrawn[key] + KEY_LIMIT
        if late and count and record.fault_free(vm, at):
            record.violation(f"CONFIG {request_id} ran at {vm} with the withdrawn key {key}")


def check_statements(record, upstreams):
    """Checks that a VM leaves an upstream alone that has said that it leaves, or wants no requests for a time."""
    for upstream in upstreams:
        statements = [(at, record.sent[request][2], process, seconds)
                      for at, request, process, seconds in list(upstream.statements) if request in record.sent]
        arrivals = [(at, *record.sent[request][2:], process)
                    for at, request, process in list(upstream.arrival_log) if request in record.sent]
        for told, vm, process, seconds in statements:
            leaves = seconds is None
            end = told + (LEAVING_CHECKED if leaves else float(seconds))
            if not (record.fault_free(vm, end) and record.fault_free(upstream.name, end)):
                continue
            if leaves:
                late = [at for at, other, sent, of in arrivals
                        if (other, of) == (vm, process) and sent > told + LEAVING_LIMIT and at < end]
                if late:
                    record.violation(f"DRAIN {vm} sent {len(late)} requests to {upstream.name}, which leaves")
            else:
                late = [at for at, other, _, of in arrivals
                        if (other, of) == (vm, process) and told + IN_FLIGHT < at < end]
                if len(late) > MOST_WHILE_TURNED_AWAY:
                    record.violation(f"BUDGET {vm} sent {len(late)} requests to {upstream.name}, which wants none")


def check_orders(record, engines):
    """Checks that an engine gets orders from one owner at a time, with non-decreasing fencing tokens."""
    for engine in engines:
        log = list(engine.order_log)
        for (at, vm, fence, *_), (later, next_vm, next_fence, *_) in zip(log, log[1:]):
            if any(0 <= later - resumed < RESUME_GRACE for resumed in record.resume_times):
                continue
            if next_fence < fence:
                record.violation(f"ONE {engine.name} got fence {next_fence} of {next_vm} after {fence} of {vm}")
            if vm != next_vm and (next_fence == fence or later - at < ORDER_PAUSE):
                record.violation(f"ONE {engine.name} got orders of {vm} and {next_vm} within {later - at:.2f} s")
