#include "libsession/target_link.h"

#include "catkinlock/address.h"
#include "catkinlock/caller_charge.h"
#include "libplatform/socket_options.h"
#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <fmt/format.h>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t readChunkBytes = 16 << 10;
    constexpr std::size_t keptBufferBytes = 2 * readChunkBytes;
    // A reply is held up to this many times: as it arrived, as rows, and as it is written to the caller.
    constexpr std::uint64_t replyCopies = 3;

    // The reply to a statement that was run, and whose rows did not fit the memory for callers. The member is not at
    // fault, so the connection stays in use.
    void recordTooLarge(TargetReply& reply, StatementKind kind)
    {
        if (reply.error)
            return;
        reply.error = kind == StatementKind::Read ? StatementError::TooLarge : StatementError::InDoubt;
        reply.errorText = "the reply does not fit the memory for callers";
    }

    auto asResult() { return asio::as_tuple(asio::use_awaitable); }

} // namespace

struct TargetLink::Socket {
    explicit Socket(asio::any_io_executor executor)
        : stream(std::move(executor))
    {
    }
    boost::beast::tcp_stream stream;
};

TargetLink::TargetLink(asio::any_io_executor executor, std::shared_ptr<const TargetProtocol> protocol)
    : protocol(std::move(protocol))
    , socket(std::make_unique<Socket>(std::move(executor)))
{
}

TargetLink::~TargetLink() = default;

bool TargetLink::isOpen() const { return this->socket->stream.socket().is_open(); }

void TargetLink::close()
{
    boost::system::error_code ignored;
    // A shutdown would let the kernel go on sending before the reset.
    if (!this->deliveryTimeout)
        this->socket->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    this->socket->stream.socket().close(ignored);
}

asio::awaitable<tl::expected<void, LinkFailure>> TargetLink::open(
    TargetRecord target, std::string workspace, Milliseconds timeout)
{
    auto self = this->shared_from_this();
    this->member = std::move(target);
    this->workspaceName = std::move(workspace);
    this->socket->stream.expires_after(timeout);
    auto [error] = co_await this->socket->stream.async_connect(parseAddress(this->member.address), asResult());
    if (error) {
        this->close();
        LinkFailure failure;
        failure.message = "cannot connect: " + error.message();
        failure.nothingListens = error == asio::error::connection_refused;
        co_return tl::unexpected(failure);
    }
    boost::system::error_code ignored;
    this->socket->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    if (this->deliveryTimeout) {
        catkinlock::setResetOnClose(this->socket->stream.socket(), true);
        limitDelivery(this->socket->stream.socket(), *this->deliveryTimeout);
    }
    std::string bytes;
    this->protocol->appendOpen(bytes, this->member.service, this->workspaceName, this->member.id);
    // A member that refuses the opening sends an error and closes the connection, without the state that ends other
    // replies. The exchange then fails, with the error as its refusal.
    auto reply = co_await this->exchange(std::move(bytes), Clock::now() + timeout);
    if (!reply) {
        LinkFailure failure = reply.error();
        failure.mayHaveBeenSent = false;
        co_return tl::unexpected(failure);
    }
    co_return tl::expected<void, LinkFailure> {};
}

