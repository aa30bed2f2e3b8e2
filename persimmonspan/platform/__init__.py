"""Adapter of the users' platform: its names, formats and calls.

Each module decodes one thing that the platform speaks into a type of the
product, or encodes one. No module decides anything, and no module outside this
package knows a name of the platform.
"""
