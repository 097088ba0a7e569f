"""The OpenAI API over HTTP/1.1, and rerank beside it."""
