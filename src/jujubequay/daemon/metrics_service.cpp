#include <jujubequay/daemon/metrics_service.h>

#include <metrics.pb.h>

namespace Jujubequay {

namespace {

constexpr std::size_t maxPartBytes = 256U << 10U;

}

MetricsService::MetricsService(std::shared_ptr<const Metrics> metrics)
    : m_metrics(std::move(metrics))
{
}

MessageStreamHandlers MetricsService::accept(const std::shared_ptr<MessageStream> &stream) const
{
    const std::string text = prometheusText(m_metrics->snapshot());
    for (std::size_t start = 0; start < text.size(); start += maxPartBytes) {
        jujubequay::pb::MetricsPart part;
        part.set_text(text.substr(start, maxPartBytes));
        stream->send(part);
    }
    stream->close();
    MessageStreamHandlers handlers;
    handlers.message = [](const Bytes &) {};
    return handlers;
}

}
