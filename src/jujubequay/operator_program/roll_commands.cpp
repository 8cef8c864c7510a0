#include "command_context.h"

#include <jujubequay/control/bundle.h>

#include <algorithm>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

/// Returns the version of a service that is in force, or 0.
Result<std::uint64_t> versionInForce(OnlineCommand &command, const std::string &service)
{
    BOOST_LEAF_AUTO(status, command.connection().status({}));
    const auto found = std::find_if(status.services().begin(), status.services().end(), [&service](const pb::ServiceConfig &config) {
        return config.service() == service;
    });
    return found == status.services().end() ? 0 : found->version();
}

Result<void> roll(OnlineCommand &command, const Arguments &arguments, bool isRollBack)
{
    auto &parser = command.parser();
    TCLAP::ValueArg<std::string> service("", "service", "service name", true, "", "NAME", parser);
    TCLAP::ValueArg<std::uint64_t> version("", "bundle-version", "version to put in force", true, 0, "NUMBER", parser);
    TCLAP::ValueArg<std::uint64_t> expected(
        "", "expected-version", "refuse unless this version is in force; default: the version in force now", false, 0, "NUMBER", parser);
    TCLAP::ValueArg<std::string> bundle("", "bundle", "refuse unless the version has this content", false, "", "FILE", parser);
    BOOST_LEAF_CHECK(command.parse(arguments));

    pb::Command message;
    pb::RollBundle &roll = *message.mutable_roll();
    roll.set_service(service.getValue());
    roll.set_version(version.getValue());
    roll.set_roll_back(isRollBack);
    roll.set_expected_version(expected.getValue());
    if (!expected.isSet()) {
        BOOST_LEAF_AUTO(current, versionInForce(command, service.getValue()));
        roll.set_expected_version(current);
    }
    if (bundle.isSet()) {
        BOOST_LEAF_AUTO(bytes, readFile(bundle.getValue()));
        roll.set_digest(bundleDigest(bytes));
    }
    return command.execute(std::move(message));
}

}

Result<void> rollBundle(const Arguments &arguments)
{
    OnlineCommand command({"jjq roll",
                           "Puts a signed bundle in force. Never goes to a lower version.",
                           {{"jjq roll --settings jjq.toml --service inspect-desk --bundle-version 2", "Puts version 2 in force."}}});
    return roll(command, arguments, false);
}

Result<void> rollBackBundle(const Arguments &arguments)
{
    OnlineCommand command({"jjq rollback",
                           "Puts an older version, which was in force before, in force again as a new revision.",
                           {{"jjq rollback --settings jjq.toml --service inspect-desk --bundle-version 1", "Returns to version 1."}}});
    return roll(command, arguments, true);
}

}
