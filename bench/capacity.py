"""Measures what a daemon costs, and writes the capacity page.

    python -m bench.capacity

writes `docs/CAPACITY.md` and `out/capacity.json`. It takes about a minute and a
half and runs one process beside its own at most.

See Also:
    `bench.capacity_roles`: the sums at the two-year size.
"""

import argparse
import json
import pathlib
import typing

from bench import capacity_control
from bench import capacity_page
from bench import capacity_roles
from bench import capacity_scheduler
from bench import capacity_store

_ROOT = pathlib.Path(__file__).parents[1]


def measure() -> dict[str, typing.Any]:
    """Returns all measured slopes by section."""
    return {
        "scheduler": capacity_scheduler.measure(),
        "load_reports": capacity_control.measure_load_reports(),
        "gossip": capacity_control.gossip_lines(),
        "registry": capacity_control.registry_lines(),
        "administration": capacity_control.administration_lines(),
        "configuration": capacity_store.configuration_lines(),
        "idle_daemon_mb": capacity_store.idle_daemon_mb(),
        "ledger": capacity_store.ledger_lines(),
    }


def main() -> None:
    """Measures and writes the page and the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--page",
                        type=pathlib.Path,
                        default=_ROOT / "docs" / "CAPACITY.md")
    parser.add_argument("--output",
                        type=pathlib.Path,
                        default=_ROOT / "out" / "capacity.json")
    options = parser.parse_args()
    measured = measure()
    options.output.parent.mkdir(exist_ok=True)
    options.output.write_text(json.dumps(
        {
            "measured": measured,
            "roles":
                [role._asdict() for role in capacity_roles.roles(measured)]
        },
        indent=1),
                              encoding="utf-8")
    options.page.write_text(capacity_page.write(measured,
                                                _ROOT / "docs" / "design"),
                            encoding="utf-8")
    print(f"wrote {options.page} and {options.output}")


if __name__ == "__main__":
    main()
