#include "jujubequay/daemon/key_text.h"

#include <jujubequay/core/invariant.h>
#include <jujubequay/daemon/flow_secret.h>
#include <jujubequay/net/key_file.h>

#include <sodium.h>

namespace Jujubequay {

namespace {

constexpr std::string_view label = "jujubequay-flow-secret";

}

Result<FlowSecret> createFlowSecret(const std::filesystem::path &path)
{
    checkInvariant(sodium_init() >= 0, "libsodium has a source of random numbers");
    FlowSecret secret;
    randombytes_buf(secret.data(), secret.size());
    BOOST_LEAF_CHECK(writeKeyFile(path, formatKeyText(label, secret)));
    return secret;
}

Result<FlowSecret> loadFlowSecret(const std::filesystem::path &path)
{
    BOOST_LEAF_AUTO(text, readKeyFile(path));
    return parseKeyText<flowSecretLength>(label, text, path);
}

}
