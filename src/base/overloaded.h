#pragma once

namespace stonewing {

// Combines several lambdas, one for each alternative of a variant, into one visitor for std::visit.
template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace stonewing