asio::awaitable<tl::expected<TargetReply, LinkFailure>> TargetLink::exchangeCharged(
    std::string bytes, TimePoint deadline, StatementKind kind, std::shared_ptr<CallerCharge> charge)
{
    auto self = this->shared_from_this();
    LinkFailure failure;
    auto& stream = this->socket->stream;
    // The stream's timer runs on another clock.
    stream.expires_after(std::max(Duration(0), deadline - Clock::now()));
    auto [writeError, written] = co_await asio::async_write(stream, asio::buffer(bytes), asResult());
    failure.mayHaveBeenSent = true;
    boost::system::error_code error = writeError;
    TargetReply reply;
    std::uint64_t replyBytes = 0;
    bool tooLarge = false;
    while (!error) {
        auto complete = this->protocol->take(this->received, reply);
        if (!complete) {
            failure.message = "invalid reply from the member; the connection was closed";
            this->close();
            co_return tl::unexpected(failure);
        }
        if (tooLarge) {
            reply.rows.clear();
            this->protocol->shortenRow(this->received);
            charge->record(CallerCharge::Part::Reply, this->received.size());
        }
        if (*complete) {
            // An idle connection doesn't keep the memory of a large reply.
            if (this->received.capacity() > keptBufferBytes)
                this->received.shrink_to_fit();
            this->lastState = reply.state;
            if (tooLarge)
                recordTooLarge(reply, kind);
            co_return reply;
        }
        std::size_t held = this->received.size();
        this->received.resize(held + readChunkBytes);
        auto [readError, size]
            = co_await stream.async_read_some(asio::buffer(this->received.data() + held, readChunkBytes), asResult());
        this->received.resize(held + size);
        error = readError;
        replyBytes += size;
        tooLarge = tooLarge || (charge && charge->hold(CallerCharge::Part::Reply, replyBytes * replyCopies));
    }
    failure.refusal = reply.error;
    failure.message
        = reply.error ? "the member refused the connection" : "no reply from the member: " + error.message();
    this->close();
    co_return tl::unexpected(failure);
}

asio::awaitable<tl::expected<TargetReply, LinkFailure>> TargetLink::exchange(std::string bytes, TimePoint deadline)
{
    return this->exchangeCharged(std::move(bytes), deadline, StatementKind::Other, nullptr);
}

asio::awaitable<tl::expected<TargetReply, LinkFailure>> TargetLink::send(
    SessionStatement statement, std::optional<Position> after, std::string preparedName, TimePoint deadline)
{
    std::string bytes;
    this->protocol->appendStatement(bytes, statement, after, preparedName);
    return this->exchangeCharged(std::move(bytes), deadline, statement.kind, statement.charge);
}

asio::awaitable<tl::expected<TargetReply, LinkFailure>> TargetLink::command(
    TargetCommand command, std::optional<Position> after, TimePoint deadline)
{
    std::string bytes;
    this->protocol->appendCommand(bytes, command, after);
    return this->exchange(std::move(bytes), deadline);
}

asio::awaitable<bool> TargetLink::apply(TargetCommand command, TimePoint deadline)
{
    auto reply = co_await this->command(std::move(command), std::nullopt, deadline);
    if (reply && !reply->error)
        co_return true;
    this->close();
    co_return false;
}

asio::awaitable<bool> TargetLink::applySessionState(
    std::map<std::string, std::string> required, std::string preparedName, std::string preparedText, TimePoint deadline)
{
    auto self = this->shared_from_this();
    bool hasExtraValue = false;
    for (const auto& [name, value] : this->values)
        hasExtraValue = hasExtraValue || !required.count(name);
    if (hasExtraValue) {
        TargetCommand reset;
        reset.kind = TargetCommand::Kind::Reset;
        if (!co_await this->apply(reset, deadline))
            co_return false;
        this->values.clear();
        this->preparedNames.clear();
    }
    for (const auto& item : required) {
        auto held = this->values.find(item.first);
        if (held != this->values.end() && held->second == item.second)
            continue;
        TargetCommand set;
        set.kind = TargetCommand::Kind::SetValue;
        set.name = item.first;
        set.argument = item.second;
        if (!co_await this->apply(set, deadline))
            co_return false;
        this->values[item.first] = item.second;
    }
    if (!preparedName.empty() && !this->preparedNames.count(preparedName)) {
        TargetCommand prepare;
        prepare.kind = TargetCommand::Kind::Prepare;
        prepare.name = preparedName;
        prepare.argument = preparedText;
        if (!co_await this->apply(prepare, deadline))
            co_return false;
        this->preparedNames.insert(preparedName);
    }
    co_return true;
}

} // namespace catkinlock
