"""Random days on real processes: drawn by a seed, played before a stand-in fleet, judged by the auditor."""
