//! Framing and encoding of messages between flamingorock proxies.
