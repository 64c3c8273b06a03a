"""Relay mode on one machine: real balancers and agents, simulated peers."""
