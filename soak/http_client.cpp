#include "soak/http_client.h"

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <fmt/format.h>
#include <http_parser.h>

#include <memory>
#include <utility>

namespace Jujubequay::Soak {

namespace {

/// One request and its response. Keeps itself alive until the handler has been called.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    HttpExchange(asio::io_context &context, std::function<void(const HttpResponse &)> handler)
        : m_socket(context)
        , m_timer(context)
        , m_handler(std::move(handler))
    {
    }

    void start(const HostAddress &address, const Platform::HttpRequest &request, std::chrono::milliseconds timeout)
    {
        m_requestText = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
                                    request.method,
                                    request.target,
                                    toString(address),
                                    request.body.size(),
                                    request.body);
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error) {
                self->finish({});
            }
        });
        m_socket.async_connect({asio::ip::address_v4(address.ip), address.port}, [self = shared_from_this()](const asio::error_code &error) {
            error ? self->finish({}) : self->write();
        });
    }

private:
    void write()
    {
        asio::async_write(m_socket, asio::buffer(m_requestText), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
            error ? self->finish({}) : self->read();
        });
    }

    void read()
    {
        asio::async_read(m_socket, asio::dynamic_buffer(m_receivedText), [self = shared_from_this()](const asio::error_code &, std::size_t) {
            self->finish(self->parse());
        });
    }

    HttpResponse parse()
    {
        HttpResponse response;
        http_parser_settings settings{};
        settings.on_header_field = [](http_parser *parser, const char *data, std::size_t length) {
            static_cast<HttpExchange *>(parser->data)->m_headerField.assign(data, length);
            return 0;
        };
        settings.on_header_value = [](http_parser *parser, const char *data, std::size_t length) {
            auto *exchange = static_cast<HttpExchange *>(parser->data);
            if (exchange->m_headerField == "Location") {
                exchange->m_location.assign(data, length);
            }
            return 0;
        };
        settings.on_body = [](http_parser *parser, const char *data, std::size_t length) {
            static_cast<HttpExchange *>(parser->data)->m_body.append(data, length);
            return 0;
        };
        settings.on_message_complete = [](http_parser *parser) {
            static_cast<HttpExchange *>(parser->data)->m_isComplete = true;
            return 0;
        };
        http_parser parser{};
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        http_parser_execute(&parser, &settings, m_receivedText.data(), m_receivedText.size());
        if (m_isComplete) {
            response = {parser.status_code, m_body, m_location};
        }
        return response;
    }

    void finish(const HttpResponse &response)
    {
        if (const auto handler = std::exchange(m_handler, nullptr)) {
            m_timer.cancel();
            asio::error_code ignored;
            m_socket.close(ignored);
            handler(response);
        }
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::function<void(const HttpResponse &)> m_handler;
    std::string m_requestText;
    std::string m_receivedText;
    std::string m_headerField;
    std::string m_location;
    std::string m_body;
    bool m_isComplete = false;
};

}

void sendHttpRequest(asio::io_context &context,
                     const HostAddress &address,
                     const Platform::HttpRequest &request,
                     std::chrono::milliseconds timeout,
                     std::function<void(const HttpResponse &)> handler)
{
    std::make_shared<HttpExchange>(context, std::move(handler))->start(address, request, timeout);
}

}
