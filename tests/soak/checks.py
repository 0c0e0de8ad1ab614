"""Records what callers and upstreams observe during a soak, and checks the guarantees."""

import signal
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
RESUME_GRACE = 0.3   # seconds; an order in flight when its sender was paused or its link cut arrives afterwards
ANSWER_SLACK = 0.5   # seconds after its deadline in which a request must be answered, refused or closed
LOSS_SLACK = 0.2     # seconds after a request was sent in which the close of its connection may have crossed it
GRACE = 8.0          # seconds that a planned stop may take
GRACE_CHECKED = GRACE * 5 / 6  # seconds after SIGTERM within which answers are not cut
PROVEN_CRASHES = 5   # crashes by a part of a prompt after which it is blocked
MOST_DEADLY = 3      # requests with that part that may still reach upstreams
MOST_JOINED = 2      # streams with events of two versions
LEAST_TAKE_UPS = 12  # streams that callers take up again for which their share is judged
TAKE_UP_SHARE = 0.5  # that go on, of the share of new streams that begin
STRANDED_SHARE = 2 / 3  # of first tries at VMs without a path to upstreams that are served, of the share at others
SAME_MOMENT = 0.5      # seconds between requests of other VMs that show whether a kind of request is served at all
MOST_STRANDED_FAILED = 10, 1 / 50  # that may fail there, and more in proportion to all first tries
MOST_BLOCKED = 20    # sound requests that may be refused because upstreams ended together


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
        self.healed = {}      # upstream: times at which its link healed
        self.restored = []    # times at which the store came back from a copy
        self.planned = set()  # (vm, start) of faults that are planned stops
        self.waits = []       # (request id, vm, time sent whole, seconds until its deadline, time it ended)
        self.unanswered = []  # (request id, vm, time sent whole, time its connection was closed without any answer)
        self.blocked = []     # (request id, vm, time sent) of requests that were refused as deadly
        self.pauses = []      # (request id, vm, time sent, time ended, complete) of callers that paused reading
        self.strands = []     # (vm, start, end) of cuts of its paths to all upstreams
        self.new_streams = [] # (vm, time it ended, whether events came) of tries at upstreams of several versions
        self.take_ups = []    # the same of streams that were taken up while two upstreams of their version served

    def violation(self, text):
        with self.lock:
            self.violations.append((time.monotonic(), text))

    def request(self, request_id, kind, key, vm):
        with self.lock:
            self.sent[request_id] = (kind, key, vm, time.monotonic())

    def answer(self, request_id, status):
        with self.lock:
            self.answers[request_id] = status

    def closed(self, request_id, sent):
        """A request was sent whole, and its connection has just ended without any answer."""
        with self.lock:
            self.unanswered.append((request_id, self.sent[request_id][2], sent, time.monotonic()))

    def fault(self, vm, start, end):
        with self.lock:
            self.faults.setdefault(vm, []).append((start, end))

    def planned_stop(self, vm, start, end):
        self.fault(vm, start, end)
        with self.lock:
            self.planned.add((vm, start))
            self.stops.setdefault(vm, []).append(start)

    def stop_ended(self, vm, start, end):
        with self.lock:
            self.faults[vm] = [(start, end) if begun == start else (begun, until) for begun, until in self.faults[vm]]

    def disrupted(self, vm, since, until):
        """True if a fault other than a planned stop affected the VM in a span."""
        with self.lock:
            return any(start <= until and end >= since for start, end in self.faults.get(vm, [])
                       if (vm, start) not in self.planned)

    def stranded(self, vm, since, until):
        """True if the paths of a VM to the upstreams were cut in a span."""
        return any(vm == other and start <= until and end >= since for other, start, end in self.strands)

    def core_calm(self, at):
        return not any(at - FAULT_FREE < restored <= at for restored in self.restored)

    def fault_free(self, vm, at):
        """True if no fault affected the VM in the FAULT_FREE seconds before a moment."""
        with self.lock:
            return not any(start <= at and end > at - FAULT_FREE for start, end in self.faults.get(vm, []))


