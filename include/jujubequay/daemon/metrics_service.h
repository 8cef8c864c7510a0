#pragma once

#include <jujubequay/daemon/metrics.h>
#include <jujubequay/net/message_stream.h>

#include <memory>

namespace Jujubequay {

/// Serves the path "/metrics" on control streams: sends the metrics as MetricsPart messages and ends the stream.
class MetricsService
{
public:
    explicit MetricsService(std::shared_ptr<const Metrics> metrics);

    /// Sends the metrics on a new stream and returns its handlers.
    MessageStreamHandlers accept(const std::shared_ptr<MessageStream> &stream) const;

private:
    std::shared_ptr<const Metrics> m_metrics;
};

}
