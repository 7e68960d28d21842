"""Links between instances, targets and the platform that a test can cut.

Each instance runs with an event loop that sends its TCP connections and
datagrams through a gateway in the test's process. The gateway knows both
ends of each connection and datagram, so that a test can cut, stall or delay
the links between any two of them.
"""