def holds_signal(process, number):
    """True if a process blocks or handles a signal. A gateway does from the first line of main() on, before it has any
    socket; until then, while its libraries are loaded, the signal ends it and nothing is lost."""
    try:
        with open(f"/proc/{process}/status", encoding="utf-8") as file:
            fields = dict(line.split(":", 1) for line in file)
    except OSError:
        return False  # It has ended.
    return bool((int(fields["SigBlk"], 16) | int(fields["SigCgt"], 16)) >> (number - 1) & 1)


def check_exit(record, vm, status, began):
    """Checks that a process ends in order after SIGTERM, unless it had not begun to run main()."""
    if status != 0 and not (status == -signal.SIGTERM and not began):
        record.violation(f"{vm} ended with {status} after SIGTERM")


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
            if any(vm == other and told - IN_FLIGHT < begun < told + IN_FLIGHT for other, begun, _ in record.strands):
                continue  # The statement may not have arrived.
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
        heals = record.healed.get(engine.name, [])
        log = [order for order in list(engine.order_log)
               if not any(0 <= order[0] - healed < RESUME_GRACE for healed in heals)]
        for (at, vm, fence, *_), (later, next_vm, next_fence, *_) in zip(log, log[1:]):
            if any(0 <= later - resumed < RESUME_GRACE for resumed in record.resume_times):
                continue
            if next_fence < fence:
                record.violation(f"ONE {engine.name} got fence {next_fence} of {next_vm} after {fence} of {vm}")
            if vm != next_vm and (next_fence == fence or later - at < ORDER_PAUSE):
                record.violation(f"ONE {engine.name} got orders of {vm} and {next_vm} within {later - at:.2f} s")


def check_waits(record):
    """Checks that a request that was sent whole has ended soon after its deadline, once its VM is free of faults."""
    for request_id, vm, sent, deadline, ended in record.waits:
        due = sent + deadline
        moments = sorted([due] + [end + FAULT_FREE for _, end in record.faults.get(vm, []) if end + FAULT_FREE > due])
        judged = next((at for at in moments
                       if record.fault_free(vm, at) and record.fault_free(vm, at + ANSWER_SLACK)), None)
        if judged is not None and ended > judged + ANSWER_SLACK:
            record.violation(f"CONFIG {request_id} at {vm} had no answer {ended - due:.1f} s after its deadline")


def check_answered(record, upstreams):
    """Checks that a VM ends no connection without an answer or a refusal once it has sent the request on, or has held
    it. What crosses the close of a connection, or is still open near the end of a planned stop, is excused."""
    ran = {headers.get("x-request-id") for upstream in upstreams for headers in list(upstream.seen)}
    for request_id, vm, sent, ended in list(record.unanswered):
        crossed = request_id not in ran and ended - sent <= LOSS_SLACK
        stopping = any(GRACE_CHECKED <= ended - at <= GRACE + 1 for at in record.stops.get(vm, []))
        if not crossed and not stopping and not record.disrupted(vm, sent - FAULT_FREE, ended):
            record.violation(f"LOST {request_id} ({record.sent[request_id][0]}) at {vm} got neither an answer nor a "
                             f"refusal, its connection was closed after {ended - sent:.3f} s")


def check_pauses(record, upstreams, deadline):
    """Checks that a planned stop cuts no answer whose caller only pauses."""
    ran = {headers.get("x-request-id") for upstream in upstreams for headers in list(upstream.seen)}
    for request_id, vm, sent, ended, complete in record.pauses:
        stop = next((at for at in record.stops.get(vm, []) if sent <= at <= ended), None)
        if complete or stop is None or request_id not in ran:
            continue
        disrupted = record.disrupted(vm, sent - FAULT_FREE, ended) or record.stranded(vm, sent - FAULT_FREE, ended)
        if ended < min(stop + GRACE_CHECKED, sent + deadline) and not disrupted:
            record.violation(f"LOST the answer of {request_id} was cut within {ended - stop:.1f} s of SIGTERM to {vm}")


