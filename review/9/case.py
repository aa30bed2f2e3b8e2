"""Clients that read slowly, after a change of the settings."""

import asyncio
import pathlib
import signal
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

import world as stand_ins  # noqa: E402  pylint: disable=wrong-import-position

# The requests are sent within `configApplyMs` after the SIGHUP.
SENT_AFTER_S = 0.5
PIECE_BYTES = 1500
EVENTS = 160
BYTES_PER_S = 12_000
STEP_S = 0.1


async def read_slowly(world, daemon, name, bytes_per_s):
    """Reads at a steady rate; returns the bytes and whether they are whole."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (stand_ins.IP, daemon.port))
    await loop.sock_sendall(
        sock,
        stand_ins.encode_request(stand_ins.DRAFT, name,
                                 f"events={EVENTS};".encode(), 39000))
    world.record.add("client sends", name, "to", daemon.name)
    data = bytearray()
    due_s = time.monotonic()
    try:
        while not data.endswith(b"\r\n0\r\n\r\n"):
            part = await loop.sock_recv(sock, int(bytes_per_s * STEP_S))
            if not part:
                break
            data += part
            due_s = max(due_s + len(part) / bytes_per_s, time.monotonic() - 0.2)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
    except ConnectionError as error:
        world.record.add("client of", name, "sees", repr(error))
    sock.close()
    is_whole = data.endswith(b"\r\n0\r\n\r\n")
    world.record.add("client of", name, "has", len(data), "bytes,",
                     "whole" if is_whole else "not whole")
    return is_whole


async def case(world, trouble):
    world.memory_mb = 300
    await world.start(engines=6, desks=3, daemons=3)
    world.piece_bytes = PIECE_BYTES
    daemon = world.daemons[0]
    names = [f"draft-{number:04}" for number in range(4)]
    if trouble:
        world.record.add("settings of", daemon.name, "change; SIGHUP")
        daemon.write_settings(seedNodes=["127.0.0.1:8748"])
        daemon.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(SENT_AFTER_S)
    whole = await asyncio.gather(
        *(read_slowly(world, daemon, name, BYTES_PER_S if trouble else 10**7)
          for name in names))
    cut = [name for name, is_whole in zip(names, whole) if not is_whole]
    world.record.add("cut:", cut)
    if cut and trouble:
        return [
            f"LOST: {len(cut)} of {len(names)} requests of {daemon.name}, sent "
            f"{SENT_AFTER_S:g} s after its SIGHUP, ended without a complete "
            "answer, although their replicas had ended and their clients went "
            "on reading"
        ]
    return ["requests were cut without a disruption"] if cut else []


stand_ins.run(case, HERE)
