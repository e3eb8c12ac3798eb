"""Communication between routers: membership, the records they gossip, and authenticated datagrams."""
