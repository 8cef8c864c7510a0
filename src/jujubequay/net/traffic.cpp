#include <jujubequay/net/traffic.h>

namespace Jujubequay {

void TrafficCounters::addStream(const std::string &path)
{
    const std::lock_guard lock(m_mutex);
    ++m_paths[path].streams;
}

void TrafficCounters::addSent(const std::string &path, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_paths[path].sentBytes += bytes;
}

void TrafficCounters::addReceived(const std::string &path, std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_paths[path].receivedBytes += bytes;
}

std::map<std::string, PathTraffic> TrafficCounters::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_paths;
}

}
