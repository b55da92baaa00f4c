"""The router: callers' HTTP, the request pipeline and the relay."""
