"""Stand-ins for the platform that can be paused, starved, cut and restarted while real nodes run against them."""

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
import harness  # noqa: E402

# Bounds of the site tichomer-ba; a play draws the longest lease, as sites differ in it.
harness.HEARTBEAT_S = 1.1
LONGEST_LEASES_MS = (6_000, 10_000)
# The harness ends a run half of this time after the order; a stop may take 400 ms.
harness.STOP_S = 0.7
GRACE_S = 6.0
SLOWEST_CLOCK = 0.98
WRITES_OF_NODES = ("/kv-txn",)

ports_taken = set()


def free_port():
    """A free port outside the ranges of the scenarios; not part of a seed's schedule."""
    while True:
        port = random.SystemRandom().randrange(10_000, 20_000)
        if port in ports_taken:
            continue
        ports_taken.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


harness.free_port = free_port


class Store(harness.Store):
    """A store that can be slow, lose responses or be down, for all nodes or for one of them."""

    def __init__(self, record, rng):
        super().__init__(record)
        self.rng = rng
        self.lost_share = 0.0
        self.late_share = 0.0
        self.down = None  # "refuses", "resets" or "silent"
        self.leases_pause = False

    async def start(self):
        asyncio.create_task(self._expire_leases())

    async def _expire_leases(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, state in list(self.leases.items()):
                if self.down and self.leases_pause:
                    state["until"] += now - last
                elif now >= state["until"]:
                    self._end_lease(lease)
            last = now

    async def handle_for(self, node, method, path, query, headers, body):
        """A call of one node."""
        outage = self.down or node.store_outage
        if outage:
            return await self._turn_away(outage)
        if path in WRITES_OF_NODES and self.rng.random() < self.late_share:
            asyncio.create_task(self._execute_late(path, query, body))
            return None
        answer = await super().handle(method, path, query, headers, body)
        outage = self.down or node.store_outage
        if outage:
            return await self._turn_away("silent" if outage == "silent" else "resets")
        return None if self.rng.random() < self.lost_share else answer

    async def _turn_away(self, outage):
        if outage == "refuses":
            return 503, {}
        if outage == "silent":
            await asyncio.sleep(3600)
        return None

    async def _execute_late(self, path, query, body):
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        if not self.down:
            await self._execute(path, query, harness.json.loads(body))


class HttpServer(harness.HttpServer):
    """A server that can stop listening while its connections stay open."""

    def stop_listening(self):
        if self.server:
            self.server.close()
            self.server = None


harness.HttpServer = HttpServer


class Minion(harness.Minion):
    """A minion with faults of its own. Leases end by its clock before anything else is done, also after a pause."""

    def __init__(self, deployment, name, zone, rack, capacity, rng):
        super().__init__(deployment, name, zone, rack, capacity)
        self.rng = rng
        self.rate = rng.choice((1.0, rng.uniform(SLOWEST_CLOCK, 1.0)))
        # A play begins long after the start of the first incarnation.
        self.age_ms = rng.randint(10_000, 600_000)
        self.busy = False
        self.left_behind = []  # servers of earlier incarnations whose connections are silent
        self._reset_faults()

    def _reset_faults(self):
        self.paused = False
        self.waiting = []
        self.quiet = False
        self.refusals = None  # (status, calls that are refused, share)
        self.late_share = 0.0
        self.takes_earlier_calls = False
        self.lost_share = 0.0
        self.order_delay = (0.0, 0.0)
        self.response_delay = (0.0, 0.0)
        self.poll_delay = (0.0, 0.0)

    async def boot(self, report_after_s=0.0):
        """Starts the next incarnation, whose first report to the store may be late."""
        self._reset_faults()
        self.lapsed = False
        self.cut_from_store = False
        self.quiet = report_after_s > 0
        for server in self.left_behind:
            server.stop_listening()
        for _ in range(100):
            try:
                await super().boot()
                asyncio.get_running_loop().call_later(report_after_s, self._report, self.life)
                return
            except OSError:
                self.up = False
                await asyncio.sleep(0.05)
        raise harness.CannotRun("an address of a minion is taken")

    def _report(self, life):
        if life == self.life and self.quiet:
            self.quiet = False
            self.register()

    def crash(self, dark=False):
        """With `dark` no connection is closed or reset: what arrives on it gets no response, also later."""
        self.lapse_if_due()
        if dark:
            self.http.silent = True
            self.left_behind.append(self.http)
            self.http = HttpServer(self.handle)
        super().crash()

    def abort(self):
        for server in (*self.left_behind, self.http):
            server.abort()

    def clock(self):
        age_ms = self.age_ms if self.life == 1 else 0
        return age_ms + int((time.monotonic() - self.booted) * 1000 * self.rate)

    def register(self):
        if not (self.paused or self.quiet or self.store.down) and self.up:
            super().register()

    # --- pauses
    def pause(self):
        self.paused = True
        self.record.add("minion-paused", minion=self.id)

    def wake(self):
        """What waited is handled at once and in another order; runs whose lease is over have ended before."""
        self.lapse_if_due()
        self.paused = False
        waiting, self.waiting = self.waiting, []
        self.rng.shuffle(waiting)
        self.record.add("minion-woken", minion=self.id, calls=len(waiting))
        for call in waiting:
            if not call.done():
                call.set_result(None)

    async def _until_woken(self):
        call = asyncio.get_running_loop().create_future()
        self.waiting.append(call)
        await call

    def lapse_if_due(self):
        if not self.up or self.lapsed or self.clock() <= self.lease_until:
            return
        self.lapsed = True
        # Ends that are not acknowledged at this time don't count as noted, whenever that follows.
        self.record.add("lease-over", minion=self.id, life=self.life, ends=[row[1:3] for row in self.ended])
        for run in list(self.running.values()):
            self._finish(run, "lapsed")

    def extend(self, deadline):
        if deadline > self.clock() + harness.MAX_HOLD_MS:
            # An owner asks for less by the clock of this incarnation.
            self.record.add("lease-shortened", minion=self.id, life=self.life, deadline=deadline, clock=self.clock())
        super().extend(deadline)
        self.lapsed = self.clock() > self.lease_until

    def _finish(self, run, how):
        # The lease may have ended before the work did, while this process was late.
        late = not run.ended and how != "crashed" and run.life == self.life and self.clock() > self.lease_until
        super()._finish(run, "lapsed" if late else how)

    # --- calls
    async def handle(self, method, path, query, headers, body):
        life = self.life
        if self.paused:
            await self._until_woken()
        if path == "/run-start":
            await asyncio.sleep(self.rng.uniform(*self.order_delay))
            if self.rng.random() < self.late_share:
                delay = self.rng.uniform(0.2, 5.0)
                self.record.add("order-delayed", minion=self.id, delay=round(delay, 3), body=body.decode())
                asyncio.create_task(self._execute_late(life, delay, method, path, query, headers, body))
                await asyncio.sleep(self.rng.choice((0.0, 0.5, 3.0)))
                return None
        if self.refusals and path in self.refusals[1] and self.rng.random() < self.refusals[2]:
            self.record.add("refused", minion=self.id, call=path, status=self.refusals[0], body=body.decode())
            return self.refusals[0], {"clock_ms": self.clock(), "born": self.born}
        if not self.up or life != self.life:
            return None
        self.deployment.lapse_all()
        answer = await super().handle(method, path, query, headers, body)
        if path == "/hold":
            await asyncio.sleep(self.rng.uniform(*self.poll_delay))
            if self.paused:
                await self._until_woken()
        else:
            await asyncio.sleep(self.rng.uniform(*self.response_delay))
        if path in ("/run-start", "/run-stop") and self.rng.random() < self.lost_share:
            self.record.add("response-lost", minion=self.id, call=path, body=body.decode())
            return None
        return answer

    async def _execute_late(self, life, delay, method, path, query, headers, body):
        await asyncio.sleep(delay)
        if self.paused:
            await self._until_woken()
        if self.up and (life == self.life or self.takes_earlier_calls):
            self.deployment.lapse_all()
            answer = await super().handle(method, path, query, headers, body)
            self.record.add("executed-late", minion=self.id, body=body.decode(), status=answer and answer[0],
                            sent_to_life=life, life=self.life)


class Node(harness.Node):
    """A node with an address of the store of its own; its process can be frozen, starved and ended."""

    def __init__(self, deployment, number):
        super().__init__(deployment, number)
        self.store_port = free_port()
        self.store_outage = None
        self.store_http = harness.HttpServer(self._call_store)
        self.busy = False
        self.end_expected = False
        self.watcher = None

    async def _call_store(self, method, path, query, headers, body):
        return await self.deployment.store.handle_for(self, method, path, query, headers, body)

    def settings(self):
        shared = f"127.0.0.1:{self.deployment.store.port}"
        return super().settings().replace(shared, f"127.0.0.1:{self.store_port}")

    async def start(self):
        if not self.store_http.server:
            await self.store_http.listen(self.store_port)
        self.end_expected = False
        await super().start()
        self.watcher = asyncio.create_task(self._watch(self.process))

    async def _watch(self, process):
        code = await process.wait()
        expected = self.end_expected
        self.deployment.record.add("node-ended", node=self.name, code=code, expected=expected)
        if not expected:
            self.deployment.broken.append(f"{self.name} ended by itself with {code}")

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.alive():
            try:
                self.process.send_signal(number)
            except ProcessLookupError:
                pass

    async def end(self, number):
        """Ends the process with SIGTERM or SIGKILL as the platform does."""
        self.end_expected = True
        self.deployment.record.add("node-signalled", node=self.name, signal=number.name)
        self.signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def stop(self):
        self.end_expected = True
        await super().stop()

    async def overlapping_polls(self):
        """The count of polls that were sent to a worker beside another one, or None without a response."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", self.ports["operator"]), 2.0)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n")
            text = (await asyncio.wait_for(reader.read(), 3.0)).decode()
            writer.transport.abort()
        except (OSError, asyncio.TimeoutError):
            return None
        values = [line.rsplit(" ", 1)[1] for line in text.splitlines()
                  if line.startswith("almond_worker_polls_overlapping_total")]
        return sum(float(value) for value in values) if values else None


class Deployment(harness.Deployment):
    """Three nodes, a store and minions of tichomer-ba, with the program given."""

    def __init__(self, program, folder, rng, nodes, minions):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as source:
            role = tomllib.load(source)["roles"]["node"]
        words = role["run"].split()
        words[0] = os.path.abspath(program)
        if not os.path.exists(words[0]):
            raise harness.CannotRun("there is no program " + words[0])
        self.command = " ".join(words)
        self.template = role["template"]
        self.folder = folder or tempfile.mkdtemp(prefix="soak-")
        os.makedirs(self.folder, exist_ok=True)
        self.record_path = os.path.join(self.folder, "record.txt")
        self.record = harness.Record(self.record_path)
        self.zones = ["sk-west-a", "sk-west-b", "sk-west-c"]
        self.service = "moderator"
        self.store = Store(self.record, rng)
        self.gangs = harness.Gangs({})
        self.attempts = 4
        capacity = {"cpu": 32_000, "mem_mb": 125_000, "gpu": 0}
        self.minions = [Minion(self, f"i-{number:08x}", self.zones[number % 3], f"r{number % 3}-0", capacity, rng)
                        for number in range(minions)]
        self.nodes = [Node(self, number) for number in range(nodes)]
        self.jobs = {}
        self.broken = []

    def lapse_all(self):
        """Ends all runs whose lease is over, however late this process is, before another run may start."""
        for minion in self.minions:
            minion.lapse_if_due()

    async def finish(self):
        for node in self.nodes:
            await node.stop()
            node.store_http.abort()
            node.log.close()
        for minion in self.minions:
            minion.abort()
        self.record.add("end")
        self.record.close()
