// Feeds arbitrary bytes to the readers of answers, feeds and greetings in the caller library.

#include <jujubequay/client/answer_reader.h>
#include <jujubequay/client/caller_flow.h>
#include <jujubequay/core/invariant.h>

using namespace Jujubequay;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    constexpr std::size_t maxBytes = 256;
    const std::span<const std::uint8_t> input(data, size);
    const std::size_t split = size == 0 ? 0 : data[0] % size;

    AnswerReader answer(false, maxBytes);
    answer.add(input.first(split), false);
    answer.add(input.subspan(split), true);
    checkInvariant(answer.outcome().has_value(), "an ended stream has an outcome");
    checkInvariant(answer.takeBody().size() <= maxBytes, "the body of an answer does not exceed the size limit");

    AnswerReader feed(true, maxBytes);
    feed.add(input, false);
    feed.takeParts();

    GreetingReader greetings;
    greetings.add(input.first(split));
    greetings.add(input.subspan(split));
    return 0;
}
