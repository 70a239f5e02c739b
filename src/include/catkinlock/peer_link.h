#pragma once

#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace catkinlock::wire {
class Envelope;
}

namespace catkinlock {

/// Messages between instances: protobuf over ZeroMQ, each sealed with the fleet's secret. Sending never waits; a
/// message may be lost, late or twice, and what uses this link has to bear it. One thread, which runs the given
/// context.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    using Handler = std::function<void(const wire::Envelope&)>;

    PeerLink(boost::asio::io_context&, std::string secret);
    ~PeerLink();

    /// Binds to "ip:port" and returns the address with the port that the kernel chose. Empty if it can't be bound.
    std::string bind(const std::string& address);
    /// Starts to call `handler` for each authentic message, on the context's thread.
    void start(Handler handler);
    void stop();
    /// Sends to the instance that listens on `address`. False if it was dropped here, so that no byte of it left. Only
    /// on the context's thread.
    bool send(const std::string& address, wire::Envelope&);

    /// Kinds of messages by their number in peer.proto, and their names.
    static constexpr std::size_t kindCount = 32;
    static std::string kindName(std::size_t kind);
    std::uint64_t bytesSentOfKind(std::size_t kind) const { return this->sentByKind[kind].load(); }
    std::uint64_t bytesSent() const { return this->sentBytes.load(); }
    std::uint64_t bytesReceived() const { return this->receivedBytes.load(); }
    std::uint64_t messagesRejected() const { return this->rejected.load(); }
    const std::string& address() const { return this->ownAddress; }

private:
    struct Sockets;

    void receive();
    void waitForMessages();

    std::unique_ptr<Sockets> sockets;
    std::string secret;
    std::string ownAddress;
    Handler handler;
    std::array<std::atomic<std::uint64_t>, kindCount> sentByKind {};
    std::atomic<std::uint64_t> sentBytes { 0 };
    std::atomic<std::uint64_t> receivedBytes { 0 };
    std::atomic<std::uint64_t> rejected { 0 };
};

} // namespace catkinlock
