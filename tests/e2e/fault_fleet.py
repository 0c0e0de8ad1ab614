"""A deployment with fault injection, and the checks of its guarantees."""

import json
import os
import random
import threading
import time

from deployment import Deployment, HOST, bearer, call

SETTLE_SECONDS = 3.0
"""Time limit of design.md for a change to be in force on every VM."""


class Reply:
    """The answer to one request; status 0 means a broken connection or a timeout."""

    def __init__(self, entry, reference):
        self.entry = entry
        self.reference = reference
        self.sent = time.monotonic()
        self.ended = None
        self.status = 0
        self.outcome = None
        self.request_id = None
        self.body = ""
        self.problem = ""
        self.key = None

    def finish(self, answer):
        self.ended = time.monotonic()
        self.status = answer.status
        self.outcome = answer.outcome
        self.request_id = answer.headers.get("x-request-id")
        self.body = answer.body

    def code(self):
        for line in self.body.splitlines():
            text = line[6:] if line.startswith("data: ") else line
            try:
                content = json.loads(text)
            except ValueError:
                continue
            if isinstance(content, dict) and "error" in content:
                error = content["error"]
                return error.get("code") if isinstance(error, dict) else str(error)
        return None


def tokens_of(reply, stream):
    """Returns the tokens of a chat answer in order, and whether the answer is complete."""
    if not stream:
        content = json.loads(reply.body)["choices"][0]["message"]["content"]
        return content.split(), True
    tokens, done = [], False
    for event in reply.body.split("\n\n"):
        if event == "data: [DONE]":
            done = True
        elif event.startswith("data: "):
            content = json.loads(event[6:])
            for choice in content.get("choices", []):
                tokens += choice["delta"].get("content", "").split()
    return tokens, done


