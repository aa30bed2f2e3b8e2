"""One daemon of the gossip benchmark: peer actor alone, told by lines on stdin.

Loads of `--targets` targets change at random each second. Every adopted
revision is written to stdout with the time of the system-wide monotonic clock.
"""

import argparse
import json
import pathlib
import random
import resource
import sys
import threading
import time
import typing

from persimmonspan.connection import peer_messages
from persimmonspan.process import load_view
from persimmonspan.process import membership
from persimmonspan.process import peer_actor
from persimmonspan.process import settings
from persimmonspan.request import events

_LOAD_INTERVAL_S = 0.5
_MAX_OUTSTANDING = 40
_TOKENS_PER_REQUEST = 900
_HORIZONS = len(load_view.HORIZONS_TOKENS)
_REPLICAS = 2300
_PAGE_BYTES = 4096
_PRINT_LOCK = threading.Lock()


class _Daemon:
    """Adopts what peers tell and answers questions of the benchmark."""

    def __init__(self, parsed: argparse.Namespace) -> None:
        rows = json.loads(parsed.rows.read_text())
        self._rows = tuple(membership.Identity(*row) for row in rows)
        own = next(row for row in self._rows if row.daemon == parsed.name)
        values = dict.fromkeys(settings.Settings._fields)
        values.update(name=own.daemon,
                      failure_domain=own.failure_domain,
                      region=own.region,
                      peer_address=own.address,
                      peer_key_file=str(parsed.rows.parent / own.daemon),
                      peer_public_keys_file=str(parsed.rows.parent / "keys"))
        self._targets = parsed.targets
        self._rng = random.Random(parsed.name)
        self._cut: frozenset[str] = frozenset()
        self._counts: dict[str, int] = {}
        self._revision = 0
        self._document = json.dumps([{
            "name": f"quote-model-{i}",
            "address": f"10.{i % 5}.{i // 256}.{i % 256}:9000",
            "failure_domain": f"domain-{i % 12:02d}",
            "kv_capacity_tokens": 65536
        } for i in range(_REPLICAS)]).encode()
        self._peers = peer_actor.start(
            settings.Settings(**values),
            time.time_ns() // 1_000_000,
            self._deliver,
            self._count,
            is_blocked=lambda peer: peer in self._cut)
        self._peers.set_listed_vms(self._rows)
        self._peers.set_member_rows(self._rows)

    def serve(self) -> None:
        """Answers lines on stdin until it ends."""
        threading.Thread(target=self._publish_loads, daemon=True).start()
        for line in sys.stdin:
            command = json.loads(line)
            if "publish" in command:
                revision = command["publish"]
                change = peer_messages.Change(revision, self._revision,
                                              self._rng.randbytes(300))
                _write({"published": revision, "at_s": time.monotonic()})
                self._adopt(revision)
                self._peers.publish_change(change)
            elif "cut" in command:
                self._cut = frozenset(command["cut"])
            else:
                _write(self._statistics())
        self._peers.stop()

    def _deliver(self, event: typing.Any) -> None:
        if isinstance(event, peer_messages.Change):
            if event.base_revision == self._revision:
                self._adopt(event.revision)
        elif isinstance(event, peer_messages.WholeConfiguration):
            self._adopt(event.revision)

    def _adopt(self, revision: int) -> None:
        if revision <= self._revision:
            _write({"reverted": revision, "from": self._revision})
            return
        self._revision = revision
        self._peers.adopt_whole(
            peer_messages.WholeConfiguration(revision, self._document))
        _write({"revision": revision, "at_s": time.monotonic()})

    def _count(self, reason: str) -> None:
        self._counts[reason] = self._counts.get(reason, 0) + 1

    def _publish_loads(self) -> None:
        while True:
            self._peers.publish_loads(
                tuple(
                    events.TargetLoad(
                        f"quote-model-{i:04d}", outstanding :=
                        self._rng.randint(1, _MAX_OUTSTANDING), outstanding *
                        _TOKENS_PER_REQUEST) for i in range(self._targets)))
            self._peers.record_store_read()
            time.sleep(_LOAD_INTERVAL_S)

    def _statistics(self) -> dict[str, typing.Any]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        pages = int(pathlib.Path("/proc/self/statm").read_bytes().split()[1])
        status = self._peers.status(20.0)
        return {
            "at_s": time.monotonic(),
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "switches": usage.ru_nvcsw,
            "resident_mb": pages * _PAGE_BYTES / 1e6,
            "heard": status.heard,
            "is_majority_heard": status.is_majority_heard,
            "links": status.links,
            "revision": self._revision,
            "counts": self._counts,
            **status.traffic._asdict()
        }


def _write(document: dict[str, typing.Any]) -> None:
    with _PRINT_LOCK:
        print(json.dumps(document), flush=True)


def main() -> None:
    """Runs one daemon."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--rows", type=pathlib.Path, required=True)
    parser.add_argument("--targets", type=int, required=True)
    _Daemon(parser.parse_args()).serve()


if __name__ == "__main__":
    main()
