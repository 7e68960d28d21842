"""Fault injection on links between instances, targets and the platform.

Each instance runs with an event loop that sends its TCP connections and
datagrams through a link proxy in the test's process. The proxy knows both
endpoints of each connection and datagram, so that a test can cut, stall or
delay the links between any two of them.
"""
