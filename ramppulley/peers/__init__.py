"""What routers say to each other, on sockets and on disk: thin edges around the machines of `cluster/`."""
