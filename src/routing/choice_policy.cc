#include "primroseweir/routing/choice_policy.h"

#include <array>

#include "primroseweir/routing/detail/choice_functions.h"

namespace primroseweir {
namespace {

using ChoiceFunction = std::size_t (*)(const std::vector<Candidate>&, Random*, Instant);

struct NamedChoice {
  const char* name;
  ChoiceFunction choose;
};

// The first is the default; docs/decisions/choice-of-upstream.md has the figures.
constexpr std::array<NamedChoice, 8> kChoices = {{
    {"owned-and-fast", detail::ChooseOwnedAndFast},
    {"owned-first", detail::ChooseOwnedFirst},
    {"hot-cold-pools", detail::ChooseHotColdPools},
    {"corrected-report", detail::ChooseCorrectedReport},
    {"two-reported", detail::ChooseTwoReported},
    {"two-random", detail::ChooseTwoRandom},
    {"least-in-flight", detail::ChooseLeastInFlight},
    {"random", detail::ChooseRandom},
}};

constexpr char kRoundRobin[] = "round-robin";

class StatelessPolicy : public ChoicePolicy {
 public:
  explicit StatelessPolicy(const NamedChoice& choice) : choice_(choice) {}

  std::size_t Choose(const std::vector<Candidate>& candidates, Random* random,
                     Instant now) override {
    return choice_.choose(candidates, random, now);
  }
  std::string name() const override { return choice_.name; }

 private:
  NamedChoice choice_;
};

class RoundRobinPolicy : public ChoicePolicy {
 public:
  std::size_t Choose(const std::vector<Candidate>& candidates, Random* /*random*/,
                     Instant /*now*/) override {
    return next_++ % candidates.size();
  }
  std::string name() const override { return kRoundRobin; }

 private:
  std::size_t next_ = 0;
};

}  // namespace

std::unique_ptr<ChoicePolicy> MakeChoicePolicy(const std::string& name) {
  for (const NamedChoice& choice : kChoices) {
    if (name == choice.name) return std::make_unique<StatelessPolicy>(choice);
  }
  if (name == kRoundRobin) return std::make_unique<RoundRobinPolicy>();
  return nullptr;
}

std::vector<std::string> ChoicePolicyNames() {
  std::vector<std::string> names;
  for (const NamedChoice& choice : kChoices) names.emplace_back(choice.name);
  names.emplace_back(kRoundRobin);
  return names;
}

}  // namespace primroseweir
