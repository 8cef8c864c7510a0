#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Jujubequay {

/// Bytes of DATA frames on the streams of one path, without HTTP/2, TLS and TCP overhead.
struct PathTraffic {
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t streams = 0; ///< streams opened since the start of the process
};

/// Counts the traffic of control streams for each path. Safe to use from any thread.
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
