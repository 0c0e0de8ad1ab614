"""Runs the fault matrix: steps under faults, checked against the upstreams' records.

Usage: scripts/faults.sh [--seed N] [--row R] [--column C] [--jobs N]

Each cell runs its own deployment of processes on loopback. The table shows
"ok" or "FAIL". Failing cells are listed with their seed and the violated guarantees. Exits with 1 if a cell failed.
"""

import argparse
import concurrent.futures
import os
import queue
import shutil
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..",
                                "tests", "e2e"))
from fault_cell import Cell  # noqa: E402
from fault_columns import COLUMNS  # noqa: E402
from fault_rows import ROWS  # noqa: E402

PORTS_PER_CELL = 60
FIRST_PORT_OFFSET = 1000


def parse():
    parser = argparse.ArgumentParser(prog="scripts/faults.sh", description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1, help="seed of the random choices")
    parser.add_argument("--row", choices=list(ROWS), help="run only this step")
    parser.add_argument("--column", choices=list(COLUMNS), help="run only this fault")
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 2),
                        help="number of cells run in parallel")
    return parser.parse_args()


def run_cell(row, column, seed, ports):
    port = ports.get()
    try:
        cell = Cell(row, column, seed, port)
        problems = cell.run()
        if not problems:
            shutil.rmtree(cell.fleet.folder, ignore_errors=True)
        return problems, cell.fleet.folder
    finally:
        ports.put(port)


def print_table(rows, columns, results):
    width = max(len(row) for row in rows) + 1
    print(" " * width + "  ".join(columns))
    for row in rows:
        marks = []
        for column in columns:
            result = results.get((row, column))
            mark = "-" if result is None else "FAIL" if result[0] else "ok"
            marks.append(mark.ljust(len(column)))
        print(row.ljust(width) + "  ".join(marks).rstrip())


def main():
    options = parse()
    started = time.monotonic()
    rows = [options.row] if options.row else list(ROWS)
    columns = [options.column] if options.column else list(COLUMNS)
    ports = queue.Queue()
    base = int(os.environ.get("MARIGOLD_TEST_PORT", "21000")) + FIRST_PORT_OFFSET
    for number in range(options.jobs):
        ports.put(base + number * PORTS_PER_CELL)
    results = {}
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        cells = {pool.submit(run_cell, row, column, options.seed, ports): (row, column)
                 for row in rows for column in columns}
        for done in concurrent.futures.as_completed(cells):
            results[cells[done]] = done.result()
    print_table(rows, columns, results)
    failed = {cell: result for cell, result in sorted(results.items()) if result[0]}
    for (row, column), (problems, folder) in failed.items():
        print("\n%s under %s (seed %d, logs in %s):" % (row, column, options.seed, folder))
        for problem in problems[:8]:
            print("  " + problem)
        if len(problems) > 8:
            print("  and %d more" % (len(problems) - 8))
    print("\nfaults: %d passed, %d failed after %.0f s" % (
        len(results) - len(failed), len(failed), time.monotonic() - started))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
