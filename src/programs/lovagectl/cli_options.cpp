#include "cli_options.h"

#include <charconv>
#include <cstdlib>
#include <memory>
#include <popt.h>

namespace lovage::ctl {

namespace {

constexpr int k_code_help = 100;
constexpr int k_code_version = 101;

struct context_deleter {
    void operator()(poptContext context) const { poptFreeContext(context); }
};
using context_ptr = std::unique_ptr<poptContext_s, context_deleter>;

struct text_deleter {
    void operator()(char* text) const { std::free(text); } // popt allocates with malloc
};

// popt's codes must be above 0.
int code_of(option id) {
    return static_cast<int>(id) + 1;
}

std::vector<poptOption> make_table() {
    std::vector<poptOption> table;
    table.reserve(k_option_count + 3);
    for (const auto& info : k_options) {
        const int type = info.argument != nullptr ? POPT_ARG_STRING : POPT_ARG_NONE;
        table.push_back({info.name, '\0', static_cast<unsigned>(type), nullptr, code_of(info.id), info.help,
                         info.argument});
    }
    table.push_back({"help", 'h', POPT_ARG_NONE, nullptr, k_code_help, "show this help", nullptr});
    table.push_back({"version", '\0', POPT_ARG_NONE, nullptr, k_code_version, "show the version", nullptr});
    table.push_back(POPT_TABLEEND);
    return table;
}

} // namespace

const option_info& info_of(option id) {
    return k_options.at(static_cast<std::size_t>(id));
}

std::string cli_options::text(option id, const std::string& fallback) const {
    const auto found = values.find(id);
    return found == values.end() ? fallback : found->second.back();
}

std::vector<std::string> cli_options::texts(option id) const {
    const auto found = values.find(id);
    return found == values.end() ? std::vector<std::string>() : found->second;
}

result<cli_options> read_options(int argc, const char** argv) {
    const auto table = make_table();
    const context_ptr context(poptGetContext("lovagectl", argc, argv, table.data(), 0));
    cli_options options;
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0) {
        if (code == k_code_help) {
            options.help = true;
        } else if (code == k_code_version) {
            options.version = true;
        } else {
            const std::unique_ptr<char, text_deleter> value(poptGetOptArg(context.get()));
            options.values[static_cast<option>(code - 1)].emplace_back(value != nullptr ? value.get() : "");
        }
    }
    if (code < -1) {
        return fail(error_kind::invalid_request,
                    std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(code));
    }
    if (const char* command = poptGetArg(context.get())) {
        options.command = command;
    }
    if (const char* extra = poptGetArg(context.get())) {
        return fail(error_kind::invalid_request, std::string("unexpected argument ") + extra);
    }
    return options;
}

result<std::uint64_t> number_of(const cli_options& options, option id, std::uint64_t fallback,
                                std::uint64_t high) {
    if (!options.has(id)) {
        return fallback;
    }
    const std::string text = options.text(id);
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end || value > high) {
        return fail(error_kind::invalid_request, std::string("--") + info_of(id).name +
                                                     " needs an integer in 0.." + std::to_string(high) +
                                                     ", not \"" + text + "\"");
    }
    return value;
}

} // namespace lovage::ctl
