"""The operators' address: their calls, the stored orders, and what processes share during an upgrade."""
