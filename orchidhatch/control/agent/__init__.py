"""The agent beside a gateway: the endpoint list, forwarded calls and the gateway's policy lease."""
