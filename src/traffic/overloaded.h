#pragma once

namespace lovage {

/// Combines lambdas into one visitor for `std::visit`.
template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace lovage
