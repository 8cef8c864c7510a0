#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/wire/flow_id.h>

#include <filesystem>

namespace Jujubequay {

/// Creates a random secret for flow identifiers and writes it to `path` (mode 0600). Fails with BadKeyFile if the file
/// exists or cannot be written.
Result<FlowSecret> createFlowSecret(const std::filesystem::path &path);

/// Reads the secret. Fails with BadKeyFile if the file is malformed or accessible to other users.
Result<FlowSecret> loadFlowSecret(const std::filesystem::path &path);

}
