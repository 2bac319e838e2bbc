#pragma once

#include "lovage/control/fleet_view.h"
#include "lovage/control/gateway_view.h"

#include <memory>
#include <utility>

namespace lovage {

/// Holds the current view: the control thread publishes it and traffic threads read it. Thread-safe.
template <class View>
class basic_view_publisher {
public:
    std::shared_ptr<const View> current() const { return std::atomic_load(&m_view); }
    void publish(std::shared_ptr<const View> view) { std::atomic_store(&m_view, std::move(view)); }

private:
    std::shared_ptr<const View> m_view = std::make_shared<View>();
};

using view_publisher = basic_view_publisher<fleet_view>;
using gateway_view_publisher = basic_view_publisher<gateway_view>;

} // namespace lovage
