#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Jujubequay {

/// Traffic on the streams of one path. Bytes are those of DATA frames, without HTTP/2, TLS and TCP overhead.
struct PathTraffic {
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t streams = 0; ///< streams opened since the start of the process
};

/// Counts the traffic of control streams per path. Thread-safe.
class TrafficCounters
{
public:
    void addStream(const std::string &path);
    void addSent(const std::string &path, std::size_t bytes);
    void addReceived(const std::string &path, std::size_t bytes);
    std::map<std::string, PathTraffic> snapshot() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, PathTraffic> m_paths;
};

}
