"""A class that may run once only is tried again: a new configuration does not reach the slices' own levels."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins as s  # noqa: E402

SERVERS = 15
SLICES = 90
# After SIGHUP time limits wait 4 s; a message takes 0.48 s at most and waits for the engine's pace. Generously:
SETTLED = 10.0


async def case(folder):
    world = s.World.medellin(folder, SLICES, "repeatable" if s.TROUBLE else "once")
    try:
        await world.start()
        names = ["s-%02d" % k for k in range(SERVERS)]
        for k, name in enumerate(names):
            world.add_server(name, world.zones[k % 3])
        for number in range(SLICES):
            world.relay.tables[number] = {names[number % SERVERS]: "1.0"}
        world.add_proxies(8, (0.11, 0.48))
        once_from = [None if s.TROUBLE else 0.0]
        broken = []

        def attempt(proxy, request, uid, _span):
            if request["kind"] != "cart-read" or request["runs"] < 2 or once_from[0] is None:
                return
            if request["begun"] > once_from[0] + SETTLED:
                broken.append(request["id"])
                if len(broken) < 20:
                    world.record("RULE BROKEN: proxy %d runs request %d of cart-read, slice %d, a second time, at %s; "
                                 "its ways of trying again: slice %s, all %s"
                                 % (proxy.number, request["id"], request["slice"], uid,
                                    proxy.gates.get((str(request["slice"]), "cart-read")),
                                    proxy.gates.get(("*", "cart-read"))))

        world.on_attempt = attempt
        asyncio.ensure_future(world.traffic(200))
        world.collectors()
        operator = os.path.join(world.temporary, "operator.kdl")
        with open(operator, "w", encoding="utf-8") as f:
            f.write("version 1\nconfiguration { settings-reload true }\n")
        child = await world.supervisor({"PEARGRADE_OPERATOR": operator}, version=1)
        await asyncio.sleep(12)
        # A part of a rolling deploy, with and without the disruption.
        for k in range(3):
            world.new_server("t-%02d" % k, world.zones[k])
            await asyncio.sleep(2.5)
            world.discovery.state(names[k], "DRAINING")
            asyncio.get_running_loop().call_later(4, world.remove_server, names[k])
            await asyncio.sleep(1)
        await asyncio.sleep(14)
        own = sorted({f[1] for _, f in world.relay.orders_seen if f[0] == "gate" and f[1] != "*"}, key=int)
        world.record("slices with levels of their own: %s" % ", ".join(own))
        if not own:
            raise s.CannotRun("no slice has got a level of its own")
        # From now on one request in twenty loses its connection after it has run.
        for server in world.servers.values():
            server.breaks = 0.05
        if s.TROUBLE:
            world.settings["classes"] = s.medellin("once")
            world.configuration(version=2)
            child.send_signal(signal.SIGHUP)
            once_from[0] = world.record.now()
            world.record("SIGHUP: version 2, cart-read may run once only")
        await asyncio.sleep(SETTLED + 30)
        if child.poll() is not None:
            raise s.CannotRun("the supervisor ended with %s" % child.returncode)
        return bool(broken), "%d requests of a class that may run once ran again" % len(broken)
    finally:
        world.close()


s.main(case)
