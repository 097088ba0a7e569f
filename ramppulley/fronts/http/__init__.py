"""The front for the OpenAI API over HTTP/1.1, with an additional rerank API."""
