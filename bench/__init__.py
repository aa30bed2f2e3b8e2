"""Benchmark commands; each writes JSON and names its seed."""
