"""The network I/O of the router, around the decision module in `policy`."""
