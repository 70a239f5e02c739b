#pragma once

#include "catkinlock/peer_sender.h"
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

namespace catkinlock {

/// Exchanges messages with other instances: protobuf over ZeroMQ, each message preceded by an HMAC-SHA-256 with the
/// fleet's secret. Sending never blocks. Messages may be lost, delayed or duplicated, so users of the link must
/// tolerate all three. Used from one thread, which runs the given context.
class PeerLink : public PeerSender, public std::enable_shared_from_this<PeerLink> {
public:
    using Handler = std::function<void(const wire::Envelope&)>;

    PeerLink(boost::asio::io_context&, std::string secret);
    ~PeerLink() override;

    /// Binds to "ip:port" and returns the bound address, in which a port of 0 is replaced by the one that the kernel
    /// chose. Empty if the address can't be bound.
    std::string bind(const std::string& address);
    /// Starts receiving; call it once, after `bind`. `handler` is called on the context's thread for each message that
    /// is authentic and of this version of the protocol.
    void start(Handler handler);
    /// Stops receiving.
    void stop();
    /// Only on the context's thread.
    bool send(const std::string& address, wire::Envelope&) override;

    /// A message's kind is the field number of its body in `Envelope` of peer.proto, below `kindCount`.
    static constexpr std::size_t kindCount = 48;
    /// Field name of a kind; empty if there is no such field.
    static std::string kindName(std::size_t kind);
    /// Bytes of the messages sent of one kind, which must be below `kindCount`, with their authentication codes. This
    /// and the counters below may be read from any thread.
    std::uint64_t bytesSentOfKind(std::size_t kind) const { return this->sentBytesByKind[kind].load(); }
    /// Bytes of all messages sent, with their authentication codes.
    std::uint64_t bytesSent() const { return this->sentBytes.load(); }
    /// Bytes of all messages received, also of rejected ones.
    std::uint64_t bytesReceived() const { return this->receivedBytes.load(); }
    /// Messages received that were malformed, not authentic or of another version of the protocol.
    std::uint64_t messagesRejected() const { return this->rejectedMessages.load(); }
    /// The bound address; empty before `bind`.
    const std::string& address() const { return this->ownAddress; }

private:
    struct Sockets;

    void receive();
    void waitForMessages();

    std::unique_ptr<Sockets> sockets;
    std::string secret;
    std::string ownAddress;
    Handler handler;
    std::array<std::atomic<std::uint64_t>, kindCount> sentBytesByKind {};
    std::atomic<std::uint64_t> sentBytes { 0 };
    std::atomic<std::uint64_t> receivedBytes { 0 };
    std::atomic<std::uint64_t> rejectedMessages { 0 };
};

} // namespace catkinlock
