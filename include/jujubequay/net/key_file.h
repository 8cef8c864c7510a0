#pragma once

#include <jujubequay/core/error.h>

#include <filesystem>
#include <string_view>

namespace Jujubequay {

/// Fails with BadKeyFile unless the path is a regular file that only its owner may read and write (mode 0600 or
/// narrower).
Result<void> checkKeyFile(const std::filesystem::path &path);

/// Reads a key file after checkKeyFile.
Result<std::string> readKeyFile(const std::filesystem::path &path);

/// Writes a new file with mode 0600 and syncs it. Fails with BadKeyFile if the file exists or cannot be written.
Result<void> writeKeyFile(const std::filesystem::path &path, std::string_view content);

}
