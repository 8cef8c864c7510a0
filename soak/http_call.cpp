#include "soak/http_call.h"

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

/// One call; keeps itself alive until it is answered.
class Call : public std::enable_shared_from_this<Call>
{
public:
    Call(asio::io_context &context, std::function<void(const HttpAnswer &)> handler)
        : m_socket(context)
        , m_timer(context)
        , m_handler(std::move(handler))
    {
    }

    void start(const HostAddress &address, const Platform::HttpRequest &call, std::chrono::milliseconds timeout)
    {
        m_text = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
                             call.method,
                             call.target,
                             toString(address),
                             call.body.size(),
                             call.body);
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
        asio::async_write(m_socket, asio::buffer(m_text), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
            error ? self->finish({}) : self->read();
        });
    }

    void read()
    {
        asio::async_read(m_socket, asio::dynamic_buffer(m_answer), [self = shared_from_this()](const asio::error_code &, std::size_t) {
            self->finish(self->parse());
        });
    }

    HttpAnswer parse()
    {
        HttpAnswer answer;
        http_parser_settings settings{};
        settings.on_header_field = [](http_parser *parser, const char *data, std::size_t length) {
            static_cast<Call *>(parser->data)->m_field.assign(data, length);
            return 0;
        };
        settings.on_header_value = [](http_parser *parser, const char *data, std::size_t length) {
            auto *call = static_cast<Call *>(parser->data);
            if (call->m_field == "Location") {
                call->m_location.assign(data, length);
            }
            return 0;
        };
        settings.on_body = [](http_parser *parser, const char *data, std::size_t length) {
            static_cast<Call *>(parser->data)->m_body.append(data, length);
            return 0;
        };
        settings.on_message_complete = [](http_parser *parser) {
            static_cast<Call *>(parser->data)->m_isComplete = true;
            return 0;
        };
        http_parser parser{};
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        http_parser_execute(&parser, &settings, m_answer.data(), m_answer.size());
        if (m_isComplete) {
            answer = {parser.status_code, m_body, m_location};
        }
        return answer;
    }

    void finish(const HttpAnswer &answer)
    {
        if (const auto handler = std::exchange(m_handler, nullptr)) {
            m_timer.cancel();
            asio::error_code ignored;
            m_socket.close(ignored);
            handler(answer);
        }
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::function<void(const HttpAnswer &)> m_handler;
    std::string m_text;
    std::string m_answer;
    std::string m_field;
    std::string m_location;
    std::string m_body;
    bool m_isComplete = false;
};

}

void sendCall(asio::io_context &context,
              const HostAddress &address,
              const Platform::HttpRequest &call,
              std::chrono::milliseconds timeout,
              std::function<void(const HttpAnswer &)> handler)
{
    std::make_shared<Call>(context, std::move(handler))->start(address, call, timeout);
}

}
