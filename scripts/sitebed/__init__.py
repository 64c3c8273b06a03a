"""Runs one site (Dar or Perth) as plain processes and reports on it."""
