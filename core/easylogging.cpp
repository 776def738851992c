// The library ships its implementation as one source file that each program compiles once.
#include <easylogging++.cc>
