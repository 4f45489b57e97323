"""Stand-ins of the platform around one supervisor: discovery, the relay with its store, proxies, servers and a
collector. They follow the protocol page; where it is silent they behave like sound peers. All addresses are on
loopback, all ports are free ones. Python's standard library only."""

import asyncio
import ctypes
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import time

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class CannotRun(Exception):
    """The case could not run: exit code 2."""


class Record:
    """record.txt: a line for each event, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as s:
        s.bind((HOST, 0))
        return s.getsockname()[1]


class Discovery:
    """GET /catalog/members, and its watch."""

    def __init__(self, record):
        self.record = record
        self.rev = 1
        self.entries = {}  # uid -> (rev, entry)
        self.watchers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, uid, az, state, boot_ms=0, address="127.0.0.1:9"):
        self.put_all([(uid, az)], state, boot_ms, address)

    def put_all(self, servers, state, boot_ms=0, address="127.0.0.1:9"):
        """One version of the list, in which all these servers have changed."""
        self.rev += 1
        changed = []
        for uid, az in servers:
            entry = {"uid": uid, "endpoint": address, "az": az, "model": "m1", "pod_group": 0, "state": state,
                     "capacity_hint": 1.0, "boot_ms": boot_ms}
            self.entries[uid] = (self.rev, entry)
            changed.append(entry)
            self.record(f"discovery: rev {self.rev} {uid} {state} boot_ms={boot_ms}")
        line = json.dumps({"rev": self.rev, "all": False, "targets": changed})
        for writer in list(self.watchers):
            self.chunk(writer, line + "\n")

    def whole(self):
        listed = [e for _, e in self.entries.values() if e["state"] != "DELETED"]
        return json.dumps({"rev": self.rev, "all": True, "targets": listed})

    def since(self, rev):
        changed = [e for at, e in self.entries.values() if at > rev]
        return json.dumps({"rev": self.rev, "all": False, "targets": changed})

    @staticmethod
    def chunk(writer, text):
        data = text.encode()
        try:
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        except (ConnectionError, RuntimeError):
            pass

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                if "follow=1" not in target:
                    body = self.whole().encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                 + str(len(body)).encode() + b"\r\n\r\n" + body)
                    await writer.drain()
                    continue
                rev = 0
                for part in target.split("?", 1)[1].split("&"):
                    if part.startswith("since="):
                        rev = int(part[6:])
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Transfer-Encoding: chunked\r\n\r\n")
                self.chunk(writer, (self.since(rev) if rev > 0 else self.whole()) + "\n")
                self.watchers.add(writer)
                while not writer.is_closing():
                    await asyncio.sleep(2)
                    self.chunk(writer, "\n")
                    await writer.drain()
                return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watchers.discard(writer)
            writer.close()


class Proxy:
    """What one proxy holds, and its stream. The page: a stream that breaks loses the messages on their way; the
    proxy goes on with what it holds, withdrawals included, and reads the store when it joins again."""

    def __init__(self, number, zone, relay):
        self.number = number
        self.zone = zone
        self.relay = relay
        self.joined = False
        self.epoch = 0            # counts streams
        self.broken_at = None     # when the last stream broke
        self.has_read = False     # the store, since it joined
        self.tables = {}          # slice -> {server: weight}
        self.table_gates = {}     # (slice, class) -> (level, way of trying again)
        self.fleet_gates = {}     # class -> (level, way)
        self.withdrawn = set()
        self.last_delivery = 0.0
        self.unanswered = []      # marks applied before the store was read

    def apply(self, orders):
        for words in orders:
            kind = words[0]
            if kind == "put":
                self.put(int(words[1]), words[2], float(words[3]))
            elif kind == "wipe":
                self.tables[int(words[1])] = {}
            elif kind == "eject":
                self.withdrawn.add(words[1])
            elif kind == "uneject":
                self.withdrawn.discard(words[1])
            elif kind == "gate":
                names = self.relay.classes if words[2] == "*" else words[2].split("+")
                for name in names:
                    value = (float(words[3]), int(words[4]))
                    if words[1] == "*":
                        self.fleet_gates[name] = value
                    else:
                        self.table_gates[(int(words[1]), name)] = value
            elif kind == "fence":
                if self.has_read:
                    self.relay.news(f"* done {self.number} {words[1]} {random.uniform(50, 300):.1f}")
                else:
                    self.unanswered.append(words[1])

    def put(self, table, server, weight):
        lines = self.tables.setdefault(table, {})
        if weight <= 0:
            lines.pop(server, None)
        elif self.relay.one_owner:
            self.tables[table] = {server: weight}
        else:
            lines[server] = weight

    def read_store(self):
        self.tables = {t: dict(lines) for t, lines in self.relay.store.items()}
        self.has_read = True
        for mark in self.unanswered:
            self.relay.news(f"* done {self.number} {mark} 100.0")
        self.unanswered = []

    def gate(self, table, cls, usual):
        """Level and way of trying again: 'where both are set the lower level wins, plus the table's own retry
        behaviour'."""
        fleet = self.fleet_gates.get(cls, (1.0, usual))
        own = self.table_gates.get((table, cls))
        if own is None:
            return fleet
        return (min(fleet[0], own[0]), own[1])

    def lines(self, table):
        return {s: w for s, w in self.tables.get(table, {}).items() if s not in self.withdrawn}

    def pick(self, table, other_than=None):
        lines = {s: w for s, w in self.lines(table).items() if s != other_than}
        if not lines:
            return None
        return random.choices(list(lines), list(lines.values()))[0]


