"""The service address that moves between routers: election over UDP, stored votes, and announcement."""
