#pragma once

#include <jujubequay/daemon/common_settings.h>

namespace Jujubequay {

/// Settings of jjq-call.
struct CallSettings {
    LogLevel logLevel = LogLevel::Info;
    std::string customer; ///< client account of all requests
    std::vector<HostAddress> balancers; ///< caller addresses of the service at the balancers (UDP)
    std::optional<std::filesystem::path> trustedCertificate; ///< certificate that agents are verified against (PEM)
    WorkClass workClass = WorkClass::Interactive;
    bool isIdempotent = false;
    std::chrono::milliseconds deadline{}; ///< time limit of a request, including retries
    std::uint32_t retries = 0; ///< upper limit of retries of one request
    std::uint64_t seed = 0; ///< seed of caller identities and retry delays; 0: random
};

CallSettings readCallSettings(SettingsReader &reader);

}
