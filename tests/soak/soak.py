"""Runs gateway processes under random faults and checks what callers and upstreams observe.

Usage: soak.py [--seed N] [--seconds S] [--runs N] [--port P] [--jobs N] [--keep DIR] [--before DIR]

Prints one line for each run. Exits with 1 if a guarantee was violated, and prints the
violations and the folder of the logs. seeds.txt lists seeds that failed before, with
their causes; --runs 0 runs only these.
"""

import argparse
import asyncio
import functools
import http.client
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../e2e"))

from brittle import Brittle, check_falls
from changes import Changes
from checks import (Record, check_answered, check_blocked, check_deadly, check_exit, check_joined, check_orders,
                    check_pauses, check_runs, check_statements, check_strands, check_stream, check_take_ups, check_waits,
                    holds_signal)
from faults import (DEADLY_PART, FRAIL_DELAY, FRAIL_RETURN, LARGE_DEADLINE, RACK_DELAY, REVOKED_KEYS, FileUpstream,
                    Orders, SoakGateway, SoakPlatform)
from gateway_process import BIN
from proxy import HOST, Proxy
from strands import Strands
from users_platform import ROUTES, Upstream
from versions import Versions

VMS = 6            # five in one data centre, enough for them to report and read through a relay
CALLERS = 10
RECOVERY = 12.0    # seconds after the last fault within which every VM must serve again
START_LIMIT = 15.0  # seconds until all gateways are ready
# By seed modulo 4: how much longer the pauses between the faults of the first list are, and how often the store comes
# back from a copy. Seeds with fewer of these leave VMs in touch, so that what other faults do to them counts.
PACES = (1, 1, 4, 10)
RESTORES = (2, 2, 1, 0)
APART = 3          # in seeds with this remainder each VM has a data centre of its own, without a relay
PATHS = {"once": "/once/x", "again": "/again/x", "chat": "/chat/x", "single": "/single/x"}


