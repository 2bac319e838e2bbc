#include "lovage/control/gateway_state.h"

#include <algorithm>
#include <map>
#include <memory>

namespace lovage {

namespace {

std::shared_ptr<const std::map<std::string, target_list>> list_usable_targets(const gateway_state& state) {
    // Of several targets with the same address, only the one that started last is running.
    std::map<std::string, std::uint64_t> newest_by_address;
    for (const auto& [id, target] : state.targets) {
        auto& revision = newest_by_address[target.record.address];
        revision = std::max(revision, target.created);
    }
    auto lists = std::make_shared<std::map<std::string, target_list>>();
    for (const auto& [id, target] : state.targets) {
        if (target.created < newest_by_address[target.record.address]) {
            continue;
        }
        auto& list = (*lists)[target.record.service];
        list.push_back(target.record);
        if (target.withheld_until) {
            list.back().phase = target_phase::draining;
        }
    }
    return lists;
}

} // namespace

gateway_view_ptr make_gateway_view(gateway_state& state, time_point now, wall_time wall) {
    auto splits = make_splits(state.moves, now, wall);
    const bool is_same = state.view->table == state.table && !state.is_targets_changed &&
                         state.view->table_confirmed == state.table_confirmed &&
                         state.view->splits == splits && state.view->quarantines == state.quarantines &&
                         state.view->newest_change == state.newest_change &&
                         state.view->has_all_targets == state.has_all_targets;
    if (is_same) {
        return state.view;
    }
    auto view = std::make_shared<gateway_view>(*state.view);
    view->sequence = ++state.sequence;
    view->table = state.table;
    view->table_confirmed = state.table_confirmed;
    view->newest_change = state.newest_change;
    view->has_all_targets = state.has_all_targets;
    view->splits = std::move(splits);
    view->quarantines = state.quarantines;
    if (state.has_targets && std::exchange(state.is_targets_changed, false)) {
        view->targets = list_usable_targets(state);
    }
    state.view = view;
    return view;
}

} // namespace lovage
