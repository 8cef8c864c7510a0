#include <jujubequay/net/http1_server.h>

#include <asio/write.hpp>
#include <fmt/format.h>
#include <http_parser.h>

#include <array>
#include <utility>

namespace Jujubequay {

namespace {

constexpr std::size_t readBufferBytes = 4096;

std::string encodeResponse(const Http1Response &response, bool keepsAlive)
{
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", response.status, http_status_str(static_cast<http_status>(response.status)));
    if (!response.location.empty()) {
        text += fmt::format("Location: {}\r\n", response.location);
    }
    if (response.retryAfterSeconds > 0) {
        text += fmt::format("Retry-After: {}\r\n", response.retryAfterSeconds);
    }
    if (!keepsAlive) {
        text += "Connection: close\r\n";
    }
    text += fmt::format("Content-Type: {}\r\nContent-Length: {}\r\n\r\n", response.contentType, response.body.size());
    return text + response.body;
}

}

class Http1Server::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(const std::shared_ptr<Http1Server> &server, asio::ip::tcp::socket socket)
        : m_server(server)
        , m_socket(std::move(socket))
        , m_timer(server->m_context)
    {
        http_parser_init(&m_parser, HTTP_REQUEST);
        m_parser.data = this;
    }

    void read()
    {
        restartTimer();
        m_socket.async_read_some(asio::buffer(m_readBuffer), [self = shared_from_this()](const asio::error_code &error, std::size_t bytes) {
            if (error) {
                self->close();
                return;
            }
            self->m_unparsed.append(self->m_readBuffer.data(), bytes);
            self->parse();
        });
    }

    void close()
    {
        asio::error_code ignored;
        m_timer.cancel();
        m_socket.close(ignored);
        if (const auto server = m_server.lock()) {
            server->m_connections.erase(shared_from_this());
        }
    }

private:
    static Connection &connectionOf(http_parser *parser)
    {
        return *static_cast<Connection *>(parser->data);
    }

    static http_parser_settings callbacks()
    {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_url = [](http_parser *parser, const char *at, std::size_t length) {
            return connectionOf(parser).append(connectionOf(parser).m_request.target, at, length, connectionOf(parser).options().maxHeaderBytes);
        };
        settings.on_body = [](http_parser *parser, const char *at, std::size_t length) {
            return connectionOf(parser).append(connectionOf(parser).m_request.body, at, length, connectionOf(parser).options().maxBodyBytes);
        };
        settings.on_message_complete = [](http_parser *parser) {
            connectionOf(parser).m_isRequestComplete = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        return settings;
    }

    const Http1ServerOptions &options() const
    {
        return m_options;
    }

    int append(std::string &text, const char *at, std::size_t length, std::size_t limit)
    {
        if (text.size() + length > limit) {
            m_isRequestTooLarge = true;
            return 1;
        }
        text.append(at, length);
        return 0;
    }

    void parse()
    {
        static const http_parser_settings settings = callbacks();
        const std::size_t parsedBytes = http_parser_execute(&m_parser, &settings, m_unparsed.data(), m_unparsed.size());
        const auto error = HTTP_PARSER_ERRNO(&m_parser);
        m_unparsed.erase(0, std::min(parsedBytes, m_unparsed.size()));
        if (m_isRequestComplete) {
            http_parser_pause(&m_parser, 0);
            handle();
            return;
        }
        if (error != HPE_OK || m_parser.upgrade != 0) {
            m_keepsAlive = false;
            Http1Response response;
            response.status = m_isRequestTooLarge ? HTTP_STATUS_PAYLOAD_TOO_LARGE : HTTP_STATUS_BAD_REQUEST;
            write(response);
            return;
        }
        read();
    }

    void handle()
    {
        const auto server = m_server.lock();
        if (!server) {
            close();
            return;
        }
        m_isRequestComplete = false;
        m_keepsAlive = m_options.allowsKeepAlive && http_should_keep_alive(&m_parser) != 0;
        m_request.method = http_method_str(static_cast<http_method>(m_parser.method));
        m_timer.cancel();
        server->m_handler(std::exchange(m_request, {}), [weak = weak_from_this()](const Http1Response &response) {
            if (const auto connection = weak.lock()) {
                connection->write(response);
            }
        });
    }

    void write(const Http1Response &response)
    {
        restartTimer();
        m_response = encodeResponse(response, m_keepsAlive);
        asio::async_write(m_socket, asio::buffer(m_response), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
            if (error || !self->m_keepsAlive) {
                self->close();
                return;
            }
            self->m_response = {};
            self->m_unparsed.empty() ? self->read() : self->parse();
        });
    }

    void restartTimer()
    {
        m_timer.expires_after(m_options.idleTimeout);
        m_timer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
            const auto connection = weak.lock();
            if (!error && connection) {
                connection->close();
            }
        });
    }

    std::weak_ptr<Http1Server> m_server;
    const Http1ServerOptions m_options = m_server.lock()->m_options;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    http_parser m_parser{};
    std::array<char, readBufferBytes> m_readBuffer{};
    std::string m_unparsed; ///< bytes received and not parsed yet
    Http1Request m_request;
    std::string m_response;
    bool m_isRequestComplete = false;
    bool m_isRequestTooLarge = false;
    bool m_keepsAlive = true;
};

Result<std::shared_ptr<Http1Server>> Http1Server::listen(
    asio::io_context &context, Logger &logger, const HostAddress &address, Handler handler, Http1ServerOptions options)
{
    std::shared_ptr<Http1Server> server(new Http1Server(context, logger, std::move(handler), options));
    const auto onAccept = [weak = server->weak_from_this()](asio::ip::tcp::socket socket) {
        if (const auto self = weak.lock()) {
            self->accept(std::move(socket));
        }
    };
    BOOST_LEAF_ASSIGN(server->m_acceptLoop, AcceptLoop::listen(context, logger, address, onAccept));
    return server;
}

Http1Server::Http1Server(asio::io_context &context, Logger &logger, Handler handler, Http1ServerOptions options)
    : m_context(context)
    , m_logger(logger)
    , m_handler(std::move(handler))
    , m_options(options)
{
}

HostAddress Http1Server::address() const
{
    return m_acceptLoop->address();
}

void Http1Server::stop()
{
    m_acceptLoop->stop();
    const auto connections = m_connections;
    for (const auto &connection : connections) {
        connection->close();
    }
}

void Http1Server::accept(asio::ip::tcp::socket socket)
{
    if (m_connections.size() >= m_options.maxConnections) {
        m_logger.warning("connection-limit-reached", {{"limit", m_options.maxConnections}});
        return;
    }
    const auto connection = std::make_shared<Connection>(shared_from_this(), std::move(socket));
    m_connections.insert(connection);
    connection->read();
}

}
