"""Checks that docs/result-codes.md lists exactly the codes of libs/base/code.cpp."""

import os
import re
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def read(path):
    with open(os.path.join(ROOT, path), encoding="utf-8") as file:
        return file.read()


def main():
    numbers = dict(re.findall(r"  (\w+) = (\d+),", read("libs/base/code.h")))
    pattern = r'CodeInfo\{\s*Code::(\w+),\s*"([\w-]+)",\s*(\d+),\s*Outcome::(\w+)\s*\}'
    code = {(numbers[key], name, status)
            for key, name, status, _ in re.findall(pattern, read("libs/base/code.cpp"))}
    page = set(re.findall(r"^\| (\d+) \| ([\w-]+) \| (\d+) \|",
                          read("docs/result-codes.md"), re.MULTILINE))
    for row in sorted(code - page):
        print("docs/result-codes.md lacks", row)
    for row in sorted(page - code):
        print("docs/result-codes.md lists an unknown code", row)
    if len(code) != len(numbers):
        print("libs/base/code.cpp lacks a row for a code")
    return int(code != page or len(code) != len(numbers))


if __name__ == "__main__":
    sys.exit(main())
