#pragma once

#include <jujubequay/daemon/common_settings.h>

namespace Jujubequay {

/// Settings of jjq-control.
struct ControlSettings {
    CommonSettings common;
    HostAddress controlAddress;
    std::filesystem::path dataDirectory;
    std::chrono::milliseconds heartbeat{};
    std::chrono::milliseconds electionTimeout{};
    std::uint64_t snapshotEntries = 0;
    std::chrono::milliseconds lease{};
    std::chrono::milliseconds registryExchange{};
};

ControlSettings readControlSettings(SettingsReader &reader);

}