class FaultFleet(Deployment):
    """A deployment whose upstream records survive crashes and whose links can be cut."""

    def __init__(self, base_port, seed, name="kochi"):
        super().__init__(name, base_port)
        self.random = random.Random(seed)
        self.replies = []
        self.problems = []
        self.threads = []
        self.killed_entries = set()
        self.versions = {}
        self.watching = False
        self.files = 0
        self.lock = threading.Lock()

    def write(self, name, text):
        # Concurrent operators must not share a settings file.
        with self.lock:
            self.files += 1
            number = self.files
        return super().write("%d-%s" % (number, name), text)

    # -- processes -------------------------------------------------------------

    def record_of(self, name):
        return ["--record", os.path.join(self.folder, name + ".ran")]

    def start_engine(self, data_centre, number, resident, extra=()):
        name = "engine-%s-%d" % (data_centre, number)
        self.resident = resident
        return super().start_engine(data_centre, number, resident,
                                    list(extra) + self.record_of(name) +
                                    ["--ignore-memory"])

    def start_service(self, data_centre, number, serves, extra=()):
        name = "service-%s-%d" % (data_centre, number)
        return super().start_service(data_centre, number, serves,
                                     list(extra) + self.record_of(name))

    def restart(self, name):
        process = self.processes[name]
        if not process.running():
            process.start()
            if name in self.entries:
                self.list_entry(name)

    # -- links -----------------------------------------------------------------

    def cut_links(self, name, peers, platform):
        try:
            call(self.entries[name]["operator"], "POST", "/fault",
                 {"peers": sorted(peers), "platform": platform}, timeout=2)
        except OSError:
            pass

    def partition(self, inside):
        """Partitions a set of entry VMs from all others and from the platform."""
        outside = set(self.entries) - set(inside)
        for name in inside:
            self.cut_links(name, outside, True)
        for name in outside:
            self.cut_links(name, inside, False)

    def heal_links(self):
        for name in self.entries:
            self.cut_links(name, [], False)

    # -- callers ---------------------------------------------------------------

    def problem(self, text):
        with self.lock:
            self.problems.append(text)

    def in_background(self, function, *arguments):
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        self.threads.append(thread)
        thread.start()

    def join(self, timeout=30):
        end = time.monotonic() + timeout
        for thread in self.threads:
            thread.join(max(0.01, end - time.monotonic()))
            if thread.is_alive():
                self.problem("a caller still waits for its answer (P7)")
        self.threads = []

    def send(self, entry, method, path, body, headers, reference, timeout=25):
        reply = Reply(entry, reference)
        with self.lock:
            self.replies.append(reply)
        try:
            reply.finish(call(self.port(entry), method, path, body, headers, timeout))
        except Exception as error:  # recorded; check_chat() decides whether it is a problem
            reply.problem = repr(error)
        return reply

    def chat(self, entry, reference, key=None, tokens=30, stream=False, marker=""):
        """Sends a chat and checks that its answer is complete and its own, or an explicit error."""
        body = {"model": "drafting-assistant", "max_tokens": tokens, "stream": stream,
                "messages": [{"role": "user",
                              "content": "[[ref:%s]]%s" % (reference, marker)}]}
        reply = self.send(entry, "POST", "/v1/chat/completions", body,
                          bearer(key or self.crew_key), reference)
        self.check_chat(reply, tokens, stream)
        return reply

    def check_chat(self, reply, tokens, stream):
        if reply.status == 0:
            if reply.entry not in self.killed_entries:
                self.problem("%s at %s: connection broke: %s (P7)" %
                             (reply.reference, reply.entry, reply.problem))
            return
        if reply.status != 200:
            if not reply.code() or reply.outcome not in ("not-run", "unknown", "ran"):
                self.problem("%s: refusal without code or outcome (P8)" % reply.reference)
            return
        received, done = tokens_of(reply, stream)
        expected = ["%s.t%d" % (reply.reference, index) for index in range(tokens)]
        reported_error = stream and reply.code() is not None
        if any(not token.startswith(reply.reference + ".") for token in received):
            self.problem("%s: foreign answer (P7)" % reply.reference)
        elif reported_error:
            if received != expected[:len(received)]:
                self.problem("%s: tokens out of order (P7)" % reply.reference)
        elif received != expected or not done:
            self.problem("%s: cut answer with %d of %d tokens (P7)" %
                         (reply.reference, len(received), tokens))

    def book(self, entry, key, marker=""):
        headers = bearer(self.crew_key)
        headers["Idempotency-Key"] = key
        reply = self.send(entry, "POST", "/bookings", "[[ref:%s]]%s" % (key, marker),
                          headers, key, timeout=15)
        reply.key = key
        if reply.status == 200 and reply.outcome == "ran":
            if json.loads(reply.body).get("reference") != key:
                self.problem("%s: foreign answer (P7)" % key)
        return reply

    # -- observation -----------------------------------------------------------

    def watch_versions(self):
        """Samples manifest versions and records a problem for each that decreases."""
        self.watching = True

        def sample():
            while self.watching:
                for name in list(self.entries):
                    try:
                        status = self.status(name)
                    except Exception:  # the VM is dead or paused
                        continue
                    version = status["versions"].get("config/manifest", 0)
                    if status["ready"] and version < self.versions.get(name, 0):
                        self.problem("%s reverted from manifest %d to %d (P12)" %
                                     (name, self.versions[name], version))
                    if status["ready"]:
                        self.versions[name] = max(version, self.versions.get(name, 0))
                time.sleep(0.1)

        thread = threading.Thread(target=sample, daemon=True)
        thread.start()

    def wait_for(self, condition, failure, timeout=SETTLE_SECONDS):
        """Waits and records a problem if the condition does not come true."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                if condition():
                    return True
            except Exception:  # the process is still starting
                pass
            time.sleep(0.05)
        self.problem("%s within %.0f s" % (failure, timeout))
        return False

    # -- checks ----------------------------------------------------------------

    def records(self):
        """Returns every request that upstreams ran, including those of crashed ones."""
        entries = []
        for name in list(self.engines) + list(self.services):
            path = os.path.join(self.folder, name + ".ran")
            if os.path.exists(path):
                with open(path, encoding="utf-8") as file:
                    entries += [json.loads(line) for line in file if line.strip()]
        return entries

    def check_records(self):
        """Checks the guarantees that apply to every cell."""
        records = self.records()
        self.check_runs(records)
        text = json.dumps(records)
        for key in (self.crew_key, self.desk_key):
            if key in text:
                self.problem("an upstream saw a key (P4)")
        if "intruder" in text:
            self.problem("a request without a valid key ran (P3)")
        for name in self.engines:
            with open(self.processes[name].log_path, encoding="utf-8") as log:
                if "memory overcommitted" in log.read():
                    self.problem("%s was overcommitted (P1)" % name)

    def check_runs(self, records):
        ran_ids = {record["id"] for record in records if record["id"]}
        runs = {}
        for record in records:
            key = {name.lower(): value for name, value in
                   record["headers"].items()}.get("idempotency-key")
            if key:
                runs[key] = runs.get(key, 0) + 1
        for key, count in runs.items():
            if count > 1:
                self.problem("booking %s ran %d times (P9)" % (key, count))
        attempts = {}
        for reply in self.replies:
            if reply.outcome == "not-run" and reply.request_id in ran_ids:
                self.problem("%s: false not-run, code %s (P8)" %
                             (reply.reference, reply.code()))
            if reply.outcome == "ran" and reply.key and reply.key not in runs:
                self.problem("%s: reported as run, but did not run (P7)" % reply.key)
            if reply.key:
                attempts.setdefault(reply.key, []).append(reply.outcome)
        for key, outcomes in attempts.items():
            if key in runs and all(outcome == "not-run" for outcome in outcomes):
                self.problem("booking %s ran, but every attempt said not-run (P8)" % key)

    def check_wrong_key(self):
        entry = self.random.choice(sorted(self.entries))
        reply = self.send(entry, "POST", "/v1/chat/completions",
                          {"model": "drafting-assistant", "messages": [
                              {"role": "user", "content": "intruder"}]},
                          bearer("mt_0_intruder"), "intruder")
        if reply.status == 200:
            self.problem("a wrong key was accepted (P3)")

    def close(self):
        """Kills every process; a regular stop would wait for running requests."""
        self.watching = False
        for process in self.processes.values():
            process.kill()


def address(port):
    return "%s:%d" % (HOST, port)
