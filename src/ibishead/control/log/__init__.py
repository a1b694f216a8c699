"""The replicated log: its replicas, their disks and the links between them."""
