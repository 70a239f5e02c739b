#pragma once

#include <string>

namespace catkinlock::wire {
class Envelope;
}

namespace catkinlock {

/// Sends messages to other instances. Messages may be lost, delayed or duplicated.
class PeerSender {
public:
    virtual ~PeerSender() = default;

    /// Sends to the instance that listens on `address`, "ip:port"; sets the envelope's version and sender. Returns
    /// false if the message was dropped here and no part of it was sent.
    virtual bool send(const std::string& address, wire::Envelope&) = 0;
};

} // namespace catkinlock
