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
        self.place = tempfile.mkdtemp(prefix="tidy-")
        self.addCleanup(shutil.rmtree, self.place)
        self.environment = {**os.environ, "XDG_CACHE_HOME": os.path.join(self.place, "caches")}
        self.folder = os.path.join(self.place, "tree")
        os.makedirs(self.folder)
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
        flags = flags.replace("ROOT", self.folder)
        rows = [{"directory": self.folder, "file": f"{self.folder}/libs/{name}",
                 "command": f"g++ -g -std=gnu++20 {flags} -o {name}.o -c {self.folder}/libs/{name}"}
                for name in ("first.cpp", "second.cpp", "other.cpp")]
        with open(os.path.join(self.folder, "build", "compile_commands.json"), "w", encoding="utf-8") as file:
            json.dump(rows, file)

    def move_to(self, path, flags=""):
        """Goes on in a copy of the tree at another path."""
        shutil.copytree(self.folder, os.path.join(self.place, path))
        self.folder = os.path.join(self.place, path)
        self.set_flags(flags)

    def run_tidy(self):
        """Returns (exit code, number of unchanged files, number of files with findings, output)."""
        ran = subprocess.run([sys.executable, os.path.join(ROOT, "scripts", "tidy.py"), "--jobs", "3",
                              "libs/first.cpp", "libs/second.cpp", "libs/other.cpp"],
                             cwd=self.folder, env=self.environment, capture_output=True, text=True)
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

    def test_fault_in_a_header_is_found_in_another_folder(self):
        """Guards against a clone that passes over a fault because an older clone was clean."""
        self.run_tidy()
        self.move_to("clone")
        self.assertEqual(self.run_tidy()[:3], (0, 3, 0))
        self.write("shared.h", FAULTY_HEADER)
        for folder in ("clone", "second-clone"):  # nor is a finding passed on
            code, unchanged, findings, output = self.run_tidy()
            self.assertEqual((code, unchanged, findings), (1, 1, 2), folder)
            self.assertRegex(output, rf"{folder}/libs/shared\.h:3:1: error: .*Twice_Of.*\[readability-identifier-naming")
            if folder == "clone":
                self.move_to("second-clone")
        self.environment["XDG_CACHE_HOME"] = os.path.join(self.place, "empty")
        self.assertEqual(self.run_tidy()[:3], (1, 0, 2))
        self.write("shared.h", CLEAN_HEADER)
        self.assertEqual(self.run_tidy()[:3], (0, 1, 0))

    def test_folder_that_the_filter_of_headers_matches_has_findings_of_its_own(self):
        """Guards against headers that are checked in one folder and pass as clean from another one."""
        os.makedirs(os.path.join(self.folder, "other"))
        self.write("../other/odd.h", FAULTY_HEADER)
        self.write("shared.h", CLEAN_HEADER.replace("once\n", 'once\n#include "odd.h"\n'))
        self.set_flags("-IROOT/other")
        self.assertEqual(self.run_tidy()[:3], (0, 0, 0))
        self.assertEqual(self.run_tidy()[:3], (0, 3, 0))
        self.move_to("apps/tree", "-IROOT/other")
        self.assertEqual(self.run_tidy()[:3], (1, 0, 2))

    def test_cache_is_in_the_build_folder_where_the_other_cannot_be_written(self):
        self.write("file", "")
        self.environment["XDG_CACHE_HOME"] = os.path.join(self.folder, "libs", "file")
        self.assertEqual(self.run_tidy()[:3], (0, 0, 0))
        self.assertEqual(self.run_tidy()[:3], (0, 3, 0))
        self.assertEqual(3, len(os.listdir(os.path.join(self.folder, "build", "tidy-cache"))))

    def test_file_that_is_edited_while_it_is_checked_is_checked_again(self):
        """Guards against a fault that counts as clean because it was mended while clang-tidy began."""
        program = os.path.join(self.place, "clang-tidy")
        with open(program, "w", encoding="utf-8") as file:
            file.write(f'#!/bin/sh\n[ "$MEND" = "" ] || [ "$1" = --version ] || {{ cp clean.h $$; mv $$ libs/shared.h; }}\n'
                       f'exec {shutil.which("clang-tidy")} "$@"\n')
        os.chmod(program, 0o755)
        self.environment["PATH"] = self.place + os.pathsep + os.environ["PATH"]
        self.write("../clean.h", CLEAN_HEADER)
        for mend, result in (("1", (0, 0, 0)), ("", (1, 1, 2))):
            self.write("shared.h", FAULTY_HEADER)
            self.environment["MEND"] = mend
            self.assertEqual(self.run_tidy()[:3], result)

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
