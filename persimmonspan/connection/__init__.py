"""Listeners, peer links and adapters for targets and services."""
