#pragma once

namespace stonewing {

// Makes one visitor for std::visit out of several lambdas, one for each alternative of the variant.
template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace stonewing
