"""ramppulley: a router for language-model servers that read and write on separate engines."""
