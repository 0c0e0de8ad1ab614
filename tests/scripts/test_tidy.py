"""Tests of scripts/tidy.py: a clean result is used again only for the same content."""

import json
import os
import re
import shutil
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
CLEAN_HEADER = "#pragma once\ninline int\ntwice(int aValue)\n{\n  return 2 * aValue;\n}\n"
FAULTY_HEADER = CLEAN_HEADER.replace("twice", "Twice_Of")
USER = '#include "shared.h"\nint\nuse%d(int aValue)\n{\n  return aValue;\n}\n'


class TidyCache(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.mkdtemp(prefix="tidy-")
        self.addCleanup(shutil.rmtree, self.folder)
        shutil.copy(os.path.join(ROOT, ".clang-tidy"), self.folder)
        os.makedirs(os.path.join(self.folder, "libs"))
        os.makedirs(os.path.join(self.folder, "build"))
        self.write("shared.h", CLEAN_HEADER)
        self.write("first.cpp", USER % 1)
        self.write("second.cpp", USER % 2)
        self.write("other.cpp", "int\nother()\n{\n  return 0;\n}\n")
        self.set_flags("")

    def write(self, name, text):
        with open(os.path.join(self.folder, "libs", name), "w", encoding="utf-8") as file:
            file.write(text)

    def set_flags(self, flags):
        rows = [{"directory": self.folder, "file": f"{self.folder}/libs/{name}",
                 "command": f"g++ -g -std=gnu++20 {flags} -o {name}.o -c {self.folder}/libs/{name}"}
                for name in ("first.cpp", "second.cpp", "other.cpp")]
        with open(os.path.join(self.folder, "build", "compile_commands.json"), "w", encoding="utf-8") as file:
            json.dump(rows, file)

    def run_tidy(self):
        """Returns (exit code, number of unchanged files, number of files with findings, output)."""
        ran = subprocess.run([sys.executable, os.path.join(ROOT, "scripts", "tidy.py"), "--jobs", "3",
                              "libs/first.cpp", "libs/second.cpp", "libs/other.cpp"],
                             cwd=self.folder, capture_output=True, text=True)
        closing = re.search(r"3 files, (\d+) unchanged since a clean check, (\d+) with findings", ran.stdout)
        self.assertTrue(closing, ran.stdout + ran.stderr)
        return ran.returncode, int(closing.group(1)), int(closing.group(2)), ran.stdout

    def test_unchanged_files_are_checked_once(self):
        self.assertEqual(self.run_tidy()[:3], (0, 0, 0))
        self.assertEqual(self.run_tidy()[:3], (0, 3, 0))

    def test_fault_in_a_header_is_found_in_each_file_that_includes_it(self):
        self.run_tidy()
        self.write("shared.h", FAULTY_HEADER)
        for _ in range(2):  # a finding is never taken from the cache
            code, unchanged, findings, output = self.run_tidy()
            self.assertEqual((code, unchanged, findings), (1, 1, 2))
            self.assertRegex(output, r"shared\.h:3:1: error: .*Twice_Of.*\[readability-identifier-naming")
        self.write("shared.h", CLEAN_HEADER)
        self.assertEqual(self.run_tidy()[:3], (0, 3, 0))

    def test_comments_flags_and_rules_count(self):
        self.write("shared.h", FAULTY_HEADER.replace("int aValue)", "int aValue) // NOLINT").replace(
            "Twice_Of", "// NOLINTNEXTLINE\nTwice_Of"))
        self.assertEqual(self.run_tidy()[:3], (0, 0, 0))
        self.write("shared.h", FAULTY_HEADER)
        self.assertEqual(self.run_tidy()[:3], (1, 1, 2))
        self.write("shared.h", CLEAN_HEADER)
        self.assertEqual(self.run_tidy()[:3], (0, 1, 0))
        for comment in ("", " // NOLINT"):
            self.write("shared.h", CLEAN_HEADER + f"#define SHARED_LIMIT 3{comment}\n")
            self.assertEqual(self.run_tidy()[:3], (0, 1, 0))
        self.write("shared.h", CLEAN_HEADER)
        self.set_flags("-DOTHER")
        self.assertEqual(self.run_tidy()[:3], (0, 0, 0))
        with open(os.path.join(self.folder, ".clang-tidy"), "a", encoding="utf-8") as file:
            file.write("  - { key: readability-identifier-naming.GlobalVariableCase, value: camelBack }\n")
        self.assertEqual(self.run_tidy()[:3], (0, 0, 0))

    def test_pasted_tokens_with_comments_are_preprocessed(self):
        os.makedirs(os.path.join(self.folder, "other"))
        self.write("../other/joined.h", "#define FIRST first /* c */\n#define PASTE(a, b) a##b\n"
                   "#define JOINED(a, b) PASTE(a, b)\nint JOINED(FIRST, Of)();\n")
        self.write("shared.h", CLEAN_HEADER.replace("once\n", f'once\n#include "{self.folder}/other/joined.h"\n'))
        first = self.run_tidy()
        self.assertEqual((0, 0, 0), first[:3], first[3])
        self.assertEqual(self.run_tidy()[:3], (0, 3, 0))

    def test_file_without_a_compile_command_fails(self):
        os.remove(os.path.join(self.folder, "build", "compile_commands.json"))
        with open(os.path.join(self.folder, "build", "compile_commands.json"), "w", encoding="utf-8") as file:
            file.write("[]")
        self.assertEqual(self.run_tidy()[:3], (1, 0, 3))


if __name__ == "__main__":
    unittest.main()
