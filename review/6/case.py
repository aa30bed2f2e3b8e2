"""A request with two lengths, and what its body holds."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

import world as stand_ins  # noqa: E402  pylint: disable=wrong-import-position


async def send(world, daemon, data, wait_s=1.5):
    """Sends bytes on a new connection; returns the statuses that come back."""
    reader, writer = await asyncio.open_connection(stand_ins.IP, daemon.port)
    writer.write(data)
    received = b""
    try:
        async with asyncio.timeout(wait_s):
            while part := await reader.read(65536):
                received += part
    except (TimeoutError, ConnectionError):
        pass
    writer.close()
    statuses = [
        int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]
    ]
    world.record.add("answers on this connection:", statuses)
    return statuses


def outer(name, lengths, body):
    """Returns one request whose body holds another one as its data."""
    data = stand_ins.encode_request(stand_ins.POST, name, body, 4000)
    head, _, body = data.partition(b"\r\n\r\n")
    lines = [
        line for line in head.split(b"\r\n")
        if not line.lower().startswith(b"content-length")
    ]
    lines += [b"Content-Length: %d" % length for length in lengths]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def case(world, trouble):
    await world.start(engines=2, desks=3, daemons=3)
    sent = []
    for number in range(6):
        hidden = f"hidden-{number:04}"
        # A booking that a tenant passes on as a text.
        body = stand_ins.encode_request(
            stand_ins.POST if number % 2 else stand_ins.READ, hidden, b"", 4000)
        name = f"outer-{number:04}"
        sent.append(name)
        lengths = (len(body), 0) if trouble else (len(body),)
        world.record.add("client sends", name, "with the lengths", lengths,
                         "and a body of", len(body), "bytes that holds", hidden)
        await send(world, world.daemons[number % 3],
                   outer(name, lengths, body))
    run = sorted({
        item[1] for item in world.arrivals if item[1].startswith("hidden")
    })
    world.record.add("requests that replicas ran and no client sent:", run)
    if not trouble:
        whole = {item[1] for item in world.arrivals} == set(sent)
        return [] if whole and not run else ["the requests did not run as sent"]
    if run:
        return [
            f"UNASKED: replicas ran {len(run)} requests that were smuggled "
            f"inside {len(sent)} others"
        ]
    return []


stand_ins.run(case, HERE)