class Soak:
    def __init__(self, seed, seconds, port, folder, before=BIN):
        self.random = random.Random(seed)
        self.restore_random = random.Random(-1 - seed)  # of its own, so that the other faults of a seed stay
        self.seconds, self.port = seconds, port
        self.upgrades = before != BIN
        self.pace, self.restores = PACES[seed % 4], RESTORES[seed % 4]
        self.record = Record()
        self.platform = SoakPlatform()
        self.changes = self.platform.changes = Changes(self, seed)
        self.version = 1
        self.keys = ["k1", "k2", "k3"] + REVOKED_KEYS
        self.publishing, self.starting = threading.Lock(), threading.Lock()
        self.killed = set()  # processes that were killed
        self.stopping = threading.Event()
        self.counts = {}
        self.proxies = []  # (VM name, or None for an upstream; proxy)
        self.desks = [Upstream(f"desk{n}", port + 70 + n, "desk") for n in range(2)]
        self.engines = [Upstream(f"engine{n}", port + 72 + n, "llm", ["m1"]) for n in range(3)]
        for number, upstream in enumerate(self.desks + self.engines):
            upstream.public_port = port + 80 + number
            self.add_proxy(None, upstream.public_port, upstream.port)
        self.platform.publish(self.version, self.keys, ROUTES)
        for upstream in self.desks + self.engines:
            self.platform.serve_upstream(upstream)
        self.files = [FileUpstream(f"file{n}", port + 6 + 10 * n, "files") for n in range(2)]
        for upstream in self.files:
            self.platform.serve_upstream(upstream)
        self.frail = [Upstream(f"frail{n}", port + 4 + 10 * (n % 6) + n // 6, "frail", ["m3"]) for n in range(9)]
        for upstream in self.frail:
            upstream.deadly_part, upstream.delay = DEADLY_PART, FRAIL_DELAY
            self.platform.serve_upstream(upstream, FRAIL_RETURN)
        self.rack = [Upstream(f"rack{n}", port + 8 + 10 * (n % 6) + n // 6, "rack", ["m5"]) for n in range(10)]
        for upstream in self.rack:
            upstream.delay = RACK_DELAY
            self.platform.serve_upstream(upstream, FRAIL_RETURN)
        self.churned = [Upstream(f"churn{n}", port + 7 + 10 * n, "churn", ["m4"]) for n in range(2)]
        for number, upstream in enumerate(self.churned):
            upstream.public_port = port + 27 + 10 * number
            self.add_proxy(None, upstream.public_port, upstream.port)
            upstream.after_order = functools.partial(self.tell_record, upstream)
            self.platform.serve_upstream(upstream)
        self.versions = Versions(self, seed, port + 75)
        self.strands = Strands(self, seed)
        self.brittle = Brittle(self, seed, port + 85)
        self.gateways = []
        for number in range(VMS):
            store, target = port + 90 + number, port + 60 + number
            self.platform.serve_store(target)
            self.add_proxy(f"vm{number}", store, target)
            centre = f"dc-{number}" if seed % 4 == APART else "dc-b" if number == VMS - 1 else "dc-a"
            if centre != "dc-a":
                self.strands.add_paths(number, target, self.upstreams())
            self.gateways.append(SoakGateway(number, folder, port + 10 * number, store, centre, binaries=before))
        self.kinds = [Orders(self, seed), self.versions, self.strands, self.brittle, self.changes]

    def upstreams(self):
        return (self.desks + self.engines + self.files + self.frail + self.rack + self.churned
                + self.versions.upstreams + self.brittle.upstreams)

    def add_proxy(self, vm, port, target):
        proxy = Proxy(target)
        self.platform.servers.append(self.platform.run(proxy.listen(port)))
        self.proxies.append((vm, proxy))

    def tell_record(self, upstream):
        upstream.heartbeats += 1
        self.platform.store.put("servers/" + upstream.name, upstream.record())

    def call(self, connection, gateway, kind):
        """Sends one request and records the answer; False if the connection cannot be reused."""
        request_id = os.urandom(8).hex()
        key = self.call_random.choice(["k1", "k2", "k3"])
        headers = {"Host": "h.example", "X-Request-Id": request_id, "X-Deadline-Ms": "3000",
                   "Authorization": "Bearer " + key}
        if kind in ("chat", "single"):
            model = self.call_random.choice(["m1", "m1", "m1/a1", "m2"])
            headers.update({"X-Model-Name": model, "X-Token-Usage": "100,20", "X-Prompt-Prefix": "a:50,b:50"})
        self.record.request(request_id, kind, key, gateway.name)
        sent, whole = time.monotonic(), False
        try:
            connection.request("POST", PATHS[kind], request_id.encode(), headers)
            sent, whole = time.monotonic(), True
            answer = connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            self.count("no answer")
            if whole and isinstance(error, ConnectionError):
                self.record.closed(request_id, sent)
            self.record.answer(request_id, None)
            return False
        finally:
            self.record.waits.append((request_id, gateway.name, sent, 3.0, time.monotonic()))
        self.record.answer(request_id, answer.status)
        self.count(answer.status)
        body, complete = b"", True
        try:
            body = answer.read()
        except http.client.IncompleteRead as error:
            body, complete = error.partial, False
        except OSError:
            return False
        if answer.status == 200:
            self.check_answer(request_id, kind, answer, body.decode(), complete)
        return complete and not answer.will_close

    def check_answer(self, request_id, kind, answer, body, complete):
        if answer.headers.get("X-Request-Id") != request_id:
            self.record.violation(f"MIXED {request_id} got the answer to {answer.headers.get('X-Request-Id')}")
        if kind in ("chat", "single"):
            check_stream(self.record, request_id, body, complete)
        elif complete and not body.endswith(request_id):
            self.record.violation(f"MIXED {request_id} got the body {body!r}")

    def count(self, outcome):
        self.counts[outcome] = self.counts.get(outcome, 0) + 1

    def caller(self):
        """Sends requests to random VMs, several on each connection."""
        while not self.stopping.is_set():
            gateway = self.call_random.choice(self.gateways)
            connection = http.client.HTTPConnection(HOST, gateway.port, timeout=6)
            for _ in range(self.call_random.randrange(1, 30)):
                if self.stopping.is_set() or not self.call(connection, gateway,
                                                           self.call_random.choice(list(PATHS))):
                    break
                time.sleep(self.call_random.uniform(0, 0.03))
            connection.close()
            time.sleep(0.01)

    # Faults. Each runs on its own thread, so that they overlap.

    def record_fault(self, gateway, seconds):
        start = time.monotonic()
        self.record.fault(gateway.name, start, start + seconds)

    def kill(self, gateway, seconds):
        self.record_fault(gateway, seconds + 3)
        child = self.kill_child(gateway)
        child.wait()
        time.sleep(seconds / 4)
        self.start_after(gateway, child)

    def kill_child(self, gateway):
        child = gateway.child
        self.killed.add(child.pid)
        if child.poll() is None:
            child.kill()
        return child

    def start_after(self, gateway, child):
        """Starts a VM again, unless another fault that ended the same process has done so."""
        with self.starting:
            if gateway.child is child:
                gateway.start()

    def planned_stop(self, gateway, seconds):
        start = time.monotonic()
        self.record.planned_stop(gateway.name, start, start + 14)
        child = gateway.child
        began = holds_signal(child.pid, signal.SIGTERM)
        if child.poll() is None:
            child.send_signal(signal.SIGTERM)
        try:
            status = child.wait(timeout=9)
            if child.pid not in self.killed:
                check_exit(self.record, gateway.name, status, began)
        except subprocess.TimeoutExpired:
            if not self.record.disrupted(gateway.name, start, time.monotonic()):
                self.record.violation(f"{gateway.name} did not end within 9 s of SIGTERM")
            self.kill_child(gateway)
            child.wait()
        self.start_after(gateway, child)
        self.record.stop_ended(gateway.name, start, time.monotonic() + 1)

    def pause(self, gateway, seconds):
        self.record_fault(gateway, seconds + 1)
        if gateway.child.poll() is None:
            gateway.child.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        self.record.resume_times.append(time.monotonic())
        if gateway.child.poll() is None:
            gateway.child.send_signal(signal.SIGCONT)

    def upgrade(self):
        """Replaces the processes of the earlier build one after the other."""
        for gateway, child in [(gateway, gateway.child) for gateway in self.gateways]:
            if gateway.child is child:
                self.planned_stop(gateway, 0)

    def reload(self, gateway, seconds):
        gateway.child.send_signal(signal.SIGHUP)

    def cut_store(self, gateway, seconds):
        self.record_fault(gateway, seconds + 2)
        proxy = [p for vm, p in self.proxies if vm == gateway.name][0]
        self.break_link(proxy, seconds)

    def break_upstream_link(self, gateway, seconds):
        number = self.random.randrange(len(self.desks + self.engines))
        start = time.monotonic()
        self.record.fault((self.desks + self.engines)[number].name, start, start + seconds)
        self.break_link([p for vm, p in self.proxies if vm is None][number], seconds)

    def break_link(self, proxy, seconds):
        kind = self.random.choice(["silent", "up", "down", "slow", "reset"])
        if kind == "reset":
            self.platform.change(proxy.reset)
            return
        if kind == "slow":
            proxy.delay = 0.2
        else:
            proxy.stalled = {"up", "down"} if kind == "silent" else {kind}
        time.sleep(seconds)
        proxy.heal()
        for upstream, (vm, other) in zip(self.desks + self.engines, self.proxies):
            if other is proxy and vm is None:
                self.record.healed.setdefault(upstream.name, []).append(time.monotonic())

    def lose_answers(self, gateway, seconds):
        upstream = self.random.choice(self.desks + self.engines)
        start = time.monotonic()
        self.record.fault(upstream.name, start, start + seconds)
        if upstream in self.engines:
            upstream.break_after = self.random.randrange(0, 9)
        else:
            upstream.drop_requests = True
        time.sleep(seconds)
        upstream.break_after, upstream.drop_requests = None, False

    def turn_away(self, gateway, seconds):
        """An upstream turns all requests away for as long as it says."""
        upstream = self.random.choice(self.desks + self.engines)
        upstream.turn_away = f"{seconds:.2f}"
        time.sleep(seconds)
        upstream.turn_away = None

    def leave(self, gateway, seconds):
        """An upstream says in its answers that it leaves, while its record lists it as ready, and is replaced."""
        upstream = self.random.choice(self.desks + self.engines)
        upstream.leaving = True
        time.sleep(seconds + 3)
        upstream.born += 1
        upstream.leaving = False
        self.platform.change(self.platform.store.put, "servers/" + upstream.name, upstream.record())

    def change_keys(self, gateway, seconds):
        if "k3" in self.keys and self.random.random() < 0.5:
            self.withdraw("k3")
        else:
            self.withdraw(None)

    def withdraw(self, key):
        """Publishes the configuration again, without a key."""
        with self.publishing:
            self.version += 1
            self.keys = [other for other in self.keys if other != key]
            self.platform.publish(self.version, self.keys, ROUTES)
            if key:
                self.record.withdrawn[key] = time.monotonic()

    def restore_store(self):
        """Lets the store come back from a copy that is some seconds old, up to twice a run."""
        for _ in range(self.restores):
            age = self.restore_random.uniform(0.5, 5)
            if self.stopping.wait(self.restore_random.uniform(2, 8)):
                return
            self.platform.change(self.platform.store.take_copy)
            if self.stopping.wait(age):
                return
            self.record.restored.append(time.monotonic())
            self.platform.change(self.platform.store.restore)

    def execute(self):
        faults = [self.kill, self.planned_stop, self.pause, self.reload, self.cut_store,
                  self.break_upstream_link, self.lose_answers, self.turn_away, self.leave, self.change_keys]
        threads = [threading.Thread(target=self.caller) for _ in range(CALLERS)]
        threads.append(threading.Thread(target=self.restore_store))
        self.call_random = random.Random(self.random.random())
        self.wait_ready(START_LIMIT)
        for thread in threads:
            thread.start()
        for kind in self.kinds:
            kind.start()
        until = time.monotonic() + self.seconds
        running, active = [], {}
        if self.upgrades:
            running.append(threading.Thread(target=self.upgrade))
            running[0].start()
        while time.monotonic() < until:
            time.sleep(self.pace * self.random.uniform(0.1, 1.2))
            gateway, fault = self.random.choice(self.gateways), self.random.choice(faults)
            if active.get(gateway.name) and active[gateway.name].is_alive():
                continue
            thread = threading.Thread(target=fault, args=(gateway, self.random.uniform(0.3, 4)))
            thread.start()
            active[gateway.name] = thread
            running.append(thread)
        for kind in self.kinds:
            kind.end()
        for thread in running:
            thread.join()
        self.check_recovery()
        self.stopping.set()
        for thread in threads:
            thread.join()
        time.sleep(1)
        check_runs(self.record, self.upstreams())
        check_statements(self.record, self.desks + self.engines)
        check_orders(self.record, self.engines + self.frail + self.rack + self.churned)
        check_waits(self.record)
        check_answered(self.record, self.upstreams())
        check_pauses(self.record, self.files, LARGE_DEADLINE)
        check_deadly(self.record, self.frail)
        check_joined(self.record, self.versions.callers)
        check_take_ups(self.record)
        check_blocked(self.record)
        check_strands(self.record, PATHS)
        check_falls(self.record, self.brittle.times, self.brittle.upstreams)
        return sorted(self.record.violations)

    def wait_ready(self, limit):
        until = time.monotonic() + limit
        while not all(gateway.ready() for gateway in self.gateways):
            if time.monotonic() > until:
                raise RuntimeError("the gateways did not become ready")
            time.sleep(0.05)

    def check_recovery(self):
        time.sleep(RECOVERY)
        served = 0
        for gateway in self.gateways:
            try:
                served += gateway.call("/again/x", key="k1", headers=self.record_request(gateway))[0] == 200
            except (OSError, http.client.HTTPException):
                pass  # The VM counts as not serving.
        if served < VMS:
            self.record.violation(f"RECOVER {served} of {VMS} VMs serve {RECOVERY} s after the last fault")

    def record_request(self, gateway):
        request_id = os.urandom(8).hex()
        self.record.request(request_id, "again", "k1", gateway.name)
        return {"X-Request-Id": request_id}

    def thread_failed(self, error):
        """A fault or a caller that has ended would go unnoticed."""
        threading.__excepthook__(error)
        self.record.violation(f"ERROR a thread of the soak ended: {error.exc_value!r}")

    def close(self):
        for gateway in self.gateways:
            gateway.stop()
        self.strands.close()
        self.platform.change(lambda: [proxy.close() for _, proxy in self.proxies])
        self.platform.close()


def run(seed, arguments):
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=arguments.keep)
    soak = Soak(seed, arguments.seconds, arguments.port, folder, arguments.before)
    threading.excepthook = soak.thread_failed
    try:
        violations = soak.execute()
    finally:
        soak.close()
    print(f"seed {seed}: {sum(soak.counts.values())} requests {soak.counts}, {len(violations)} violations", flush=True)
    for at, text in violations[:20]:
        print(f"  {at:.3f} {text}")
    if violations:
        print(f"  logs: {folder}")
    else:
        shutil.rmtree(folder)
    return not violations


def known_seeds():
    path = os.path.join(os.path.dirname(__file__), "seeds.txt")
    with open(path, encoding="utf-8") as file:
        return [int(line.split()[0]) for line in file if line.strip() and not line.startswith("#")]


def run_in_parallel(seeds, arguments):
    """Runs each seed in a process of its own. Returns the seeds that failed."""
    waiting, failed = list(seeds), []

    def work(port):
        while waiting:
            seed = waiting.pop(0)
            command = [sys.executable, __file__, "--skip-known", "--seed", str(seed), "--port", str(port),
                       "--seconds", str(arguments.seconds)]
            command += ["--keep", arguments.keep] if arguments.keep else []
            command += ["--before", arguments.before]
            done = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False)
            print(done.stdout[:done.stdout.rfind("\n", 0, -1) + 1], end="", flush=True)
            if done.returncode:
                failed.append(seed)
    workers = [threading.Thread(target=work, args=(arguments.port + 100 * number,)) for number in range(arguments.jobs)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return failed


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--runs", type=int, default=1, help="number of seeds to run after those of seeds.txt")
    parser.add_argument("--seconds", type=float, default=20, help="seconds with faults in each run")
    parser.add_argument("--port", type=int, default=int(os.environ.get("MARIGOLD_TEST_PORT", 28000)))
    parser.add_argument("--keep", help="folder that keeps the logs of failed runs")
    parser.add_argument("--before", default=BIN, metavar="DIR",
                        help="folder with the gateway of an earlier build; the processes of it that start first are "
                             "replaced one after the other")
    parser.add_argument("--skip-known", action="store_true", help="do not run the seeds of seeds.txt")
    parser.add_argument("--jobs", type=int, default=1, help="runs at once; each takes 100 ports of its own")
    arguments = parser.parse_args()
    if arguments.keep:
        os.makedirs(arguments.keep, exist_ok=True)
    seeds = [] if arguments.skip_known else known_seeds()
    seeds += range(arguments.seed, arguments.seed + arguments.runs)
    if arguments.jobs > 1:
        failed = run_in_parallel(seeds, arguments)
    else:
        failed = [seed for seed in seeds if not run(seed, arguments)]
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed")
    return int(bool(failed))


if __name__ == "__main__":
    sys.exit(main())
