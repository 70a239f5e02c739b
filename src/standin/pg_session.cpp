#include "standin/pg_session.h"

#include <boost/asio.hpp>
#include <boost/endian/conversion.hpp>

namespace catkinlock::standin {

namespace asio = boost::asio;

namespace {

    // Version 3.0: the major version in the upper 16 bits, the minor version in the lower.
    constexpr std::uint32_t protocolVersion3 = 196608;
    // Object id of PostgreSQL's type text.
    constexpr std::uint32_t textOid = 25;

    void putInt16(std::string& out, std::uint16_t value)
    {
        boost::endian::native_to_big_inplace(value);
        out.append(reinterpret_cast<const char*>(&value), sizeof value);
    }

    void putInt32(std::string& out, std::uint32_t value)
    {
        boost::endian::native_to_big_inplace(value);
        out.append(reinterpret_cast<const char*>(&value), sizeof value);
    }

    // The take functions read a value at `offset` and advance it past the value.

    std::uint16_t takeInt16(const std::string& data, std::size_t& offset)
    {
        std::uint16_t value = boost::endian::load_big_u16(reinterpret_cast<const unsigned char*>(data.data() + offset));
        offset += sizeof value;
        return value;
    }

    std::uint32_t takeInt32(const std::string& data, std::size_t& offset)
    {
        std::uint32_t value = boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(data.data() + offset));
        offset += sizeof value;
        return value;
    }

    std::string takeText(const std::string& data, std::size_t& offset)
    {
        std::string text = data.c_str() + offset;
        offset += text.size() + 1;
        return text;
    }

    std::string trimmed(const std::string& text)
    {
        std::size_t first = text.find_first_not_of(" \n;");
        std::size_t last = text.find_last_not_of(" \n;");
        return first == std::string::npos ? "" : text.substr(first, last - first + 1);
    }

} // namespace

PgSession::PgSession(asio::ip::tcp::socket socket, std::shared_ptr<GroupMember> member)
    : socket(std::move(socket))
    , member(member)
    , session(member)
{
}

asio::awaitable<void> PgSession::serve()
{
    auto self = this->shared_from_this();
    try {
        this->socket.set_option(asio::ip::tcp::no_delay(true));
        if (co_await this->startUp())
            co_await this->serveMessages();
    } catch (const std::exception&) {
        // The connection was closed or failed. The destructor of the SQL session discards an open transaction.
    }
}

asio::awaitable<bool> PgSession::startUp()
{
    for (;;) {
        std::string header(4, '\0');
        co_await asio::async_read(this->socket, asio::buffer(header, 1), asio::use_awaitable);
        if (header[0] == 'R') {
            std::string line;
            co_await asio::async_read_until(this->socket, asio::dynamic_buffer(line), '\n', asio::use_awaitable);
            co_await this->member->serveReplica(this->socket, line);
            co_return false;
        }
        co_await asio::async_read(this->socket, asio::buffer(header.data() + 1, 3), asio::use_awaitable);
        std::size_t offset = 0;
        std::string body(takeInt32(header, offset) - 4, '\0');
        co_await asio::async_read(this->socket, asio::buffer(body), asio::use_awaitable);
        offset = 0;
        if (takeInt32(body, offset) == protocolVersion3)
            break;
        // Other codes request TLS or GSSAPI encryption; 'N' declines, and the client starts again without it.
        co_await asio::async_write(this->socket, asio::buffer("N", 1), asio::use_awaitable);
    }
    if (this->member->faults.connectDelayMs) {
        asio::steady_timer delay(this->member->context, std::chrono::milliseconds(this->member->faults.connectDelayMs));
        co_await delay.async_wait(asio::use_awaitable);
    }
    std::string authenticationOk;
    putInt32(authenticationOk, 0);
    this->put('R', authenticationOk);
    // Name and value of each parameter, separated by NUL.
    for (const char* parameter :
        { "server_version\00015.0", "client_encoding\000UTF8", "standard_conforming_strings\000on" }) {
        std::string name = parameter;
        std::string value = parameter + name.size() + 1;
        this->put('S', name + '\0' + value + '\0');
    }
    this->putReady();
    co_await this->flush();
    co_return true;
}

asio::awaitable<void> PgSession::serveMessages()
{
    while (!this->closed) {
        std::string header(5, '\0');
        co_await asio::async_read(this->socket, asio::buffer(header), asio::use_awaitable);
        std::size_t offset = 1;
        std::string payload(takeInt32(header, offset) - 4, '\0');
        co_await asio::async_read(this->socket, asio::buffer(payload), asio::use_awaitable);
        if (!co_await this->handle(header[0], payload))
            break;
    }
}

