"""A slice with one owner gets a new owner while proxies whose stream broke still write to the old one."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
sys.dont_write_bytecode = True

from settings import ZONES, configuration  # noqa: E402
from standins import (HOST, CannotRun, Collectors, Discovery, Proxy, Relay, Supervisor,  # noqa: E402
                      check_tasks, free_port, main, trouble)

SERVERS = [f"s-{k:02d}" for k in range(15)]
SLICES = 90
PROXIES = 12
BROKEN = 6                   # streams that break: half; the page: 24 to 84%
LEASE = 2.5                  # extra.leaseUs
NOTICED_MS = (260, 400)      # the page: 260 to 2,100 ms
REDIAL_S = (0.69, 2.4)       # a proxy dials again after this time
PUSH_MS = (110, 480)
SYNC_MS = (110, 420)
WRITE_S = (0.004, 0.018)     # below extra.inFlightMaxUs
RATE = 40.0                  # writes a second of each proxy
DRAINED = 3                  # one step of a rolling deploy: a fifth of the servers


class Servers:
    """Runs the writes, and checks the rule as it is written: two clauses."""

    def __init__(self, record, relay):
        self.record = record
        self.relay = relay
        self.running = {}      # slice -> list of (server, proxy)
        self.order = {}        # slice -> {server: when it last became the owner}
        self.accepted = {}     # slice -> (latest ownership of which a write was accepted, server)
        self.turn = 0
        self.writes = 0
        self.broken = []

    def owners_of(self, orders):
        for words in orders:
            if words[0] == "put" and float(words[3]) > 0:
                self.turn += 1
                self.order.setdefault(int(words[1]), {})[words[2]] = self.turn

    async def write(self, proxy, table, server):
        await asyncio.sleep(0.001)  # the way to the server
        running = self.running.setdefault(table, [])
        others = sorted({s for s, _ in running if s != server})
        turn = self.order.get(table, {}).get(server, 0)
        latest, owner = self.accepted.get(table, (-1, ""))
        how = "its stream is broken" if not proxy.joined else "joined"
        if others:
            self.broken.append(f"slice {table}: write of proxy {proxy.number} ({how}) at {server} while one runs "
                               f"at {others[0]}")
            self.record("BROKEN " + self.broken[-1])
        elif turn < latest:
            self.broken.append(f"slice {table}: write of proxy {proxy.number} ({how}) at the former owner "
                               f"{server}, after {owner} had accepted one")
            self.record("BROKEN " + self.broken[-1])
        if turn > latest:
            self.accepted[table] = (turn, server)
            if latest >= 0:
                self.record(f"slice {table}: {server} accepts its first write, by proxy {proxy.number}")
        me = (server, proxy.number)
        running.append(me)
        self.writes += 1
        await asyncio.sleep(random.uniform(*WRITE_S))
        running.remove(me)


async def case(record, folder):
    loop = asyncio.get_event_loop()
    discovery = Discovery(record)
    relay = Relay(record, ["lookup", "order"], PUSH_MS, SYNC_MS, one_owner=True)
    await discovery.start()
    await relay.start()
    for k, server in enumerate(SERVERS):
        discovery.put(server, ZONES[k % 3], "SERVING")
        relay.known_servers.add(server)
    servers = Servers(record, relay)
    relay.on_call = servers.owners_of
    for table in range(SLICES):
        server = SERVERS[table % len(SERVERS)]
        relay.store[table] = {server: 1.0}
        servers.order[table] = {server: 0}
        servers.accepted[table] = (0, server)

    listen = f"{HOST}:{free_port()}"

    def one_owner(settings):
        settings["extra"]["oneOwner"] = True

    supervisor = Supervisor(record, folder, configuration(
        listen, f"{HOST}:{discovery.port}", f"{HOST}:{relay.port}", f"{random.getrandbits(64):016x}", one_owner))
    try:
        supervisor.start()
        await supervisor.ready()
        proxies = [Proxy(n, ZONES[n % 3], relay) for n in range(PROXIES)]
        for proxy in proxies:
            relay.join(proxy, standing=1)
        collectors = Collectors(listen, ZONES)
        tasks = [asyncio.ensure_future(collectors.run())]

        async def requests(proxy):
            while True:
                await asyncio.sleep(random.expovariate(RATE))
                table = random.randrange(SLICES)
                # The page: a proxy keeps sending writes for leaseUs after its stream broke, then sends none until
                # it has read the store.
                lease = proxy.broken_at is not None and loop.time() < proxy.broken_at + LEASE
                may_write = proxy.has_read or lease
                server = proxy.pick(table) if may_write else None
                collectors.requested(table, "order", 0 if server else 1)
                if server is None:
                    continue
                collectors.tried(proxy.zone, server, True, 12.0)
                asyncio.ensure_future(servers.write(proxy, table, server))

        for proxy in proxies:
            tasks.append(asyncio.ensure_future(requests(proxy)))
        await asyncio.sleep(8)

        if trouble():
            record(f"trouble: {BROKEN} of {PROXIES} streams break at once")
            for proxy in random.sample(proxies, BROKEN):
                relay.break_stream(proxy, random.uniform(*NOTICED_MS))
                loop.call_later(random.uniform(*REDIAL_S), relay.join, proxy)
        await asyncio.sleep(0.45)
        # In both runs: a step of a rolling deploy. The servers drain, and end 6 s later.
        for server in SERVERS[:DRAINED]:
            discovery.put(server, ZONES[SERVERS.index(server) % 3], "DRAINING")
        await asyncio.sleep(6)
        for server in SERVERS[:DRAINED]:
            discovery.put(server, ZONES[SERVERS.index(server) % 3], "DELETED")
        await asyncio.sleep(4)
        check_tasks(tasks)
        for task in tasks:
            task.cancel()
        moved = sum(1 for t in range(0, SLICES) if t % len(SERVERS) < DRAINED
                    and not set(relay.store[t]) & set(SERVERS[:DRAINED]) and relay.store[t])
        record(f"{servers.writes} writes ran; {moved} of {SLICES * DRAINED // len(SERVERS)} slices have left the "
               "drained servers")
        if moved == 0:
            raise CannotRun("no slice has left the drained servers")
        if supervisor.process.poll() is not None:
            servers.broken.append("the supervisor has ended")
        return servers.broken
    finally:
        supervisor.stop()


if __name__ == "__main__":
    sys.exit(main(case, os.path.join(HERE, "record.txt")))  # record.txt: what was sent, answered and run
