"""The stand-in fleet: cache servers, an origin and discovery on loopback, with scheduled faults."""
