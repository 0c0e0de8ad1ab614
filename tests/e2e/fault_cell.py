"""One cell of the fault matrix: runs a step under a fault and reports violations."""

import random

from fault_columns import COLUMNS
from fault_fleet import FaultFleet
from fault_rows import ROWS


class Cell:
    """Runs a step under a fault on a deployment of its own."""

    def __init__(self, row, column, seed, base_port):
        self.row = row
        self.column = column
        self.seed = seed
        self.random = random.Random("%s %s %d" % (row, column, seed))
        self.fleet = FaultFleet(base_port, seed)
        self.step = ROWS[row]()
        self.fault = COLUMNS[column]()
        self.operator_failures = []
        self.victim = None
        self.upstream = None

    def run(self):
        """Runs the cell and returns the violations, empty if every guarantee held."""
        try:
            self.fleet.start()
            self.victim = self.random.choice(sorted(self.fleet.entries))
            upstreams = getattr(self.fleet, self.step.upstreams)
            self.upstream = self.random.choice(sorted(upstreams))
            self.step.prepare(self)
            self.fault.inject(self)
            self.step.during(self)
            self.fault.heal(self)
            self.step.after(self)
            self.fleet.join()
            self.fleet.check_wrong_key()
            self.fleet.check_records()
        except Exception as error:
            self.fleet.problem("the cell failed with an exception: %r" % error)
        finally:
            self.fleet.close()
        return sorted(set(self.fleet.problems + self.operator_failures))
