#pragma once

#include <jujubequay/daemon/common_settings.h>

namespace Jujubequay {

/// Settings of jjq-call.
struct CallSettings {
    LogLevel logLevel = LogLevel::Info;
    std::string customer;
    std::vector<HostAddress> balancers;
    std::optional<std::filesystem::path> trustedCertificate;
    WorkClass workClass = WorkClass::Interactive;
    bool isIdempotent = false;
    std::chrono::milliseconds deadline{};
    std::uint32_t retries = 0;
    std::uint64_t seed = 0;
};

CallSettings readCallSettings(SettingsReader &reader);

}