class Relay:
    """The relay and its store, with the proxies' streams. One supervisor has every slice in its charge."""

    def __init__(self, record, classes, push_ms, sync_ms, one_owner=False):
        self.record = record
        self.classes = classes
        self.push_ms = push_ms      # (shortest, longest) time of a message to a proxy
        self.sync_ms = sync_ms      # (shortest, longest) time until a joined proxy has read the store
        self.one_owner = one_owner
        self.store = {}             # slice -> {server: weight}
        self.proxies = {}
        self.known_servers = set()
        self.watchers = set()
        self.on_call = None         # called with the orders of each executed call
        self.on_delivered = None    # called with (proxy, orders) after a proxy has applied a message
        self.loop = asyncio.get_event_loop()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.life = asyncio.ensure_future(self.signs_of_life())

    async def signs_of_life(self):
        while True:
            await asyncio.sleep(1)
            self.news("*", quiet=True)

    def news(self, line, quiet=False):
        if not quiet and not line.startswith("* done"):
            self.record("relay news: " + line)
        for writer in list(self.watchers):
            try:
                writer.write(line.encode() + b"\r\n")
            except (ConnectionError, RuntimeError):
                pass

    def attach_line(self, proxy, standing):
        return f"* attach {proxy.number} {proxy.zone} 20.0 {standing}"

    def standing_text(self):
        lines = []
        for proxy in self.proxies.values():
            if proxy.joined:
                lines.append(self.attach_line(proxy, 0))
        for table, routes in sorted(self.store.items()):
            lines.append(f"* owner {table} 1")
            lines += [f"* entry {table} {server} {weight}" for server, weight in routes.items()]
        return "".join(line + "\r\n" for line in lines)

    async def serve(self, reader, writer):
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                if line == "WATCH":
                    writer.write(b"OK\r\n" + self.standing_text().encode())
                    self.watchers.add(writer)
                    self.record("relay: a watch was opened")
                elif line.startswith("APPLY "):
                    count = self.execute(line[6:])
                    writer.write(f"OK {count}\r\n".encode())
                else:
                    writer.write(b"ERR invalid\r\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watchers.discard(writer)
            writer.close()

    def execute(self, text):
        taken = []
        for order in text.split(";"):
            words = order.split(",")
            if words[0] in ("put", "eject", "uneject"):
                server = words[2] if words[0] == "put" else words[1]
                if server not in self.known_servers:
                    break
            taken.append(words)
        self.record("relay call: " + ";".join(",".join(w) for w in taken))
        for words in taken:
            if words[0] == "put" and int(words[1]) in self.store:
                table, server, weight = int(words[1]), words[2], float(words[3])
                if weight <= 0:
                    self.store[table].pop(server, None)
                elif self.one_owner:
                    self.store[table] = {server: weight}
                else:
                    self.store[table][server] = weight
            elif words[0] == "wipe" and int(words[1]) in self.store:
                self.store[int(words[1])] = {}
        if self.on_call:
            self.on_call(taken)
        for proxy in self.proxies.values():
            if proxy.joined:
                self.push(proxy, taken)
        return len(taken)

    def push(self, proxy, orders):
        now = self.loop.time()
        at = max(proxy.last_delivery + 0.001, now + random.uniform(*self.push_ms) / 1000)
        proxy.last_delivery = at
        epoch = proxy.epoch

        def deliver():
            if proxy.epoch != epoch or not proxy.joined:
                return  # the stream broke: the message is lost
            proxy.apply(orders)
            if self.on_delivered:
                self.on_delivered(proxy, orders)

        self.loop.call_at(at, deliver)

    def join(self, proxy, standing=0):
        self.proxies[proxy.number] = proxy
        proxy.joined = True
        proxy.epoch += 1
        proxy.has_read = False
        proxy.broken_at = None
        self.news(self.attach_line(proxy, standing))
        epoch = proxy.epoch

        def sync():
            if proxy.epoch == epoch and proxy.joined:
                proxy.read_store()

        self.loop.call_later(random.uniform(*self.sync_ms) / 1000, sync)

    def break_stream(self, proxy, noticed_ms):
        """The stream breaks; the relay's news says so after `noticed_ms`."""
        proxy.joined = False
        proxy.epoch += 1
        proxy.has_read = False
        proxy.unanswered = []
        proxy.broken_at = self.loop.time()
        self.record(f"the stream of proxy {proxy.number} breaks")
        epoch = proxy.epoch

        def notice():
            if proxy.epoch == epoch:
                self.news(f"* detach {proxy.number}")

        self.loop.call_later(noticed_ms / 1000, notice)


def frame(message):
    data = json.dumps(message).encode()
    return struct.pack(">I", len(data)) + data


LIBC = ctypes.CDLL(None)


def end_with_parent():
    """In the new process: the kernel ends it (PR_SET_PDEATHSIG) when this script is killed outright."""
    LIBC.prctl(1, signal.SIGKILL)


class Supervisor:
    """One supervisor, started as `run` of the deploy file says."""

    def __init__(self, record, folder, config, environment=None):
        self.record = record
        self.path = os.path.join(folder, "config.json")
        self.log_path = os.path.join(folder, "supervisor.log")
        self.config = config
        self.environment = environment or {}
        self.process = None

    def write_config(self, config):
        self.config = config
        with open(self.path + ".new", "w", encoding="utf-8") as f:
            json.dump(config, f)
        os.replace(self.path + ".new", self.path)

    def start(self):
        program = os.path.join(ROOT, "build", "peargrade")
        if not os.access(program, os.X_OK):
            raise CannotRun("build/peargrade is missing: run the build of deploy/balancer.toml")
        self.write_config(self.config)
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("NODE_", "PEARGRADE_"))}
        environment["NODE_CONFIG"] = self.path
        environment.update(self.environment)
        self.log = open(self.log_path, "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", "exec build/peargrade serve"], cwd=ROOT,
                                        env=environment, stdout=self.log, stderr=self.log,
                                        preexec_fn=end_with_parent)
        self.record(f"supervisor: started, process {self.process.pid}")

    def signal(self, number):
        self.record(f"supervisor: signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log_text(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as f:
            return f.read()

    async def ready(self, within=15):
        host, port = self.config["listen"].split(":")
        ends = time.monotonic() + within
        while time.monotonic() < ends:
            if self.process.poll() is not None:
                raise CannotRun("the supervisor ended at its start:\n" + self.log_text())
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(frame({"type": "hb"}))
                size = struct.unpack(">I", await asyncio.wait_for(reader.readexactly(4), 3))[0]
                answer = json.loads(await reader.readexactly(size))
                writer.close()
                if answer.get("type") == "hb_ok":
                    self.record("supervisor: hb_ok")
                    return
            except (ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError, OSError):
                await asyncio.sleep(0.05)
        raise CannotRun("the supervisor is not ready")

    def stop(self):
        if self.process is None or self.process.poll() is not None:
            return
        self.process.terminate()
        try:
            self.process.wait(2)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class Collectors:
    """One collector a zone. `count` is called for each try and each request; every second the sums go to the
    supervisor, `late` seconds later."""

    def __init__(self, listen, zones, late=0.6):
        self.listen = listen
        self.zones = zones
        self.late = late
        self.tries = {}
        self.requests = {}

    def tried(self, zone, server, good, ms):
        n = self.tries.setdefault((zone, server), [0, 0, 0.0])
        n[0] += 1
        if good:
            n[2] += ms
        else:
            n[1] += 1

    def requested(self, table, cls, bad=0):
        n = self.requests.setdefault((table, cls), [0, 0])
        n[0] += 1 - bad
        n[1] += bad

    async def run(self):
        host, port = self.listen.split(":")
        writers = {}
        for zone in self.zones:
            _, writers[zone] = await asyncio.open_connection(host, int(port))
            writers[zone].write(frame({"type": "telemetry", "az": zone}))
        loop = asyncio.get_event_loop()
        while True:
            await asyncio.sleep(1)
            tries, self.tries = self.tries, {}
            requests, self.requests = self.requests, {}
            batches = {zone: b"" for zone in self.zones}
            for (zone, server), (n, bad, ms) in tries.items():
                report = {"type": "upstream_stats", "az": zone, "host": server, "n": n, "bad": bad,
                          "avg": round(ms / (n - bad), 1) if n > bad else 0.0, "window": 1000.0}
                batches[zone] += frame(report)
            for (table, cls), (n, bad) in requests.items():
                batches[self.zones[0]] += frame({"type": "range_stats", "partition": table, "kind": cls, "n": n,
                                                 "bad": bad, "window": 1000.0})
            for zone, data in batches.items():
                loop.call_later(self.late, writers[zone].write, data)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def check_tasks(tasks):
    """A stand-in that has failed means that the case could not run."""
    for task in tasks:
        if task.done() and not task.cancelled() and task.exception():
            raise CannotRun(f"a stand-in failed: {task.exception()!r}")


def main(case, record_path):
    """Runs the coroutine `case(record, temporary folder)`, which returns the list of broken rules. Returns the exit
    code: 1 broken, 0 held, 2 could not run, also for an error in the case itself and when it is interrupted."""
    import shutil
    import tempfile

    def interrupted(number, _):
        raise SystemExit(2)  # leaves the event loop; the case ends its processes on the way out

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, interrupted)
    temporary = tempfile.mkdtemp(prefix="review-")
    code = 2
    record = None
    try:
        record = Record(record_path)
        seed = os.environ.get("SEED")
        random.seed(int(seed) if seed else None)
        record(f"TROUBLE={1 if trouble() else 0}")
        broken = asyncio.run(asyncio.wait_for(case(record, temporary), 110))
        for line in broken[:20]:
            record("BROKEN: " + line)
        record(f"result: {len(broken)} breaks of the rule" if broken else "result: the rule held")
        print(f"{len(broken)} breaks of the rule; the first: {broken[0]}" if broken else "the rule held")
        code = 1 if broken else 0
    except SystemExit:
        print("interrupted", file=sys.stderr)
    except BaseException as error:
        text = f"could not run: {error!r}"
        print(text, file=sys.stderr)
        if record:
            record("result: " + text)
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    return code
