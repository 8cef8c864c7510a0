#include <jujubequay/daemon/command_line.h>
#include <jujubequay/operator_program/operator_program.h>

int main(int argc, char **argv)
{
    return Jujubequay::runProgram("jjq", [&] {
        return Jujubequay::runOperatorCommand({argv, argv + argc});
    });
}
