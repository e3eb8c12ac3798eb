"""Written expectations of routing, checked with the decision module and without traffic."""
