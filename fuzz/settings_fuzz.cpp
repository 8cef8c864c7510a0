// Feeds arbitrary text to the settings readers of the platform programs.

#include <jujubequay/daemon/steering_settings.h>

#include <string>

using namespace Jujubequay;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(data, data + size);
    const auto ignore = [](const Failure &) {};
    for (const auto &read : {+[](SettingsReader &reader) {
                                 readSteeringBalancerSettings(reader);
                             },
                             +[](SettingsReader &reader) {
                                 readSteeringAgentSettings(reader);
                             },
                             +[](SettingsReader &reader) {
                                 readRouteControlSettings(reader);
                             }}) {
        handleFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(reader, SettingsReader::parse(text, "fuzz.toml"));
                read(reader);
                return reader.finish();
            },
            ignore);
    }
    return 0;
}
