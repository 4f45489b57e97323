"""A proxy keeps servers withdrawn that the supervisor has let back in while the proxy's stream was broken."""

import asyncio
import math
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
sys.dont_write_bytecode = True

from settings import SETTINGS, ZONES, configuration  # noqa: E402
from standins import (HOST, CannotRun, Collectors, Discovery, Proxy, Relay, Supervisor,  # noqa: E402
                      check_tasks, free_port, main, trouble)

SERVERS = [f"s-{k:02d}" for k in range(15)]
SLICES = 90
PROXIES = 12
BROKEN = 6                     # streams that break: half; the page: 24 to 84%
NOTICED_MS = (260, 400)        # the page: 260 to 2,100 ms
REDIAL_S = (0.69, 2.4)
PUSH_MS = (110, 480)
SYNC_MS = (110, 420)
RATE = 20.0                    # requests a second of each proxy
WORK = {"lookup": (0.13, 0.79), "order": (0.23, 0.87)}  # mean in seconds, variation: the site file
BEGIN = 14.0                   # of the rolling restart
STEPS, STEP_SERVERS = 4, 3     # 12 of 15 servers, a fifth at a time; the page: up to 87%, up to 20% at a time
STEP = 6.0                     # between two steps: 24 s in all; the page: 22 to 34 s
DOWN_AFTER, UP_AFTER = 2.6, 5.0  # of a step's servers, after they began to drain
ENDS = 65.0
BARE = SETTINGS["extra"]["blackholeUs"] / 1e6 + 0.3  # the page: 300 ms longer on sockets
WARM = SETTINGS["rules"]["warmAfterUs"] / 1e6


async def case(record, folder):
    loop = asyncio.get_event_loop()
    discovery = Discovery(record)
    relay = Relay(record, ["lookup", "order"], PUSH_MS, SYNC_MS)
    await discovery.start()
    await relay.start()
    ready_since = {}  # server -> since when it is listed as ready and no longer cold
    for k, server in enumerate(SERVERS):
        discovery.put(server, ZONES[k % 3], "SERVING")
        relay.known_servers.add(server)
        ready_since[server] = 0.0
    for table in range(SLICES):
        relay.store[table] = {SERVERS[table % len(SERVERS)]: 1.0}
    listen = f"{HOST}:{free_port()}"
    supervisor = Supervisor(record, folder, configuration(
        listen, f"{HOST}:{discovery.port}", f"{HOST}:{relay.port}", f"{random.getrandbits(64):016x}"))
    broken = []
    bare_since = {}  # (proxy, slice) -> when
    reported = set()
    refused = [0]
    worst = [0.0]

    def check(proxies):
        """Rule 1 as written."""
        now = loop.time()
        if not any(since is not None and now >= since for since in ready_since.values()):
            bare_since.clear()
            return
        for proxy in proxies:
            for table in range(SLICES):
                key = (proxy.number, table)
                if not proxy.joined or not proxy.has_read or proxy.lines(table):
                    bare_since.pop(key, None)
                    continue
                for_s = now - bare_since.setdefault(key, now)
                worst[0] = max(worst[0], for_s)
                if for_s > BARE and key not in reported:
                    reported.add(key)
                    broken.append(f"proxy {proxy.number} is joined and has had no line to pick for slice {table} for "
                                  f"{for_s:.1f} s: its table is {proxy.tables.get(table)}, withdrawn at this proxy are "
                                  f"{sorted(proxy.withdrawn)}")
                    if len(broken) <= 20:
                        record("BROKEN " + broken[-1])

    try:
        supervisor.start()
        await supervisor.ready()
        proxies = [Proxy(n, ZONES[n % 3], relay) for n in range(PROXIES)]
        for proxy in proxies:
            relay.join(proxy, standing=1)
        collectors = Collectors(listen, ZONES)
        began = loop.time()
        tasks = [asyncio.ensure_future(collectors.run())]

        async def serve(proxy):
            cls = "order" if random.random() < 0.46 else "lookup"
            table = random.randrange(SLICES)
            level, _ = proxy.gate(table, cls, 0)
            server = proxy.pick(table)
            if server is None or random.random() >= level:
                refused[0] += server is None
                collectors.requested(table, cls, 1 if server is None else 0)
                return
            mean, cv = WORK[cls]
            variance = math.log(1 + cv * cv)
            work = random.lognormvariate(math.log(mean) - variance / 2, math.sqrt(variance))
            await asyncio.sleep(work)
            collectors.requested(table, cls)
            collectors.tried(proxy.zone, server, True, 1000 * work)

        async def requests(proxy):
            while True:
                await asyncio.sleep(random.expovariate(RATE))
                asyncio.ensure_future(serve(proxy))

        async def watch_rule():
            while True:
                await asyncio.sleep(0.05)
                check(proxies)

        tasks += [asyncio.ensure_future(requests(proxy)) for proxy in proxies]
        tasks.append(asyncio.ensure_future(watch_rule()))

        async def restart(servers):
            """One step of the rolling restart, in both runs."""
            listed = [(server, ZONES[SERVERS.index(server) % 3]) for server in servers]
            for server in servers:
                ready_since[server] = None
            discovery.put_all(listed, "DRAINING")
            await asyncio.sleep(DOWN_AFTER)
            discovery.put_all(listed, "DELETED")
            await asyncio.sleep(UP_AFTER - DOWN_AFTER)
            discovery.put_all(listed, "SERVING", int(time.time() * 1000) - 300)
            for server in servers:
                ready_since[server] = loop.time() + WARM

        first = set(SERVERS[:STEP_SERVERS])
        state = {"broken": False}

        def break_streams():
            record(f"trouble: {BROKEN} of {PROXIES} streams break at once")
            for proxy in random.sample(proxies, BROKEN):
                record(f"proxy {proxy.number} goes on with what it holds; withdrawn are {sorted(proxy.withdrawn)}")
                relay.break_stream(proxy, random.uniform(*NOTICED_MS))
                loop.call_later(random.uniform(*REDIAL_S), relay.join, proxy)

        def on_call(orders):
            # The first step's servers are shut out: half a second later the streams break.
            first.difference_update({w[1] for w in orders if w[0] == "eject"})
            if not first and not state["broken"]:
                state["broken"] = True
                if trouble():
                    loop.call_later(0.5, break_streams)

        relay.on_call = on_call
        await asyncio.sleep(BEGIN)
        for step in range(STEPS):
            servers = SERVERS[step * STEP_SERVERS:(step + 1) * STEP_SERVERS]
            tasks.append(asyncio.ensure_future(restart(servers)))
            await asyncio.sleep(STEP)
        await asyncio.sleep(ENDS - (loop.time() - began))
        check_tasks(tasks)
        for task in tasks:
            task.cancel()
        if not state["broken"]:
            raise CannotRun("the supervisor did not shut out the servers of the first step")
        for proxy in proxies:
            if proxy.withdrawn:
                record(f"at the end proxy {proxy.number} holds as withdrawn {sorted(proxy.withdrawn)}")
        record(f"{refused[0]} requests found no server; the longest time of a joined proxy without a line is "
               f"{worst[0]:.1f} s, the limit {BARE:.1f} s; pairs of proxy and slice beyond it: {len(broken)}")
        if supervisor.process.poll() is not None:
            broken.append("the supervisor has ended")
        return broken
    finally:
        supervisor.stop()


if __name__ == "__main__":
    sys.exit(main(case, os.path.join(HERE, "record.txt")))  # record.txt: what was sent, answered and run
