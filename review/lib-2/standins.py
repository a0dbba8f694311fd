"""Stand-ins for the users' platform, minions and clients, and the programs under test, for the cases 6 to 10.

Everything listens on loopback addresses and uses the real clock. The stand-ins do what the users' pages say; where
a page is silent, they behave like a sound server. Only the standard library of Python is used.
"""

import asyncio
import base64
import bisect
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))

# Bounds of the site tichomer-ba.
CONTACT_S = 3.0
CANCEL_S = 3.0
VISIBLE_S = 3.0
MAX_HOLD_MS = 6000
STOP_S = 0.2  # at most stop_timeout_ms, 400
GANG_TIMEOUT_S = 3.0
CHECKPOINT_S = 0.5
RESTORE_S = 0.6
HEARTBEAT_S = 1.1
HEARTBEATS_MISSED = 3


class CannotRun(Exception):
    pass


FIRST_PORT, LAST_PORT, BLOCK = 26_000, 32_000, 100
block_guard = None  # held as long as this script runs, so that scripts that run at once have ports of their own
block_ports = iter(())


def free_port():
    """A free port, outside the ranges of outgoing connections and of the project's soak and scenarios."""
    global block_guard, block_ports
    if block_guard is None:
        blocks = list(range(FIRST_PORT, LAST_PORT, BLOCK))
        random.SystemRandom().shuffle(blocks)
        for first in blocks:
            block_guard = socket.socket()
            try:
                block_guard.bind(("127.0.0.1", first))
            except OSError:
                block_guard.close()
                continue
            block_ports = iter(range(first + 1, first + BLOCK))
            break
    for port in block_ports:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass
    raise CannotRun("no free ports")


