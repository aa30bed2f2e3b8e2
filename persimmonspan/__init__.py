"""Serving system for generations of unknown length on crowded engines.

The packages are laid out by life span: what lives for a `request`, for a
`connection`, for a configuration `version`, and for the `process`. Decision
modules are pure functions on immutable values; actors and worker threads carry
events to them and commands from them. `docs/design.md` describes the parts.
"""

__version__ = "0.1.0"
