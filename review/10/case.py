"""Answered updates of a zone are lost: a newer zone file replaces the store, which is authoritative."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins as s  # noqa: E402
import zone as z  # noqa: E402

SERVERS = 8
SLICES = 48
GONE = 7                      # the server that is drained and then removed by updates
ALLOWED = 2.0 + 0.3 + 2.0     # the grace, what sockets get on top, and 2 s


async def case(folder):
    world = s.World.medellin(folder, SLICES)
    try:
        await world.start()
        names = ["s-%d" % k for k in range(SERVERS)]
        for k, name in enumerate(names):
            world.add_server(name, world.zones[k % 3], endpoint="%s:3000" % z.address(k))
        for number in range(SLICES):
            world.relay.tables[number] = {names[number % SERVERS]: "1.0"}
        world.add_proxies(8, (0.11, 0.48))
        zone = z.Zone(world, range(SERVERS), world.zones[0])
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
        if await zone.update("drain", "add host-%d 60 TXT state=draining\n" % GONE) != 0:
            raise s.CannotRun("the drain was not accepted")
        await asyncio.sleep(6)
        script = z.lines("delete", GONE) + "delete host-%d TXT\n" % GONE
        if await zone.update("remove", script) != 0:
            raise s.CannotRun("the removal was not accepted")
        removed_at[0] = world.record.now()
        await asyncio.sleep(6)
        if s.TROUBLE:
            zone.write_file(range(SERVERS), 20)
            world.record("the zone file is replaced, serial 20; it still lists host-%d" % GONE)
        await asyncio.sleep(15)
        # The usual work goes on: another server drains, its slices go to the servers in service.
        world.discovery.state(names[0], "DRAINING")
        await asyncio.sleep(12)
        return bool(late), "%d requests reached a server %.1f s and more after its removal was answered" % (
            len(late), ALLOWED)
    finally:
        world.close()


s.main(case)
