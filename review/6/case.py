"""Connections of one daemon to the engines go silent; its drafts run twice."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

import world as stand_ins  # noqa: E402  pylint: disable=wrong-import-position

STABILITY_S = 3.0
OVERLAP_S = 0.4
DRAFTS = 6
EVENTS = 400


class Link:
    """A proxy before an engine, whose connections may go silent for good."""

    def __init__(self, engine):
        self.engine = engine
        self.open = {}  # Set if silent, by connection.
        self._writers = []
        self._server = None

    async def start(self):
        """Listens at the address that the engine registers."""
        self._server = await asyncio.start_server(self._serve, stand_ins.IP, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.engine.address = f"{stand_ins.IP}:{port}"

    def silence(self):
        """Makes the connections that are open now silent; new ones work."""
        for event in self.open.values():
            event.set()
        return len(self.open)

    def end(self):
        """Closes all connections at the end of the case."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        name = object()
        silent = self.open[name] = asyncio.Event()
        try:
            to_reader, to_writer = await asyncio.open_connection(
                stand_ins.IP, self.engine.port)
            self._writers += [writer, to_writer]
            pumps = [
                asyncio.create_task(self._pump(reader, to_writer, silent)),
                asyncio.create_task(self._pump(to_reader, writer, silent))
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            if silent.is_set():
                # Neither side hears of the other any more.
                await asyncio.Event().wait()
            for pump in pumps:
                pump.cancel()
            to_writer.close()
            writer.close()
        except ConnectionError:
            writer.close()
        finally:
            del self.open[name]

    async def _pump(self, reader, writer, silent):
        try:
            while data := await reader.read(65536):
                if silent.is_set():
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
            if silent.is_set():
                await asyncio.Event().wait()
        except ConnectionError:
            pass


async def case(world, trouble):
    links = []

    async def add_links():
        for engine in world.engines:
            link = Link(engine)
            await link.start()
            links.append(link)

    world.before_register = add_links
    await world.start(engines=6, desks=3, daemons=3)
    daemon = world.daemons[0]
    names = [f"draft-{number:04}" for number in range(DRAFTS)]
    clients = [
        asyncio.create_task(
            stand_ins.ask(world, daemon, stand_ins.DRAFT, name,
                          f"events={EVENTS};".encode(), 39000))
        for name in names
    ]
    await asyncio.sleep(2.5)
    silent_s = world.record.now()
    if trouble:
        count = sum(link.silence() for link in links[::2])
        world.record.add(count, "open connections of", daemon.name,
                         "to the engines go silent; new ones work")
    twice, checked, probes = [], set(), []
    while not all(client.done() for client in clients):
        await asyncio.sleep(0.01)
        now_s = world.record.now()
        if len(probes) < 24 and now_s > silent_s + 0.1 * len(probes):
            probes.append(
                asyncio.create_task(
                    stand_ins.ask(world, daemon, stand_ins.CHECK,
                                  f"probe-{len(probes):04}", b"events=4;",
                                  6000)))
        for arrival in list(world.arrivals):
            at_s, name, replica_id, headers = arrival
            if ("kv-from" not in headers or (name, at_s) in checked or
                    now_s < at_s + OVERLAP_S):
                continue
            checked.add((name, at_s))
            running = [item.id for item in world.engines if name in item.runs]
            if len(running) > 1 and at_s > silent_s + STABILITY_S:
                twice.append(name)
                world.record.add(name, "went on at", replica_id,
                                 f"{now_s - at_s:.2f} s ago, and is run by",
                                 running)
    answers = await asyncio.gather(*clients)
    await asyncio.gather(*probes)
    for link in links:
        link.end()
    whole = sum(answer.is_complete for answer in answers)
    world.record.add("whole answers:", whole, "of", len(answers))
    reached = {
        item[2]
        for item in world.arrivals
        if item[1].startswith("probe") and item[0] > silent_s
    }
    world.record.add("new requests reached", sorted(reached))
    if not trouble:
        return [] if whole == len(answers) else ["a draft was cut"]
    if twice:
        return [
            f"TWICE: {len(twice)} of {DRAFTS} drafts went on at another engine "
            f"over {STABILITY_S:g} s after the connections had gone silent, while "
            f"the engine before still worked on them {OVERLAP_S:g} s later"
        ]
    return []


stand_ins.run(case, HERE)
