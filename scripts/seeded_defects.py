#!/usr/bin/env python3
"""Seeds each defect of tests/defects/defects.json in a copy of the tree and expects its test to fail.

Usage: scripts/seeded_defects.py FOLDER [NAME ...]   (FOLDER is for the copy; it is made anew)
Prints one line a defect; exit status 1 if a test did not see its defect.
"""
import json
import shutil
import subprocess
import sys
from pathlib import Path


def quiet(command, folder):
    return subprocess.run(command, cwd=folder, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)


def main():
    source = Path(__file__).resolve().parent.parent
    copy = Path(sys.argv[1])
    wanted = set(sys.argv[2:])
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(source, copy, ignore=shutil.ignore_patterns("build*", ".git"))
    quiet(["cmake", "-G", "Ninja", "-B", "build"], copy)
    unseen = 0
    for defect in json.loads((source / "tests/defects/defects.json").read_text()):
        if wanted and defect["name"] not in wanted:
            continue
        path = copy / defect["file"]
        good = path.read_text()
        if defect["find"] not in good:
            print(f"{defect['name']}: its place is not in {defect['file']}", flush=True)
            unseen += 1
            continue
        path.write_text(good.replace(defect["find"], defect["replace"], 1))
        target = "all" if defect["test"].startswith("scenario_") else defect["test"]
        built = quiet(["cmake", "--build", "build", "--target", target], copy)
        test = quiet(["ctest", "--test-dir", "build", "-R", f"^{defect['test']}$", "--timeout", "200"], copy)
        path.write_text(good)
        seen = built.returncode == 0 and test.returncode != 0
        unseen += 0 if seen else 1
        state = "seen" if seen else ("does not build" if built.returncode else "NOT SEEN")
        print(f"{defect['name']}: {state} by {defect['test']}", flush=True)
    sys.exit(1 if unseen else 0)


main()
