"""Serving system for generations of unknown length on highly loaded engines.

The packages are divided by the lifetime of their state: a `request`, a
`connection`, a configuration `version` or the `process`. Decision modules are
pure functions on immutable values; actors and worker threads pass events to
them and execute the commands that they return. `docs/design.md` describes the
components.
"""

__version__ = "0.1.0"
