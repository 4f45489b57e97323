"""A name server of one service, in a process of its own: nameserver.py ORIGIN FIRST LAST prints its port and answers.

It lists the servers host-FIRST to host-LAST of _orders._tcp.ORIGIN at 127.0.9.(number + 1), port 3000.
"""
import socket
import struct
import sys


def name(text):
    return b"".join(bytes([len(part)]) + part.encode() for part in text.split(".")) + b"\0"


def answer(data, origin, numbers):
    at, labels = 12, []
    while data[at]:
        labels.append(data[at + 1:at + 1 + data[at]].decode().lower())
        at += 1 + data[at]
    kind = struct.unpack(">H", data[at + 1:at + 3])[0]
    records = []
    if kind == 33 and labels[0] == "_orders":
        records = [struct.pack(">HHH", 0, 10, 3000) + name("host-%d.%s" % (k, origin)) for k in numbers]
    elif kind == 1 and labels[0].startswith("host-"):
        records = [bytes([127, 0, 9, int(labels[0][5:]) + 1])]
    body = b"".join(b"\xc0\x0c" + struct.pack(">HHIH", kind, 1, 30, len(r)) + r for r in records)
    return data[:2] + struct.pack(">HHHHH", 0x8580, 1, len(records), 0, 0) + data[12:at + 5] + body


def main():
    origin, first, last = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    print(sock.getsockname()[1], flush=True)
    while True:
        data, addr = sock.recvfrom(4096)
        sock.sendto(answer(data, origin, range(first, last + 1)), addr)


main()
