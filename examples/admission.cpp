// Runs four requests of two customers on one slot. The admission queue alternates between the customers.

#include <jujubequay/policy/admission_queue.h>

#include <fmt/core.h>

using namespace Jujubequay;

namespace {

std::optional<std::uint64_t> startedRequest(const AdmissionEffects &effects)
{
    for (const AdmissionEffect &effect : effects) {
        if (const StartRequest *start = std::get_if<StartRequest>(&effect)) {
            return start->id;
        }
    }
    return std::nullopt;
}

}

int main()
{
    AdmissionQueue queue({.slots = 1});
    TimePoint now{};
    std::optional<std::uint64_t> running;
    for (const std::uint64_t id : {1, 2, 3, 4}) {
        const auto started = startedRequest(queue.submit(now, {.id = id, .customer = id <= 3 ? "large" : "small"}));
        running = running ? running : started;
    }
    while (running) {
        fmt::print("request {} runs\n", *running);
        now += std::chrono::milliseconds(50);
        running = startedRequest(queue.finish(now, *running));
    }
    return 0;
}
