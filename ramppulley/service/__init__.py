"""The protocol-independent core: hosts the decision module and knows neither HTTP nor engine protocols."""
