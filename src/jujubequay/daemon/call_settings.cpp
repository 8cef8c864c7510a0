#include <jujubequay/daemon/call_settings.h>

namespace Jujubequay {

namespace {

using namespace std::chrono_literals;

constexpr NameTable<WorkClass, 4> workClasses{{{
    {WorkClass::Critical, "critical"},
    {WorkClass::Interactive, "interactive"},
    {WorkClass::Bulk, "bulk"},
    {WorkClass::Feed, "feed"},
}}};

}

CallSettings readCallSettings(SettingsReader &reader)
{
    CallSettings settings;
    settings.logLevel = readLogLevel(reader);
    settings.customer = reader.text("customer", "customer on whose behalf requests are made");
    settings.balancers = reader.addresses("balancers", "addresses of the service at the balancers (UDP)");
    if (settings.balancers.empty()) {
        reader.reject("balancers", "at least one address");
    }
    settings.trustedCertificate = reader.optionalPath("trusted_certificate_file", "certificate that agents are verified against (PEM)");
    settings.workClass = reader.choice("work_class", workClasses, WorkClass::Interactive, "work class of the requests, which determines their scheduling");
    settings.isIdempotent = reader.flag("idempotent", false, "whether a request may be executed more than once");
    settings.deadline = reader.duration("deadline_ms", 10s, {1ms, 24h}, "time limit of a request, including retries");
    settings.retries = static_cast<std::uint32_t>(reader.integer("retries", 3, {0, 100}, "attempts of a request after the first one"));
    settings.seed = static_cast<std::uint64_t>(reader.integer(
        "seed", 0, {0, INT64_MAX}, "seed of caller identities and of the jitter between attempts; 0: random. Equal seeds give equal identities"));
    return settings;
}

}
