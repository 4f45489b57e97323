"""Stand-ins of the outside systems for the cases of the second review: discovery, the relay with its store, proxies,
servers and collectors. Written from PROTOCOL.md and the wire page; standard library only, one event loop."""
import asyncio
import json
import logging
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"

# Zones and classes of two sites.
MEDELLIN_ZONES = ["belen", "itagui", "bello"]
CALTAVUTURO_ZONES = ["via-roma", "deposito-nord", "contrada-sud"]
CALTAVUTURO = [
    {"name": "preventivo", "aimUs": 2500000, "hardLimitUs": 6000000, "effect": "repeatable", "worth": 1.0},
    {"name": "prenota", "aimUs": 3000000, "hardLimitUs": 10000000, "effect": "once", "worth": 3.0}]


def medellin(read_effect="repeatable"):
    return [{"name": "cart-read", "aimUs": 750000, "hardLimitUs": 2500000, "effect": read_effect, "worth": 3.0},
            {"name": "place-order", "aimUs": 1200000, "hardLimitUs": 3000000, "effect": "by_key",
             "dedupScope": "cell", "keyTtlUs": 2000000, "worth": 9.0}]


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def free_port():
    with socket.socket() as s:
        s.bind((HOST, 0))
        return s.getsockname()[1]


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.flushed = 0.0

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        now = self.now()
        self.file.write("%8.3f %s\n" % (now, text))
        if now > self.flushed + 0.5:
            self.file.flush()
            self.flushed = now


