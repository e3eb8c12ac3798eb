"""Audits a fleet from outside its routers: observations of clients and servers, and the rules on them."""
