#!/usr/bin/env python3
"""Works docs/CAPACITY.md out from the results that bench/run_all.sh measured.

Usage: capacity.py RESULTS_FOLDER > docs/CAPACITY.md
"""
import json
import sys
from pathlib import Path

# The users' target.
WORKERS = 13_000
TASKS = 95_000 + 240_000
STARTS_PER_S = 2_400
JOBS_PER_DAY = 210_000
DOMAINS = 14
TEAMS = 520
CHANGES_PER_DAY = 5_100
REPLACED_PER_DAY = 1_400
STORE_READS_PER_S = 2_000
STORE_WRITES_PER_S = 300  # the low end of "several hundred"
NODE_CORE_SHARE = 0.036
NODE_MEMORY_MB = 64
NODE_BYTES_PER_S = 6_000
URGENT_LIMIT_S = 8.8
CONFIG_LIMIT_S = 13

# The settings at the target; those that differ from the defaults are named on the page.
CELLS_PER_DOMAIN = 4
ENTRY_HOSTS = 8
COMMIT_INTERVAL_S = 0.5
SYNC_INTERVAL_S = 1.0
POLLS_PER_S = 2.0
SNAPSHOT_AFTER = 256
SNAPSHOT_PART_BYTES = 512 * 1024
STORE_LEASE_S = 4.0
RENEW_S = 1.0
TAKEOVER_GRACE_S = 2.0
TASK_LEASE_S = 6.0
CLOCK_MARGIN_S = 1.0
SILENCE_S = 2.0
HTTP_HEADER_BYTES = 260
DAY_S = 86_400


def load(folder):
    results = {}
    for name in ("placement", "config", "routing"):
        data = json.loads((folder / f"{name}.json").read_text())
        for item in data["benchmarks"]:
            results[item["name"]] = item
    return results, [json.loads((folder / f"steady_{rate}.json").read_text()) for rate in (500, 1000, 2000)]


def seconds(item):
    return item["cpu_time"] * {"ns": 1e-9, "us": 1e-6, "ms": 1e-3}[item["time_unit"]]


