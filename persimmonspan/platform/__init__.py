"""Adapter to the users' platform: its names, formats and calls.

Each module decodes one format of the platform into types of this program, or
encodes such types. The modules contain no serving logic, and no module outside
this package uses a name of the platform.
"""
