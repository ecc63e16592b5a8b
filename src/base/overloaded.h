#pragma once

namespace stonewing {

// One visitor for std::visit out of several lambdas, one an alternative.
template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace stonewing
