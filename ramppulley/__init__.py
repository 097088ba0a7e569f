"""ramppulley: a router for language-model servers that prefill and decode on separate engines."""
