// Places three keys on two servers and then on three. A third server changes the placement only of the keys that move to it.

#include <jujubequay/policy/placement.h>

#include <fmt/core.h>

using namespace Jujubequay;

int main()
{
    const PlacementServer first{{0x0A000001, 4500}, Incarnation{1}};
    const PlacementServer second{{0x0A000002, 4500}, Incarnation{2}};
    const PlacementServer third{{0x0A000003, 4500}, Incarnation{3}};
    const PlacementTable two({first, second});
    const PlacementTable three({first, second, third});
    for (const std::uint64_t key : {1, 2, 3}) {
        fmt::print("key {}: {} of two servers, {} of three\n", key, toString(two.choose(key).first->address), toString(three.choose(key).first->address));
    }
    return 0;
}
