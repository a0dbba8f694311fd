#!/usr/bin/env python3
"""Sums up the "job ended" lines of an owner's log: where the time of jobs went, by queue.

Reads lines from files or standard input; a line may have text before its JSON.
"""
import fileinput
import json
import sys
from collections import defaultdict


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0


def entries():
    for line in fileinput.input(errors="replace"):
        start = line.find("{")
        if start < 0 or '"job ended"' not in line:
            continue
        try:
            yield json.loads(line[start:])
        except json.JSONDecodeError as error:
            print(f"line {fileinput.lineno()} can't be read: {error}", file=sys.stderr)


def describe(label, values):
    points = " ".join(f"p{int(share * 100)} {percentile(values, share)}" for share in (0.5, 0.9, 0.99))
    print(f"    {label:<22} mean {sum(values) / max(1, len(values)):8.0f}  {points}")


def main():
    queues = defaultdict(list)
    for entry in entries():
        queues[(entry["queue"], entry["status"])].append(entry)
    for (queue, status), jobs in sorted(queues.items()):
        print(f"{queue} {status}: {len(jobs)} jobs")
        describe("took, ms", [job["tookMs"] for job in jobs])
        for fills in (False, True):
            steps = [step for job in jobs for step in job["steps"] if step["fills"] == fills]
            if not steps:
                continue
            print(f"  {'steps that fill' if fills else 'firm steps'}: {len(steps)}")
            for name in ("declaredMs", "waitMs", "spreadMs", "lastRunMs", "failures", "repeats"):
                describe(name, [step[name] for step in steps])


if __name__ == "__main__":
    main()
