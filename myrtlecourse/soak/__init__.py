"""Soak tests: seeded random scenarios on real routers and a stand-in fleet, judged by the auditor."""
