"""What the record of a play shows of broken rules."""

import collections
import json

from stand_ins import harness

CANCEL_S = 3.0
STOP_S = 0.4


def rows(path):
    with open(path, encoding="utf-8") as lines:
        return [json.loads(line) for line in lines]


def broken_rules(path, jobs):
    found = [f"two runs at once: {pair}" for pair in harness.overlapping_runs(path)]
    record = rows(path)
    unnoted = ends_before_a_lapse(record)
    found += [f"start after a noted end: {start}" for start in harness.starts_after_noted_done(path)
              if (start["task"], *start["done"][1:]) not in unnoted]
    return found + starts_out_of_order(record, jobs) + starts_after_cancelling(record, jobs)


def ends_before_a_lapse(record):
    """Ends that don't count as noted: the minion's lease lapsed before they were acknowledged."""
    return {(task, row["minion"], row["life"], run) for row in record if row["event"] == "lease-over"
            for task, run in row["ends"]}


def starts_out_of_order(record, jobs):
    """Starts of a step before all tasks of the steps that it waits for have ended `done`."""
    done = collections.defaultdict(set)
    found = []
    for row in record:
        if row["event"] == "run-ended" and row["how"] == "done":
            job, _, step, index = row["task"].split(".")
            done[job, int(step)].add(index)
        elif row["event"] == "run-started":
            job, _, step, _ = row["task"].split(".")
            if job not in jobs:
                found.append(f"start that nobody asked for: {row}")
                continue
            steps = jobs[job]["steps"]
            for earlier in steps[int(step)].get("after", []):
                if len(done[job, earlier]) < steps[earlier]["count"]:
                    found.append(f"start before step {earlier} was done: {row}")
    return found


def starts_after_cancelling(record, jobs):
    """Starts of a cancelled job once the time for cancelling is over, while there are no faults."""
    calm = next((row["t"] for row in record if row["event"] == "calm"), None)
    found = []
    if calm is None:
        return found
    late = {(row["task"], row["run"]) for row in late_orders(record)}
    for row in record:
        if row["event"] != "run-started" or (row["task"], row["run"]) in late:
            continue
        acked = jobs.get(row["task"].split(".")[0], {}).get("cancel_acked")
        if acked is not None and row["t"] > max(acked, calm + CANCEL_S) + CANCEL_S:
            found.append(f"start of a job that was cancelled at {acked:.3f}: {row}")
    return found


def late_orders(record):
    return [json.loads(row["body"]) for row in record if row["event"] == "order-delayed"]


def counts(path):
    record = rows(path)
    events = collections.Counter(row["event"] for row in record)
    profile = next((row["profile"] for row in record if row["event"] == "profile"), None)
    return {"profile": profile, "starts": events["run-started"], "expired": events["entry-expired"],
            "frozen": events["node-frozen"], "nodes_ended": events["node-signalled"],
            "paused": events["minion-paused"], "restarted": events["minion-down"],
            "leases_shortened": events["lease-shortened"],
            "refused": events["refused"], "late": events["executed-late"],
            "store_faults": events["store-down"] + events["store-slow"] + events["store-lossy"]}
