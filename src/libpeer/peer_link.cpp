#include "catkinlock/peer_link.h"

#include "catkinlock/digest.h"
#include "peer.pb.h"
#include <boost/asio.hpp>
#include <cerrno>
#include <chrono>
#include <list>
#include <unordered_map>
#include <zmq.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr std::uint32_t protocolVersion = 1;
    // Length of the message authentication code, an HMAC-SHA-256, in front of each message.
    constexpr std::size_t macBytes = 32;
    // Beyond this number of open connections, the least recently used one is closed with what it still queues. Above
    // the number of peers that a slot holder talks to in turn, and low enough for the descriptors of a small machine: a
    // connection takes two.
    constexpr std::size_t maxOpenPeers = 512;
    // ZeroMQ's high-water marks for each connection. A full send queue makes `send` drop the message; a full receive
    // queue stops reading from the connection.
    constexpr int maxSendQueueMessages = 4096;
    constexpr int maxReceiveQueueMessages = 16384;
    constexpr std::int64_t maxMessageBytes = 80 << 20;
    // A connection on which sent data is not acknowledged for this long is closed and opened anew. On a connection that
    // outlives a partition, the next transmission may come seconds after its end.
    constexpr std::chrono::milliseconds acknowledgementTimeout { 1500 };
    constexpr std::chrono::milliseconds connectTimeout { 400 };
    // Delay before a connection is opened again; it doubles up to the maximum.
    constexpr std::chrono::milliseconds minReconnectDelay { 100 };
    constexpr std::chrono::milliseconds maxReconnectDelay { 400 };

    int milliseconds(std::chrono::milliseconds time) { return static_cast<int>(time.count()); }

    // Calls again for as long as signals interrupt the call, which ZeroMQ reports as an error.
    template <typename Call> auto repeatIfInterrupted(Call call)
    {
        for (;;) {
            try {
                return call();
            } catch (const zmq::error_t& error) {
                if (error.num() != EINTR)
                    throw;
            }
        }
    }

} // namespace

struct PeerLink::Sockets {
    explicit Sockets(asio::io_context& context)
        : context(1)
        , receiver(this->context, zmq::socket_type::pull)
        , descriptor(context)
    {
    }

    struct Peer {
        zmq::socket_t socket;
        // This peer's place in `recentlyUsed`.
        std::list<std::string>::iterator recency;
    };

    // Opens a connection in the background. While the peer can't be reached, ZeroMQ queues messages for it, up to
    // `maxSendQueueMessages`, and discards them when the socket is closed.
    zmq::socket_t connect(const std::string& address)
    {
        zmq::socket_t socket(this->context, zmq::socket_type::push);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, maxSendQueueMessages);
        socket.set(zmq::sockopt::reconnect_ivl, milliseconds(minReconnectDelay));
        socket.set(zmq::sockopt::reconnect_ivl_max, milliseconds(maxReconnectDelay));
        socket.set(zmq::sockopt::connect_timeout, milliseconds(connectTimeout));
        socket.set(zmq::sockopt::tcp_maxrt, milliseconds(acknowledgementTimeout));
        socket.connect("tcp://" + address);
        return socket;
    }

    zmq::socket_t& socketFor(const std::string& address)
    {
        auto found = this->peers.find(address);
        if (found != this->peers.end()) {
            this->recentlyUsed.splice(this->recentlyUsed.begin(), this->recentlyUsed, found->second.recency);
            return found->second.socket;
        }
        if (this->peers.size() >= maxOpenPeers) {
            this->peers.erase(this->recentlyUsed.back());
            this->recentlyUsed.pop_back();
        }
        zmq::socket_t socket = this->connect(address);
        this->recentlyUsed.push_front(address);
        return this->peers.emplace(address, Peer { std::move(socket), this->recentlyUsed.begin() })
            .first->second.socket;
    }

    zmq::context_t context;
    zmq::socket_t receiver;
    asio::posix::stream_descriptor descriptor;
    // The keys of `peers`, the most recently used first.
    std::list<std::string> recentlyUsed;
    std::unordered_map<std::string, Peer> peers;
};

PeerLink::PeerLink(asio::io_context& context, std::string secret)
    : sockets(std::make_unique<Sockets>(context))
    , secret(std::move(secret))
{
}

PeerLink::~PeerLink() { this->stop(); }

std::string PeerLink::bind(const std::string& address)
{
    std::string endpoint = address.ends_with(":0") ? address.substr(0, address.size() - 1) + "*" : address;
    try {
        this->sockets->receiver.set(zmq::sockopt::linger, 0);
        this->sockets->receiver.set(zmq::sockopt::rcvhwm, maxReceiveQueueMessages);
        this->sockets->receiver.set(zmq::sockopt::maxmsgsize, maxMessageBytes);
        this->sockets->receiver.bind("tcp://" + endpoint);
    } catch (const zmq::error_t&) {
        return {};
    }
    this->ownAddress = this->sockets->receiver.get(zmq::sockopt::last_endpoint).substr(std::string("tcp://").size());
    return this->ownAddress;
}

void PeerLink::start(Handler newHandler)
{
    this->handler = std::move(newHandler);
    this->sockets->descriptor.assign(this->sockets->receiver.get(zmq::sockopt::fd));
    this->receive();
}

void PeerLink::stop()
{
    // ZeroMQ owns the descriptor and closes it.
    if (this->sockets->descriptor.is_open())
        this->sockets->descriptor.release();
}

void PeerLink::waitForMessages()
{
    if (!this->sockets->descriptor.is_open())
        return;
    std::weak_ptr<PeerLink> self = this->weak_from_this();
    this->sockets->descriptor.async_wait(
        asio::posix::stream_descriptor::wait_read, [self](boost::system::error_code error) {
            auto link = self.lock();
            if (!error && link)
                link->receive();
        });
}

void PeerLink::receive()
{
    // ZeroMQ's descriptor is edge-triggered, so all pending messages are read before the next wait.
    zmq::message_t message;
    auto receiveNext = [&] { return this->sockets->receiver.recv(message, zmq::recv_flags::dontwait); };
    while (repeatIfInterrupted(receiveNext)) {
        this->receivedBytes += message.size();
        std::string_view data = message.to_string_view();
        wire::Envelope envelope;
        bool authentic = data.size() > macBytes
            && equalConstantTime(data.substr(0, macBytes), hmacSha256(data.substr(macBytes), this->secret));
        bool parsed
            = authentic && envelope.ParseFromArray(data.data() + macBytes, static_cast<int>(data.size() - macBytes));
        if (parsed && envelope.version() == protocolVersion)
            this->handler(envelope);
        else
            ++this->rejectedMessages;
    }
    this->waitForMessages();
}

std::string PeerLink::kindName(std::size_t kind)
{
    const auto* field = wire::Envelope::descriptor()->FindFieldByNumber(static_cast<int>(kind));
    return field && kind ? field->name() : "";
}

bool PeerLink::send(const std::string& address, wire::Envelope& envelope)
{
    envelope.set_version(protocolVersion);
    envelope.set_sender(this->ownAddress);
    std::string body = envelope.SerializeAsString();
    std::string frame = hmacSha256(body, this->secret) + body;
    try {
        auto sent = repeatIfInterrupted(
            [&] { return this->sockets->socketFor(address).send(zmq::buffer(frame), zmq::send_flags::dontwait); });
        if (sent) {
            this->sentBytes += frame.size();
            this->sentBytesByKind[static_cast<std::size_t>(envelope.body_case()) % kindCount] += frame.size();
        }
        return sent.has_value();
    } catch (const zmq::error_t&) {
        return false;
    }
}

} // namespace catkinlock
