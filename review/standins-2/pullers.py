"""Clients on slow lines, in a process of their own: each keeps a connection to a machine and fetches one large answer after
the other, as fast as its line takes it. When its machine has gone, it goes on at the other one.

Arguments: seconds, clients, bytes a second of each line, first machine, other machine (each ip:port).
Prints a JSON list with one entry for each request.
"""

import asyncio
import json
import random
import socket
import sys

import rig

DEADLINE_MS = 5000


class NoRecord:
    def write(self, *_, **__):
        pass


class SlowClient(rig.Client):
    """A client whose line takes `rate` bytes a second."""

    def __init__(self, front, rate):
        super().__init__(NoRecord(), front)
        self.rate = rate
        self.pump = None

    async def connect(self):
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        raw.setblocking(False)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(raw, self.front), 1)
        except (OSError, asyncio.TimeoutError):
            raw.close()
            raise
        line, self.writer = await asyncio.open_connection(sock=raw, limit=32768)
        self.reader = asyncio.StreamReader(limit=1 << 22)
        self.pump = asyncio.ensure_future(self.carry(line, self.reader))

    async def carry(self, line, reader):
        """Passes on what the line has carried, at its rate."""
        try:
            while True:
                data = await line.read(16384)
                if not data:
                    break
                self.received += len(data)
                reader.feed_data(data)
                await asyncio.sleep(len(data) / self.rate)
        except OSError:
            pass
        reader.feed_eof()


async def pull(fronts, rate, until, results):
    client = SlowClient(fronts[0], rate)
    client.received = 0
    await asyncio.sleep(random.uniform(0, 2))
    answered_on_connection = 0
    while rig.now() < until:
        if client.writer is None:
            answered_on_connection = 0
        client.received = 0
        started = rig.now()
        attempt, _, answer = await client.request("/archive/book", deadline_ms=DEADLINE_MS)
        results.append({"id": attempt, "to": client.front[0], "kept": answered_on_connection > 0, "at": round(started, 3),
                        "status": answer.status if answer else None, "bytes": client.received,
                        "s": round(rig.now() - started, 3)})
        if answer:
            answered_on_connection += 1
            await asyncio.sleep(random.uniform(0, 0.2))
            continue
        client.close()
        if not await can_connect(client.front):
            client.front = fronts[1]
        await asyncio.sleep(0.1)


async def can_connect(front):
    try:
        _, writer = await asyncio.wait_for(asyncio.open_connection(*front), 1)
        writer.close()
        return True
    except (OSError, asyncio.TimeoutError):
        return False


async def main():
    seconds, clients, rate = float(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    fronts = [(ip, int(port)) for ip, port in (text.split(":") for text in sys.argv[4:6])]
    results = []
    await asyncio.gather(*(pull(fronts, rate, rig.now() + seconds, results) for _ in range(clients)))
    print(json.dumps(results))


asyncio.run(main())
