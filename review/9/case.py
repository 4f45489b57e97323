"""An answered update of a zone is undone: the same bytes of an older update, answered before, are applied later."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins as s  # noqa: E402
import zone as z  # noqa: E402

ZONES = ["belen", "itagui", "bello"]
CLASSES = [{"name": "cart-read", "aimUs": 750000, "hardLimitUs": 2500000, "effect": "repeatable", "worth": 3.0},
           {"name": "place-order", "aimUs": 1200000, "hardLimitUs": 3000000, "effect": "by_key",
            "dedupScope": "cell", "keyTtlUs": 2000000, "worth": 9.0}]
SERVERS = 8
SLICES = 48
GONE = 7                      # the server that is taken out of the zone
ALLOWED = 2.0 + 0.3 + 2.0     # the grace, what sockets get on top, and 2 s


async def case(folder):
    world = s.World(folder, s.settings(CLASSES, {"shards": SLICES, "mutating": [False, True]}, {}, ZONES), ZONES)
    try:
        await world.start()
        names = ["s-%d" % k for k in range(SERVERS)]
        for k, name in enumerate(names):
            world.add_server(name, ZONES[k % 3], endpoint="%s:3000" % z.address(k))
            world.servers[name].breaks = 0.02
        for number in range(SLICES):
            world.relay.tables[number] = {names[number % SERVERS]: "1.0"}
        world.add_proxies(8, (0.11, 0.48))
        zone = z.Zone(world, range(SERVERS), ZONES[0])
        removed_at = [None]
        late = []

        def attempt(proxy, request, uid, _span):
            now = world.record.now()
            if uid == names[GONE] and removed_at[0] is not None and now > removed_at[0] + ALLOWED:
                late.append(now - removed_at[0])
                if len(late) < 20:
                    world.record("RULE BROKEN: proxy %d sends request %d of slice %d to %s, %.1f s after its removal "
                                 "was answered" % (proxy.number, request["id"], request["slice"], uid, late[-1]))

        world.on_attempt = attempt
        asyncio.ensure_future(world.traffic(200))
        world.collectors()
        await world.supervisor({"PEARGRADE_OPERATOR": zone.operator})
        await asyncio.sleep(6)

        # One tool registers the server again, which it does at regular times: the zone has these records already.
        # Another one takes it out of the zone for good.
        losses = [1 if s.TROUBLE else 0]

        def drop():
            losses[0] -= 1
            return losses[0] >= 0

        network = await z.forwarder(world.record, zone.listen, drop)
        register = asyncio.ensure_future(zone.update("register", z.lines("add", GONE), network))
        await asyncio.sleep(0.15)
        code = await zone.update("remove", z.lines("delete", GONE))
        if code != 0:
            raise s.CannotRun("the removal was not accepted: %d" % code)
        removed_at[0] = world.record.now()
        await register
        await asyncio.sleep(8)
        # The usual work goes on: another server drains, its slices go to the servers in service.
        world.discovery.state(names[0], "DRAINING")
        await asyncio.sleep(12)
        orders = [f for at, f in world.relay.orders_seen if at > removed_at[0] + ALLOWED and names[GONE] in f]
        world.record("orders about %s since: %s" % (names[GONE], orders[:8]))
        return bool(late), "%d requests reached a server %.1f s and more after its removal was answered" % (
            len(late), ALLOWED)
    finally:
        world.close()


s.main(case)
