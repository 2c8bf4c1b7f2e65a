"""Reading of byte streams from peers, in time linear in their length."""
