"""A zone that the installation keeps, and the command that changes it."""
import asyncio
import base64
import os
import subprocess

import standins as s

ORIGIN = "example.org"
SERVICE = "_orders._tcp"


def address(k):
    return "127.0.9.%d" % (k + 1)


def lines(verb, k):
    """The lines of a script or of a zone file for server k."""
    if verb == "file":
        return "host-%d 60 IN A %s\n%s 60 IN SRV 0 10 3000 host-%d\n" % (k, address(k), SERVICE, k)
    if verb == "add":
        return "add host-%d 60 A %s\nadd %s 60 SRV 0 10 3000 host-%d\n" % (k, address(k), SERVICE, k)
    return "delete host-%d A\ndelete %s SRV 0 10 3000 host-%d\n" % (k, SERVICE, k)


class Zone:
    """The folder, the keys and the operator's file of one zone with authority, whose updates come to `listen`."""

    def __init__(self, world, servers, place):
        self.world = world
        self.folder = world.temporary
        self.listen = "%s:%d" % (s.HOST, s.free_port())
        self.state = os.path.join(self.folder, "state")
        os.mkdir(self.state)
        self.keys = self.write("keys.kdl", 'key "deploy" algorithm="hmac-sha256" secret="%s"\n'
                               % base64.b64encode(os.urandom(32)).decode())
        os.chmod(self.keys, 0o600)
        self.write_file(servers, 1)
        self.operator = self.write("operator.kdl", """version 1
sources {
    roster true
    zone "orders" {
        origin "%s"
        service "%s.%s"
        place zone="%s"
        authority true
        folder "%s"
        file "orders.zone"
        state "%s"
        listen "%s"
        keys "%s"
        grant key="deploy" name="*.%s" types="SRV A AAAA TXT"
    }
    merge {
        first-answer-warm true
    }
}
""" % (ORIGIN, SERVICE, ORIGIN, place, self.folder, self.state, self.listen, self.keys, ORIGIN))

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        return path

    def write_file(self, servers, serial):
        """Replaces the zone file."""
        text = "$ORIGIN %s.\n@ 60 IN SOA ns hostmaster %d 3600 600 86400 60\n@ 60 IN NS ns\nns 60 IN A 127.0.9.250\n"
        new = self.write("orders.zone.new", text % (ORIGIN, serial) + "".join(lines("file", k) for k in servers))
        os.rename(new, os.path.join(self.folder, "orders.zone"))

    async def update(self, name, script, server=None):
        """Runs `peargrade zone update`; returns its exit code."""
        path = self.write(name + ".script", script)
        command = [os.path.join(s.ROOT, "build", "peargrade"), "zone", "update", path, "--origin", ORIGIN,
                   "--server", server or self.listen, "--key", self.keys]
        self.world.record("%s: sends %s" % (name, "; ".join(script.strip().split("\n"))))
        child = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=self.world.log, stderr=self.world.log)
        self.world.children.append(child)
        while child.poll() is None:
            await asyncio.sleep(0.01)
        self.world.record("%s: exit code %d" % (name, child.returncode))
        return child.returncode


class Forwarder(asyncio.DatagramProtocol):
    """Passes datagrams on to the supervisor, and its answers back unless `drop` says so."""

    def __init__(self, record, target, drop):
        self.record, self.target, self.drop = record, target, drop
        self.transport = None
        self.upstream = {}

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        asyncio.ensure_future(self.forward(data, addr))

    async def forward(self, data, addr):
        if addr not in self.upstream:
            host, port = self.target.split(":")
            outer = self

            class Back(asyncio.DatagramProtocol):
                def datagram_received(self, answer, _addr):
                    outer.back(answer, addr)

            self.upstream[addr], _ = await asyncio.get_running_loop().create_datagram_endpoint(
                Back, remote_addr=(host, int(port)))
        self.record("network: a request of %d bytes passes" % len(data))
        self.upstream[addr].sendto(data)

    def back(self, answer, addr):
        rcode = answer[3] & 15
        if self.drop():
            self.record("network: the answer (code %d) is lost" % rcode)
            return
        self.record("network: the answer (code %d) passes" % rcode)
        self.transport.sendto(answer, addr)


async def forwarder(record, target, drop):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Forwarder(record, target, drop), local_addr=(s.HOST, 0))
    return "%s:%d" % transport.get_extra_info("sockname")
