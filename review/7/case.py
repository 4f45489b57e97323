"""A removal of owners that was never carried out: a call without an answer, then a reset under the next call."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins as s  # noqa: E402

ZONES = ["via-roma", "deposito-nord", "contrada-sud"]
CLASSES = [{"name": "preventivo", "aimUs": 2500000, "hardLimitUs": 6000000, "effect": "repeatable", "worth": 1.0},
           {"name": "prenota", "aimUs": 3000000, "hardLimitUs": 10000000, "effect": "once", "worth": 3.0}]
SERVERS = 10
SLICES = 30
FIRST, SECOND = "s-1", "s-3"   # the servers that drain, one shortly after the other


async def case(folder):
    settings = s.settings(CLASSES, {"shards": SLICES, "oneOwner": True, "leaseUs": 800000, "inFlightMaxUs": 1000000,
                                    "mutating": [False, True], "updateCap": 0,
                                    "pushDelayUs": 305000, "pushDelayMaxUs": 762500}, {"drainGraceUs": 3000000}, ZONES)
    world = s.World(folder, settings, ZONES, one_owner=True)
    try:
        await world.start()
        names = ["s-%d" % k for k in range(SERVERS)]
        for k, name in enumerate(names):
            world.add_server(name, ZONES[k % 3])
            world.servers[name].time = lambda: s.random.uniform(0.6, 0.95)
        for number in range(SLICES):
            world.relay.tables[number] = {names[number % SERVERS]: "1.0"}
        world.add_proxies(8, (0.2, 0.76))
        writes = s.OwnerRule(world, "prenota")
        world.on_attempt = writes.begin
        traffic = asyncio.ensure_future(world.traffic(140, [0.7, 0.3], {3: 2, 13: 2, 23: 2}))
        world.collectors()
        await world.supervisor()
        await asyncio.sleep(8)

        told = []
        reset = []

        def on_call(orders):
            if not told and any(order.endswith(",%s,0" % FIRST) for order in orders):
                told.append(SECOND)
                world.discovery.state(SECOND, "DRAINING")
                return "run, no answer" if s.TROUBLE else "run"
            if s.TROUBLE and not reset and any(order.endswith(",%s,0" % SECOND) for order in orders):
                reset.append(True)
                return "reset unrun"
            return "run"

        world.relay.on_call = on_call
        world.discovery.state(FIRST, "DRAINING")
        await asyncio.sleep(12)
        traffic.cancel()
        return writes.result()
    finally:
        world.close()


s.main(case)
