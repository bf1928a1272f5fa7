"""One of seven servers fails two fifths of its requests with an answer 503 of its own, after it has run them."""

import asyncio
import collections
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import rig

PROMISES = (408, 421, 429, 503)
RECORDS_PER_MACHINE = 250
CLIENTS_PER_MACHINE = 2


async def case(record):
    store = rig.Store(record)
    await store.listen()
    fleet = rig.Fleet(record, store, 3)
    servers = [rig.Server(record, store, f"i-{number}", "ascent-ledger") for number in range(7)]
    filed = collections.Counter()  # how often each record was filed by a server
    arrived = collections.Counter()

    async def file(server, request, attempt, writer):
        server.run(attempt)
        filed[request.body] += 1
        arrived[server.name] += 1
        await asyncio.sleep(server.work_s)
        if rig.has_trouble() and server is servers[0] and arrived[server.name] % 5 in (1, 3):
            # The record is filed; what comes after that fails. No X-Lycheewall-Not-Executed: the request has run.
            record.write("fails", server=server.name, id=attempt, status=503)
            server.answer(writer, attempt, 503, b"the mail to the editors could not be sent")
        else:
            server.answer(writer, attempt)
        return True

    answers = {}

    async def client(machine, first):
        connection = rig.Client(record, machine.front)
        for number in range(first, RECORDS_PER_MACHINE, CLIENTS_PER_MACHINE):
            body = f"ascent {machine.name} {number}".encode()
            attempt, _, answer = await connection.request("/ascent/file", "POST", body)
            answers[attempt] = answer
            if answer and answer.status in PROMISES:
                # "They retry non_idempotent requests only after a promise", on a new connection.
                connection.close()
                attempt, _, answer = await connection.request("/ascent/file", "POST", body)
                answers[attempt] = answer
            await asyncio.sleep(0.01)
        connection.close()

    try:
        for server in servers:
            await server.listen()
            server.behave = file
            server.register()
        store.put("op/config", rig.configuration(
            1, [rig.route("ascent", "ascent-ledger", kind="non_idempotent")], ["ascent-ledger"]))
        if not await fleet.start():
            raise RuntimeError("a machine did not become ready")
        await asyncio.sleep(1)
        await asyncio.gather(*(client(machine, first) for machine in fleet.machines for first in range(CLIENTS_PER_MACHINE)))
        await asyncio.sleep(0.5)
        ran = collections.Counter(attempt for server in servers for _, attempt in server.runs)
        statuses = collections.Counter(answer.status if answer else None for answer in answers.values())
        broken = [attempt for attempt, answer in answers.items() if answer and answer.status in PROMISES and ran[attempt]]
        for attempt in broken:
            record.write("broken", id=attempt, status=answers[attempt].status, runs=ran[attempt])
        record.write("sum", requests=len(answers), statuses=dict(statuses), promised_but_ran=len(broken),
                     records_filed_twice=sum(count > 1 for count in filed.values()))
        if len(ran) < RECORDS_PER_MACHINE:
            raise RuntimeError("too few requests ran")
        return not broken
    finally:
        await fleet.end()


rig.main(case)
