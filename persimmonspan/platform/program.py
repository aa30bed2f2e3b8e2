"""Edge daemon with the formats and the store of the platform."""

import sys

from persimmonspan.platform import configuration
from persimmonspan.platform import evacuations
from persimmonspan.platform import registrations
from persimmonspan.platform import settings
from persimmonspan.platform import store
from persimmonspan.platform import wire
from persimmonspan.process import edge
from persimmonspan.process import explain_command
from persimmonspan.process import followers

PLATFORM = edge.Platform(
    wire, store.Store,
    followers.Formats(configuration.TABLE, configuration.KEY,
                      configuration.decode, registrations.TABLE,
                      registrations.decode, evacuations.decode),
    lambda: settings.read(settings.path()))


def main() -> int:
    """Runs an edge daemon, or asks one; returns the exit code."""
    if sys.argv[1:2] == ["explain"]:
        return explain_command.main(sys.argv[2:])
    return edge.run(PLATFORM)
