#include <jujubequay/daemon/metrics.h>

#include <fmt/format.h>

#include <iterator>

namespace Jujubequay {

namespace {

using Output = std::back_insert_iterator<std::string>;

std::string escaped(std::string_view value)
{
    std::string text;
    for (const char character : value) {
        if (character == '\n') {
            text += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            text += '\\';
        }
        text += character;
    }
    return text;
}

std::string labelsOf(const MetricKey &key)
{
    return fmt::format("customer=\"{}\",class=\"{}\"", escaped(key.customer), workClassName(key.workClass));
}

void writeType(Output out, std::string_view name, std::string_view type)
{
    fmt::format_to(out, "# TYPE jujubequay_{} {}\n", name, type);
}

void writeHistogram(Output out, std::string_view name, const std::string &labels, const MetricHistogram &histogram)
{
    histogram.visitCumulative([&](double upper, std::uint64_t total) {
        fmt::format_to(out, "jujubequay_{}_bucket{{{},le=\"{:.6g}\"}} {}\n", name, labels, upper, total);
    });
    fmt::format_to(out, "jujubequay_{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labels, histogram.count());
    fmt::format_to(out, "jujubequay_{}_sum{{{}}} {}\n", name, labels, histogram.sum());
    fmt::format_to(out, "jujubequay_{}_count{{{}}} {}\n", name, labels, histogram.count());
}

void writeHistograms(Output out, const MetricsSnapshot &snapshot, std::string_view name, MetricHistogram RequestMetrics::*member)
{
    writeType(out, name, "histogram");
    for (const auto &[key, metrics] : snapshot.requests) {
        writeHistogram(out, name, labelsOf(key), metrics.*member);
    }
}

void writeRefusals(Output out, const MetricsSnapshot &snapshot)
{
    writeType(out, "refused_total", "counter");
    for (const auto &[key, metrics] : snapshot.requests) {
        for (const auto &[cause, count] : metrics.refused) {
            fmt::format_to(out, "jujubequay_refused_total{{{},cause=\"{}\"}} {}\n", labelsOf(key), resultName(cause), count);
        }
    }
}

void writeCounters(Output out, const MetricsSnapshot &snapshot)
{
    std::string_view previous;
    for (const auto &[key, value] : snapshot.counters) {
        if (key.name != previous) {
            writeType(out, key.name + "_total", "counter");
            previous = key.name;
        }
        fmt::format_to(out, "jujubequay_{}_total{{cause=\"{}\"}} {}\n", key.name, escaped(key.cause), value);
    }
}

void writeGauges(Output out, const MetricsSnapshot &snapshot)
{
    for (const auto &[name, value] : snapshot.gauges) {
        writeType(out, name, "gauge");
        fmt::format_to(out, "jujubequay_{} {}\n", name, value);
    }
}

}

std::string prometheusText(const MetricsSnapshot &snapshot)
{
    std::string text;
    const Output out(text);
    writeHistograms(out, snapshot, "request_seconds", &RequestMetrics::seconds);
    writeHistograms(out, snapshot, "queue_wait_seconds", &RequestMetrics::queueWaitSeconds);
    writeHistograms(out, snapshot, "answer_bytes", &RequestMetrics::bytes);
    writeRefusals(out, snapshot);
    writeCounters(out, snapshot);
    writeGauges(out, snapshot);
    return text;
}

}
