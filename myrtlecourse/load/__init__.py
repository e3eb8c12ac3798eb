"""The load generator: open-loop arrivals, with latency measured from when a request was due."""
