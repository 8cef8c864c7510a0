#include <jujubequay/daemon/settings_documentation.h>

#include <fmt/core.h>

int main()
{
    fmt::print("{}", Jujubequay::settingsDocumentation());
    return 0;
}
