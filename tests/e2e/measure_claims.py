"""Measures the cost of claims: latency and platform writes per booking."""

import statistics
import sys

from deployment import Deployment, bearer, book, call, wait_until

BOOKINGS = 200


def milliseconds(answers):
    times = sorted(answers)
    return "median %.1f ms, 95%% %.1f ms" % (statistics.median(times) * 1000,
                                            times[len(times) * 95 // 100] * 1000)


def timed(action):
    times = []
    for number in range(BOOKINGS):
        times.append(wait_until(lambda number=number: action(number).outcome == "ran", 5,
                                0.001))
    return times


def totals(fleet, names):
    dumps = [fleet.dump(name) for name in names]
    return (sum(dump["claims"]["platform"]["writes"] for dump in dumps),
            sum(dump["mesh"]["sent"] for dump in dumps))


def main():
    with Deployment("kochi") as fleet:
        home = fleet.data_centres[0]
        members = ["entry-%s-%d" % (home, number) for number in (1, 2)]
        others = [name for name in fleet.entries if name not in members]
        port = fleet.port(others[0])
        wait_until(lambda: all(fleet.dump(name)["claims"]["voter"]["voting"]
                               for name in fleet.entries))

        def booking(title):
            def action(number):
                key = "%s/%s-%d" % (home, title, number)
                return book(port, fleet.crew_key, key)
            before = totals(fleet, others)
            times = timed(action)
            after = totals(fleet, others)
            print("%-34s %s; platform writes per booking %.2f" % (
                title, milliseconds(times), (after[0] - before[0]) / BOOKINGS))

        lookup = timed(lambda _: call(port, "GET", "/pods/7", None,
                                      bearer(fleet.crew_key)))
        print("%-34s %s" % ("lookup without a claim", milliseconds(lookup)))
        booking("both members and platform")
        fleet.control(mode="down")
        booking("platform down")
        fleet.control(mode="up")
        wait_until(lambda: fleet.status(others[0])["situation"] == "connected")
        fleet.processes[members[0]].kill()
        booking("one member dead")
        print("claim writes of one VM are limited to %.1f per second" %
              (100 / len(fleet.entries)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
