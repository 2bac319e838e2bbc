#include "workload.h"

#include "lovage/core/ids.h"
#include "standins/fake_text.h"

#include <random>

namespace lovage::load {

namespace {

// Returns text of the given length that is the same for the same `topic` and differs between topics.
std::string deterministic_text(const std::string& topic, std::size_t bytes) {
    std::string text;
    for (std::uint64_t i = 0; text.size() < bytes; ++i) {
        text += answer_id{hash_bytes(topic, i)}.to_string() + " ";
    }
    text.resize(bytes);
    return text;
}

} // namespace

request_plan plan_request(const load_options& options, std::uint64_t number) {
    std::mt19937_64 random(hash_bytes(std::to_string(number), options.seed));
    std::uniform_real_distribution<> share(0.0, 1.0);
    request_plan plan;
    plan.number = number;
    plan.key = options.key_prefix + "-" + std::to_string(number);
    std::vector<double> weights;
    for (const auto& organisation : options.organisations) {
        weights.push_back(organisation.weight);
    }
    std::discrete_distribution<std::size_t> choose(weights.begin(), weights.end());
    plan.organisation = options.organisations[choose(random)].name;
    plan.max_tokens = share(random) < options.long_share ? options.long_tokens : options.max_tokens;
    plan.prompt = share(random) < options.stop_share ? std::string(standins::k_early_stop_prefix) + " " : "";
    std::size_t remaining_bytes = options.prompt_bytes;
    if (options.prefixes > 0) {
        const std::size_t prefix_bytes = remaining_bytes * 3 / 4;
        plan.prompt +=
            deterministic_text("prefix " + std::to_string(random() % options.prefixes), prefix_bytes);
        remaining_bytes -= prefix_bytes;
    }
    plan.prompt += deterministic_text(plan.key, remaining_bytes);
    // Seeds of 2^53 and more would lose precision in programs that read JSON numbers as doubles.
    plan.seed = random() >> 11U;
    plan.first_entry = random() % options.entries.size();
    return plan;
}

} // namespace lovage::load
