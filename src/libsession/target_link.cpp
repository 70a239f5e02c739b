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
    auto& stream = this->socket->stream;
    // The stream's timer runs on another clock.
    stream.expires_after(std::max(Duration(0), deadline - Clock::now()));
    auto [writeError, written] = co_await asio::async_write(stream, asio::buffer(bytes), asResult());
    co_return co_await this->receive(writeError, kind, std::move(charge));
}

// Reads one reply, unless `error` says that the connection is broken.
asio::awaitable<tl::expected<TargetReply, LinkFailure>> TargetLink::receive(
    boost::system::error_code error, StatementKind kind, std::shared_ptr<CallerCharge> charge)
{
    auto self = this->shared_from_this();
    LinkFailure failure;
    failure.mayHaveBeenSent = true;
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
        auto [readError, size] = co_await this->socket->stream.async_read_some(
            asio::buffer(this->received.data() + held, readChunkBytes), asResult());
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

// Sends all commands at once, so that they take one round trip, and reads their replies. False if one of them failed;
// the connection is then closed.
asio::awaitable<bool> TargetLink::applyAll(std::vector<TargetCommand> commands, TimePoint deadline)
{
    auto self = this->shared_from_this();
    std::string bytes;
    for (const TargetCommand& command : commands)
        this->protocol->appendCommand(bytes, command, std::nullopt);
    this->socket->stream.expires_after(std::max(Duration(0), deadline - Clock::now()));
    auto [error, written] = co_await asio::async_write(this->socket->stream, asio::buffer(bytes), asResult());
    for (std::size_t i = 0; i < commands.size(); ++i) {
        auto reply = co_await this->receive(error, StatementKind::Other, nullptr);
        if (reply && !reply->error)
            continue;
        this->close();
        co_return false;
    }
    co_return true;
}

// The commands that set exactly these session values on the connection.
std::vector<TargetCommand> TargetLink::commandsFor(const std::map<std::string, std::string>& required) const
{
    std::vector<TargetCommand> commands;
    bool hasExtraValue = std::any_of(this->values.begin(), this->values.end(),
        [&required](const auto& value) { return !required.count(value.first); });
    if (hasExtraValue) {
        TargetCommand reset;
        reset.kind = TargetCommand::Kind::Reset;
        commands.push_back(reset);
    }
    for (const auto& [name, value] : required) {
        auto held = this->values.find(name);
        if (!hasExtraValue && held != this->values.end() && held->second == value)
            continue;
        TargetCommand set;
        set.kind = TargetCommand::Kind::SetValue;
        set.name = name;
        set.argument = value;
        commands.push_back(set);
    }
    return commands;
}

asio::awaitable<bool> TargetLink::applySessionState(
    std::map<std::string, std::string> required, std::string preparedName, std::string preparedText, TimePoint deadline)
{
    auto self = this->shared_from_this();
    std::vector<TargetCommand> commands = this->commandsFor(required);
    bool resets = !commands.empty() && commands.front().kind == TargetCommand::Kind::Reset;
    bool prepares = !preparedName.empty() && (resets || !this->preparedNames.count(preparedName));
    if (prepares) {
        TargetCommand prepare;
        prepare.kind = TargetCommand::Kind::Prepare;
        prepare.name = preparedName;
        prepare.argument = preparedText;
        commands.push_back(prepare);
    }
    if (commands.empty())
        co_return true;
    if (!co_await this->applyAll(std::move(commands), deadline))
        co_return false;
    this->values = std::move(required);
    if (resets)
        this->preparedNames.clear();
    if (prepares)
        this->preparedNames.insert(preparedName);
    co_return true;
}

} // namespace catkinlock