def check_deadly(record, upstreams):
    """Checks that hardly any request with a part that has crashed upstreams reaches them later."""
    crashes = sorted(at for upstream in upstreams for at in list(upstream.crashes))
    if len(crashes) < PROVEN_CRASHES:
        return
    proven = crashes[PROVEN_CRASHES - 1] + FAULT_FREE
    late = set()
    for upstream in upstreams:
        for at, request_id, _ in list(upstream.arrival_log):
            kind, _, vm, _ = record.sent.get(request_id, (None, None, None, None))
            if kind == "deadly" and at > proven and record.fault_free(vm, at) and record.core_calm(at):
                late.add(request_id)
    if len(late) > MOST_DEADLY:
        record.violation(f"BUDGET {len(late)} requests with a part that crashed {PROVEN_CRASHES} upstreams reached more")


def check_joined(record, callers):
    """Checks that streams, over all tries of their callers, hold events of one version."""
    joined = [caller for caller in callers if len(caller.software()) > 1]
    if len(joined) > MOST_JOINED:
        record.violation(f"ORDER {len(joined)} streams hold events of two versions, one {joined[0].events}")
    for caller in callers:
        if caller not in joined and caller.fault():
            record.violation(f"ORDER stream {caller.first_id}: {caller.fault()}")


def check_take_ups(record):
    """Checks that streams that are taken up at VMs without faults go on about as often as new ones begin."""
    def calm(rows):
        return [good for vm, at, good in rows if record.fault_free(vm, at) and record.core_calm(at)]
    begun, gone_on = calm(record.new_streams), calm(record.take_ups)
    if len(gone_on) < LEAST_TAKE_UPS or not begun:
        return
    if sum(gone_on) / len(gone_on) < TAKE_UP_SHARE * sum(begun) / len(begun):
        record.violation(f"LOST {sum(gone_on)} of {len(gone_on)} streams that were taken up went on, "
                         f"{sum(begun)} of {len(begun)} new ones began")


def check_blocked(record):
    """Checks that sound requests are not refused as deadly because upstreams with them ended together."""
    found = [request_id for request_id, vm, sent in list(record.blocked)
             if record.sent[request_id][0] == "rack" and record.fault_free(vm, sent)]
    if len(found) > MOST_BLOCKED:
        record.violation(f"LOST {len(found)} sound requests were refused as deadly")


def served_nowhere(at, others):
    """True if the VMs with a path sent requests at a moment and none was served: their upstreams serve nobody then."""
    around = [served for sent, served in others if abs(sent - at) <= SAME_MOMENT]
    return bool(around) and not any(around)


def judged_strands(rows, others):
    """Whether each request was served, without those of moments at which their kind is served nowhere."""
    return [served for kind, sent in rows.items() for at, served in sent
            if not served_nowhere(at, others.get(kind, []))]


def check_strands(record, kinds):
    """Checks that callers of VMs without a path to the upstreams are served about as often as those of the others, from
    some seconds after the cut began. Moments at which a kind of request is served nowhere tell nothing of the path, and
    a caller that is refused at once sends most of its requests then."""
    there, elsewhere = {}, {}  # kind: [(time sent, served)]
    for request_id, (kind, key, vm, at) in record.sent.items():
        spans = [other for other, start, end in record.strands if start + FAULT_FREE <= at <= end]
        if kind not in kinds or key in record.withdrawn or not spans:
            continue
        if record.fault_free(vm, at) and record.core_calm(at):
            served = (at, record.answers.get(request_id) == 200)
            if vm in spans:
                there.setdefault(kind, []).append(served)
            elif not record.stranded(vm, at, at):
                elsewhere.setdefault(kind, []).append(served)
    there, elsewhere = judged_strands(there, elsewhere), judged_strands(elsewhere, elsewhere)
    extra, share = MOST_STRANDED_FAILED
    if not there or not elsewhere or there.count(False) <= extra + share * len(there + elsewhere):
        return
    if sum(there) / len(there) < STRANDED_SHARE * sum(elsewhere) / len(elsewhere):
        record.violation(f"RECOVER {sum(there)} of {len(there)} first tries at VMs without upstreams were served, "
                         f"{sum(elsewhere)} of {len(elsewhere)} at others")