class Discovery:
    """The list of servers: GET /catalog/members, whole or as a watch."""

    def __init__(self, record):
        self.record = record
        self.rev = 40
        self.targets = {}
        self.changes = []
        self.watches = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % (HOST, self.server.sockets[0].getsockname()[1])

    def add(self, uid, az, **fields):
        entry = {"uid": uid, "endpoint": fields.pop("endpoint", "127.0.9.1:1"), "az": az, "model": "m1",
                 "pod_group": 0, "state": "SERVING", "capacity_hint": 1.0, "boot_ms": 0}
        entry.update(fields)
        self.targets[uid] = entry

    def whole(self):
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    def change(self, entries):
        """Publishes changed entries: a list of (uid, fields)."""
        self.rev += 1
        changed = []
        for uid, fields in entries:
            entry = dict(self.targets.get(uid, {}))
            entry.update(fields)
            changed.append(entry)
            if entry["state"] == "DELETED":
                self.targets.pop(uid, None)
            else:
                self.targets[uid] = entry
            self.record("discovery: %s is %s" % (uid, entry["state"]))
        self.changes.append((self.rev, changed))
        for writer in list(self.watches):
            self.send(writer, json.dumps({"rev": self.rev, "all": False, "targets": changed}))

    def state(self, uid, state):
        self.change([(uid, {"state": state})])

    @staticmethod
    def send(writer, line):
        body = (line + "\n").encode()
        writer.write(b"%x\r\n%s\r\n" % (len(body), body))

    async def serve(self, reader, writer):
        try:
            request = (await reader.readline()).decode()
            while (await reader.readline()).strip():
                pass
            path = request.split(" ")[1]
            if "follow=1" not in path:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            since = int(path.split("since=")[1]) if "since=" in path else -1
            if 40 <= since <= self.rev:
                newest = {}
                for rev, changed in self.changes:
                    if rev > since:
                        newest.update((e["uid"], e) for e in changed)
                self.send(writer, json.dumps({"rev": self.rev, "all": False, "targets": list(newest.values())}))
            else:
                self.send(writer, json.dumps(self.whole()))
            self.watches.add(writer)
            while not reader.at_eof():
                try:
                    await asyncio.wait_for(reader.read(100), 2)
                except asyncio.TimeoutError:
                    self.send(writer, "")
        except (ConnectionError, IndexError, ValueError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


class Relay:
    """The relay and its store. An executed call becomes one message to each joined proxy."""

    def __init__(self, world):
        self.world = world
        self.record = world.record
        self.tables = {}      # slices in the supervisor's charge: weights by server
        self.proxies = {}     # joined proxies by number
        self.known = set()    # servers that discovery has listed
        self.watches = set()
        self.replays = {}     # by connection: news that waits for the end of its replay
        self.connections = set()
        self.on_call = None   # (orders) -> "run" | "run, no answer" | "reset unrun"
        self.replay_gap = None  # (line) -> seconds to wait before that line of a replay
        self.server = None
        self.orders_seen = []

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "%s:%d" % (HOST, self.port)

    def reset(self):
        """Every connection of the relay is reset; new ones are taken at once."""
        for writer in list(self.connections):
            abort(writer)
        self.watches.clear()
        self.record("relay: all connections are reset")

    def tell(self, line):
        for writer in list(self.watches):
            writer.write((line + "\r\n").encode())
        for waiting in self.replays.values():
            waiting.append(line)

    def replay(self):
        lines = []
        for number, proxy in sorted(self.proxies.items()):
            lines.append("* attach %d %s %.1f %d" % (number, proxy.az, proxy.share, proxy.standing))
        for number, routes in sorted(self.tables.items()):
            lines.append("* owner %d 1" % number)
            lines += ["* entry %d %s %s" % (number, s, w) for s, w in routes.items()]
        return lines

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                idle = None if writer in self.watches else 10
                line = (await asyncio.wait_for(reader.readuntil(b"\r\n"), idle)).decode().rstrip("\r\n")
                if line == "WATCH":
                    self.record("relay: WATCH")
                    writer.write(b"OK\r\n")
                    replay = self.replay()
                    self.replays[writer] = []
                    for reply in replay:
                        gap = self.replay_gap(reply) if self.replay_gap else 0
                        if gap:
                            await writer.drain()
                            self.record("relay: %.0f ms pass before '%s'" % (1000 * gap, reply))
                            await asyncio.sleep(gap)
                        writer.write((reply + "\r\n").encode())
                    for reply in self.replays.pop(writer):
                        writer.write((reply + "\r\n").encode())
                    self.watches.add(writer)
                    asyncio.ensure_future(self.beat(writer))
                elif line.startswith("APPLY "):
                    self.call(line[6:].split(";"), writer)
                else:
                    writer.write(b"ERR invalid\r\n")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            self.connections.discard(writer)
            self.watches.discard(writer)
            self.replays.pop(writer, None)
            writer.close()

    async def beat(self, writer):
        while writer in self.watches:
            await asyncio.sleep(1)
            if writer in self.watches:
                writer.write(b"*\r\n")

    def call(self, orders, writer):
        what = self.on_call(orders) if self.on_call else "run"
        self.record("call (%s): %s" % (what, ";".join(orders)))
        if what == "reset unrun":
            return self.reset()
        taken = self.execute(orders)
        if what == "run":
            writer.write(b"OK %d\r\n" % taken)
            self.record("answer: OK %d" % taken)

    def execute(self, orders):
        message = []
        for taken, order in enumerate(orders):
            f = order.split(",")
            if f[0] == "put":
                if f[2] not in self.known or float(f[3]) < 0:
                    break
                if int(f[1]) in self.tables:
                    put(self.tables[int(f[1])], f[2], f[3], self.world.one_owner)
            elif f[0] == "wipe" and int(f[1]) in self.tables:
                self.tables[int(f[1])].clear()
            elif f[0] in ("eject", "uneject") and f[1] not in self.known:
                break
            message.append(f)
            self.orders_seen.append((self.record.now(), f))
        else:
            taken = len(orders)
        if message:
            for proxy in self.proxies.values():
                proxy.queue(message)
        return taken


def put(table, server, weight, one_owner):
    if float(weight) <= 0:
        table.pop(server, None)
        return
    if one_owner:
        table.clear()
    table[server] = weight


def abort(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Server:
    def __init__(self, uid, az):
        self.uid, self.az = uid, az
        self.time = lambda: random.uniform(0.03, 0.07)
        self.fails = 0.0       # share of attempts that fail quickly, before anything ran
        self.breaks = 0.0      # share whose connection is reset after the request ran
        self.alive = True


class Proxy:
    def __init__(self, world, number, az, delay):
        self.world, self.number, self.az, self.delay = world, number, az, delay
        self.share, self.standing = 20.0, 1
        self.withdrawn = set()
        self.gates = {}
        self.tables = {k: dict(v) for k, v in world.relay.tables.items()}  # read from the store
        self.last_due = 0.0

    def queue(self, message):
        """A message reaches the proxy after its delay; messages stay in order."""
        sent = time.monotonic()
        due = max(self.last_due, sent + random.uniform(*self.delay))
        self.last_due = due
        asyncio.get_running_loop().call_at(
            asyncio.get_running_loop().time() + due - sent, self.apply, message, sent)

    def apply(self, message, sent):
        for f in message:
            if f[0] == "put":
                put(self.tables.setdefault(int(f[1]), {}), f[2], f[3], self.world.one_owner)
            elif f[0] == "wipe":
                self.tables.get(int(f[1]), {}).clear()
            elif f[0] == "eject":
                self.withdrawn.add(f[1])
            elif f[0] == "uneject":
                self.withdrawn.discard(f[1])
            elif f[0] == "gate":
                classes = self.world.classes if f[2] == "*" else f[2].split("+")
                for c in classes:
                    self.gates[f[1], c] = (float(f[3]), int(f[4]))
            elif f[0] == "fence":
                lag = 1000 * (time.monotonic() - sent)
                self.world.relay.tell("* done %d %s %.1f" % (self.number, f[1], lag))
        self.standing = 0

    def lines(self, number, without=None):
        return {s: float(w) for s, w in self.tables.get(number, {}).items()
                if s not in self.withdrawn and s != without}

    def pick(self, number, without=None):
        lines = self.lines(number, without)
        if not lines:
            return None
        return random.choices(list(lines), list(lines.values()))[0]

    def without_server(self):
        """The slices in charge for which no line is left to pick."""
        return [k for k in self.world.relay.tables if not self.lines(k)]

    def policy(self, number, kind):
        """Level and way of trying again: the lower level counts, and the table's own way of trying again."""
        level, again = self.gates.get(("*", kind), (1.0, 0))
        own = self.gates.get((str(number), kind))
        return (min(level, own[0]), own[1]) if own else (level, again)


class World:
    def __init__(self, folder, settings, zones, one_owner=False):
        self.folder = folder
        self.record = Record(folder)
        self.settings = settings
        self.zones = zones
        self.one_owner = one_owner
        self.classes = [c["name"] for c in settings["classes"]]
        self.discovery = Discovery(self.record)
        self.relay = Relay(self)
        self.servers = {}
        self.proxies = []
        self.children = []
        self.stats = {}
        self.requests = 0
        self.stopping = set()   # supervisors that a case has ended itself
        self.demand = {}
        self.temporary = tempfile.mkdtemp(prefix="review-2-")
        self.log = open(os.path.join(self.temporary, "log"), "w+b")
        self.listen = "%s:%d" % (HOST, free_port())
        self.collector_on = True
        self.on_attempt = None  # (proxy, request, server): with its span: called when an attempt begins to run

    @classmethod
    def medellin(cls, folder, slices, read_effect="repeatable"):
        values = settings(medellin(read_effect), {"shards": slices, "mutating": [False, True]}, {}, MEDELLIN_ZONES)
        return cls(folder, values, MEDELLIN_ZONES)

    async def start(self):
        await self.discovery.start()
        await self.relay.start()

    def add_server(self, uid, az, **fields):
        self.servers[uid] = Server(uid, az)
        self.discovery.add(uid, az, **fields)
        self.relay.known.add(uid)

    def new_server(self, uid, az):
        """A server that starts now."""
        self.servers[uid] = Server(uid, az)
        self.relay.known.add(uid)
        self.discovery.add(uid, az)
        entry = dict(self.discovery.targets[uid], boot_ms=int(time.time() * 1000))
        self.discovery.change([(uid, entry)])

    def remove_server(self, uid):
        """The process of a drained server ends."""
        self.servers[uid].alive = False
        self.discovery.state(uid, "DELETED")

    def add_proxies(self, count, delay):
        for number in range(count):
            proxy = Proxy(self, number, self.zones[number % len(self.zones)], delay)
            self.proxies.append(proxy)
            self.relay.proxies[number] = proxy

    def configuration(self, **more):
        config = {"name": "n1", "listen": self.listen, "discovery": self.discovery.address,
                  "seed": "%016x" % random.getrandbits(64),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "relay": {"address": self.relay.address}, "known": self.discovery.whole(),
                  "settings": self.settings}
        config.update(more)
        path = os.path.join(self.temporary, "config.json")
        with open(path + ".new", "w", encoding="utf-8") as f:
            json.dump(config, f)
        os.rename(path + ".new", path)
        return path

    async def supervisor(self, environment=None, **more):
        """Starts one supervisor as the deploy file says and waits for its first sign of life."""
        program = os.path.join(ROOT, "build", "peargrade")
        if not os.access(program, os.X_OK):
            raise CannotRun("build/peargrade is missing")
        env = dict(os.environ, NODE_CONFIG=self.configuration(**more), **(environment or {}))
        for name in ("NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY"):
            env.pop(name, None)
        child = subprocess.Popen(["/bin/sh", "-c", "exec build/peargrade serve"], cwd=ROOT, env=env,
                                 stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.children.append(child)
        self.record("supervisor: started")
        await self.ready(child)
        self.record("supervisor: ready")
        asyncio.ensure_future(self.guard(child))
        return child

    async def guard(self, child):
        while child.poll() is None:
            await asyncio.sleep(0.2)
        if child.pid not in self.stopping:
            CRASHES.append("a supervisor ended by itself with %s" % child.returncode)
            self.record(CRASHES[-1])

    async def ready(self, child):
        host, port = self.listen.split(":")
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            if child.poll() is not None:
                raise CannotRun("the supervisor ended with %s" % child.returncode)
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(frame({"type": "hb"}))
                size = struct.unpack(">I", await asyncio.wait_for(reader.readexactly(4), 5))[0]
                reply = json.loads(await reader.readexactly(size))
                writer.close()
                if reply["type"] == "hb_ok":
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.05)
        raise CannotRun("the supervisor did not become ready")

    async def stop(self, child, how=signal.SIGTERM):
        self.stopping.add(child.pid)
        child.send_signal(how)
        self.record("supervisor: signal %s" % signal.Signals(how).name)
        for _ in range(100):
            if child.poll() is not None:
                break
            await asyncio.sleep(0.05)
        self.record("supervisor: ended with %s" % child.poll())

    # ---- requests ----

    async def traffic(self, rate, weights=None, demand=None):
        """Open-loop requests: `rate` a second over all proxies, by weights of the classes and of the slices."""
        number = 0
        while True:
            await asyncio.sleep(random.expovariate(rate))
            number += 1
            proxy = random.choice(self.proxies)
            slices = sorted(self.relay.tables)
            parts = [(demand or {}).get(k, 1) for k in slices]
            request = {"id": number, "slice": random.choices(slices, parts)[0], "begun": self.record.now(),
                       "kind": random.choices(self.classes, weights)[0], "runs": 0}
            asyncio.ensure_future(self.request(proxy, request))

    async def request(self, proxy, request):
        key = (request["slice"], request["kind"])
        self.requests += 1
        self.demand.setdefault(key, [0, 0])[0] += 1
        level, again = proxy.policy(*key)
        if random.random() >= level:
            return
        ok = False
        tried = None
        for attempt in range(1 + {0: 0, 1: 1, 2: 1, 3: 2}[again]):
            server = proxy.pick(request["slice"], tried)
            if server is None:
                break
            tried = server
            limit = self.limit(request["kind"], again, attempt)
            outcome = await self.attempt(proxy, request, server, limit)
            ok = outcome == "ok"
            if ok or (again == 1 and outcome != "unrun"):
                break
        if not ok:
            self.demand[key][1] += 1

    def limit(self, kind, again, attempt):
        c = next(c for c in self.settings["classes"] if c["name"] == kind)
        if again in (2, 3) and attempt < again - 1:
            return self.settings["extra"]["tryAims"] * c["aimUs"] / 1e6
        return c["hardLimitUs"] / 1e6

    async def attempt(self, proxy, request, uid, limit):
        server = self.servers[uid]
        stats = self.stats.setdefault((proxy.az, uid), [0, 0, 0.0])
        begun = time.monotonic()
        if not server.alive:
            outcome = "unrun"
        elif random.random() < server.fails:
            await asyncio.sleep(0.005)
            outcome = "failed"
        else:
            request["runs"] += 1
            span = server.time()
            if self.on_attempt:
                self.on_attempt(proxy, request, uid, span)
            await asyncio.sleep(min(span, limit))
            outcome = "ok" if span <= limit else "timeout"
            if outcome == "ok" and random.random() < server.breaks:
                outcome = "reset"
        self.record("request %d of %s, slice %d, proxy %d to %s: %s after %.3f s"
                    % (request["id"], request["kind"], request["slice"], proxy.number, uid, outcome,
                       time.monotonic() - begun))
        stats[0] += 1
        if outcome == "ok":
            stats[2] += time.monotonic() - begun
        else:
            stats[1] += 1
        return outcome

    async def watch_black_holes(self, limit, broken):
        """Appends (proxy, slice, seconds) to `broken` for each stretch without a line to pick that is over `limit`."""
        since = {}
        while True:
            await asyncio.sleep(0.1)
            now = self.record.now()
            empty = {(p.number, k) for p in self.proxies for k in p.without_server()}
            since = {key: since.get(key, now) for key in empty}
            for key, begun in since.items():
                if now - begun > limit and not any(b[:2] == key for b in broken):
                    broken.append((*key, now - begun))
                    if len(broken) < 20:
                        self.record("RULE BROKEN: proxy %d has had no line to pick for slice %d for %.1f s"
                                    % (*key, now - begun))

    # ---- collectors ----

    async def collect(self, az, everything):
        """The collector of a zone: reports each second, 0.5 s late."""
        host, port = self.listen.split(":")
        writer = None
        while True:
            await asyncio.sleep(1)
            reports = []
            for (zone, uid), (n, bad, total) in list(self.stats.items()):
                if zone == az and n:
                    mean = 1000 * total / (n - bad) if n > bad else 0
                    reports.append({"type": "upstream_stats", "az": az, "host": uid, "n": n, "bad": bad,
                                    "avg": round(mean, 2), "window": 1000.0})
                    del self.stats[zone, uid]
            if everything:
                for (number, kind), (n, bad) in list(self.demand.items()):
                    reports.append({"type": "range_stats", "partition": number, "kind": kind, "n": n,
                                    "bad": bad, "window": 1000.0})
                self.demand.clear()
            await asyncio.sleep(0)
            try:
                if writer is None or writer.is_closing():
                    _, writer = await asyncio.open_connection(host, int(port))
                    writer.write(frame({"type": "telemetry", "az": az}))
                if self.collector_on:
                    asyncio.get_running_loop().call_later(0.5, self.forward, writer, reports)
                await writer.drain()
            except OSError:
                writer = None

    @staticmethod
    def forward(writer, reports):
        if not writer.is_closing():
            for report in reports:
                writer.write(frame(report))

    def collectors(self):
        for k, az in enumerate(self.zones):
            asyncio.ensure_future(self.collect(az, k == 0))

    # ---- end ----

    def close(self):
        for child in self.children:
            if child.poll() is None:
                child.kill()
            child.wait()
        self.log.flush()
        self.log.seek(0)
        keep = os.environ.get("KEEP_LOG")
        if keep:
            with open(keep, "wb") as f:
                f.write(self.log.read())
        self.log.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


class OwnerRule:
    """The rule on the writes of a slice with one owner, as the servers see it."""

    def __init__(self, world, kind):
        self.world = world
        self.kind = kind    # the class that writes
        self.running = {}   # slice: server: writes in progress
        self.former = {}    # slice: servers that a later owner has followed
        self.current = {}
        self.broken = []

    def begin(self, proxy, request, uid, span):
        if request["kind"] != self.kind:
            return
        number = request["slice"]
        running = self.running.setdefault(number, {})
        others = [x for x, n in running.items() if n and x != uid]
        if others:
            self.report("write %d of slice %d runs at %s by proxy %d while %s has one in progress"
                        % (request["id"], number, uid, proxy.number, others[0]))
        if uid in self.former.setdefault(number, set()):
            self.report("write %d of slice %d hits the former owner %s by proxy %d, the owner is %s"
                        % (request["id"], number, uid, proxy.number, self.current[number]))
        elif self.current.get(number) != uid:
            if number in self.current:
                self.former[number].add(self.current[number])
                self.world.record("slice %d: the owner %s follows %s" % (number, uid, self.current[number]))
            self.current[number] = uid
        running[uid] = running.get(uid, 0) + 1
        asyncio.get_running_loop().call_later(span, self.end, number, uid)

    def end(self, number, uid):
        self.running[number][uid] -= 1

    def report(self, text):
        self.world.record("RULE BROKEN: " + text)
        self.broken.append(text)

    def result(self):
        text = "%d writes broke the rule" % len(self.broken)
        if self.broken:
            text += "; the first: " + self.broken[0]
        return bool(self.broken), text


def frame(message):
    body = json.dumps(message).encode()
    return struct.pack(">I", len(body)) + body


def settings(classes, extra, rules, zones):
    values = {"shards": 24, "throttleBy": "fraction", "egressPerS": 30000.0, "pendingMax": 45000.0,
              "perMessage": 16.0, "updateCap": 30, "updateWindowUs": 10000000, "pushDelayUs": 200000,
              "pushDelayMaxUs": 480000, "reportEveryUs": 1000000, "blackholeUs": 5200000, "usualHow": 0,
              "tryAims": 0.8, "proxyCount": 8, "selectsBy": "p2c", "parkUs": 200000}
    values.update(extra)
    limits = {"askWithinUs": 10000000, "drainGraceUs": 2000000, "startCapacity": 0.2, "warmAfterUs": 10000000,
              "overloadFactor": 3.0, "fallUs": 1500000}
    limits.update(rules)
    return {"family": "control", "groupSize": 1, "ordinal": 0, "zones": zones, "kinds": ["m1"],
            "registryMode": "on_request", "weights": "silent", "classes": classes,
            "limits": {"probes": False, "peerMessages": False}, "extra": values, "rules": limits}


async def one_owner_world(folder, names, owners, delay):
    """A site with one owner for each slice: `owners` by slice, proxies that apply messages after `delay`."""
    extra = {"shards": len(owners), "proxyCount": 10, "oneOwner": True, "leaseUs": 800000, "inFlightMaxUs": 1000000, "updateCap": 0,
             "mutating": [False, True], "pushDelayUs": 305000, "pushDelayMaxUs": 762500}
    world = World(folder, settings(CALTAVUTURO, extra, {"drainGraceUs": 3000000}, CALTAVUTURO_ZONES),
                  CALTAVUTURO_ZONES, one_owner=True)
    await world.start()
    for k, name in enumerate(names):
        world.add_server(name, world.zones[k % 3])
        world.servers[name].time = lambda: random.uniform(0.8, 0.98)
    for number, owner in enumerate(owners):
        world.relay.tables[number] = {owner: "1.0"}
    world.add_proxies(10, delay)
    writes = OwnerRule(world, "prenota")
    world.on_attempt = writes.begin
    return world, writes


CRASHES = []
BROKEN = 10   # exit code of a case whose rule was broken; run.sh makes it 1, and everything unknown 2


def main(case, limit=110):
    """Runs `case(folder)`, which returns (broken, text). Exits with 0 if the rule held, BROKEN, or 2."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    if os.environ.get("SEED"):   # fixes the draws of the stand-ins, not the timing
        random.seed(os.environ["SEED"])
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    loop = asyncio.new_event_loop()
    task = loop.create_task(asyncio.wait_for(case(folder), limit))
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    code = 2
    try:
        broken, text = loop.run_until_complete(task)
        if CRASHES:
            raise CannotRun(CRASHES[0])
        code = BROKEN if broken else 0
        text = ("BROKEN " if broken else "held ") + text
    except asyncio.TimeoutError:
        text = "could not run: over %d s" % limit
    except asyncio.CancelledError:
        text = "could not run: interrupted"
    except Exception as error:  # a fault of the stand-ins is no result
        text = "could not run: %s: %s" % (type(error).__name__, error)
    print(text)
    with open(os.path.join(folder, "record.txt"), "a", encoding="utf-8") as record:
        record.write("result: %s\n" % text)
    sys.stdout.flush()
    os._exit(code)