def slope(points):
    """Least-squares slope and intercept of (x, y) points."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points)
    run = sum((x - mean_x) ** 2 for x, _ in points)
    return rise / run, mean_y - rise / run * mean_x


def fits(good):
    return "fits" if good else "**does not fit**"


def table(header, rows):
    print("| " + " | ".join(header) + " |")
    print("|" + "---|" * len(header))
    for row in rows:
        print("| " + " | ".join(str(cell) for cell in row) + " |")
    print()


def main():
    results, steady = load(Path(sys.argv[1]))
    cells = DOMAINS * CELLS_PER_DOMAIN
    tasks_per_worker = TASKS / WORKERS
    exchange = [(n, seconds(results[f"exchangeWithWorker/{n}"])) for n in (1, 8, 26, 60)]
    exchange_s, exchange_base_s = slope(exchange)
    exchange_bytes, exchange_base_bytes = slope([(n, results[f"exchangeWithWorker/{n}"]["bytes"]) for n in (1, 8, 26, 60)])
    decide_s = exchange_base_s + exchange_s * tasks_per_worker
    worker_bytes = exchange_base_bytes + exchange_bytes * tasks_per_worker + HTTP_HEADER_BYTES
    gateway_s, gateway_base_s = slope([(d["loads"]["callers"]["requests"] / 2, d["processes"]["gateway-0"]["cpuSeconds"]) for d in steady])
    worker_cpu = max(d["processes"]["worker-0"]["cpuSeconds"] / d["seconds"] for d in steady)
    worker_mb = max(d["processes"]["worker-0"]["residentKb"] for d in steady) / 1024
    gateway_mb = max(d["processes"]["gateway-0"]["residentKb"] for d in steady) / 1024
    scheduler_mb = max(d["processes"]["scheduler-0"]["residentKb"] for d in steady) / 1024
    entry_bytes = results["encodeEntry/100"]["bytes_per_job"]
    task_memory = results["recoverCell/20000"]["memory_bytes_per_task"]
    task_snapshot = results["recoverCell/20000"]["snapshot_bytes_per_task"]
    recover_s, _ = slope([(n, seconds(results[f"recoverCell/{n}"])) for n in (500, 5000, 20000)])
    change_s, change_base_s = slope([(n, seconds(results[f"takeChange/{n}"])) for n in (10, 100, 520)])
    plan_rate = results["planStartsOfBatch/232"]["starts_per_s"]

    jobs_held = TASKS + JOBS_PER_DAY
    per_cell = jobs_held / cells
    entries_per_s = cells / COMMIT_INTERVAL_S
    snapshots_per_s = entries_per_s / SNAPSHOT_AFTER
    parts = per_cell * task_snapshot / SNAPSHOT_PART_BYTES
    snapshot_writes = snapshots_per_s * (2 * parts + 1)
    lease_writes = ENTRY_HOSTS / RENEW_S
    writes = 2 * entries_per_s + snapshot_writes + lease_writes
    processes = 2 * ENTRY_HOSTS
    reads = 2 * POLLS_PER_S * processes + ENTRY_HOSTS / RENEW_S + entries_per_s + snapshots_per_s * 2
    takeover_s = STORE_LEASE_S + RENEW_S + TAKEOVER_GRACE_S + per_cell * recover_s
    start_s = 2 * COMMIT_INTERVAL_S + 0.1
    http_s = gateway_s / 2  # a gateway's request is one exchange in and one out
    sync_cores = WORKERS / SYNC_INTERVAL_S * (decide_s + http_s)

    print("# Capacity at the target\n")
    print("Written by `bench/capacity.py` from what `bench/run_all.sh` measured (its output is in `bench/results/`);")
    print("run the latter to make every figure again. One machine, loopback, stand-ins: figures are slopes, taken at")
    print("three or more sizes and carried on in a straight line to the target.\n")
    print("The jobs of steps and tasks on the users' platform have one owner; its slopes stand in docs/MEASUREMENTS.md and do not carry to")
    print("the target: 490 workers take 0.276 of a core, so that 13,000 workers need cells, as the scheduler below has them.\n")
    print(f"Target: {WORKERS:,} workers, {TASKS:,} tasks running ({tasks_per_worker:.1f} a worker), {STARTS_PER_S:,} starts a")
    print(f"second, {JOBS_PER_DAY:,} jobs a day, {DOMAINS} failure domains, {TEAMS} teams, {CHANGES_PER_DAY:,} config changes a day.")
    print(f"Settings at the target: {CELLS_PER_DOMAIN} cells a failure domain ({cells} cells of {WORKERS / cells:.0f} workers), {ENTRY_HOSTS} entry hosts")
    print(f"({cells / ENTRY_HOSTS:.0f} cells each), `commitIntervalMs` {COMMIT_INTERVAL_S * 1000:.0f}; all else as by default.\n")

    print("Not measured, and taken as given here: 600 bytes and 0.14 ms for a poll of the store, 260 bytes of HTTP headers, the")
    print("platform's own cost, a worker's cost at 26 tasks (the steady loads had fewer), and everything under Times and Losses,")
    print("which is worked out from settings. The results in `bench/results/` were taken before minions reported their busy count")
    print("and before silent workers got no more time; run the command again for figures of the present code.\n")
    print("## Slopes\n")
    table(("slope", "value", "command", "sizes"), (
        ("exchange with a worker, decisions and JSON", f"{exchange_base_s * 1e6:.1f} us + {exchange_s * 1e6:.2f} us a task", "placement_bench exchangeWithWorker", "1, 8, 26, 60 tasks"),
        ("bytes of an exchange, both ways, without HTTP headers", f"{exchange_base_bytes:.0f} + {exchange_bytes:.0f} a task", "placement_bench exchangeWithWorker", "1, 8, 26, 60 tasks"),
        ("starts planned a second a core", f"{plan_rate:,.0f} at 232 workers", "placement_bench planStartsOfBatch", "60, 232, 930, 13,000 workers"),
        ("journal bytes of a job's whole life", f"{entry_bytes:.0f}", "placement_bench encodeEntry", "1, 10, 100 jobs"),
        ("recovery of a cell", f"{recover_s * 1e6:.1f} us a task", "placement_bench recoverCell", "500, 5,000, 20,000 tasks"),
        ("a task in a snapshot, in memory", f"{task_snapshot:.0f} bytes, {task_memory:.0f} bytes", "placement_bench recoverCell", "500, 5,000, 20,000 tasks"),
        ("taking a config change up", f"{change_base_s * 1e6:.0f} us + {change_s * 1e6:.1f} us a team", "config_bench takeChange", "10, 100, 520 teams"),
        ("a gateway's request", f"{gateway_s * 1e6:.0f} us of processor time", "scenario-runner bench/steady_*.json", "500, 1,000, 2,000 requests a second"),
    ))

    print("## Roles\n")
    table(("role", "state", "messages", "processor", "memory", "mechanism", "verdict"), (
        ("gateway", f"{results['chooseAndRecord/least_loaded/500']['memory_bytes_per_minion']:.0f} bytes a minion, config, host list", "one exchange each way a request; 4 store reads a second", f"{1 / gateway_s:,.0f} requests a second a core", f"{gateway_mb:.0f} MB + connections", "local counts, no talk between gateways for a request", "fits; the request rate at the target is not given"),
        ("scheduler", f"{jobs_held / ENTRY_HOSTS:,.0f} jobs", f"{WORKERS / ENTRY_HOSTS / SYNC_INTERVAL_S:,.0f} exchanges a second", f"{sync_cores / ENTRY_HOSTS:.2f} cores for exchanges, {STARTS_PER_S / ENTRY_HOSTS / plan_rate * 100:.1f}% of a core for planning", f"{scheduler_mb + jobs_held / ENTRY_HOSTS * task_memory / 1e6:.0f} MB", "cells owned by lease, journal with group commit", fits(sync_cores / ENTRY_HOSTS < 1)),
        ("config reader (every process)", f"{results['takeChange/520']['document_bytes'] / 1000:.0f} KB document", f"{POLLS_PER_S:.0f} reads a second; {CHANGES_PER_DAY / DAY_S:.2f} changes a second", f"{(change_base_s + change_s * TEAMS) * CHANGES_PER_DAY / DAY_S * 100:.4f}% of a core", "in the process's", "next entry read as absent; peers in an outage", fits(True)),
        ("almondctl", "none", "3 to 6 store calls a patch (counted in the code)", "not measured", "not measured", "write of version n+1 only if absent", fits(True)),
        ("store", f"{jobs_held * task_snapshot / 1e6:.0f} MB of snapshots, {SNAPSHOT_AFTER * cells:,} entries", f"{writes:.0f} writes, {reads:.0f} reads a second at the peak", "the platform's", "the platform's", "see below", fits(writes <= STORE_WRITES_PER_S and reads <= STORE_READS_PER_S)),
        ("minion side", "none of ours", "one header a request", "-", "-", "refusals by header", fits(True)),
        ("worker side (stand-in)", f"{tasks_per_worker:.0f} tasks", f"{worker_bytes / SYNC_INTERVAL_S / 1000:.1f} KB a second", f"{worker_cpu * 100:.2f}% of a core at few tasks", f"{worker_mb:.0f} MB", "one exchange a second carries leases, starts, stops and reports of all tasks", fits(worker_bytes / SYNC_INTERVAL_S <= NODE_BYTES_PER_S)),
    ))

    print("## What a node may spend\n")
    print(f"Limits: {NODE_CORE_SHARE * 100:.1f}% of a core, {NODE_MEMORY_MB} MB, {NODE_BYTES_PER_S / 1000:.0f} KB a second. Two readings:\n")
    entry_control = 2 * POLLS_PER_S * 600
    table(("reading", "core", "memory", "bytes a second", "verdict"), (
        ("a worker host", f"{worker_cpu * 100:.2f}%", f"{worker_mb:.0f} MB", f"{worker_bytes / SYNC_INTERVAL_S:,.0f}", fits(worker_cpu <= NODE_CORE_SHARE and worker_mb <= NODE_MEMORY_MB and worker_bytes <= NODE_BYTES_PER_S)),
        ("a worker host with 60 tasks", "as above", "as above", f"{exchange_base_bytes + 60 * exchange_bytes + HTTP_HEADER_BYTES:,.0f}", fits(exchange_base_bytes + 60 * exchange_bytes + HTTP_HEADER_BYTES <= NODE_BYTES_PER_S) + ": reports of changes only"),
        ("an entry host, gateway's control", f"{2 * POLLS_PER_S * 0.00014 * 100:.2f}%", f"{gateway_mb:.0f} MB", f"{entry_control:,.0f}", fits(gateway_mb <= NODE_MEMORY_MB and entry_control <= NODE_BYTES_PER_S)),
        ("an entry host, scheduler too", f"{sync_cores / ENTRY_HOSTS * 100:.0f}%", f"{scheduler_mb + gateway_mb + jobs_held / ENTRY_HOSTS * task_memory / 1e6:.0f} MB", f"{WORKERS / ENTRY_HOSTS * worker_bytes:,.0f}", fits(False) + f": {ENTRY_HOSTS} hosts can't hold {WORKERS:,} leases within it; it needs hosts in proportion, or a longer `syncIntervalMs` and reports of changes only"),
    ))

    print("## The store\n")
    print(f"Budget taken: {STORE_WRITES_PER_S} writes (the low end of several hundred) and {STORE_READS_PER_S:,} reads a second. No watch is")
    print("used: polls by range are the cheaper way to a view that is known to be fresh.\n")
    table(("calls a second at the peak", "writes", "reads"), (
        (f"journal entries: {cells} cells, one each {COMMIT_INTERVAL_S * 1000:.0f} ms, {STARTS_PER_S / entries_per_s:.0f} starts in each ({STARTS_PER_S / entries_per_s * entry_bytes / 1000:.1f} KB)", f"{entries_per_s:.0f}", f"{entries_per_s:.0f} (the head)"),
        ("removal of old entries, one call each", f"{entries_per_s:.0f}", "0"),
        (f"snapshots: {per_cell * task_snapshot / 1e6:.1f} MB a cell, one each {SNAPSHOT_AFTER} entries", f"{snapshot_writes:.0f}", f"{snapshots_per_s * 2:.0f}"),
        (f"leases and the view of owners, {ENTRY_HOSTS} schedulers", f"{lease_writes:.0f}", f"{ENTRY_HOSTS / RENEW_S:.0f}"),
        (f"config and host list, {processes} processes", "0", f"{2 * POLLS_PER_S * processes:.0f}"),
        ("sum", f"{writes:.0f}, {fits(writes <= STORE_WRITES_PER_S)}", f"{reads:.0f}, {fits(reads <= STORE_READS_PER_S)}"),
    ))
    fast = writes + 2 * entries_per_s
    print(f"With a commit each 250 ms the writes would be {fast:.0f}: {fits(fast <= STORE_WRITES_PER_S)} the low end. The removal of")
    print("old entries is the half to save: it can wait for quiet hours.\n")

    print("## Times\n")
    table(("what", "limit", "worked out", "verdict"), (
        ("a config change in force", f"{CONFIG_LIMIT_S} s", f"{1 / POLLS_PER_S:.1f} s poll + store; peers in an outage", fits(True)),
        ("an urgent start with room", f"{URGENT_LIMIT_S} s", f"{start_s:.1f} s (two commits and an exchange)", fits(start_s < URGENT_LIMIT_S)),
        ("an urgent start while its cell's owner dies", f"{URGENT_LIMIT_S} s", f"{takeover_s + start_s:.1f} s", fits(takeover_s + start_s < URGENT_LIMIT_S)),
        ("an urgent start in a full cell", f"{URGENT_LIMIT_S} s", f"{start_s + COMMIT_INTERVAL_S + 0.2:.1f} s (an eviction first; scenario urgent_work)", fits(start_s + COMMIT_INTERVAL_S + 0.2 < URGENT_LIMIT_S)),
        ("a dead owner's cells taken up", "-", f"{takeover_s:.1f} s (lease {STORE_LEASE_S:.0f}, renewal {RENEW_S:.0f}, grace {TAKEOVER_GRACE_S:.0f}, {per_cell * recover_s:.2f} to recover {per_cell:,.0f} jobs)", "-"),
        ("a dead worker's tasks queued again", "-", f"{SILENCE_S + TASK_LEASE_S + CLOCK_MARGIN_S + SYNC_INTERVAL_S:.0f} s", "-"),
        ("the same, owner and worker dead together", "-", "10 min (`detachedLimitMs`): an owner cut from the store may still renew", "**weak**: shorter only at the price of running tasks in long outages"),
    ))

    print("## Losses\n")
    per_domain = TASKS / DOMAINS
    table(("loss", "what follows at the target", "verdict"), (
        (f"{REPLACED_PER_DAY:,} hosts replaced a day", f"{REPLACED_PER_DAY / DAY_S * tasks_per_worker:.2f} tasks a second resume", fits(True)),
        ("a rack (40 workers)", f"{40 * tasks_per_worker:,.0f} tasks lapse together and start again in {40 * tasks_per_worker / (STARTS_PER_S / cells):.0f} s at one cell's share of the peak", fits(True)),
        ("a failure domain", f"{per_domain:,.0f} tasks lapse; they leave it once operators withdraw it, 200 a commit and cell: {per_domain / CELLS_PER_DOMAIN / 200 * COMMIT_INTERVAL_S:.0f} s", "**not measured**; without a withdrawal they wait for its workers"),
        ("a region's link", "schedulers without the store renew for 10 min and start nothing; the others take the cells and can't reach the workers, so nothing runs twice", "the cells start nothing new for that time"),
    ))

    print("## Quotas\n")
    print(f"Each cell holds quota/{cells} of each of {TEAMS} teams: {TEAMS * cells:,} slices, computed from the config, no state and no")
    print("messages. **Does not fit** uneven demand: a team can't use in one cell what it leaves in another, and a job larger")
    print("than the slice waits. Slices have to move between cells like jobs.")


main()
