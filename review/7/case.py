"""A drain that is lost: the relay leaves one call unanswered and dies before it carries out the next one."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins as s  # noqa: E402

ZONES = ["belen", "itagui", "bello"]
CLASSES = [{"name": "cart-read", "aimUs": 750000, "hardLimitUs": 2500000, "effect": "repeatable", "worth": 3.0},
           {"name": "place-order", "aimUs": 1200000, "hardLimitUs": 3000000, "effect": "by_key",
            "dedupScope": "cell", "keyTtlUs": 2000000, "worth": 9.0}]
SERVERS = 16
TRIALS = 5
DOWN = 0.5       # seconds that the relay is away
# The grace, 0.3 s more on sockets, and what the page adds: 1.5 s for a silent call, 0.5 s for a broken one, 4 s for the
# news; the relay's absence is added as well, and 2 s on top.
ALLOWED = 2.0 + 0.3 + 1.5 + 0.5 + 4.0 + DOWN + 2.0


async def case(folder):
    world = s.World(folder, s.settings(CLASSES, {"shards": 96, "mutating": [False, True]}, {}, ZONES), ZONES)
    try:
        await world.start()
        names = ["s-%02d" % k for k in range(SERVERS)]
        for k, name in enumerate(names):
            world.add_server(name, ZONES[k % 3])
        for number in range(96):
            world.relay.tables[number] = {names[number % SERVERS]: "1.0"}
        world.add_proxies(8, (0.2, 0.48))
        told = {}
        late = []

        def attempt(proxy, request, uid, _span):
            if uid in told and world.record.now() > told[uid] + ALLOWED:
                late.append((uid, world.record.now() - told[uid]))
                if len(late) < 20:
                    world.record("RULE BROKEN: proxy %d sends request %d of slice %d to %s, %.1f s after its drain"
                                 % (proxy.number, request["id"], request["slice"], uid, late[-1][1]))
        world.on_attempt = attempt
        asyncio.ensure_future(world.traffic(200))
        world.collectors()
        await world.supervisor()
        await asyncio.sleep(12)

        def drain(name):
            world.discovery.state(name, "DRAINING")
            told[name] = world.record.now()

        # A rolling deploy: in each step a server drains and a successor starts. The relay's failure comes with the
        # first call after the successor's start that moves a slice to a recovering server.
        for trial in range(TRIALS):
            drained = ""
            world.new_server("t-%02d" % trial, ZONES[trial % 3])
            died = asyncio.Event()
            moved = asyncio.Event()

            def on_call(orders):
                nonlocal drained
                fields = [order.split(",") for order in orders]
                raised = {f[1] for f in fields if f[0] == "put" and f[3] == "1"}
                moves = {f[1] for f in fields if f[0] == "put" and f[3] == "0" and f[1] in raised}
                if moves and not moved.is_set():
                    moved.set()
                    used = {f[2] for f in fields if f[0] == "put"}
                    used.update(*(world.relay.tables[int(k)] for k in moves))
                    drained = next(x for x in names if x not in used and x not in told)
                    drain(drained)
                    return "run, no answer" if s.TROUBLE else "run"
                if s.TROUBLE and moved.is_set() and not died.is_set() and any(drained in o for o in orders):
                    died.set()
                    return "reset unrun"
                return "run"

            world.relay.on_call = on_call
            await asyncio.wait_for(moved.wait(), 15)
            if s.TROUBLE:
                await asyncio.wait_for(died.wait(), 5)
                await world.relay.down()
                await asyncio.sleep(DOWN)
                await world.relay.up()
            await asyncio.sleep(3)
            left = [k for k, table in world.relay.tables.items() if drained in table]
            if left and not any(f[:2] == ["eject", drained] for _, f in world.relay.orders_seen):
                world.record("no order about %s has reached the relay, tables %s name it" % (drained, left))
                break
        await asyncio.sleep(max(told.values()) + ALLOWED + 6 - world.record.now())
        text = "%d requests reached a draining server too late" % len(late)
        if late:
            text += "; server %s, up to %.1f s after its drain" % (late[0][0], max(span for _, span in late))
        return bool(late), text
    finally:
        world.close()


s.main(case)
