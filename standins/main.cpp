#include "standins/lib/standin_program.h"

int main(int argc, char **argv)
{
    return foxtailtally::runStandinProgram(argc, argv);
}
