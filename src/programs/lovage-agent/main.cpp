#include "agent_program.h"

int main(int argc, const char** argv) {
    return lovage::run_agent_program(argc, argv);
}
