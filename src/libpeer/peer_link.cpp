#include "catkinlock/peer_link.h"

#include "catkinlock/digest.h"
#include "peer.pb.h"
#include <boost/asio.hpp>
#include <list>
#include <unordered_map>
#include <zmq.hpp>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr std::uint32_t protocolVersion = 1;
    constexpr std::size_t sealBytes = 32;
    // Connections to peers that are kept open; the longest unused one closes first.
    constexpr std::size_t mostOpenPeers = 64;
    constexpr int sendQueueLength = 4096;
    constexpr int receiveQueueLength = 16384;
    constexpr std::int64_t mostMessageBytes = 80 << 20;

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
        std::list<std::string>::iterator use;
    };

    // Only connections that are up take messages, so that a dead peer's queue does not hold stale ones.
    zmq::socket_t connect(const std::string& address)
    {
        zmq::socket_t socket(this->context, zmq::socket_type::push);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, sendQueueLength);
        socket.set(zmq::sockopt::reconnect_ivl, 100);
        socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
        socket.set(zmq::sockopt::connect_timeout, 1000);
        socket.connect("tcp://" + address);
        return socket;
    }

    zmq::socket_t& to(const std::string& address)
    {
        auto found = this->peers.find(address);
        if (found != this->peers.end()) {
            this->uses.splice(this->uses.begin(), this->uses, found->second.use);
            return found->second.socket;
        }
        if (this->peers.size() >= mostOpenPeers) {
            this->peers.erase(this->uses.back());
            this->uses.pop_back();
        }
        this->uses.push_front(address);
        return this->peers.emplace(address, Peer { this->connect(address), this->uses.begin() }).first->second.socket;
    }

    zmq::context_t context;
    zmq::socket_t receiver;
    asio::posix::stream_descriptor descriptor;
    std::list<std::string> uses;
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
    std::string wanted = address.ends_with(":0") ? address.substr(0, address.size() - 1) + "*" : address;
    try {
        this->sockets->receiver.set(zmq::sockopt::linger, 0);
        this->sockets->receiver.set(zmq::sockopt::rcvhwm, receiveQueueLength);
        this->sockets->receiver.set(zmq::sockopt::maxmsgsize, mostMessageBytes);
        this->sockets->receiver.bind("tcp://" + wanted);
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
    // The descriptor is ZeroMQ's to close.
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
    // ZeroMQ's descriptor tells of changes only, so everything that waits is read before the next wait.
    zmq::message_t message;
    while (this->sockets->receiver.recv(message, zmq::recv_flags::dontwait)) {
        this->receivedBytes += message.size();
        std::string_view data = message.to_string_view();
        wire::Envelope envelope;
        bool authentic = data.size() > sealBytes
            && equalConstantTime(data.substr(0, sealBytes), hmacSha256(data.substr(sealBytes), this->secret));
        bool parsed
            = authentic && envelope.ParseFromArray(data.data() + sealBytes, static_cast<int>(data.size() - sealBytes));
        if (parsed && envelope.version() == protocolVersion)
            this->handler(envelope);
        else
            ++this->rejected;
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
    std::string sealed = hmacSha256(body, this->secret) + body;
    try {
        auto sent = this->sockets->to(address).send(zmq::buffer(sealed), zmq::send_flags::dontwait);
        if (sent) {
            this->sentBytes += sealed.size();
            this->sentByKind[static_cast<std::size_t>(envelope.body_case()) % kindCount] += sealed.size();
        }
        return sent.has_value();
    } catch (const zmq::error_t&) {
        return false;
    }
}

} // namespace catkinlock
