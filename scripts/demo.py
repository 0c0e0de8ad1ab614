"""Sends each kind of request through a deployment on loopback and prints the answers."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                "tests", "e2e"))
from deployment import Deployment, bearer, book, call, chat  # noqa: E402


def report(title, answer):
    first = answer.body.strip().splitlines()
    print("%-34s %d %-8s %s" % (title, answer.status, answer.outcome,
                                (first[0] if first else "")[:80]))
    return answer


def main():
    started = time.monotonic()
    failures = 0
    with Deployment("kochi") as fleet:
        entries = list(fleet.entries)
        print("6 entry VMs in 3 data centres are ready after %.1f s" %
              (time.monotonic() - started))
        checks = [
            (report("chat", chat(fleet.port(entries[0]), fleet.crew_key)), 200),
            (report("chat stream", chat(fleet.port(entries[2]), fleet.desk_key, 6, True)), 200),
            (report("status lookup", call(fleet.port(entries[4]), "GET", "/pods/7", None,
                                          bearer(fleet.crew_key))), 200),
            (report("booking", book(fleet.port(entries[1]), fleet.crew_key, "booking-1")), 200),
            (report("same booking, other VM", book(fleet.port(entries[3]), fleet.crew_key,
                                                   "booking-1")), 200),
            (report("open route without key", call(fleet.port(entries[0]), "GET", "/open")), 200),
            (report("wrong key", chat(fleet.port(entries[0]), "mt_0_0")), 401),
        ]
        failures += sum(answer.status != status for answer, status in checks)
        bookings = [run for run in fleet.run_records(fleet.services) if run["path"] == "/bookings"]
        print("bookings that ran at the services: %d" % len(bookings))
        failures += len(bookings) != 1
        code, output, errors = fleet.ctl("status")
        print(output + errors, end="")
        failures += code != 0
    print("demo: %s after %.1f s" % ("passed" if failures == 0 else
                                     "%d checks failed" % failures,
                                     time.monotonic() - started))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
