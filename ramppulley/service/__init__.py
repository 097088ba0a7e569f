"""The core: hosts the decision module; knows neither HTTP nor engines."""
