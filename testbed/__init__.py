"""Simulated engines, plain services and platform for tests and benchmarks."""
