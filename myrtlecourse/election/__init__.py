"""Election of the router that holds the service address, by leases of a majority; no I/O and no clock."""
