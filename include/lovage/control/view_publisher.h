#pragma once

#include "lovage/control/fleet_view.h"

#include <memory>
#include <utility>

namespace lovage {

/// Holds the current `fleet_view`: the control thread publishes it and traffic threads read it. Thread-safe.
class view_publisher {
public:
    fleet_view_ptr current() const { return std::atomic_load(&m_view); }
    void publish(fleet_view_ptr view) { std::atomic_store(&m_view, std::move(view)); }

private:
    fleet_view_ptr m_view = std::make_shared<fleet_view>();
};

} // namespace lovage
