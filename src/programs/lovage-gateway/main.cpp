#include "gateway_process.h"

#include "lovage/adapters/program.h"

int main(int argc, const char** argv) {
    lovage::gateway_settings settings;
    lovage::program program;
    program.name = "lovage-gateway";
    program.summary = "Forwards callers' requests to the platform's targets";
    program.handles_signals = true;
    program.configure = [&settings](lovage::settings_reader& reader) -> lovage::result<void> {
        lovage::read_gateway_settings(reader, settings);
        return {};
    };
    program.run = [&settings] { return lovage::run_gateway(lovage::gateway_settings(settings)); };
    return lovage::run_program(argc, argv, program);
}