asio::awaitable<bool> PgSession::handle(char type, const std::string& payload)
{
    if (type == 'X')
        co_return false;
    if (type == 'S') {
        this->skipToSync = false;
        this->putReady();
        co_await this->flush();
        co_return true;
    }
    if (this->skipToSync)
        co_return true;
    if (type == 'Q')
        co_await this->runSimple(payload.c_str());
    else if (type == 'P')
        this->parse(payload);
    else if (type == 'B')
        this->bind(payload);
    else if (type == 'D') {
        // The statement runs at Describe and not at Execute, since its columns are known only from its result.
        this->describedResult = co_await this->session.run(this->parsedSql, this->parameters);
        if (this->describedResult.closeWithoutResponse)
            co_return false;
        if (!this->describedResult.errorCode.empty()) {
            this->putError(this->describedResult);
            this->skipToSync = true;
        } else if (this->describedResult.columns.empty())
            this->put('n', "");
        else
            this->putRowDescription(this->describedResult);
    } else if (type == 'E')
        this->putRows(this->describedResult);
    else if (type == 'H')
        co_await this->flush();
    co_return true;
}

asio::awaitable<void> PgSession::runSimple(const std::string& text)
{
    std::size_t start = 0;
    while (start < text.size() && !this->closed) {
        std::size_t end = std::min(text.find(';', start), text.size());
        std::string statement = trimmed(text.substr(start, end - start));
        start = end + 1;
        if (statement.empty())
            continue;
        StatementResult result = co_await this->session.run(statement, {});
        if (result.closeWithoutResponse) {
            this->closed = true;
            co_return;
        }
        if (!result.errorCode.empty()) {
            this->putError(result);
            break;
        }
        if (!result.columns.empty())
            this->putRowDescription(result);
        this->putRows(result);
    }
    this->putReady();
    co_await this->flush();
}

void PgSession::parse(const std::string& payload)
{
    std::size_t offset = 0;
    takeText(payload, offset);
    this->parsedSql = trimmed(takeText(payload, offset));
    this->put('1', "");
}

void PgSession::bind(const std::string& payload)
{
    std::size_t offset = 0;
    takeText(payload, offset);
    takeText(payload, offset);
    offset += takeInt16(payload, offset) * 2u;
    std::uint16_t count = takeInt16(payload, offset);
    this->parameters.clear();
    for (std::uint16_t i = 0; i < count; ++i) {
        std::uint32_t size = takeInt32(payload, offset);
        if (size == UINT32_MAX) {
            this->parameters.emplace_back();
            continue;
        }
        this->parameters.emplace_back(payload.substr(offset, size));
        offset += size;
    }
    this->put('2', "");
}

void PgSession::put(char type, const std::string& payload)
{
    this->sendBuffer += type;
    putInt32(this->sendBuffer, static_cast<std::uint32_t>(payload.size() + 4));
    this->sendBuffer += payload;
}

void PgSession::putRowDescription(const StatementResult& result)
{
    std::string payload;
    putInt16(payload, static_cast<std::uint16_t>(result.columns.size()));
    for (const std::string& column : result.columns) {
        payload += column + '\0';
        putInt32(payload, 0);
        putInt16(payload, 0);
        putInt32(payload, textOid);
        putInt16(payload, UINT16_MAX);
        putInt32(payload, UINT32_MAX);
        putInt16(payload, 0);
    }
    this->put('T', payload);
}

void PgSession::putRows(const StatementResult& result)
{
    for (const auto& row : result.rows) {
        std::string payload;
        putInt16(payload, static_cast<std::uint16_t>(row.size()));
        for (const auto& value : row) {
            putInt32(payload, value ? static_cast<std::uint32_t>(value->size()) : UINT32_MAX);
            payload += value.value_or("");
        }
        this->put('D', payload);
    }
    this->put('C', result.tag + '\0');
}

void PgSession::putError(const StatementResult& result)
{
    std::string payload
        = std::string("SERROR") + '\0' + 'C' + result.errorCode + '\0' + 'M' + result.errorMessage + '\0' + '\0';
    this->put('E', payload);
}

void PgSession::putReady() { this->put('Z', std::string(1, this->session.status())); }

asio::awaitable<void> PgSession::flush()
{
    std::string data = std::move(this->sendBuffer);
    this->sendBuffer.clear();
    co_await asio::async_write(this->socket, asio::buffer(data), asio::use_awaitable);
}

} // namespace catkinlock::standin
