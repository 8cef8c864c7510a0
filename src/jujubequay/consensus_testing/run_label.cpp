#include <jujubequay/consensus_testing/run_label.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstring>

#include <unistd.h>

namespace Jujubequay::Consensus {

namespace {

std::array<char, 256> label{};
std::size_t labelLength = 0;

void printLabel(int)
{
    // A signal handler may only call async-signal-safe functions, so a failed write is not reported.
    [[maybe_unused]] const ssize_t written = ::write(STDERR_FILENO, label.data(), labelLength);
}

}

void setRunLabel(std::string_view text)
{
    labelLength = std::min(text.size(), label.size() - 1);
    std::memcpy(label.data(), text.data(), labelLength);
    label[labelLength] = '\n';
    ++labelLength;
    std::signal(SIGABRT, printLabel);
}

}
