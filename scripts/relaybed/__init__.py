"""A relay site on this machine: real balancers and agents, stand-ins around."""