class Record:
    """What was sent, answered and run, one line each, with the time since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def add(self, event, **fields):
        words = " ".join(f"{key}={json.dumps(value)}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {words}\n")
        self.file.flush()
        return self.now()


# ------------------------------------------------------------------------------------------------ HTTP


async def read_message(reader):
    """The first line, the headers and the body of a request or a response; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class HttpServer:
    """Serves one connection after the other request; `handle` returns (status, body) or None for no response."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def listen(self, port):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 22)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                values = {}
                for part in filter(None, query.split("&")):
                    key, _, value = part.partition("=")
                    values[key] = unquote(value)
                answer = await self.handle(method, path, values, headers, body)
                if answer is None:
                    return
                status, content = answer
                text = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def unquote(text):
    out = bytearray()
    index = 0
    while index < len(text):
        if text[index] == "%":
            out.append(int(text[index + 1:index + 3], 16))
            index += 3
        else:
            out += text[index].encode()
            index += 1
    return out.decode()


async def call(port, method, path, body=None, headers=None, timeout=3.0):
    """One request on a new connection. (status, body), or None without a complete response in time."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
        text = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(text)}", "Content-Type: application/json"]
        lines += [f"{key}: {value}" for key, value in (headers or {"Host": f"127.0.0.1:{port}"}).items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
        message = await read_message(reader)
        if message is None:
            return None
        line, _, content = message
        try:
            return int(line.split(" ")[1]), json.loads(content or b"null")
        except ValueError:
            return int(line.split(" ")[1]), None

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer:
            writer.close()


# ------------------------------------------------------------------------------------------------ the platform


class Store:
    """The platform's metadata store: items, leases, watches, transactions."""

    PAGE_ITEMS = 500
    PAGE_BYTES = 900_000

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.sorted_keys = None
        self.revision = 100
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        self.port = free_port()
        self.expiry = None

    async def start(self):
        await self.http.listen(self.port)
        self.expiry = asyncio.create_task(self._expire())

    def close(self):
        if self.expiry:
            self.expiry.cancel()
        self.http.close()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, state in list(self.leases.items()):
                if time.monotonic() >= state["until"]:
                    self.end_lease(lease)

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _set(self, revision, key, value, lease):
        old = self.items.get(key)
        if not old:
            self.sorted_keys = None
        item = {"key": key, "value": value, "revision": revision,
                "created": old["created"] if old else revision, "lease": lease}
        self.items[key] = item
        self._note(dict(item))

    def _remove(self, revision, key):
        if self.items.pop(key, None) is not None:
            self.sorted_keys = None
            self._note({"key": key, "revision": revision, "removed": True})

    def put(self, key, value):
        """A write of the operator or of a minion."""
        self.revision += 1
        self._set(self.revision, key, base64.b64encode(json.dumps(value).encode()).decode(), 0)

    def restore(self, items):
        """Items that were written before the script began, in the order of their revisions."""
        for key, value in items:
            self.revision += 1
            self.items[key] = {"key": key, "value": value, "revision": self.revision, "created": self.revision,
                               "lease": 0}
        self.sorted_keys = None

    def remove(self, key):
        self.revision += 1
        self._remove(self.revision, key)

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]).decode() if item else None

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self._remove(self.revision, key)

    async def handle(self, method, path, query, headers, body):
        if path == "/kv-watch":
            return await self._watch(query)
        return self.execute(method, path, query, json.loads(body) if body else {})

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [event for event in self.history
                      if event["revision"] > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def execute(self, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "as_of": self.revision}) if item else (404, {"as_of": self.revision})
        if path == "/kv-range":
            return 200, self._page(query["prefix"], query.get("after", ""))
        if path == "/kv-lease":
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = {"ttl": body["ttl_ms"], "until": time.monotonic() + body["ttl_ms"] / 1000}
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if path.startswith("/kv-keep/"):
            state = self.leases.get(int(path.rsplit("/", 1)[1]))
            if not state:
                return 404, {}
            state["until"] = time.monotonic() + state["ttl"] / 1000
            return 200, {"ttl_ms": state["ttl"]}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/kv-txn":
            return self._transact(body)
        return 404, {}

    def _page(self, prefix, after):
        if self.sorted_keys is None:
            self.sorted_keys = sorted(self.items)
        place = max(bisect.bisect_left(self.sorted_keys, prefix), bisect.bisect_right(self.sorted_keys, after))
        items, size = [], 0
        while place < len(self.sorted_keys) and self.sorted_keys[place].startswith(prefix):
            if len(items) == self.PAGE_ITEMS or size > self.PAGE_BYTES:
                return {"items": items, "has_more": True, "as_of": self.revision}
            items.append(self.items[self.sorted_keys[place]])
            size += len(items[-1]["value"])
            place += 1
        return {"items": items, "has_more": False, "as_of": self.revision}

    def _transact(self, body):
        puts, removals = body.get("set_keys", []), body.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in [put["key"] for put in puts] + removals):
            return 403, {}
        expected = body.get("expected_rev", [])
        if any(self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"] for row in expected):
            return 412, {"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self._set(self.revision, put["key"], put["value"], put.get("lease", 0))
        for key in removals:
            self._remove(self.revision, key)
        return 200, {"revision": self.revision}


# ------------------------------------------------------------------------------------------------ minions


class Run:
    def __init__(self, task, number, checkpoint):
        self.task = task
        self.number = number
        self.job, self.occurrence, self.step, self.index = task.split(".")
        self.start_value = checkpoint  # what the start order carried
        self.saved = checkpoint
        self.done_ms = int(checkpoint[:8], 16) if checkpoint else 0  # progress at the start
        self.begun = None  # when it began to work, on the monotonic clock
        self.since = time.monotonic()
        self.percent = 100
        self.stopping = False
        self.timers = []


class Minion:
    """One minion that takes its orders by calls ("orders": "rpc")."""

    def __init__(self, deployment, number, labels, capacity, zone):
        self.deployment = deployment
        self.record = deployment.record
        self.id = f"i-{number:08x}"
        self.labels = labels
        self.capacity = capacity
        self.zone = zone
        self.port = free_port()
        self.http = HttpServer(self.handle)
        self.up = False
        self.dark = False
        self.sequence = 0
        self.fence = 0
        self.lease_until = 0
        self.running = {}
        self.highest = {}  # task -> highest run that was stopped or has ended here
        self.ended = []
        self.ended_count = 0
        self.end_seen = asyncio.Event()
        self.last_hold_at = 0.0
        self.booted = time.monotonic()
        self.born = int(time.time() * 1000)
        self.tasks = []

    async def start(self):
        self.up = True
        self.booted = time.monotonic() - 60
        await self.http.listen(self.port)
        self.tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._watch_lease())]

    def close(self):
        self.up = False
        for task in self.tasks:
            task.cancel()
        for run in self.running.values():
            for timer in run.timers:
                timer.cancel()
        self.http.close()

    def clock(self):
        return int((time.monotonic() - self.booted) * 1000)

    async def _beat(self):
        while self.up and not self.dark:
            self.sequence += 1
            self.deployment.store.put("servers/" + self.id, {
                "service": self.deployment.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "capacity": self.capacity,
                "labels": self.labels, "clock_ms": self.clock(), "sequence": self.sequence, "born": self.born})
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self):
        """Loses power for good: nothing runs, no connection is closed, nothing is answered any more."""
        self.record.add("minion-crashed", minion=self.id, running=[[r.task, r.number] for r in self.running.values()])
        self.dark = True
        for run in list(self.running.values()):
            self._end(run, "crashed")
        asyncio.get_running_loop().call_later(
            HEARTBEAT_S * HEARTBEATS_MISSED, lambda: self.deployment.store.remove("servers/" + self.id))

    # --- runs
    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            self.lapse()

    def lapse(self):
        if self.dark or self.clock() <= self.lease_until:
            return
        for run in list(self.running.values()):
            self._end(run, "lapsed")

    def step_of(self, run):
        return self.deployment.jobs[run.job]["steps"][int(run.step)]

    def _start(self, run):
        self.running[run.task] = run
        step = self.step_of(run)
        if step.get("gang"):
            self.deployment.gang_joined(self, run)
        else:
            self.begin(run)

    def begin(self, run):
        """The work of `run` begins, or goes on from the checkpoint that its start carried."""
        step = self.step_of(run)
        run.begun = time.monotonic() + (RESTORE_S if run.start_value else 0.0)
        if step.get("long_running"):
            return
        left_s = self.deployment.jobs[run.job]["seconds"] - run.done_ms / 1000
        loop = asyncio.get_running_loop()
        run.timers.append(loop.call_later(max(0.0, run.begun - time.monotonic() + left_s), self._end, run, "done"))

    def progress_ms(self, run):
        if run.begun is None:
            return run.done_ms
        return run.done_ms + max(0, int((time.monotonic() - run.begun) * 1000))

    def save(self, run):
        """The newest checkpoint: one is produced with each CHECKPOINT_S of work."""
        if not self.step_of(run).get("checkpointing"):
            return ""
        interval = int(CHECKPOINT_S * 1000)
        reached = self.progress_ms(run) // interval * interval
        if reached > run.done_ms:
            run.saved = f"{reached:08x}{run.job[:8]}"
        return run.saved

    def _end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        saved = self.save(run) if how != "done" else ""
        del self.running[run.task]
        for timer in run.timers:
            timer.cancel()
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.record.add("run-ended", minion=self.id, task=run.task, run=run.number, how=how, saved=saved)
        self.deployment.run_ended(self, run, how)
        if self.dark:
            return
        self.ended_count += 1
        self.ended.append([self.ended_count, run.task, run.number, how, saved])
        self.end_seen.set()
        self.end_seen = asyncio.Event()

    # --- calls
    async def handle(self, method, path, query, headers, body):
        if self.dark:
            await asyncio.sleep(3600)
        if path == "/healthz":
            return 200, {}
        expected = headers.get("almondpulley-expect-instance")
        if expected and expected != self.id:
            return 421, {"clock_ms": self.clock()}
        order = json.loads(body)
        self.lapse()
        token = order.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = token
        if path == "/run-start":
            return self._take_start(order)
        if path == "/run-stop":
            return self._take_stop(order)
        if path == "/pace":
            return 200, {"clock_ms": self.clock()}
        if path == "/hold":
            return await self._take_hold(order)
        return 404, {}

    def _extend(self, order):
        if "deadline_ms" in order:
            self.lease_until = max(self.lease_until, min(order["deadline_ms"], self.clock() + MAX_HOLD_MS))

    def _refuse(self, order, reason):
        self.record.add("start-refused", minion=self.id, task=order["task"], run=order["run"], reason=reason)
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def _take_start(self, order):
        task, number = order["task"], order["run"]
        present = self.running.get(task)
        if present and present.number == number:
            return 200, {"clock_ms": self.clock()}
        if order["deadline_ms"] <= self.clock():
            return self._refuse(order, "late")
        if number <= self.highest.get(task, 0) or (present and number < present.number):
            self._extend(order)
            return self._refuse(order, "old")
        self._extend(order)
        self.record.add("run-started", minion=self.id, task=task, run=number, fence=order["fencing_token"],
                        checkpoint=order.get("checkpoint", ""))
        self.deployment.starts.append((self.record.now(), task, number))
        self._start(Run(task, number, order.get("checkpoint", "")))
        return 200, {"clock_ms": self.clock()}

    def _take_stop(self, order):
        task, number = order["task"], order["run"]
        self.record.add("stop", minion=self.id, task=task, run=number)
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number <= number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")
        return 200, {"clock_ms": self.clock()}

    async def _take_hold(self, order):
        self._extend(order)
        self.ended = [row for row in self.ended if row[0] > order.get("ack_cursor", 0)]
        self.last_hold_at = time.monotonic()
        until = time.monotonic() + min(order.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.end_seen.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        if self.dark:
            await asyncio.sleep(3600)
        rows = []
        for run in self.running.values():
            working = run.begun is not None and time.monotonic() >= run.begun
            rows.append([run.task, run.number, self.save(run), 100 if working else 0, 0])
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": rows, "ended": self.ended[:500]}


# ------------------------------------------------------------------------------------------------ nodes


class Node:
    """One almond-node, started with the command of the deploy file and settings from its template."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.name = f"edge-{number}"
        self.zone = deployment.zones[number % len(deployment.zones)]
        self.front, self.readiness, self.peer, self.operator = (free_port() for _ in range(4))
        self.folder = os.path.join(deployment.folder, self.name)
        os.makedirs(self.folder)
        self.path = os.path.join(self.folder, "settings.json")
        self.process = None
        self.log = None

    def settings(self):
        with open(os.path.join(ROOT, self.deployment.template), encoding="utf-8") as source:
            text = source.read()
        values = {"node_name": self.name, "zone": self.zone, "listen.front": f"127.0.0.1:{self.front}",
                  "listen.readiness": f"127.0.0.1:{self.readiness}",
                  "{{ip}}:{{port_range.0}}": f"127.0.0.1:{self.peer}",
                  "{{ip}}:{{port_range.1}}": f"127.0.0.1:{self.operator}",
                  "platform.address": f"127.0.0.1:{self.deployment.store.port}", "limits.cpu_share": "0.25"}
        for key, value in values.items():
            text = text.replace(key if key.startswith("{{") else "{{" + key + "}}", value)
        if "{{" in text:
            raise CannotRun("the template of the settings has an unknown placeholder: " + text)
        return text

    async def start(self):
        with open(self.path, "w", encoding="utf-8") as out:
            out.write(self.settings())
        words = self.deployment.command.replace("/etc/almondpulley/settings.json", self.path).split()
        words[0] = os.path.join(ROOT, words[0])
        if not os.path.exists(words[0]):
            raise CannotRun("there is no program " + words[0])
        self.log = open(os.path.join(self.folder, "log.txt"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C.UTF-8",
                 "ALMONDPULLEY_BOOT": self.path})

    def signal(self, number):
        self.process.send_signal(number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            for number in (signal.SIGCONT, signal.SIGKILL):
                try:
                    self.process.send_signal(number)
                except ProcessLookupError:
                    pass
            await self.process.wait()
        if self.log:
            self.log.close()


def resident_mb(process):
    try:
        with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


class MemoryLimit:
    """The platform's limit: ends a process that exceeds its memory, and restarts it after a short delay."""

    LIMIT_MB = 260  # limits.memory_mb of the machines of tichomer-ba
    RESTART_DELAY_S = 1.0

    def __init__(self, deployment):
        self.deployment = deployment
        self.ends = {node.name: 0 for node in deployment.nodes}
        self.largest = 0.0
        self.tasks = [asyncio.create_task(self._watch(node)) for node in deployment.nodes]

    async def _watch(self, node):
        while True:
            await asyncio.sleep(0.01)
            used = resident_mb(node.process)
            self.largest = max(self.largest, used)
            if used <= self.LIMIT_MB:
                continue
            node.signal(signal.SIGKILL)
            await node.process.wait()
            self.ends[node.name] += 1
            self.deployment.record.add("memory-exceeded", node=node.name, used_mb=round(used, 1))
            node.log.close()
            await asyncio.sleep(self.RESTART_DELAY_S)
            await node.start()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Deployment:
    """A small deployment of the site tichomer-ba: one service, three zones."""

    def __init__(self, folder, nodes=3, minions=8, kinds=None):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="almond-review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as source:
            role = tomllib.load(source)["roles"]["node"]
        self.command, self.template = role["run"], role["template"]
        self.zones = ["sk-west-a", "sk-west-b", "sk-west-c"]
        self.service = "huvo11a"
        self.host, self.prefix = "nony24.example", "/lohu930/"
        self.store = Store(self.record)
        self.minions = [
            Minion(self, 0x1000 + number, [(kinds or {}).get(number, "a"), f"r{number % 2}-0"],
                   {"cpu": 32000, "mem_mb": 125000, "gpu": 0}, self.zones[number % 3]) for number in range(minions)]
        self.nodes = [Node(self, number) for number in range(nodes)]
        self.jobs = {}
        self.starts = []
        self.gangs = {}
        self.alone = []

    async def start(self):
        await self.store.start()
        self.store.put("op/config", {
            "version": 7, "routes": [{
                "name": "r-3hwrr6x", "host": self.host, "prefix": self.prefix, "kind": "non_idempotent",
                "timeout_ms": 3000, "target_duration_ms": 1000, "priority": 0, "service": self.service,
                "max_attempts": 4, "stretch": 2.0}],
            "services": [{"name": self.service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1",
                          "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0, "enforces_capacity": False,
                          "spare": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}})
        for minion in self.minions:
            await minion.start()
        for node in self.nodes:
            await node.start()
        until = time.monotonic() + 20
        for node in self.nodes:
            while True:
                answer = await call(node.readiness, "GET", "/readyz", timeout=1.0)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > until or node.process.returncode is not None:
                    raise CannotRun(f"{node.name} doesn't become ready")
                await asyncio.sleep(0.1)
        # The traffic starts some seconds after the machines.
        await asyncio.sleep(4.0)
        self.record.add("ready")

    def owner(self):
        """The node that owns the jobs, by its entry in the store."""
        address = self.store.value("almond/owner/present")
        for node in self.nodes:
            if address == f"127.0.0.1:{node.peer}":
                return node
        raise CannotRun("no node owns the jobs")

    # --- gangs
    def gang_joined(self, minion, run):
        key = (run.job, run.occurrence, run.step, run.number)
        members = self.gangs.setdefault(key, {})
        members[run.index] = (minion, run)
        loop = asyncio.get_running_loop()
        run.timers.append(loop.call_later(GANG_TIMEOUT_S, self._give_up_waiting, minion, run))
        values = {member.start_value for _, member in members.values()}
        # The members resume together from one checkpoint.
        if len(members) == minion.step_of(run)["count"] and len(values) == 1:
            self.record.add("gang-begins", job=run.job, run=run.number, checkpoint=run.start_value)
            for other, member in members.values():
                other.begin(member)

    def _give_up_waiting(self, minion, run):
        if run.begun is None and minion.running.get(run.task) is run:
            self.alone.append((self.record.now(), run.task, run.number))
            minion._end(run, "alone")

    def run_ended(self, minion, run, how):
        key = (run.job, run.occurrence, run.step, run.number)
        members = self.gangs.get(key)
        if not members or how == "alone":
            return
        members.pop(run.index, None)
        if run.begun is None or how == "done":
            return
        # Another member has ended: the others can't go on.
        for other, member in list(members.values()):
            asyncio.get_running_loop().call_soon(other._end, member, "broken")

    # --- clients
    def headers(self, deadline_s=3.0):
        return {"Host": self.host, "Almondpulley-Deadline-Ms": str(int(deadline_s * 1000))}

    async def request(self, node, method, job="", body=None, timeout=3.0):
        sent = self.record.add("request", node=node.name, method=method, job=job)
        answer = await call(node.front, method, self.prefix + job, body, self.headers(timeout), timeout)
        self.record.add("answer" if answer else "no-answer", node=node.name, method=method, job=job,
                        sent=round(sent, 3), status=answer and answer[0], body=answer and answer[1])
        return answer

    def job_body(self, job, steps, seconds):
        self.jobs[job] = {"steps": steps, "seconds": seconds}
        return {"spec": json.dumps({"job": job}), "steps": steps}

    async def submit(self, node, job, steps, seconds):
        body = self.job_body(job, steps, seconds)
        for _ in range(5):
            answer = await self.request(node, "POST", job, body)
            if answer and answer[0] // 100 == 2:
                return self.record.now()
            await asyncio.sleep(0.3)
        raise CannotRun("the job was not accepted")

    async def finish(self):
        for node in self.nodes:
            await node.stop()
        for minion in self.minions:
            minion.close()
        self.store.close()
        self.record.add("end")
        self.record.file.close()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def job_id():
    return os.urandom(8).hex()


def main(make, play, limit_s=110):
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = make(folder)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            await deployment.start()
            broken = await asyncio.wait_for(play(deployment, trouble), limit_s)
            for line in broken:
                deployment.record.add("rule-broken", text=line)
            print("\n".join(broken) or "the rule held", flush=True)
            return 1 if broken else 0
        finally:
            await deployment.finish()

    try:
        code = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        print("could not run: " + repr(error), flush=True)
        code = 2
    sys.exit(code)
