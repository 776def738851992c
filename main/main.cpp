#include "main/lib/command_line.h"

int main(int argc, char **argv)
{
    return foxtailtally::runCommandLine(argc, argv);
}
