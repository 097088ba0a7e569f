"""Transport between routers: the sockets that connect the state machines of `cluster/`."""
