"""Callers of streams whose tokens name the software that wrote them."""

import http.client
import os
import re
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from users_platform import HOST, TOKENS

EVENT = re.compile(r"id: (\d+)\ndata: (.*):token(\d+)")


class StreamCaller:
    """Asks for a stream and takes it up again, as callers do: with the last event that they have, and with the id of
    the try that brought the first one. Keeps the events of all its tries."""

    def __init__(self, number, path="/chat/x", model="m1"):
        self.path, self.model = path, model
        self.prompt = f"{number + 1:x}:50,{number + 0x100001:x}:50"
        self.events = []        # (number, software)
        self.first_id = None    # of the try that brought the first event
        self.statuses = []      # of its tries; None: the connection ended before
        self.outcomes = []      # what each refusal says of itself
        self.seconds = 0.0      # that the last try took
        self.complete = False
        self.gateway = None     # of the last try
        self.malformed = []     # bytes that are no event of the upstreams

    def resume_headers(self):
        return {"Last-Event-Id": str(self.events[-1][0]), "Resumes": self.first_id} if self.events else {}

    def attempt(self, gateway, leave_after=None, headers=None, request_id=None):
        """Sends the request and reads events until the answer ends; with leave_after, the caller closes the connection
        after that many. Returns the number of events that came."""
        request_id, before, began = request_id or os.urandom(8).hex(), len(self.events), time.monotonic()
        self.gateway = gateway
        sent = {"Host": "h.example", "X-Request-Id": request_id, "X-Deadline-Ms": "3800", "Authorization": "Bearer k1",
                "X-Model-Name": self.model, "X-Token-Usage": "100,20", "X-Prompt-Prefix": self.prompt,
                **(self.resume_headers() if headers is None else headers)}
        connection = http.client.HTTPConnection(HOST, gateway.port, timeout=6)
        status, outcome = None, None
        try:
            connection.request("POST", self.path, b"x", sent)
            answer = connection.getresponse()
            status, outcome = answer.status, answer.headers.get("Marigold-Outcome")
            if status == 200:
                self.complete = self.read(answer, request_id, before, leave_after)
        except (OSError, http.client.HTTPException):
            pass  # Broken off.
        finally:
            connection.close()
        self.statuses.append(status)
        self.outcomes.append(outcome)
        self.seconds = time.monotonic() - began
        return len(self.events) - before

    def read(self, answer, request_id, before, leave_after):
        """Returns whether the answer ended in order."""
        text = ""
        while data := answer.read1(65536):
            text += data.decode()
            while "\n\n" in text:
                event, text = text.split("\n\n", 1)
                self.take(event)
                self.first_id = self.first_id or request_id
                if leave_after is not None and len(self.events) - before >= leave_after:
                    return False
        return True

    def take(self, event):
        match = EVENT.fullmatch(event)
        if match and match[1] == match[3]:
            self.events.append((int(match[1]), match[2]))
        else:
            self.malformed.append(event)

    def software(self):
        return {software for _, software in self.events}

    def fault(self):
        """Returns what is wrong with the events of all tries together, or None."""
        numbers = [number for number, _ in self.events]
        if len(self.software()) > 1:
            return f"joined of {self.events}"
        if self.malformed or numbers != list(range(1, len(numbers) + 1)):
            return f"events {numbers} {self.malformed}"
        if self.complete and len(numbers) != len(TOKENS):
            return f"ended as complete after {len(numbers)} events"
        return None


def at_once(calls, most=6):
    """Runs calls on threads, at most that many at a time; returns what they return."""
    with ThreadPoolExecutor(most) as threads:
        return [future.result() for future in [threads.submit(call) for call in calls]]


def background(call):
    thread = threading.Thread(target=call)
    thread.start()
    return thread
