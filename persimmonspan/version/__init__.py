"""Configuration versions: documents, checks, commits and adoption."""
